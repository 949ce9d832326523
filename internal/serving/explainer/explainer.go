// Package explainer tells the story of one request from the logs of the instances: what was decided of it, and what the
// instance believed at the time.
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Line is one line of a log.
type Line struct {
	Time     time.Time
	Message  string
	Instance string
	Fields   map[string]any
}

// text returns a field as text.
func (l Line) text(name string) string {
	switch v := l.Fields[name].(type) {
	case nil:
		return ""
	case string:
		return v
	case float64:
		return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.6f", v), "0"), ".")
	default:
		return fmt.Sprint(v)
	}
}

// Log is the lines of several instances, and what could not be read.
type Log struct {
	Lines []Line
	// Torn counts the lines that are no whole record, and LeftOut those that an instance says it left out.
	Torn    int
	LeftOut int
}

// maxLine bounds a line, in bytes.
const maxLine = 1 << 20

// Read adds the lines of a log. What stands before a record on its line, such as the time and name that a collector adds,
// is skipped; lines without a record are not counted.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLine)
	for s.Scan() {
		at := bytes.IndexByte(s.Bytes(), '{')
		if at < 0 {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal(s.Bytes()[at:], &fields); err != nil {
			l.Torn++
			continue
		}
		l.add(fields)
	}
	return merry.Prepend(s.Err(), "reading a log")
}

// add adds one record.
func (l *Log) add(fields map[string]any) {
	line := Line{Fields: fields}
	line.Message, line.Instance = line.text("msg"), line.text("instance")
	when, err := time.Parse(time.RFC3339Nano, line.text("time"))
	if err != nil || line.Message == "" {
		l.Torn++
		return
	}
	line.Time = when
	if n, ok := fields["lines"].(float64); ok && line.Message == "log lines left out" {
		l.LeftOut += int(n)
	}
	l.Lines = append(l.Lines, line)
}

// Step is a line of a request's story.
type Step struct {
	Time     time.Time
	Instance string
	Text     string
}

// Story is what is known of one request.
type Story struct {
	ID    string
	Steps []Step
	// Cause says in one sentence how the request ended and why.
	Cause string
	// Beliefs is what the instance that served it believed when it ended.
	Beliefs []string
}

// Explain returns the story of a request, and false if no line names it.
func (l *Log) Explain(id string) (Story, bool) {
	s := Story{ID: id}
	lines := slices.Clone(l.Lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var last Line
	for _, line := range lines {
		if line.text("request") != id {
			continue
		}
		last = line
		s.Steps = append(s.Steps, steps(line)...)
	}
	if last.Message == "" {
		return s, false
	}
	s.Cause = cause(last)
	s.Beliefs = beliefs(lines, last)
	return s, true
}

// steps returns the steps that a line tells: those of its trail, which are timed from the request's beginning.
func steps(l Line) []Step {
	var out []Step
	took, err := time.ParseDuration(l.text("took") + "s")
	if err != nil {
		took = 0
	}
	begun := l.Time.Add(-took)
	out = append(out, Step{begun, l.Instance, fmt.Sprintf("received: route %s, kind %s, team %q, service %s, configuration %s",
		l.text("route"), l.text("kind"), l.text("team"), l.text("service"), l.text("configuration"))})
	for _, part := range strings.Split(l.text("trail"), "; ") {
		offset, text, ok := strings.Cut(part, " ")
		d, err := time.ParseDuration(offset)
		if !ok || err != nil {
			continue
		}
		out = append(out, Step{begun.Add(d), l.Instance, text})
	}
	return append(out, Step{l.Time, l.Instance, fmt.Sprintf("%s: status %s after %s s; %s events, the first after %s s, longest pause %s s",
		outcome(l), l.text("status"), l.text("took"), l.text("events"), l.text("first"), l.text("pause"))})
}

// outcome returns how a request ended.
func outcome(l Line) string {
	if o := l.text("outcome"); o != "" {
		return o
	}
	return l.text("reason")
}

// causes are what lies behind an outcome, by the outcome's beginning.
var causes = []struct{ outcome, text string }{
	{"answered", "an endpoint answered it"},
	{"endpoints full", "it was refused and did not run: the endpoints' memory was reserved for others while it could still begin in time"},
	{"no endpoint for some layers", "it was refused and did not run: no usable endpoint held some of the layers"},
	{"request larger", "it was refused and did not run: no endpoint has room for a request of its size"},
	{"no endpoint took", "it was refused and did not run: no endpoint could be reached, or each stated that it did not run it"},
	{"service has no endpoint", "it was refused and did not run: the service had no endpoint"},
	{"no configuration", "it was refused and did not run: the instance had no configuration yet"},
	{"no route", "no route of the configuration in force matches its host and path"},
	{"unknown credential", "no team of the configuration in force has its credential"},
	{"no answer in time", "it was sent and may have run: no answer came before the caller's deadline or the route's timeout"},
	{"no whole answer", "it was sent and may have run: the connection broke, or the answer was not whole"},
	{"broken off", "its stream had begun and could not be continued: no attempt, budget or memory was left for another path"},
	{"caller left", "the caller closed its connection"},
}

// cause returns the cause in one sentence.
func cause(l Line) string {
	o := outcome(l)
	for _, c := range causes {
		if strings.HasPrefix(o, c.outcome) {
			if status := l.text("status"); c.outcome == "answered" && status >= "500" {
				return "an endpoint answered it with a failure of its own: status " + status
			}
			return c.text
		}
	}
	return o
}

// beliefs returns what an instance believed when a request ended: the configuration, whether the store was in reach, the
// duty, and the endpoints that the request's trail names.
func beliefs(lines []Line, end Line) []string {
	latest := map[string]string{}
	var order []string
	note := func(key, text string) {
		if _, ok := latest[key]; !ok {
			order = append(order, key)
		}
		latest[key] = text
	}
	trail := end.text("trail")
	for _, l := range lines {
		if l.Time.After(end.Time) {
			break
		}
		age := fmt.Sprintf("%.1f s before", end.Time.Sub(l.Time).Seconds())
		own := l.Instance == end.Instance
		switch {
		case own && l.Message == "configuration in force":
			note("configuration", fmt.Sprintf("configuration %s in force (%s)", l.text("configuration"), age))
		case own && (l.Message == "store lost" || l.Message == "store regained"):
			note("store "+l.text("table"), fmt.Sprintf("%s: table %s at version %s (%s)", l.Message, l.text("table"), l.text("version"), age))
		case own && l.Message == "requests wait for memory":
			note("memory", fmt.Sprintf("%s requests waited, %s of the memory was reserved; layer %s had %s holders with room for %s tokens, %s reserved (%s)",
				l.text("waiting"), l.text("load"), l.text("layer"), l.text("holders"), l.text("room"), l.text("used"), age))
		case own && l.Message == "instance leaving":
			note("leaving", "the instance was leaving ("+age+")")
		case l.Message == "duty taken":
			note("duty", fmt.Sprintf("placement was the duty of %s, token %s (%s)", l.Instance, l.text("token"), age))
		case own && l.text("endpoint") != "" && strings.Contains(trail, l.text("endpoint")):
			note("endpoint "+l.text("endpoint"), fmt.Sprintf("%s %s: %s, layers %s to %s, leaving %s (%s)", l.Message, l.text("endpoint"),
				l.text("address"), l.text("from"), l.text("to"), l.text("leaving"), age))
		}
	}
	var out []string
	for _, key := range order {
		out = append(out, latest[key])
	}
	return out
}

// Write writes a story.
func (s Story) Write(w io.Writer) error {
	b := &strings.Builder{}
	fmt.Fprintf(b, "request %s\n", s.ID)
	for _, step := range s.Steps {
		fmt.Fprintf(b, "  %s  %s  %s\n", step.Time.UTC().Format("15:04:05.000"), step.Instance, step.Text)
	}
	fmt.Fprintf(b, "cause: %s\n", s.Cause)
	if len(s.Beliefs) > 0 {
		fmt.Fprintf(b, "believed at the end:\n")
	}
	for _, text := range s.Beliefs {
		fmt.Fprintf(b, "  %s\n", text)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
