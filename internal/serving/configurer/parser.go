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

// clientVariables are the environment variables of the commands that call a running instance. They are not settings.
var clientVariables = []string{envPrefix + "_ADDRESS", envPrefix + "_TOKEN", envPrefix + "_OPERATOR"}

// Parse returns the settings of a process. Flags take precedence over environment variables, these over the file that
// the flag config names, and the file over the defaults. The parameter environ holds variables as NAME=VALUE, which take
// precedence over those of the process; one that has the prefix of the settings and names none is a problem. The error
// is Problems if a setting is invalid, flag.ErrHelp if help was requested, and that of the flags or the file otherwise.
func Parse(args []string, environ ...string) (Settings, error) {
	environArgs, problems := parseEnviron(environ)
	p := newParser()
	options := []ff.Option{
		ff.WithEnvVarPrefix(envPrefix),
		ff.WithConfigFileFlag(fileFlag),
		ff.WithConfigFileParser(p.readFile),
	}
	if len(problems) > 0 {
		return Settings{}, problems
	}
	if err := ff.Parse(p.flags, append(environArgs, args...), options...); err != nil {
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
	values   map[string]*string
	problems Problems
}

func newParser() *parser {
	p := &parser{flags: flag.NewFlagSet("heatherrock", flag.ContinueOnError), values: map[string]*string{}}
	p.flags.SetOutput(io.Discard)
	p.flags.String(fileFlag, "", "file of settings, in JSON with comments")
	for _, s := range Table() {
		p.values[s.Name] = p.flags.String(s.Name, s.Default, s.Help)
	}
	return p
}

// readFile validates a file of settings and passes them to set. It is the file parser of package ff.
func (p *parser) readFile(r io.Reader, set func(name, value string) error) error {
	content, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	entries, problems := readEntries(p.flags.Lookup(fileFlag).Value.String(), content)
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

// finish validates the values of all settings and returns the settings, or Problems.
func (p *parser) finish() (Settings, error) {
	var s Settings
	var problems Problems
	if rest := p.flags.Args(); len(rest) > 0 {
		problems = append(problems, Problem{Text: "unexpected argument " + rest[0]})
	}
	for _, setting := range Table() {
		text := *p.values[setting.Name]
		if text == "" && setting.Required {
			problems = append(problems, Problem{Name: setting.Name, Text: "must be given"})
			continue
		}
		if err := setting.set(&s, text); err != nil {
			problems = append(problems, Problem{Name: setting.Name, Text: err.Error()})
		}
	}
	problems = append(problems, sortedProblems(relationFaults(s))...)
	if len(problems) == 0 {
		problems = sortedProblems(tlsFileFaults(s))
	}
	if len(problems) > 0 {
		return Settings{}, problems
	}
	return s, nil
}

// sortedProblems returns the faults of settings, given by the setting's name, as problems sorted by name.
func sortedProblems(faults map[string]string) Problems {
	var problems Problems
	for name, text := range faults {
		problems = append(problems, Problem{Name: name, Text: text})
	}
	sort.Slice(problems, func(i, j int) bool { return problems[i].Name < problems[j].Name })
	return problems
}

// parseEnviron returns the variables that are settings, as flags. A variable that has the prefix of the settings and is
// neither a setting nor one of clientVariables is a problem.
func parseEnviron(environ []string) ([]string, Problems) {
	names := map[string]string{envPrefix + "_" + strings.ToUpper(fileFlag): fileFlag}
	known := []string{envPrefix + "_" + strings.ToUpper(fileFlag)}
	for _, s := range Table() {
		names[s.EnvVar()] = s.Name
		known = append(known, s.EnvVar())
	}
	var args []string
	var problems Problems
	for _, v := range environ {
		name, value, _ := strings.Cut(v, "=")
		if !strings.HasPrefix(name, envPrefix+"_") || slices.Contains(clientVariables, name) {
			continue
		}
		if flag, ok := names[name]; ok {
			args = append(args, "-"+flag+"="+value)
			continue
		}
		problems = append(problems, Problem{Name: name, Text: "unknown environment variable", Nearest: nearestName(name, known)})
	}
	return args, problems
}
