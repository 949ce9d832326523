package placer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// StepTime returns the time of one token on a range of layers, on an endpoint where a number of requests are generating
// tokens.
func (e *Engine) StepTime(c Card, layers int, runningRequests float64) time.Duration {
	context := float64(e.UsualPromptTokens+e.UsualAnswerTokens/2) / 1000
	perRequest := float64(e.RequestStepTime) + float64(e.ContextStepTime)*context
	return time.Duration((float64(e.BaseStepTime) + runningRequests*perRequest) * c.StepFactor * float64(layers) / float64(e.Layers))
}

// ReadTime returns the time to read a prompt through a range of layers.
func (e *Engine) ReadTime(c Card, layers, tokens int) time.Duration {
	if e.ReadRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.ReadRate * float64(time.Second) * c.ReadFactor * float64(layers) / float64(e.Layers))
}

// The assumptions behind a capacity.
const (
	// localHopTime is the time per token between two endpoints of a data centre, and remoteHopTime that between two
	// data centres.
	localHopTime  = 200 * time.Microsecond
	remoteHopTime = time.Millisecond
	// fullShare is the share of an endpoint's memory that requests use when the endpoint counts as full.
	fullShare = 0.9
)

// Capacity returns how many usual requests a second a layout serves with its memory full: for each path the requests
// that run on it at once, divided by the time that one takes on it. Paths inside a data centre are filled first, in
// each round the fastest first. It is an upper bound for a choice of paths on the layout, as a request also waits for
// the steps of others.
func Capacity(e *Engine, holders []Holder) float64 {
	if e.Layers <= 0 {
		return 0
	}
	f := newFiller(e, holders)
	rate := 0.0
	for centre := range f.centres {
		rate += f.fill(centre)
	}
	return rate + f.fill(anyCentre)
}

// anyCentre stands for all data centres.
const anyCentre = -1

// filler fills the paths of a layout with requests.
type filler struct {
	holders    []fillHolder
	boundaries []int
	// covering holds, by boundary, the indices of the holders that run the layers from it.
	covering [][]int
	// centres is the number of data centres.
	centres int
	// requestTokens is the number of tokens of a usual request, and localHop and remoteHop the seconds that its hops take.
	requestTokens       float64
	localHop, remoteHop float64
	nodes               []node
}

// fillHolder is a holder with what one request costs on it.
type fillHolder struct {
	centre int
	held   Range
	// free is the memory left, in tokens times layers.
	free float64
	// layerTime is the time in seconds that a usual request spends on one layer while the holder is full.
	layerTime float64
}

// newFiller returns a filler of a layout that runs no request yet.
func newFiller(e *Engine, holders []Holder) *filler {
	f := &filler{requestTokens: math.Max(1, float64(e.UsualPromptTokens+e.UsualAnswerTokens))}
	f.localHop = float64(e.UsualAnswerTokens) * localHopTime.Seconds()
	f.remoteHop = float64(e.UsualAnswerTokens) * remoteHopTime.Seconds()
	boundaries := make([]bool, e.Layers+1)
	boundaries[0], boundaries[e.Layers] = true, true
	centres := map[string]bool{}
	for _, h := range holders {
		centres[h.DataCentre] = true
	}
	names := slices.Sorted(maps.Keys(centres))
	f.centres = len(names)
	for _, h := range holders {
		if h.Held.Empty() || !e.HasLayers(h.Held) {
			continue
		}
		c := e.Cards[h.Card]
		tokens := fullShare * float64(e.TokenCapacity(c, h.Held.Len()))
		time := e.ReadTime(c, e.Layers, e.UsualPromptTokens) + time.Duration(e.UsualAnswerTokens)*e.StepTime(c, e.Layers, tokens/f.requestTokens)
		centre, _ := slices.BinarySearch(names, h.DataCentre)
		f.holders = append(f.holders, fillHolder{centre, h.Held, tokens * float64(h.Held.Len()), time.Seconds() / float64(e.Layers)})
		boundaries[h.Held.From], boundaries[h.Held.To] = true, true
	}
	// Of equally fast holders the first is filled first: the order of the endpoints must not change the result.
	slices.SortFunc(f.holders, func(a, b fillHolder) int {
		return cmp.Or(cmp.Compare(a.held.From, b.held.From), cmp.Compare(a.held.To, b.held.To), cmp.Compare(a.centre, b.centre),
			cmp.Compare(a.layerTime, b.layerTime), cmp.Compare(a.free, b.free))
	})
	for l, isBoundary := range boundaries {
		if isBoundary {
			f.boundaries = append(f.boundaries, l)
		}
	}
	f.nodes = make([]node, len(f.boundaries))
	f.covering = make([][]int, len(f.boundaries))
	for i, from := range f.boundaries {
		for n, h := range f.holders {
			if h.held.From <= from && from < h.held.To {
				f.covering[i] = append(f.covering[i], n)
			}
		}
	}
	return f
}

// node is the end of the fastest path found to a layer boundary. cost is in seconds, holder is the index of the path's
// last holder, layers the number of layers that it runs there, and previous the boundary at which that begins.
type node struct {
	cost      float64
	holder    int
	layers    int
	previous  int
	reachable bool
}

// fill fills the paths over the holders of a data centre or of all, the fastest first, and returns the requests a second
// that they serve.
func (f *filler) fill(centre int) float64 {
	rate := 0.0
	last := len(f.boundaries) - 1
	for f.findPaths(centre) {
		memory := math.Inf(1)
		for i := last; i > 0; i = f.nodes[i].previous {
			memory = math.Min(memory, f.holders[f.nodes[i].holder].free/float64(f.nodes[i].layers))
		}
		for i := last; i > 0; i = f.nodes[i].previous {
			f.holders[f.nodes[i].holder].free -= memory * float64(f.nodes[i].layers)
		}
		rate += memory / f.requestTokens / f.nodes[last].cost
	}
	return rate
}

// findPaths finds the fastest paths to all boundaries over the holders of a data centre with memory left for a request,
// and reports whether one leads through all layers.
func (f *filler) findPaths(centre int) bool {
	last := len(f.boundaries) - 1
	clear(f.nodes)
	f.nodes[0].reachable = true
	for i, from := range f.boundaries[:last] {
		start := f.nodes[i]
		if !start.reachable {
			continue
		}
		for _, n := range f.covering[i] {
			h := &f.holders[n]
			if centre != anyCentre && h.centre != centre {
				continue
			}
			cost := start.cost + f.localHop
			if start.layers > 0 && f.holders[start.holder].centre != h.centre {
				cost = start.cost + f.remoteHop
			}
			for j := i + 1; j <= last && f.boundaries[j] <= h.held.To; j++ {
				layers := f.boundaries[j] - from
				if h.free < f.requestTokens*float64(layers) {
					break
				}
				if end := cost + h.layerTime*float64(layers); !f.nodes[j].reachable || end < f.nodes[j].cost {
					f.nodes[j] = node{end, n, layers, i, true}
				}
			}
		}
	}
	return f.nodes[last].reachable
}
