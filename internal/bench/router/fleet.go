package router

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/picker"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

const (
	// model, version and layers are what the fleet serves.
	model   = "joiner"
	version = "1"
	layers  = 48
	// reportEvery and reportLag are the interval of an engine's load reports and how late they arrive.
	reportEvery = 250 * time.Millisecond
	reportLag   = 200 * time.Millisecond
	// linkRate and linkDelay are those of a healthy link between data centres, in tokens a second.
	linkRate  = 9000
	linkDelay = 500 * time.Microsecond
)

// fleet is the engines and the links.
type fleet struct {
	clock   *clock
	engines []*engine
	byID    map[string]*engine
	wires   map[[2]string]*wire
}

// newFleet returns the fleet of the layout.
func newFleet(c *clock) *fleet {
	f := &fleet{clock: c, byID: map[string]*engine{}, wires: map[[2]string]*wire{}}
	for _, g := range layout {
		for range g.count {
			f.add(g)
		}
	}
	for _, from := range centres {
		for _, to := range centres {
			if from != to {
				link := planner.Link{From: from, To: to, Rate: linkRate, Delay: linkDelay}
				f.wires[[2]string{from, to}] = &wire{clock: c, link: link}
			}
		}
	}
	return f
}

// add adds an engine of a group.
func (f *fleet) add(g group) {
	e := &engine{clock: f.clock, rate: g.kind.rate, floor: g.kind.floor}
	e.endpoint = planner.Endpoint{
		ID: fmt.Sprintf("%s-%s-%d-%d", g.centre, g.kind.name, g.from, len(f.engines)), Kind: g.kind.name,
		DataCentre: g.centre, Rate: g.kind.rate,
		Held: []planner.Held{{Model: model, Version: version, From: g.from, To: g.to}},
	}
	f.engines = append(f.engines, e)
	f.byID[e.endpoint.ID] = e
}

// bound returns the bound of the engines and links as they truly are, in tokens a second.
func (f *fleet) bound() float64 {
	var endpoints []planner.Endpoint
	for _, e := range f.engines {
		if e.lost {
			continue
		}
		endpoint := e.endpoint
		endpoint.Rate = e.rate
		endpoints = append(endpoints, endpoint)
	}
	return planner.NewGraph(model, version, layers, endpoints, f.links()).Rate()
}

// links returns the links as they truly are.
func (f *fleet) links() []planner.Link {
	var links []planner.Link
	for _, from := range centres {
		for _, to := range centres {
			if w := f.wires[[2]string{from, to}]; w != nil {
				links = append(links, w.link)
			}
		}
	}
	return links
}

// slow divides the true rate of a kind of accelerator. Reports still tell the nominal rate.
func (f *fleet) slow(k kind, times float64) {
	for _, e := range f.engines {
		if e.endpoint.Kind == k.name {
			e.rate /= times
			e.floor = time.Duration(float64(e.floor) * times)
		}
	}
}

// slowLink divides the capacity of a link and multiplies its delay.
func (f *fleet) slowLink(from, to string, times float64) {
	w := f.wires[[2]string{from, to}]
	w.link.Rate /= times
	w.link.Delay = time.Duration(float64(w.link.Delay) * times)
}

// report sends the engines' load to a function, late.
func (f *fleet) report(r *rand.Rand, observe func(planner.Endpoint, picker.Report)) {
	for _, e := range f.engines {
		observe(e.endpoint, picker.Report{Rate: e.endpoint.Rate, At: f.clock.now})
		offset := time.Duration(r.Int64N(int64(reportEvery)))
		f.clock.every(offset, reportEvery, func() {
			if e.lost {
				return
			}
			waiting := len(e.prompts)
			report := picker.Report{
				Running: e.running - waiting, Waiting: waiting, Rate: e.endpoint.Rate, At: f.clock.now,
			}
			f.clock.after(reportLag, func() { observe(e.endpoint, report) })
		})
	}
}

// cross calls a function when a step of so many tokens' size has gone from one data centre to another.
func (f *fleet) cross(from, to string, tokens float64, call func()) {
	w := f.wires[[2]string{from, to}]
	if w == nil {
		call()
		return
	}
	w.send(tokens, call)
}

// stream is one answer under way.
type stream struct {
	fleet    *fleet
	plan     planner.Plan
	prompt   float64
	priority int
	left     int
	first    bool
	// cancelled is set once the attempt is given up: what is still under way is dropped.
	cancelled bool
	// token is called at each token, with the work in tokens that it stands for, and end after the last.
	token func(work float64)
	end   func()
	// failed is called in place of them once an engine of the plan has crashed.
	failed func(endpoint string)
}

// begin sends the prompt through the stages.
func (s *stream) begin() {
	for _, stage := range s.plan.Stages {
		s.fleet.byID[stage.Endpoint].running++
	}
	s.first = true
	s.step(0)
}

// step runs one stage, then the next, then the next token.
func (s *stream) step(at int) {
	if s.cancelled {
		return
	}
	stage := s.plan.Stages[at]
	e := s.fleet.byID[stage.Endpoint]
	tokens := 1.0
	if s.first {
		tokens += s.prompt * promptCost
	}
	e.add(&job{steps: float64(stage.To-stage.From) * tokens, priority: s.priority, done: func() {
		if e.lost {
			s.fail(stage.Endpoint)
			return
		}
		if at+1 < len(s.plan.Stages) {
			next := s.fleet.byID[s.plan.Stages[at+1].Endpoint]
			s.fleet.cross(e.endpoint.DataCentre, next.endpoint.DataCentre, tokens, func() { s.step(at + 1) })
			return
		}
		s.finish(e, tokens)
	}}, s.first)
}

// finish delivers a token and begins the next. The next token's number goes back to the first stage: it is small, so
// it takes the link's delay and none of its capacity.
func (s *stream) finish(last *engine, tokens float64) {
	if s.cancelled {
		return
	}
	s.first = false
	s.left--
	s.token(tokens)
	if s.left > 0 {
		first := s.fleet.byID[s.plan.Stages[0].Endpoint]
		s.fleet.cross(last.endpoint.DataCentre, first.endpoint.DataCentre, 0, func() { s.step(0) })
		return
	}
	s.leave()
	s.end()
}

// fail ends the attempt as an engine has crashed.
func (s *stream) fail(endpoint string) {
	if s.cancelled {
		return
	}
	s.cancel()
	s.failed(endpoint)
}

// cancel gives the attempt up.
func (s *stream) cancel() {
	s.cancelled = true
	s.leave()
}

// leave takes the stream off its engines.
func (s *stream) leave() {
	for _, stage := range s.plan.Stages {
		s.fleet.byID[stage.Endpoint].running--
	}
}
