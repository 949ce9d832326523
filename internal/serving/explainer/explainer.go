// Package explainer reconstructs what happened to one request from the logs of the instances: the decisions made for it,
// and the state that the instance knew at the time.
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

// Line is one structured line of a log.
type Line struct {
	Time     time.Time
	Message  string
	Instance string
	Fields   map[string]any
}

// text returns a field as text, or "" if it is absent. Numbers have up to six decimals.
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

// Log holds the log lines of several instances, and counts the lines that are missing.
type Log struct {
	Lines []Line
	// Unparsed counts the lines that are not a complete record, and Dropped those that instances report as dropped.
	Unparsed int
	Dropped  int
}

// maxLineBytes bounds a line, in bytes.
const maxLineBytes = 1 << 20

// Read adds the lines of a log. Text before a record on its line, such as the time and name that a log collector adds, is
// skipped; lines without a record are ignored and not counted.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLineBytes)
	for s.Scan() {
		start := bytes.IndexByte(s.Bytes(), '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal(s.Bytes()[start:], &fields); err != nil {
			l.Unparsed++
			continue
		}
		l.addRecord(fields)
	}
	return merry.Prepend(s.Err(), "reading a log")
}

// addRecord adds one record. One without a time or a message counts as unparsed.
func (l *Log) addRecord(fields map[string]any) {
	line := Line{Fields: fields}
	line.Message, line.Instance = line.text("msg"), line.text("instance")
	timestamp, err := time.Parse(time.RFC3339Nano, line.text("time"))
	if err != nil || line.Message == "" {
		l.Unparsed++
		return
	}
	line.Time = timestamp
	if n, ok := fields["lines"].(float64); ok && line.Message == "log lines left out" {
		l.Dropped += int(n)
	}
	l.Lines = append(l.Lines, line)
}

// Step is one event of a request.
type Step struct {
	Time     time.Time
	Instance string
	Text     string
}

// Explanation is what the logs say about one request.
type Explanation struct {
	ID    string
	Steps []Step
	// Cause states in one sentence how the request ended and why.
	Cause string
	// KnownState is the state that the instance which served the request knew when it ended, one fact per entry.
	KnownState []string
}

// Explain returns the explanation of a request, and false if no line names the request.
func (l *Log) Explain(id string) (Explanation, bool) {
	s := Explanation{ID: id}
	lines := slices.Clone(l.Lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var last Line
	for _, line := range lines {
		if line.text("request") != id {
			continue
		}
		last = line
		s.Steps = append(s.Steps, stepsOf(line)...)
	}
	if last.Message == "" {
		return s, false
	}
	s.Cause = causeOf(last)
	s.KnownState = knownState(lines, last)
	return s, true
}

// stepsOf returns the steps of a request from its log line: its arrival, the steps of its trail, whose times count from the
// arrival, and its end.
func stepsOf(l Line) []Step {
	var out []Step
	duration, err := time.ParseDuration(l.text("took") + "s")
	if err != nil {
		duration = 0
	}
	startedAt := l.Time.Add(-duration)
	out = append(out, Step{startedAt, l.Instance, fmt.Sprintf("received: route %s, kind %s, team %q, service %s, configuration %s",
		l.text("route"), l.text("kind"), l.text("team"), l.text("service"), l.text("configuration"))})
	for _, part := range strings.Split(l.text("trail"), "; ") {
		offset, text, ok := strings.Cut(part, " ")
		d, err := time.ParseDuration(offset)
		if !ok || err != nil {
			continue
		}
		out = append(out, Step{startedAt.Add(d), l.Instance, text})
	}
	return append(out, Step{l.Time, l.Instance, fmt.Sprintf("%s: status %s after %s s; %s events, the first after %s s, longest pause %s s",
		outcomeOf(l), l.text("status"), l.text("took"), l.text("events"), l.text("first"), l.text("pause"))})
}

// outcomeOf returns the outcome of a request, or the reason if the line has no outcome.
func outcomeOf(l Line) string {
	if o := l.text("outcome"); o != "" {
		return o
	}
	return l.text("reason")
}

// causeByOutcome lists the cause of each outcome, by the prefix of the outcome.
var causeByOutcome = []struct{ outcome, text string }{
	{"answered", "an endpoint answered it"},
	{"endpoints full", "it was refused and did not run: the endpoints' memory was reserved for others while it could still begin in time"},
	{"endpoints at their limits", "it was refused and did not run: the endpoints that could take it state limits, and their owners granted no request in time"},
	{"no endpoint for some layers", "it was refused and did not run: no usable endpoint held some of the layers"},
	{"request larger", "it was refused and did not run: no endpoint has room for a request of its size"},
	{"requests like it crash endpoints", "endpoints crashed under requests that share a part of its prompt, or under it: it runs on no further one"},
	{"a request like it is on trial", "it was refused and did not run: an endpoint had crashed under a request that shares a part of its prompt, and another one was tried"},
	{"no endpoint took", "it was refused and did not run: no endpoint could be reached, or each stated that it did not run it"},
	{"service has no endpoint", "it was refused and did not run: the service had no endpoint"},
	{"no configuration", "it was refused and did not run: the instance had no configuration yet"},
	{"the instance is leaving", "the instance stopped: with status 503 it did not run, with 502 it had been sent to an endpoint and may have run"},
	{"no route", "no route of the configuration in force matches its host and path"},
	{"unknown credential", "no team of the configuration in force has its credential"},
	{"no answer in time", "it was sent and may have run: no answer came before the caller's deadline or the route's timeout"},
	{"no whole answer", "it was sent and may have run: the connection broke, or the answer was not whole"},
	{"broken off", "its stream had begun and could not be continued: no attempt, budget or memory was left for another path"},
	{"caller left", "the caller closed its connection"},
}

// causeOf returns the cause of a request's end in one sentence, or the outcome itself if it is not listed.
func causeOf(l Line) string {
	o := outcomeOf(l)
	for _, c := range causeByOutcome {
		if strings.HasPrefix(o, c.outcome) {
			if status := l.text("status"); c.outcome == "answered" && status >= "500" {
				return "an endpoint answered it with a failure of its own: status " + status
			}
			return c.text
		}
	}
	return o
}

// knownState returns the state that an instance knew when a request ended, from the latest lines before: the configuration,
// whether the store was reachable, which instance had the duty of placement, and the endpoints that the request's trail
// names.
func knownState(lines []Line, end Line) []string {
	latest := map[string]string{}
	var order []string
	set := func(key, text string) {
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
		sameInstance := l.Instance == end.Instance
		switch {
		case sameInstance && l.Message == "configuration in force":
			set("configuration", fmt.Sprintf("configuration %s in force (%s)", l.text("configuration"), age))
		case sameInstance && (l.Message == "store lost" || l.Message == "store regained"):
			set("store "+l.text("table"), fmt.Sprintf("%s: table %s at version %s (%s)", l.Message, l.text("table"), l.text("version"), age))
		case sameInstance && l.Message == "requests wait for memory":
			set("memory", fmt.Sprintf("%s requests waited, %s of the memory was reserved; layer %s had %s holders with room for %s tokens, %s reserved (%s)",
				l.text("waiting"), l.text("load"), l.text("layer"), l.text("holders"), l.text("room"), l.text("used"), age))
		case sameInstance && l.Message == "instance leaving":
			set("leaving", "the instance was leaving ("+age+")")
		case l.Message == "duty taken":
			set("duty", fmt.Sprintf("placement was the duty of %s, token %s (%s)", l.Instance, l.text("token"), age))
		case sameInstance && l.text("endpoint") != "" && strings.Contains(trail, l.text("endpoint")):
			set("endpoint "+l.text("endpoint"), fmt.Sprintf("%s %s: %s, layers %s to %s, leaving %s (%s)", l.Message, l.text("endpoint"),
				l.text("address"), l.text("from"), l.text("to"), l.text("leaving"), age))
		}
	}
	var out []string
	for _, key := range order {
		out = append(out, latest[key])
	}
	return out
}

// Write writes the explanation as text.
func (s Explanation) Write(w io.Writer) error {
	b := &strings.Builder{}
	fmt.Fprintf(b, "request %s\n", s.ID)
	for _, step := range s.Steps {
		fmt.Fprintf(b, "  %s  %s  %s\n", step.Time.UTC().Format("15:04:05.000"), step.Instance, step.Text)
	}
	fmt.Fprintf(b, "cause: %s\n", s.Cause)
	if len(s.KnownState) > 0 {
		fmt.Fprintf(b, "believed at the end:\n")
	}
	for _, text := range s.KnownState {
		fmt.Fprintf(b, "  %s\n", text)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
