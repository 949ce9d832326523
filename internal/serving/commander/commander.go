// Package commander implements the commands that call a running instance.
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
	// ExitDone means that the command succeeded.
	ExitDone = 0
	// ExitFailed means that the command failed and changed nothing.
	ExitFailed = 1
	// ExitUsage means that the command line or a file is invalid.
	ExitUsage = 2
	// ExitUnknown means that the outcome is not known yet, or that a change is not in force everywhere yet.
	ExitUnknown = 3
)

// Command is one command of a group.
type Command struct {
	Name string
	// Usage lists the arguments, and Help describes the command in one line.
	Usage string
	Help  string
	// Run executes the command and returns the exit code.
	Run func(ctx context.Context, i *Invocation) int
}

// flagByVariable lists the flags that may be given by an environment variable, by the variable's name. Other variables of
// the program are settings of an instance, such as HEATHERROCK_ID, and are ignored here.
var flagByVariable = map[string]string{
	"HEATHERROCK_ADDRESS":  "address",
	"HEATHERROCK_TOKEN":    "token",
	"HEATHERROCK_OPERATOR": "operator",
}

// groups holds the commands of each group, by the group's name.
var groups = map[string][]Command{
	"record": recordCommands,
	"call":   callCommands,
}

// Run executes a command and returns the exit code. The arguments are the command's group, its name and its own arguments.
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
			return runCommand(ctx, args[0], command, args[2:], stdout, stderr)
		}
	}
	fmt.Fprintf(stderr, "usage of %s:\n", args[0])
	for _, command := range commands {
		fmt.Fprintf(stderr, "  %s %s %-40s %s\n", args[0], command.Name, command.Usage, command.Help)
	}
	return ExitUsage
}

// Invocation is one run of a command, with its flags.
type Invocation struct {
	Args   []string
	Stdout io.Writer
	Stderr io.Writer
	Client Client
	// JSON selects JSON output instead of text.
	JSON     bool
	Operator string
	Note     string
	ID       string
	DryRun   bool
	Timeout  time.Duration
	Schema   int
}

// runCommand parses the flags of a command and executes it.
func runCommand(ctx context.Context, group string, command Command, args []string, stdout, stderr io.Writer) int {
	i := &Invocation{Stdout: stdout, Stderr: stderr}
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
	flags.StringVar(&i.Operator, "operator", "", "name of the operator, for the audit")
	flags.StringVar(&i.Note, "note", "", "reason of the change, for the audit")
	flags.StringVar(&i.ID, "id", "", "id of a change: one to make, or one to ask about")
	flags.BoolVar(&i.DryRun, "dry", false, "show what would change and write nothing")
	flags.DurationVar(&i.Timeout, "timeout", 30*time.Second, "longest wait for the answer")
	flags.IntVar(&i.Schema, "schema", 0, "schema version to show a record in, or 0 for its own")
	if err := i.parse(flags, args); err != nil {
		return ExitUsage
	}
	if *format != "text" && *format != "json" {
		return i.failUsage("output format %q is not text or json", *format)
	}
	i.JSON = *format == "json"
	httpClient, err := NewHTTPClient(*authorities)
	if err != nil {
		return i.failUsage("%v", err)
	}
	i.Client = NewClient(strings.TrimSuffix(*address, "/"), *token)
	i.Client.http = httpClient
	ctx, cancel := context.WithTimeout(ctx, i.Timeout+5*time.Second)
	defer cancel()
	return command.Run(ctx, i)
}

// parse parses flags and arguments in any order, then sets absent flags from the environment.
func (i *Invocation) parse(flags *flag.FlagSet, args []string) error {
	for {
		if err := ff.Parse(flags, args); err != nil {
			return err
		}
		if flags.NArg() == 0 {
			return applyEnvironment(flags)
		}
		i.Args = append(i.Args, flags.Arg(0))
		args = flags.Args()[1:]
	}
}

// applyEnvironment sets the flags that the command line omits from their environment variables.
func applyEnvironment(flags *flag.FlagSet) error {
	setFlags := map[string]bool{}
	flags.Visit(func(f *flag.Flag) { setFlags[f.Name] = true })
	for variable, name := range flagByVariable {
		value, found := os.LookupEnv(variable)
		if !found || setFlags[name] {
			continue
		}
		if err := flags.Set(name, value); err != nil {
			return err
		}
	}
	return nil
}

// failUsage prints an error of the command line and returns ExitUsage.
func (i *Invocation) failUsage(format string, args ...any) int {
	fmt.Fprintf(i.Stderr, format+"\n", args...)
	return ExitUsage
}

// fail prints why a command failed and returns ExitFailed.
func (i *Invocation) fail(format string, args ...any) int {
	fmt.Fprintf(i.Stderr, format+"\n", args...)
	return ExitFailed
}
