// Command bench runs the project's experiments.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/heatherrock/heatherrock/internal/bench/runner"
)

func main() {
	if len(os.Args) < 2 || os.Args[1] == "list" {
		list()
		return
	}
	if os.Args[1] != "run" || len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: bench list | bench run NAME [--seed N]")
		os.Exit(2)
	}
	os.Exit(run(os.Args[2], os.Args[3:]))
}

// list prints the experiments, one a line.
func list() {
	for _, e := range runner.Experiments() {
		fmt.Printf("%-12s %s\n", e.Name, e.Help)
	}
}

// run runs one experiment and returns the exit code.
func run(name string, args []string) int {
	flags := flag.NewFlagSet(name, flag.ExitOnError)
	seed := flags.Uint64("seed", 1, "seed of the experiment's random choices")
	flags.String("o", "json", "output format")
	if err := flags.Parse(args); err != nil {
		return 2
	}
	for _, e := range runner.Experiments() {
		if e.Name != name {
			continue
		}
		result, err := e.Run(*seed)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		return 0
	}
	fmt.Fprintf(os.Stderr, "bench: no experiment %q\n", name)
	return 2
}
