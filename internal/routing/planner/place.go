package planner

import "slices"

const (
	// placeRounds bounds the rounds of Dinkelbach's method.
	placeRounds = 64
	// placeError is the relative error of a placement's rate.
	placeError = 1e-12
)

// place returns the highest rate, up to a limit, at which the layer steps of each part of the model between two
// boundaries can be shared out to the classes that hold it.
//
// By Hall's theorem that is the least quotient, over sets of parts, of the rate of the classes that hold one of them and
// the layers in the set. A class holds neighbouring parts, so the classes that hold none of a set lie each within one
// interval of its complement, and the best set for a given rate is found interval by interval. Dinkelbach's method (On
// Nonlinear Fractional Programming, 1967) leads from there to the least quotient.
func (g *Graph) place(limit float64) float64 {
	inside := g.inside()
	total := 0.0
	for _, c := range g.Classes {
		total += c.Rate
	}
	rate := limit
	for range placeRounds {
		steps, layers := g.outside(inside, rate)
		left := float64(g.Layers - layers)
		if left <= 0 || (total-steps) >= rate*left*(1-placeError) {
			return rate
		}
		rate = (total - steps) / left
	}
	return rate
}

// inside returns, for each pair of boundaries, the rate of the classes whose range lies between them.
func (g *Graph) inside() [][]float64 {
	inside := make([][]float64, len(g.Boundaries))
	for i := range inside {
		inside[i] = make([]float64, len(g.Boundaries))
	}
	for _, c := range g.Classes {
		first, _ := slices.BinarySearch(g.Boundaries, c.From)
		last, _ := slices.BinarySearch(g.Boundaries, c.To)
		for i := 0; i <= first; i++ {
			for j := last; j < len(g.Boundaries); j++ {
				inside[i][j] += c.Rate
			}
		}
	}
	return inside
}

// outside returns the disjoint intervals that have the most capacity inside beyond what their layers need at a rate: the
// sum of that capacity in layer steps a second, and of their layers.
func (g *Graph) outside(inside [][]float64, rate float64) (float64, int) {
	type sum struct {
		steps  float64
		layers int
	}
	best := make([]sum, len(g.Boundaries))
	gain := func(s sum) float64 { return s.steps - rate*float64(s.layers) }
	for j := 1; j < len(g.Boundaries); j++ {
		best[j] = best[j-1]
		for i := range j {
			s := sum{best[i].steps + inside[i][j], best[i].layers + g.Boundaries[j] - g.Boundaries[i]}
			if gain(s) > gain(best[j]) {
				best[j] = s
			}
		}
	}
	last := best[len(best)-1]
	return last.steps, last.layers
}
