// Package runner holds the table of experiments and runs them by name.
package runner

import (
	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/bench/router"
)

// Experiments is the table of experiments, in the order in which they are listed.
func Experiments() []reporter.Experiment {
	return append([]reporter.Experiment{}, router.Experiments()...)
}
