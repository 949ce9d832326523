// Package launcher is the program's command line: a table of commands and the functions that run them.
package launcher

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/heatherrock/heatherrock/internal/serving/commander"
)

// The exit codes.
const (
	// ExitDone means that the command succeeded.
	ExitDone = 0
	// ExitFailed means that the command failed, or a check found a fault.
	ExitFailed = 1
	// ExitUsage means that the command line, a settings file or a record is invalid.
	ExitUsage = 2
	// ExitIncomplete means that a log could not be read completely, so that the output may lack something.
	ExitIncomplete = 3
)

// Streams are a command's input and outputs, and the process's environment as NAME=VALUE.
type Streams struct {
	In      io.Reader
	Out     io.Writer
	Err     io.Writer
	Environ []string
}

// Command is one command of the program.
type Command struct {
	Name string
	// Usage shows the arguments, and Help describes the command in one line.
	Usage string
	Help  string
	// Run runs the command and returns the exit code.
	Run func(ctx context.Context, s Streams, args []string) int
}

// Launcher runs commands by name.
type Launcher struct {
	release  string
	commands []Command
}

// Option changes a Launcher under construction.
type Option func(*Launcher)

// WithCommands adds commands.
func WithCommands(commands ...Command) Option {
	return func(l *Launcher) { l.commands = append(l.commands, commands...) }
}

// New returns the program of a release, with its own commands and those given.
func New(release string, options ...Option) *Launcher {
	l := &Launcher{release: release}
	l.commands = []Command{
		{Name: "serve", Usage: "serve [-config FILE] [-NAME VALUE ...]", Help: "run an instance", Run: serve},
		{Name: "check", Usage: "check FILE ...", Help: "check files of settings or records, without starting anything", Run: check},
		{Name: "state", Usage: "state -addr HOST:PORT [-part NAME] [-token TOKEN] [-ca FILE]", Help: "print the state of a running instance", Run: state},
		{Name: "explain", Usage: "explain ID [FILE ...]", Help: "print the story of a request from the instances' logs", Run: explain},
		{Name: "record", Usage: "record COMMAND [ARGUMENT ...]", Help: "submit, accept, retire, list, show, diff and wait for records", Run: groupCommand("record")},
		{Name: "call", Usage: "call COMMAND [ARGUMENT ...]", Help: "list, show and settle calls whose outcome is not known", Run: groupCommand("call")},
	}
	for _, o := range options {
		o(l)
	}
	l.commands = append(l.commands,
		Command{Name: "help", Usage: "help [settings|COMMAND]", Help: "print help", Run: l.help},
		Command{Name: "version", Usage: "version", Help: "print the version", Run: l.version},
	)
	return l
}

// Run runs the command that args begins with and returns the exit code.
func (l *Launcher) Run(ctx context.Context, s Streams, args []string) int {
	if len(args) == 0 {
		l.usage(s.Err)
		return ExitUsage
	}
	if args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
		l.usage(s.Out)
		return ExitDone
	}
	c, ok := l.findCommand(args[0])
	if !ok {
		fmt.Fprintf(s.Err, "heatherrock: there is no command %q\n", args[0])
		l.usage(s.Err)
		return ExitUsage
	}
	return c.Run(ctx, s, args[1:])
}

// groupCommand returns the function of a group of commands that call a running instance.
func groupCommand(name string) func(context.Context, Streams, []string) int {
	return func(ctx context.Context, s Streams, args []string) int {
		return commander.Run(ctx, append([]string{name}, args...), s.Out, s.Err)
	}
}

// findCommand returns a command by name.
func (l *Launcher) findCommand(name string) (Command, bool) {
	for _, c := range l.commands {
		if c.Name == name {
			return c, true
		}
	}
	return Command{}, false
}

// usage prints the table of commands.
func (l *Launcher) usage(w io.Writer) {
	fmt.Fprint(w, "usage: heatherrock COMMAND [ARGUMENT ...]\n\n")
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, c := range l.commands {
		fmt.Fprintf(t, "  %s\t%s\n", c.Usage, c.Help)
	}
	_ = t.Flush()
}

// version prints the release.
func (l *Launcher) version(_ context.Context, s Streams, _ []string) int {
	fmt.Fprintln(s.Out, "heatherrock", l.release)
	return ExitDone
}

// parseFlags parses a command's flags. It returns an exit code and false if the command must not run.
func parseFlags(f *flag.FlagSet, s Streams, parseArgs func() error) (int, bool) {
	f.SetOutput(s.Err)
	err := parseArgs()
	if errors.Is(err, flag.ErrHelp) {
		return ExitDone, false
	}
	if err != nil {
		fmt.Fprintf(s.Err, "heatherrock %s: %v\n", f.Name(), err)
		return ExitUsage, false
	}
	return ExitDone, true
}
