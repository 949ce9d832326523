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
	// Expected is the time that the part should take at its present load if it is healthy.
	Expected time.Duration
}

// PartState is a part that is slower than its peers.
type PartState struct {
	Name string
	// Factor is how many times longer than its peers it takes.
	Factor  float64
	Samples int
}

// comparer finds the parts that are slow from the times of whole steps, each of which passes several parts. It
// solves for a factor for each part by proportionate normalised least mean squares (Duttweiler, Proportionate
// Normalized Least-Mean-Squares Adaptation in Echo Cancelers, 2000): a part that is known to be slow takes more of an
// error than those beside it. A part cannot have taken longer than a whole step, which clears one that shared its steps
// with a slow one. A part is compared with the median of all, so that a load or a model error which all share finds
// nobody slow, and an estimate fades to the median, so that a part that gets no work is tried again.
type comparer struct {
	factors map[string]*factor
	median  float64
	counted int
}

// factor is the estimate for one part.
type factor struct {
	value   float64
	samples int
	seen    time.Time
	// slow is set while the part is held to be slow.
	slow bool
}

const (
	// compareGain is the part of an error that one sample corrects.
	compareGain = 0.2
	// compareSamples is the number of samples below which a part is not judged.
	compareSamples = 12
	// compareEvery is the number of samples between two computations of the median.
	compareEvery = 32
	// slowFactor is the factor over the median from which a part is held to be slow.
	slowFactor = 1.8
	// soundFactor is the factor below which a slow part is held to be sound again.
	soundFactor = 1.3
	// minShare bounds the share below, so that a slow part still gets work that shows when it is sound again.
	minShare = 0.01
	// minFactor and maxFactor bound an estimate.
	minFactor = 0.1
	maxFactor = 300
	// maxRatio bounds how many times longer than predicted a step counts.
	maxRatio = 5
	// fadeTime is the time over which an estimate without samples fades to 1/e of its distance from the median.
	fadeTime = 5 * time.Second
	// forgetAfter is how long a part is held to be slow without a sample.
	forgetAfter = 30 * time.Second
)

// newComparer returns a comparer without samples.
func newComparer() comparer {
	return comparer{factors: map[string]*factor{}, median: 1}
}

// compare corrects the factors by the error of one step.
func (c *comparer) compare(now time.Time, parts []Part, took time.Duration) {
	predicted, square := 0.0, 0.0
	for _, p := range parts {
		x := p.Expected.Seconds()
		if x <= 0 {
			continue
		}
		part := c.fade(now, p.Name) * x
		predicted += part
		square += part * part
	}
	if square == 0 || took <= 0 || len(parts) == 0 {
		return
	}
	measured := min(took.Seconds(), maxRatio*predicted)
	step := compareGain * (measured - predicted) / square
	for _, p := range parts {
		f := c.factor(p.Name)
		x := p.Expected.Seconds()
		value := f.value + step*x*f.value*f.value
		f.value = min(max(value, minFactor), maxFactor, max(took.Seconds()/x, minFactor))
		f.samples++
		f.seen = now
	}
	c.counted++
	if c.counted%compareEvery == 0 {
		c.judge(now)
	}
}

// fade lets a part's estimate fade towards the median since its last sample, and returns it.
func (c *comparer) fade(now time.Time, name string) float64 {
	f := c.factor(name)
	if passed := now.Sub(f.seen); passed > 0 && !f.seen.IsZero() {
		keep := math.Exp(-passed.Seconds() / fadeTime.Seconds())
		f.value = c.median + (f.value-c.median)*keep
	}
	f.seen = now
	return f.value
}

// judge computes the median and marks the parts that are slow.
func (c *comparer) judge(now time.Time) {
	var values []float64
	for name, f := range c.factors {
		if now.Sub(f.seen) > forgetAfter {
			delete(c.factors, name)
			continue
		}
		if f.samples >= compareSamples {
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
		if f.samples >= compareSamples && ratio > slowFactor {
			f.slow = true
		}
		if ratio < soundFactor {
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

// share returns the share of its rate that a part is believed to give.
func (c *comparer) share(now time.Time, name string) float64 {
	f := c.factors[name]
	if f == nil || !f.slow || now.Sub(f.seen) > forgetAfter {
		return 1
	}
	keep := math.Exp(-now.Sub(f.seen).Seconds() / fadeTime.Seconds())
	value := c.median + (f.value-c.median)*keep
	return min(1, max(minShare, c.median/value))
}

// remove forgets a part.
func (c *comparer) remove(name string) {
	delete(c.factors, name)
}

// state returns the slow parts in order.
func (c *comparer) state(now time.Time) []PartState {
	var slow []PartState
	for _, name := range slices.SortedFunc(maps.Keys(c.factors), cmp.Compare) {
		if f := c.factors[name]; f.slow && now.Sub(f.seen) <= forgetAfter {
			slow = append(slow, PartState{Name: name, Factor: f.value / c.median, Samples: f.samples})
		}
	}
	return slow
}
