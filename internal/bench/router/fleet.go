package router

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/picker"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

const (
	// model, version and layers describe the model that the fleet serves.
	model   = "joiner"
	version = "1"
	layers  = 48
	// reportInterval is the interval of an engine's load reports, and reportDelay how late they arrive.
	reportInterval = 250 * time.Millisecond
	reportDelay    = 200 * time.Millisecond
	// linkRate, in tokens a second, and linkDelay are those of a healthy link between data centres.
	linkRate  = 9000
	linkDelay = 500 * time.Microsecond
)

// fleet is the engines and the links between data centres.
type fleet struct {
	clock      *clock
	engines    []*engine
	byID       map[string]*engine
	linkQueues map[[2]string]*linkQueue
}

// newFleet returns the fleet that layout describes.
func newFleet(c *clock) *fleet {
	f := &fleet{clock: c, byID: map[string]*engine{}, linkQueues: map[[2]string]*linkQueue{}}
	for _, g := range layout {
		for range g.count {
			f.add(g)
		}
	}
	for _, from := range dataCentres {
		for _, to := range dataCentres {
			if from != to {
				link := planner.Link{From: from, To: to, Rate: linkRate, Delay: linkDelay}
				f.linkQueues[[2]string{from, to}] = &linkQueue{clock: c, link: link}
			}
		}
	}
	return f
}

// add adds an engine of a group.
func (f *fleet) add(g group) {
	e := &engine{clock: f.clock, rate: g.kind.rate, minBatchTime: g.kind.minBatchTime}
	e.endpoint = planner.Endpoint{
		ID: fmt.Sprintf("%s-%s-%d-%d", g.dataCentre, g.kind.name, g.from, len(f.engines)), Kind: g.kind.name,
		DataCentre: g.dataCentre, Rate: g.kind.rate,
		Held: []planner.Held{{Model: model, Version: version, From: g.from, To: g.to}},
	}
	f.engines = append(f.engines, e)
	f.byID[e.endpoint.ID] = e
}

// bound returns the throughput bound of the engines and links at their actual rates, in tokens a second.
func (f *fleet) bound() float64 {
	var endpoints []planner.Endpoint
	for _, e := range f.engines {
		if e.crashed {
			continue
		}
		endpoint := e.endpoint
		endpoint.Rate = e.rate
		endpoints = append(endpoints, endpoint)
	}
	return planner.NewGraph(model, version, layers, endpoints, f.links()).Rate()
}

// links returns the links with their actual rates and delays.
func (f *fleet) links() []planner.Link {
	var links []planner.Link
	for _, from := range dataCentres {
		for _, to := range dataCentres {
			if q := f.linkQueues[[2]string{from, to}]; q != nil {
				links = append(links, q.link)
			}
		}
	}
	return links
}

// slowKind divides the actual rate of a kind of accelerator. Load reports still carry the nominal rate.
func (f *fleet) slowKind(k kind, factor float64) {
	for _, e := range f.engines {
		if e.endpoint.Kind == k.name {
			e.rate /= factor
			e.minBatchTime = time.Duration(float64(e.minBatchTime) * factor)
		}
	}
}

// slowLink divides the capacity of a link and multiplies its delay.
func (f *fleet) slowLink(from, to string, factor float64) {
	q := f.linkQueues[[2]string{from, to}]
	q.link.Rate /= factor
	q.link.Delay = time.Duration(float64(q.link.Delay) * factor)
}

// startReports reports the engines' load to observe: immediately, and then periodically with a delay.
func (f *fleet) startReports(r *rand.Rand, observe func(planner.Endpoint, picker.Report)) {
	for _, e := range f.engines {
		observe(e.endpoint, picker.Report{Rate: e.endpoint.Rate, At: f.clock.now})
		offset := time.Duration(r.Int64N(int64(reportInterval)))
		f.clock.every(offset, reportInterval, func() {
			if e.crashed {
				return
			}
			waiting := len(e.promptJobs)
			report := picker.Report{
				Running: e.requestCount - waiting, Waiting: waiting, Rate: e.endpoint.Rate, At: f.clock.now,
			}
			f.clock.after(reportDelay, func() { observe(e.endpoint, report) })
		})
	}
}

// sendStep calls a function once a step with the size of some tokens has been transferred between two data centres,
// which takes no time within one.
func (f *fleet) sendStep(from, to string, tokens float64, call func()) {
	q := f.linkQueues[[2]string{from, to}]
	if q == nil {
		call()
		return
	}
	q.send(tokens, call)
}

// stream is one answer in progress over a plan.
type stream struct {
	fleet      *fleet
	plan       planner.Plan
	prompt     float64
	priority   int
	tokensLeft int
	inPrompt   bool
	// cancelled reports whether the attempt was cancelled. Its stages in progress are then dropped.
	cancelled bool
	// onToken is called for each token, with the work in tokens that it represents, and onEnd after the last.
	onToken func(work float64)
	onEnd   func()
	// onCrash is called instead of them once an engine of the plan has crashed.
	onCrash func(endpoint string)
}

// start sends the prompt through the stages.
func (s *stream) start() {
	for _, stage := range s.plan.Stages {
		s.fleet.byID[stage.Endpoint].requestCount++
	}
	s.inPrompt = true
	s.runStage(0)
}

// runStage runs one stage, then the next one or, after the last, the next token.
func (s *stream) runStage(index int) {
	if s.cancelled {
		return
	}
	stage := s.plan.Stages[index]
	e := s.fleet.byID[stage.Endpoint]
	tokens := 1.0
	if s.inPrompt {
		tokens += s.prompt * promptCost
	}
	e.add(&job{steps: float64(stage.To-stage.From) * tokens, priority: s.priority, done: func() {
		if e.crashed {
			s.abort(stage.Endpoint)
			return
		}
		if index+1 < len(s.plan.Stages) {
			next := s.fleet.byID[s.plan.Stages[index+1].Endpoint]
			s.fleet.sendStep(e.endpoint.DataCentre, next.endpoint.DataCentre, tokens, func() { s.runStage(index + 1) })
			return
		}
		s.finishToken(e, tokens)
	}}, s.inPrompt)
}

// finishToken delivers a token and begins the next. The token's number, which returns to the first stage, is so small
// that it takes the link's delay and none of its capacity.
func (s *stream) finishToken(last *engine, tokens float64) {
	if s.cancelled {
		return
	}
	s.inPrompt = false
	s.tokensLeft--
	s.onToken(tokens)
	if s.tokensLeft > 0 {
		first := s.fleet.byID[s.plan.Stages[0].Endpoint]
		s.fleet.sendStep(last.endpoint.DataCentre, first.endpoint.DataCentre, 0, func() { s.runStage(0) })
		return
	}
	s.releaseEngines()
	s.onEnd()
}

// abort ends the attempt because an engine has crashed.
func (s *stream) abort(endpoint string) {
	if s.cancelled {
		return
	}
	s.cancel()
	s.onCrash(endpoint)
}

// cancel cancels the attempt.
func (s *stream) cancel() {
	s.cancelled = true
	s.releaseEngines()
}

// releaseEngines removes the stream from the request counts of its engines.
func (s *stream) releaseEngines() {
	for _, stage := range s.plan.Stages {
		s.fleet.byID[stage.Endpoint].requestCount--
	}
}
