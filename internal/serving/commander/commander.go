// Package commander holds the commands of the program that talk to a running instance.
package commander

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
)

// The exit codes of commands.
const (
	// ExitDone means that what was asked for is done.
	ExitDone = 0
	// ExitFailed means that it was not done, and nothing was changed.
	ExitFailed = 1
	// ExitUsage means that the command line or a file is wrong.
	ExitUsage = 2
	// ExitUnknown means that it is not known yet, or not done everywhere yet.
	ExitUnknown = 3
)

// Command is one command of a group.
type Command struct {
	Name string
	// Usage shows the arguments, and Help says in one line what the command does.
	Usage string
	Help  string
	// Run carries the command out and returns the exit code.
	Run func(ctx context.Context, c *Call) int
}

// environment lists the flags that may come from the environment, by the name of their variable. Other variables of the
// program are settings of an instance, such as HEATHERROCK_ID, and mean nothing here.
var environment = map[string]string{
	"HEATHERROCK_ADDRESS":  "address",
	"HEATHERROCK_TOKEN":    "token",
	"HEATHERROCK_OPERATOR": "operator",
}

// groups is the table of groups of commands, by name.
var groups = map[string][]Command{
	"record": records,
	"call":   calls,
}

// Run runs a command: the name of its group, its own name and its arguments. It returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		fmt.Fprintln(stderr, "usage: GROUP COMMAND [ARGUMENTS]")
		return ExitUsage
	}
	commands, found := groups[args[0]]
	if !found {
		fmt.Fprintf(stderr, "no group of commands %q\n", args[0])
		return ExitUsage
	}
	for _, command := range commands {
		if len(args) > 1 && command.Name == args[1] {
			return start(ctx, args[0], command, args[2:], stdout, stderr)
		}
	}
	fmt.Fprintf(stderr, "usage of %s:\n", args[0])
	for _, command := range commands {
		fmt.Fprintf(stderr, "  %s %s %-40s %s\n", args[0], command.Name, command.Usage, command.Help)
	}
	return ExitUsage
}

// Call is one run of a command.
type Call struct {
	Args   []string
	Stdout io.Writer
	Stderr io.Writer
	Client Client
	// JSON is set if the output is to be JSON.
	JSON     bool
	Operator string
	Note     string
	ID       string
	Dry      bool
	Timeout  time.Duration
	Schema   int
}

// start reads the flags of a command and runs it.
func start(ctx context.Context, group string, command Command, args []string, stdout, stderr io.Writer) int {
	c := &Call{Stdout: stdout, Stderr: stderr}
	flags := flag.NewFlagSet(group+" "+command.Name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprintf(stderr, "usage: %s %s %s\n%s\n", group, command.Name, command.Usage, command.Help)
		flags.PrintDefaults()
	}
	address := flags.String("address", "http://127.0.0.1:8081", "base `URL` of an instance's operators' listener")
	token := flags.String("token", "", "operators' bearer token")
	authorities := flags.String("ca", "", "`file` of the authorities of the listener's certificate, in PEM; empty trusts those of the system")
	format := flags.String("o", "text", "output format, text or json")
	flags.StringVar(&c.Operator, "operator", "", "name of the operator, for the audit")
	flags.StringVar(&c.Note, "note", "", "reason of the change, for the audit")
	flags.StringVar(&c.ID, "id", "", "id of a change: one to make, or one to ask about")
	flags.BoolVar(&c.Dry, "dry", false, "show what would change and write nothing")
	flags.DurationVar(&c.Timeout, "timeout", 30*time.Second, "longest wait for the answer")
	flags.IntVar(&c.Schema, "schema", 0, "schema version to show a record in, or 0 for its own")
	if err := c.parse(flags, args); err != nil {
		return ExitUsage
	}
	if *format != "text" && *format != "json" {
		return c.usage("output format %q is not text or json", *format)
	}
	c.JSON = *format == "json"
	trusted, err := Trust(*authorities)
	if err != nil {
		return c.usage("%v", err)
	}
	c.Client = NewClient(strings.TrimSuffix(*address, "/"), *token)
	c.Client.http = trusted
	ctx, cancel := context.WithTimeout(ctx, c.Timeout+5*time.Second)
	defer cancel()
	return command.Run(ctx, c)
}

// parse reads flags and arguments in any order. The environment gives the flags that it may and that are absent.
func (c *Call) parse(flags *flag.FlagSet, args []string) error {
	for {
		if err := ff.Parse(flags, args); err != nil {
			return err
		}
		if flags.NArg() == 0 {
			return inherit(flags)
		}
		c.Args = append(c.Args, flags.Arg(0))
		args = flags.Args()[1:]
	}
}

// inherit sets the flags that the command line left out from the environment.
func inherit(flags *flag.FlagSet) error {
	given := map[string]bool{}
	flags.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for variable, name := range environment {
		value, found := os.LookupEnv(variable)
		if !found || given[name] {
			continue
		}
		if err := flags.Set(name, value); err != nil {
			return err
		}
	}
	return nil
}

// usage prints what is wrong with the command line.
func (c *Call) usage(format string, args ...any) int {
	fmt.Fprintf(c.Stderr, format+"\n", args...)
	return ExitUsage
}

// fail prints why a command was not carried out.
func (c *Call) fail(format string, args ...any) int {
	fmt.Fprintf(c.Stderr, format+"\n", args...)
	return ExitFailed
}
