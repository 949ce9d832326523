package configurer

import (
	"flag"
	"io"
	"slices"
	"sort"
	"strings"

	"github.com/peterbourgon/ff/v3"
)

// fileFlag is the flag that names the file of settings.
const fileFlag = "config"

// others are the variables of the commands that talk to a running instance, which are no settings.
var others = []string{prefix + "_ADDRESS", prefix + "_TOKEN", prefix + "_OPERATOR"}

// Parse returns the settings that flags, environment variables and the file named by the flag config give, in that
// order, and the defaults of the rest. Environ holds variables as NAME=VALUE, which go before those of the process;
// one that begins like a setting and is none is at fault. The error is Problems if a setting is at fault, flag.ErrHelp
// if help was asked for, and that of the flags or the file otherwise.
func Parse(args []string, environ ...string) (Settings, error) {
	given, problems := fromEnviron(environ)
	p := newParser()
	options := []ff.Option{
		ff.WithEnvVarPrefix(prefix),
		ff.WithConfigFileFlag(fileFlag),
		ff.WithConfigFileParser(p.readFile),
	}
	if len(problems) > 0 {
		return Settings{}, problems
	}
	if err := ff.Parse(p.flags, append(given, args...), options...); err != nil {
		if len(p.problems) > 0 {
			return Settings{}, p.problems
		}
		return Settings{}, err
	}
	return p.finish()
}

// parser collects the settings of one process.
type parser struct {
	flags    *flag.FlagSet
	texts    map[string]*string
	problems Problems
}

func newParser() *parser {
	p := &parser{flags: flag.NewFlagSet("heatherrock", flag.ContinueOnError), texts: map[string]*string{}}
	p.flags.SetOutput(io.Discard)
	p.flags.String(fileFlag, "", "file of settings, in JSON with comments")
	for _, s := range Table() {
		p.texts[s.Name] = p.flags.String(s.Name, s.Default, s.Help)
	}
	return p
}

// readFile passes the settings of a file on to ff.
func (p *parser) readFile(r io.Reader, set func(name, value string) error) error {
	content, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	entries, problems := read(p.flags.Lookup(fileFlag).Value.String(), content)
	if len(problems) > 0 {
		p.problems = problems
		return problems
	}
	for _, e := range entries {
		if err := set(e.name, e.text); err != nil {
			return err
		}
	}
	return nil
}

// finish returns the settings once all texts are known.
func (p *parser) finish() (Settings, error) {
	var s Settings
	var problems Problems
	if rest := p.flags.Args(); len(rest) > 0 {
		problems = append(problems, Problem{Text: "unexpected argument " + rest[0]})
	}
	for _, n := range Table() {
		text := *p.texts[n.Name]
		if text == "" && n.Required {
			problems = append(problems, Problem{Name: n.Name, Text: "must be given"})
			continue
		}
		if err := n.set(&s, text); err != nil {
			problems = append(problems, Problem{Name: n.Name, Text: err.Error()})
		}
	}
	problems = append(problems, ordered(relations(s))...)
	if len(problems) == 0 {
		problems = ordered(files(s))
	}
	if len(problems) > 0 {
		return Settings{}, problems
	}
	return s, nil
}

// ordered returns faults by the name of a setting as problems, in the order of the names.
func ordered(faults map[string]string) Problems {
	var problems Problems
	for name, text := range faults {
		problems = append(problems, Problem{Name: name, Text: text})
	}
	sort.Slice(problems, func(i, j int) bool { return problems[i].Name < problems[j].Name })
	return problems
}

// fromEnviron returns the variables that are settings, as flags, and reports those that look like one and are not.
func fromEnviron(environ []string) ([]string, Problems) {
	names := map[string]string{prefix + "_" + strings.ToUpper(fileFlag): fileFlag}
	known := []string{prefix + "_" + strings.ToUpper(fileFlag)}
	for _, s := range Table() {
		names[s.Environment()] = s.Name
		known = append(known, s.Environment())
	}
	var args []string
	var problems Problems
	for _, v := range environ {
		name, value, _ := strings.Cut(v, "=")
		if !strings.HasPrefix(name, prefix+"_") || slices.Contains(others, name) {
			continue
		}
		if flag, ok := names[name]; ok {
			args = append(args, "-"+flag+"="+value)
			continue
		}
		problems = append(problems, Problem{Name: name, Text: "unknown environment variable", Nearest: nearest(name, known)})
	}
	return args, problems
}
