package planner

import (
	"fmt"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

// holder returns an endpoint that holds one range of the tests' model.
func holder(id, centre string, from, to int, rate float64) Endpoint {
	return Endpoint{ID: id, DataCentre: centre, Rate: rate, Held: []Held{{Model: "m", Version: "1", From: from, To: to}}}
}

func TestBound(t *testing.T) {
	cases := []struct {
		name      string
		endpoints []Endpoint
		links     []Link
		want      float64
		limits    []string
		lacking   []Held
	}{
		{"no endpoint", nil, nil, 0, nil, []Held{{From: 0, To: 40}}},
		{"a gap", []Endpoint{holder("a", "x", 0, 10, 100), holder("b", "x", 20, 40, 100)}, nil, 0, nil,
			[]Held{{From: 10, To: 20}}},
		{"a chain is as fast as its slowest stage",
			[]Endpoint{holder("a", "x", 0, 10, 1000), holder("b", "x", 10, 40, 1500)}, nil,
			50, []string{"layers 10-40 in x"}, nil},
		{"ranges cut at different layers share the work",
			[]Endpoint{holder("a", "x", 0, 40, 4000), holder("b", "x", 0, 10, 500), holder("c", "x", 10, 40, 3000)}, nil,
			187.5, []string{"layers 0-10 in x", "layers 0-40 in x", "layers 10-40 in x"}, nil},
		{"an endpoint's capacity counts once over its parts",
			[]Endpoint{holder("a", "x", 0, 40, 4000), holder("b", "x", 0, 20, 2000)}, nil,
			150, []string{"layers 0-20 in x", "layers 0-40 in x"}, nil},
		{"overlapping ranges meet inside",
			[]Endpoint{holder("a", "x", 0, 30, 3000), holder("b", "x", 20, 40, 1000)}, nil,
			100, []string{"layers 0-30 in x", "layers 20-40 in x"}, nil},
		{"a link limits",
			[]Endpoint{holder("a", "x", 0, 20, 2000), holder("b", "y", 20, 40, 2000)},
			[]Link{{From: "x", To: "y", Rate: 30}}, 30, []string{"link x to y"}, nil},
		{"a slow link is bypassed",
			[]Endpoint{holder("a", "x", 0, 20, 2000), holder("b", "y", 20, 40, 2000), holder("c", "x", 20, 40, 1000)},
			[]Link{{From: "x", To: "y", Rate: 30}}, 80, []string{"layers 20-40 in x", "link x to y"}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := NewGraph("m", "1", 40, c.endpoints, c.links).Bound()
			var limits []string
			for _, l := range b.Limits {
				limits = append(limits, l.Name)
			}
			if diff := cmp.Diff(c.want, b.Rate, cmpopts.EquateApprox(1e-6, 0)); diff != "" {
				t.Errorf("Rate mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.limits, limits, cmpopts.SortSlices(func(a, b string) bool { return a < b })); diff != "" {
				t.Errorf("Limits mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.lacking, b.Lacking); diff != "" {
				t.Errorf("Lacking mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSpread draws graphs. It checks that a spread runs every layer for the whole demand, and that with the bound as
// demand no class or link is used far beyond its capacity.
func TestSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boundaries := []int{0, 10, 20, 30, 40}
		var endpoints []Endpoint
		for i := range rapid.IntRange(1, 12).Draw(t, "endpoints") {
			from := rapid.IntRange(0, 3).Draw(t, "from")
			to := rapid.IntRange(from+1, 4).Draw(t, "to")
			centre := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "centre")
			rate := rapid.Float64Range(500, 4000).Draw(t, "rate")
			endpoints = append(endpoints, holder(fmt.Sprint(i), centre, boundaries[from], boundaries[to], rate))
		}
		g := NewGraph("m", "1", 40, endpoints, nil)
		demand := g.Rate()
		if (demand > 0) != (len(g.Lacking()) == 0) {
			t.Fatalf("Rate() = %v with lacking %v", demand, g.Lacking())
		}
		s := g.Spread(demand)
		steps := 0.0
		for a, flow := range s.Flows {
			steps += flow * float64(g.Width(a))
		}
		if want := demand * 40; math.Abs(steps-want) > 1e-6*max(1, want) {
			t.Errorf("spread runs %v layer steps a second, want %v", steps, want)
		}
		if s.PeakUse > 1.1 {
			t.Errorf("Peak = %v, want at most a tenth over the capacity", s.PeakUse)
		}
	})
}

func TestCovers(t *testing.T) {
	cases := []struct {
		name   string
		stages []Stage
		want   bool
	}{
		{"none", nil, false},
		{"whole", []Stage{{From: 0, To: 40}}, true},
		{"in order", []Stage{{From: 0, To: 10}, {From: 10, To: 40}}, true},
		{"gap", []Stage{{From: 0, To: 10}, {From: 11, To: 40}}, false},
		{"overlap", []Stage{{From: 0, To: 10}, {From: 9, To: 40}}, false},
		{"out of order", []Stage{{From: 10, To: 40}, {From: 0, To: 10}}, false},
		{"short", []Stage{{From: 0, To: 39}}, false},
		{"empty stage", []Stage{{From: 0, To: 40}, {From: 40, To: 40}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, Covers(c.stages, 40)); diff != "" {
				t.Errorf("Covers mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// canPlace reports whether the classes can run the layer steps of every segment at a rate in tokens a second.
func (g *Graph) canPlace(rate float64) bool {
	net := flowNetwork{}
	segments := len(g.Boundaries) - 1
	for segment := range segments {
		width := float64(g.Boundaries[segment+1] - g.Boundaries[segment])
		net.add(source, int64(firstNode+segment), rate*width)
	}
	for i, c := range g.Classes {
		node := int64(firstNode + segments + i)
		net.add(node, sink, c.Rate)
		for segment := range segments {
			if c.From <= g.Boundaries[segment] && g.Boundaries[segment+1] <= c.To {
				net.add(int64(firstNode+segment), node, math.Inf(1))
			}
		}
	}
	return net.max() >= rate*float64(g.Layers)-flowResolution*float64(len(net))
}

// TestPlace checks the rate of a placement against the maximum flow: the steps can be placed at that rate, and not
// above it.
func TestPlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boundaries := []int{0, 7, 12, 20, 31, 40}
		var endpoints []Endpoint
		for i := range rapid.IntRange(1, 10).Draw(t, "endpoints") {
			from := rapid.IntRange(0, 4).Draw(t, "from")
			to := rapid.IntRange(from+1, 5).Draw(t, "to")
			rate := float64(rapid.IntRange(500, 4000).Draw(t, "rate"))
			endpoints = append(endpoints, holder(fmt.Sprint(i), "x", boundaries[from], boundaries[to], rate))
		}
		g := NewGraph("m", "1", 40, endpoints, nil)
		if !g.Covered() {
			return
		}
		rate := g.placeableRate(1e6)
		if !g.canPlace(rate * 0.999) {
			t.Errorf("the steps of %v tokens a second cannot be placed", rate)
		}
		if g.canPlace(rate * 1.001) {
			t.Errorf("the steps of more than %v tokens a second can be placed", rate)
		}
	})
}
