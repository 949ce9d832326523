package planner

import "slices"

const (
	// maxPlaceRounds bounds the rounds of Dinkelbach's method.
	maxPlaceRounds = 64
	// placeTolerance is the relative error that is allowed in a placement's rate.
	placeTolerance = 1e-12
)

// placeableRate returns the highest rate, up to a limit, at which the layer steps of each segment of the model, from
// one boundary to the next, can be divided among the classes that hold it.
//
// By Hall's theorem that is the least quotient, over all sets of segments, of the rate of the classes that hold one
// of them and the number of layers in the set. A class holds adjacent segments, so each class that holds none of a
// set lies within one interval of its complement, and the best set for a given rate is found interval by interval.
// Dinkelbach's method (On Nonlinear Fractional Programming, 1967) leads from there to the least quotient.
func (g *Graph) placeableRate(limit float64) float64 {
	enclosed := g.enclosedRates()
	total := 0.0
	for _, c := range g.Classes {
		total += c.Rate
	}
	rate := limit
	for range maxPlaceRounds {
		steps, layers := g.surplusIntervals(enclosed, rate)
		remaining := float64(g.Layers - layers)
		if remaining <= 0 || (total-steps) >= rate*remaining*(1-placeTolerance) {
			return rate
		}
		rate = (total - steps) / remaining
	}
	return rate
}

// enclosedRates returns, for each pair of boundaries, the sum of the rates of the classes whose ranges lie between
// them.
func (g *Graph) enclosedRates() [][]float64 {
	enclosed := make([][]float64, len(g.Boundaries))
	for i := range enclosed {
		enclosed[i] = make([]float64, len(g.Boundaries))
	}
	for _, c := range g.Classes {
		first, _ := slices.BinarySearch(g.Boundaries, c.From)
		last, _ := slices.BinarySearch(g.Boundaries, c.To)
		for i := 0; i <= first; i++ {
			for j := last; j < len(g.Boundaries); j++ {
				enclosed[i][j] += c.Rate
			}
		}
	}
	return enclosed
}

// surplusIntervals finds the disjoint intervals whose enclosed capacity exceeds what their layers need at a rate by
// the most. It returns the sum of that capacity, in layer steps a second, and the sum of their layers.
func (g *Graph) surplusIntervals(enclosed [][]float64, rate float64) (float64, int) {
	type total struct {
		steps  float64
		layers int
	}
	best := make([]total, len(g.Boundaries))
	surplus := func(s total) float64 { return s.steps - rate*float64(s.layers) }
	for j := 1; j < len(g.Boundaries); j++ {
		best[j] = best[j-1]
		for i := range j {
			s := total{best[i].steps + enclosed[i][j], best[i].layers + g.Boundaries[j] - g.Boundaries[i]}
			if surplus(s) > surplus(best[j]) {
				best[j] = s
			}
		}
	}
	last := best[len(best)-1]
	return last.steps, last.layers
}
