// Package reporter holds the results of experiments and writes them as text or JSON.
package reporter

// Figure is one measured value. Target is the bound that the project aims for, or nil if there is none.
type Figure struct {
	Value  float64  `json:"value"`
	Unit   string   `json:"unit"`
	Target *float64 `json:"target,omitempty"`
}

// Result is the outcome of one experiment: figures by name.
type Result struct {
	Name    string            `json:"name"`
	Seed    uint64            `json:"seed"`
	Figures map[string]Figure `json:"figures"`
}

// Experiment is an entry of the table of experiments.
type Experiment struct {
	Name string
	// Help describes in one line what is measured.
	Help string
	// Run runs the experiment. The same seed gives the same random decisions.
	Run func(seed uint64) (Result, error)
	// Plot measures the data of the chart. It is nil if there is no chart.
	Plot func(seed uint64) (Chart, error)
}

// NewResult returns a result without figures.
func NewResult(name string, seed uint64) Result {
	return Result{Name: name, Seed: seed, Figures: map[string]Figure{}}
}

// Set records a figure that has no target.
func (r Result) Set(name string, value float64, unit string) {
	r.Figures[name] = Figure{Value: value, Unit: unit}
}

// SetTarget records a figure and its target.
func (r Result) SetTarget(name string, value float64, unit string, target float64) {
	r.Figures[name] = Figure{Value: value, Unit: unit, Target: &target}
}
