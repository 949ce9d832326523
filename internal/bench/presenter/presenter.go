// Package presenter demonstrates the product against stand-ins in one process.
package presenter

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/heatherrock/heatherrock/internal/bench/assembler"
	"github.com/heatherrock/heatherrock/internal/serving/launcher"
)

const (
	// layerTime is the time that the fastest kind of accelerator takes for a layer.
	layerTime = 200 * time.Microsecond
	// replicas is the number of engines of each range of layers.
	replicas = 2
	// team is the name of the demo's team and also its bearer token.
	team = "joiners"
	// scriptTimeout is the maximum duration of the script.
	scriptTimeout = time.Minute
)

// Command returns the demo command of the program.
func Command() launcher.Command {
	return launcher.Command{
		Name:  "demo",
		Usage: "demo [-once]",
		Help:  "run two instances and stand-ins for all that lies outside, in one process",
		Run:   run,
	}
}

// run runs the demo and returns the exit code.
func run(ctx context.Context, s launcher.Streams, args []string) int {
	f := flag.NewFlagSet("demo", flag.ContinueOnError)
	f.SetOutput(s.Err)
	once := f.Bool("once", false, "go through a script, check each step and exit")
	if err := ff.Parse(f, args); err != nil {
		return launcher.ExitUsage
	}
	fleet, err := assembler.New(assembler.MixedFleet(replicas, layerTime), 2)
	if err != nil {
		fmt.Fprintln(s.Err, err)
		return launcher.ExitFailed
	}
	defer fleet.Close()
	if *once {
		return runScript(ctx, s.Out, fleet)
	}
	return serveUntilDone(ctx, s, fleet)
}

// serveUntilDone activates the demo's records and keeps everything running until the context ends.
func serveUntilDone(ctx context.Context, s launcher.Streams, fleet *assembler.Fleet) int {
	if _, err := fleet.Accept(ctx, assembler.MixedRecords(team)...); err != nil {
		fmt.Fprintln(s.Err, err)
		return launcher.ExitFailed
	}
	if err := fleet.WaitForEngines(ctx); err != nil {
		fmt.Fprintln(s.Err, err)
		return launcher.ExitFailed
	}
	printGuide(s.Out, fleet)
	<-ctx.Done()
	return launcher.ExitDone
}

// printGuide prints example commands.
func printGuide(w io.Writer, fleet *assembler.Fleet) {
	first, second := fleet.Nodes[0], fleet.Nodes[1]
	fmt.Fprintf(w, `Two instances and their stand-ins are up. Try:

  curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' \
    -d '{"model":"%s","prompt":"a latch for a till","max_tokens":40,"stream":true}'

With a client library of the OpenAI API: base URL http://%s/v1, key %s, model %s.

  curl -i http://%s/v1/services/%s/holds -H 'Authorization: Bearer %s' \
    -H "Idempotency-Key: $(date -u +%%F)-hold-1" -d '{"item":"%s","quantity":2}'

  heatherrock state -addr %s -part router
  heatherrock record list -address http://%s

Crash an engine, and start it again:

  curl -X POST %s/standins/medium-1-1/crash
  curl -X POST %s/standins/medium-1-1/restore

Interrupt ends the demo.
`, first.CallerAddress(), team, assembler.Model, first.CallerAddress(), team, assembler.Model, second.CallerAddress(),
		assembler.Service, team, assembler.StockItem, first.OperatorAddress(), second.OperatorAddress(), fleet.Standins.ControlURL(), fleet.Standins.ControlURL())
}
