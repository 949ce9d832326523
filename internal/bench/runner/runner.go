// Package runner holds the table of experiments and runs them by name.
package runner

import (
	"github.com/heatherrock/heatherrock/internal/bench/claimer"
	"github.com/heatherrock/heatherrock/internal/bench/measurer"
	"github.com/heatherrock/heatherrock/internal/bench/prover"
	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/bench/router"
	"github.com/heatherrock/heatherrock/internal/bench/spreader"
)

// Experiments returns the table of experiments in the order in which they are listed.
func Experiments() []reporter.Experiment {
	var all []reporter.Experiment
	all = append(all, router.Experiments()...)
	all = append(all, prover.Experiments()...)
	all = append(all, claimer.Experiments()...)
	all = append(all, spreader.Experiments()...)
	all = append(all, measurer.Experiments()...)
	return all
}
