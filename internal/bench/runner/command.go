package runner

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
)

// Exit codes of a command.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "BENCH"

// command is one entry of the table of commands.
type command struct {
	name string
	args string
	help string
	run  func(args []string, out, errs io.Writer) int
}

// commands returns the table of commands.
func commands() []command {
	return []command{
		{"list", "", "list the experiments", list},
		{"run", "NAME [--seed N] [-o json|text] [--plot FILE]", "run an experiment", run},
		{"compare", "BEFORE.json AFTER.json", "compare two results", compare},
		{"soak", "--program FILE [--seed N] [--count N] [--length D] [--jobs N] [--dir DIR]",
			"play random faults on instances as processes", soak},
		{"report", "FILE.json ...", "print the figures of results that have a target as a table in Markdown", report},
	}
}

// Main runs the command that the arguments name and returns its exit code: 0 on success, 1 on failure, 2 on a usage
// error.
func Main(args []string, out, errs io.Writer) int {
	if len(args) == 0 {
		return usage(errs)
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return c.run(args[1:], out, errs)
		}
	}
	fmt.Fprintf(errs, "bench: no command %q\n", args[0])
	return usage(errs)
}

// usage prints the table of commands.
func usage(errs io.Writer) int {
	table := tabwriter.NewWriter(errs, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "usage:")
	for _, c := range commands() {
		fmt.Fprintf(table, "  bench %s %s\t%s\n", c.name, c.args, c.help)
	}
	if err := table.Flush(); err != nil {
		return exitFailed
	}
	return exitUsage
}

// list prints the experiments, one a line.
func list(_ []string, out, _ io.Writer) int {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, e := range Experiments() {
		fmt.Fprintf(table, "%s\t%s\n", e.Name, e.Help)
	}
	if err := table.Flush(); err != nil {
		return exitFailed
	}
	return exitDone
}

// run runs one experiment and prints its result.
func run(args []string, out, errs io.Writer) int {
	if len(args) == 0 {
		return usage(errs)
	}
	e, ok := findExperiment(args[0])
	if !ok {
		fmt.Fprintf(errs, "bench: no experiment %q; see bench list\n", args[0])
		return exitUsage
	}
	flags := flag.NewFlagSet("run", flag.ContinueOnError)
	flags.SetOutput(errs)
	seed := flags.Uint64("seed", 1, "seed of the random choices")
	format := flags.String("o", "text", "output format: json or text")
	file := flags.String("plot", "", "file to write a chart to, as SVG")
	if err := ff.Parse(flags, args[1:], ff.WithEnvVarPrefix(envPrefix)); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(errs, "bench:", err)
		}
		return exitUsage
	}
	if *format != "json" && *format != "text" {
		fmt.Fprintf(errs, "bench: no output format %q; use json or text\n", *format)
		return exitUsage
	}
	if *file != "" && e.Plot == nil {
		fmt.Fprintf(errs, "bench: experiment %q has no chart\n", e.Name)
		return exitUsage
	}
	if err := runExperiment(e, *seed, *format, *file, out); err != nil {
		fmt.Fprintln(errs, "bench:", err)
		return exitFailed
	}
	return exitDone
}

// findExperiment returns the experiment with a name.
func findExperiment(name string) (reporter.Experiment, bool) {
	for _, e := range Experiments() {
		if e.Name == name {
			return e, true
		}
	}
	return reporter.Experiment{}, false
}

// runExperiment runs an experiment, prints its result and writes its chart if a file is named.
func runExperiment(e reporter.Experiment, seed uint64, format, file string, out io.Writer) error {
	result, err := e.Run(seed)
	if err != nil {
		return err
	}
	write := result.WriteText
	if format == "json" {
		write = result.WriteJSON
	}
	if err := write(out); err != nil {
		return err
	}
	if file == "" {
		return nil
	}
	chart, err := e.Plot(seed)
	if err != nil {
		return err
	}
	return writeChart(chart, file)
}

// writeChart writes a chart to a file.
func writeChart(c reporter.Chart, file string) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := c.WriteSVG(f); err != nil {
		return errors.Join(err, f.Close())
	}
	return f.Close()
}

// compare prints two results side by side.
func compare(args []string, out, errs io.Writer) int {
	if len(args) != 2 {
		return usage(errs)
	}
	var results [2]reporter.Result
	for i, name := range args {
		result, err := readResult(name)
		if err != nil {
			fmt.Fprintf(errs, "bench: %s: %v\n", name, err)
			return exitFailed
		}
		results[i] = result
	}
	if results[0].Name != results[1].Name {
		fmt.Fprintf(errs, "bench: results of two experiments: %q and %q\n", results[0].Name, results[1].Name)
		return exitUsage
	}
	if err := reporter.Compare(out, results[0], results[1]); err != nil {
		fmt.Fprintln(errs, "bench:", err)
		return exitFailed
	}
	return exitDone
}

// report prints the figures of results that have a target.
func report(args []string, out, errs io.Writer) int {
	if len(args) == 0 {
		return usage(errs)
	}
	var results []reporter.Result
	for _, name := range args {
		result, err := readResult(name)
		if err != nil {
			fmt.Fprintf(errs, "bench: %s: %v\n", name, err)
			return exitFailed
		}
		results = append(results, result)
	}
	if err := reporter.WriteTable(out, results); err != nil {
		fmt.Fprintln(errs, "bench:", err)
		return exitFailed
	}
	return exitDone
}

// readResult reads the result in a file.
func readResult(name string) (reporter.Result, error) {
	f, err := os.Open(name)
	if err != nil {
		return reporter.Result{}, err
	}
	result, err := reporter.Read(f)
	return result, errors.Join(err, f.Close())
}
