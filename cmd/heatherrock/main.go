// Command heatherrock is the router: every process between callers and endpoints runs it.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/heatherrock/heatherrock/internal/bench/presenter"
	"github.com/heatherrock/heatherrock/internal/serving/launcher"
)

// release is the program's version.
const release = "0.1.0"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	streams := launcher.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Environ: os.Environ()}
	code := launcher.New(release, launcher.WithCommands(presenter.Command())).Run(ctx, streams, os.Args[1:])
	stop()
	os.Exit(code)
}
