package placer

import (
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
	f := newFiller(e, holders)
	centres := map[string]bool{}
	for _, h := range holders {
		centres[h.DataCentre] = true
	}
	names := make([]string, 0, len(centres))
	for name := range centres {
		names = append(names, name)
	}
	slices.Sort(names)
	rate := 0.0
	for _, name := range names {
		rate += f.fill(func(h Holder) bool { return h.DataCentre == name })
	}
	return rate + f.fill(func(Holder) bool { return true })
}

// filler fills the paths of a layout with requests.
type filler struct {
	engine  *Engine
	holders []Holder
	// free is the memory left at each holder, in tokens times layers.
	free       []float64
	boundaries []int
	// requestTokens is the number of tokens of a usual request.
	requestTokens float64
}

// newFiller returns a filler of a layout that runs no request yet.
func newFiller(e *Engine, holders []Holder) *filler {
	f := &filler{engine: e, requestTokens: math.Max(1, float64(e.UsualPromptTokens+e.UsualAnswerTokens))}
	boundaries := map[int]bool{0: true, e.Layers: true}
	for _, h := range holders {
		if h.Held.Empty() || !e.HasLayers(h.Held) {
			continue
		}
		f.holders = append(f.holders, h)
		f.free = append(f.free, fullShare*float64(e.TokenCapacity(e.Cards[h.Card], h.Held.Len())*h.Held.Len()))
		boundaries[h.Held.From], boundaries[h.Held.To] = true, true
	}
	for boundary := range boundaries {
		f.boundaries = append(f.boundaries, boundary)
	}
	slices.Sort(f.boundaries)
	return f
}

// node is the end of the fastest path found to a layer boundary. holder is the index of the path's last holder,
// layers the number of layers that it runs there, and previous the boundary at which that begins.
type node struct {
	cost      time.Duration
	holder    int
	layers    int
	previous  int
	reachable bool
}

// fill fills the paths over the holders that match, the fastest first, and returns the requests a second that they
// serve.
func (f *filler) fill(match func(Holder) bool) float64 {
	rate := 0.0
	for {
		nodes := f.fastestPaths(match)
		last := len(f.boundaries) - 1
		if !nodes[last].reachable {
			return rate
		}
		memory := math.Inf(1)
		for i := last; i > 0; i = nodes[i].previous {
			memory = math.Min(memory, f.free[nodes[i].holder]/float64(nodes[i].layers))
		}
		for i := last; i > 0; i = nodes[i].previous {
			f.free[nodes[i].holder] -= memory * float64(nodes[i].layers)
		}
		rate += memory / f.requestTokens / nodes[last].cost.Seconds()
	}
}

// fastestPaths returns the fastest paths to all boundaries over matching holders with memory left for a request.
func (f *filler) fastestPaths(match func(Holder) bool) []node {
	nodes := make([]node, len(f.boundaries))
	nodes[0].reachable = true
	for i := range f.boundaries[:len(f.boundaries)-1] {
		if !nodes[i].reachable {
			continue
		}
		for n, h := range f.holders {
			if !match(h) || h.Held.From > f.boundaries[i] || h.Held.To <= f.boundaries[i] {
				continue
			}
			for j := i + 1; j < len(f.boundaries) && f.boundaries[j] <= h.Held.To; j++ {
				layers := f.boundaries[j] - f.boundaries[i]
				if f.free[n] < f.requestTokens*float64(layers) {
					continue
				}
				cost := nodes[i].cost + f.requestTime(nodes[i], h, layers)
				if !nodes[j].reachable || cost < nodes[j].cost {
					nodes[j] = node{cost, n, layers, i, true}
				}
			}
		}
	}
	return nodes
}

// requestTime returns the time that a usual request spends on some layers of a holder that is full, with the hop to
// it.
func (f *filler) requestTime(previous node, h Holder, layers int) time.Duration {
	e := f.engine
	c := e.Cards[h.Card]
	runningRequests := fullShare * float64(e.TokenCapacity(c, h.Held.Len())) / f.requestTokens
	hop := localHopTime
	if previous.layers > 0 && f.holders[previous.holder].DataCentre != h.DataCentre {
		hop = remoteHopTime
	}
	return e.ReadTime(c, layers, e.UsualPromptTokens) + time.Duration(e.UsualAnswerTokens)*(e.StepTime(c, layers, runningRequests)+hop)
}
