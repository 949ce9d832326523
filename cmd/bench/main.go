// Command bench runs the project's experiments and compares their results.
package main

import (
	"os"

	"github.com/heatherrock/heatherrock/internal/bench/runner"
)

func main() {
	os.Exit(runner.Main(os.Args[1:], os.Stdout, os.Stderr))
}
