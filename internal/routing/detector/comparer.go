package detector

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Part is an endpoint or a link that a step passes.
type Part struct {
	Name string
	// ExpectedTime is the time that the part should take at its present load if it is healthy.
	ExpectedTime time.Duration
}

// PartState is a part that is slower than its peers.
type PartState struct {
	Name string
	// Factor is how many times longer than its peers it takes.
	Factor  float64
	Samples int
}

// comparer finds slow parts from the times of whole steps, each of which passes several parts. It estimates a factor
// for each part by proportionate normalised least mean squares (Duttweiler, Proportionate Normalized
// Least-Mean-Squares Adaptation in Echo Cancelers, 2000): a part with a high estimate takes a larger share of an error
// than the other parts of the step. A part cannot have taken longer than the whole step; this bound corrects the
// estimate of a healthy part that shared steps with a slow one. Parts are compared with the median of all parts, so
// that load or a model error common to all marks none as slow. An estimate decays to the median, so that a part that
// gets no work is tried again.
type comparer struct {
	factors     map[string]*factor
	median      float64
	sampleCount int
}

// factor is the estimate for one part.
type factor struct {
	value     float64
	samples   int
	updatedAt time.Time
	// slow is true while the part counts as slow.
	slow bool
}

const (
	// adaptationGain is the fraction of an error that one sample corrects.
	adaptationGain = 0.2
	// minSamples is the number of samples below which a part cannot count as slow.
	minSamples = 12
	// samplesPerMedian is the number of samples between two computations of the median.
	samplesPerMedian = 32
	// slowFactor is the factor over the median above which a part counts as slow.
	slowFactor = 1.8
	// healthyFactor is the factor over the median below which a slow part counts as healthy again.
	healthyFactor = 1.3
	// minShare is the lower bound on the share: a slow part still gets work that shows when it has recovered.
	minShare = 0.01
	// minFactor and maxFactor bound an estimate.
	minFactor = 0.1
	maxFactor = 300
	// maxRatio is the largest multiple of its predicted time that a step counts as having taken.
	maxRatio = 5
	// decayTime is the time over which an estimate without samples decays to 1/e of its distance from the median.
	decayTime = 5 * time.Second
	// expireAfter is the time without a sample after which a part no longer counts as slow and its estimate is dropped.
	expireAfter = 30 * time.Second
)

func newComparer() comparer {
	return comparer{factors: map[string]*factor{}, median: 1}
}

// compare corrects the factors by the error of one step: the time it took less the time predicted for its parts.
func (c *comparer) compare(now time.Time, parts []Part, took time.Duration) {
	predicted, square := 0.0, 0.0
	for _, p := range parts {
		expected := p.ExpectedTime.Seconds()
		if expected <= 0 {
			continue
		}
		predictedPart := c.decay(now, p.Name) * expected
		predicted += predictedPart
		square += predictedPart * predictedPart
	}
	if square == 0 || took <= 0 || len(parts) == 0 {
		return
	}
	measured := min(took.Seconds(), maxRatio*predicted)
	step := adaptationGain * (measured - predicted) / square
	for _, p := range parts {
		f := c.factor(p.Name)
		expected := p.ExpectedTime.Seconds()
		value := f.value + step*expected*f.value*f.value
		f.value = min(max(value, minFactor), maxFactor, max(took.Seconds()/expected, minFactor))
		f.samples++
		f.updatedAt = now
	}
	c.sampleCount++
	if c.sampleCount%samplesPerMedian == 0 {
		c.markSlowParts(now)
	}
}

// decay moves a part's estimate towards the median for the time since its last sample, and returns it.
func (c *comparer) decay(now time.Time, name string) float64 {
	f := c.factor(name)
	if elapsed := now.Sub(f.updatedAt); elapsed > 0 && !f.updatedAt.IsZero() {
		remaining := math.Exp(-elapsed.Seconds() / decayTime.Seconds())
		f.value = c.median + (f.value-c.median)*remaining
	}
	f.updatedAt = now
	return f.value
}

// markSlowParts computes the median, drops expired estimates and marks the parts that are slow.
func (c *comparer) markSlowParts(now time.Time) {
	var values []float64
	for name, f := range c.factors {
		if now.Sub(f.updatedAt) > expireAfter {
			delete(c.factors, name)
			continue
		}
		if f.samples >= minSamples {
			values = append(values, f.value)
		}
	}
	if len(values) == 0 {
		return
	}
	slices.Sort(values)
	c.median = values[(len(values)-1)/2]
	for _, f := range c.factors {
		ratio := f.value / c.median
		if f.samples >= minSamples && ratio > slowFactor {
			f.slow = true
		}
		if ratio < healthyFactor {
			f.slow = false
		}
	}
}

// factor returns a part's estimate. A new part starts at the median.
func (c *comparer) factor(name string) *factor {
	f := c.factors[name]
	if f == nil {
		f = &factor{value: c.median}
		c.factors[name] = f
	}
	return f
}

// share returns the estimated share of its nominal rate that a part delivers.
func (c *comparer) share(now time.Time, name string) float64 {
	f := c.factors[name]
	if f == nil || !f.slow || now.Sub(f.updatedAt) > expireAfter {
		return 1
	}
	remaining := math.Exp(-now.Sub(f.updatedAt).Seconds() / decayTime.Seconds())
	value := c.median + (f.value-c.median)*remaining
	return min(1, max(minShare, c.median/value))
}

// remove drops the estimate of a part.
func (c *comparer) remove(name string) {
	delete(c.factors, name)
}

// state returns the slow parts, ordered by name.
func (c *comparer) state(now time.Time) []PartState {
	var slow []PartState
	for _, name := range slices.SortedFunc(maps.Keys(c.factors), cmp.Compare) {
		if f := c.factors[name]; f.slow && now.Sub(f.updatedAt) <= expireAfter {
			slow = append(slow, PartState{Name: name, Factor: f.value / c.median, Samples: f.samples})
		}
	}
	return slow
}
