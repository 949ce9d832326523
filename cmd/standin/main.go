// Command standin runs stand-ins for the systems around heatherrock: the platform, model engines and plain services.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"

	"github.com/heatherrock/heatherrock/internal/standin/starter"
)

// command is one entry of the table of commands; read returns the fleet that a command's arguments describe.
type command struct {
	name string
	help string
	read func(flags *flag.FlagSet, args []string) (starter.Fleet, error)
}

// commands is the table of commands.
var commands = []command{
	{"fleet", "all that a file describes, in JSON with comments", readFleet},
	{"tables", "the table service", readTables},
	{"objects", "the object store", readObjects},
	{"instances", "the instance list", readInstances},
	{"weights", "the weight store", readWeights},
	{"engine", "one model engine", readEngine},
	{"service", "one server of a plain service", readService},
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Stdout, os.Stderr, os.Args[1:])
	stop()
	os.Exit(code)
}

// run runs one command until the context ends and returns the exit code: 2 for invalid arguments, 1 if a stand-in
// cannot start.
func run(ctx context.Context, out, errOut io.Writer, args []string) int {
	fleet, err := parse(errOut, args)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		fmt.Fprintln(errOut, "standin:", err)
		return 2
	}
	s, err := starter.Start(fleet)
	if err != nil {
		fmt.Fprintln(errOut, "standin:", err)
		return 1
	}
	defer s.Close()
	for _, p := range s.StandIns() {
		fmt.Fprintf(out, "%-16s %s\n", p.Name, p.Server.Address())
	}
	fmt.Fprintf(out, "%-16s %s\n", "control", s.ControlURL())
	<-ctx.Done()
	return 0
}

// parse returns the fleet that the arguments describe.
func parse(errOut io.Writer, args []string) (starter.Fleet, error) {
	for _, c := range commands {
		if len(args) > 0 && c.name == args[0] {
			flags := flag.NewFlagSet("standin "+c.name, flag.ContinueOnError)
			flags.SetOutput(errOut)
			return c.read(flags, args[1:])
		}
	}
	fmt.Fprintln(errOut, "usage: standin COMMAND [flags]")
	for _, c := range commands {
		fmt.Fprintf(errOut, "  %-10s %s\n", c.name, c.help)
	}
	if len(args) > 0 {
		return starter.Fleet{}, fmt.Errorf("no command %q", args[0])
	}
	return starter.Fleet{}, errors.New("no command")
}

// parseFlags parses the flags of a command, which may also be set in the environment, and rejects positional arguments.
func parseFlags(flags *flag.FlagSet, args []string) error {
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("STANDIN")); err != nil {
		return err
	}
	if flags.NArg() > 0 {
		return fmt.Errorf("unexpected argument %q", flags.Arg(0))
	}
	return nil
}
