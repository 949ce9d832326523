package director

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/routing/placer"
	"github.com/heatherrock/heatherrock/internal/serving/exchanger"
)

// simulatedEndpoint is an endpoint that finishes its requests and loads before it holds what it was ordered to.
type simulatedEndpoint struct {
	Endpoint
	ordered placer.Range
	doneAt  time.Time
	begun   int64
}

// simulation is a fleet on a clock of its own. It is the Orderer of its directors.
type simulation struct {
	t         *testing.T
	now       time.Time
	engine    *placer.Engine
	endpoints []*simulatedEndpoint
	director  *Director
	// orders counts the orders begun, and unanswered is the number of next orders that are carried out without an answer.
	orders     int
	unanswered int
	// covered is true once all layers are held; from then on a layer without a holder is an error.
	covered bool
}

// newSimulation returns 44 empty endpoints of three kinds in two data centres, after a director has placed their layers.
func newSimulation(t *testing.T) *simulation {
	t.Helper()
	s := &simulation{t: t, now: time.Unix(1000, 0), engine: &placer.Engine{
		Layers: 80, LayerMB: 1750, TokenMB: 0.492, MaxTokens: 100000, BaseStepTime: 1020 * time.Microsecond,
		RequestStepTime: 4 * time.Microsecond, ContextStepTime: 5 * time.Microsecond, ReadRate: 196000, LoadTime: 14 * time.Second, MaxParallelLoads: 5,
		UsualPromptTokens: 800, UsualAnswerTokens: 220, Cards: map[string]placer.Card{
			"large":  {Name: "large", MemoryMB: 72000, StepFactor: 2.4, ReadFactor: 3.2},
			"middle": {Name: "middle", MemoryMB: 43000, StepFactor: 5.6, ReadFactor: 2.7},
			"small":  {Name: "small", MemoryMB: 22000, StepFactor: 16, ReadFactor: 8.2},
		},
	}}
	for i := range 44 {
		card := "small"
		if i < 14 {
			card = "middle"
		}
		if i < 4 {
			card = "large"
		}
		s.endpoints = append(s.endpoints, &simulatedEndpoint{Endpoint: Endpoint{
			Holder: placer.Holder{ID: fmt.Sprint("e", i), DataCentre: fmt.Sprint(i % 2), Card: card}, Born: 1,
		}})
	}
	s.startDirector()
	s.run(20 * time.Second)
	if s.orders != len(s.endpoints) || !s.covered {
		t.Fatalf("%d orders for %d endpoints, covered %v", s.orders, len(s.endpoints), s.covered)
	}
	return s
}

// startDirector replaces the director by one of another instance, which knows nothing of the earlier orders.
func (s *simulation) startDirector() {
	x := exchanger.New(gossiper.Peer{ID: "a", DataCentre: "a"})
	s.director = New("a", "s", nil, x, s, slog.New(slog.DiscardHandler), func() time.Time { return s.now })
}

// Place carries out an order.
func (s *simulation) Place(_ context.Context, o Order) error {
	s.director.mu.Lock()
	defer s.director.mu.Unlock()
	i := slices.IndexFunc(s.endpoints, func(e *simulatedEndpoint) bool { return e.ID == o.Endpoint })
	if i < 0 {
		return context.DeadlineExceeded
	}
	e := s.endpoints[i]
	if o.Sequence != e.begun {
		return ErrStale
	}
	s.orders++
	e.begun++
	e.doneAt = s.now.Add(time.Duration(s.engine.LayerShare(o.Range) * float64(s.engine.LoadTime)))
	if !e.Held.Empty() {
		e.doneAt = e.doneAt.Add(3 * time.Second)
	}
	e.Held, e.ordered = placer.Range{}, o.Range
	if s.unanswered > 0 {
		s.unanswered--
		return context.DeadlineExceeded
	}
	return nil
}

// Report returns an endpoint's state.
func (s *simulation) Report(_ context.Context, id, _ string) (Report, error) {
	for _, e := range s.endpoints {
		if e.ID == id {
			return Report{Held: e.Held, Sequence: e.begun, Busy: s.now.Before(e.doneAt)}, nil
		}
	}
	return Report{}, context.DeadlineExceeded
}

// holders returns what the endpoints hold.
func (s *simulation) holders() []placer.Holder {
	var out []placer.Holder
	for _, e := range s.endpoints {
		out = append(out, e.Holder)
	}
	return out
}

// capacity returns the capacity of what the endpoints hold.
func (s *simulation) capacity() float64 { return placer.Capacity(s.engine, s.holders()) }

// run plays the checks of the director for a time, or until a condition holds.
func (s *simulation) run(d time.Duration, until ...func() bool) {
	s.t.Helper()
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(checkInterval) {
		m := Model{Engine: s.engine}
		for _, e := range s.endpoints {
			if e.Held.Empty() && !e.ordered.Empty() && !s.now.Before(e.doneAt) {
				e.Held = e.ordered
			}
			m.Endpoints = append(m.Endpoints, e.Endpoint)
		}
		switch n := placer.MinHolders(s.engine, s.holders()); {
		case n > 0:
			s.covered = true
		case s.covered:
			s.t.Fatalf("a layer without a holder that serves, %v before the end", end.Sub(s.now))
		}
		s.director.UpdateModel(s.now, m)
		s.director.placeLayers()
		for _, condition := range until {
			if condition() {
				return
			}
		}
	}
}

// lose removes a number of random endpoints, but none whose layers nobody else holds.
func (s *simulation) lose(n int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	for range n {
		for {
			i := random.IntN(len(s.endpoints))
			left := slices.Delete(slices.Clone(s.endpoints), i, i+1)
			before := s.endpoints
			if s.endpoints = left; placer.MinHolders(s.engine, s.holders()) > 0 {
				break
			}
			s.endpoints = before
		}
	}
}

// TestCompleteLayoutIsLeft guards against moves that nothing calls for.
func TestCompleteLayoutIsLeft(t *testing.T) {
	t.Parallel()
	s := newSimulation(t)
	s.run(2 * time.Minute)
	if s.orders != len(s.endpoints) {
		t.Errorf("%d orders for %d endpoints", s.orders, len(s.endpoints))
	}
}

// TestMovesOnlyInShortage guards against loads while nothing is scarce: after losses with little demand no endpoint is moved, and
// endpoints are moved once the demand rises.
func TestMovesOnlyInShortage(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		share   float64
		waiting int
		moves   bool
	}{{0.3, 0, false}, {0.6, 0, true}, {0.3, 1, true}} {
		s := newSimulation(t)
		s.director.RecordDemand(s.now, 0.3, 0)
		s.lose(11, 3)
		if placer.MinHolders(s.engine, s.holders()) < placer.MinServing {
			t.Fatal("the draw leaves a layer with one holder")
		}
		s.run(20 * time.Second)
		if s.orders != 44 {
			t.Errorf("%d orders with little demand", s.orders-44)
		}
		s.director.RecordDemand(s.now, c.share, c.waiting)
		s.run(20 * time.Second)
		if (s.orders > 44) != c.moves {
			t.Errorf("share %.1f, %d waiting: %d orders, want some: %v", c.share, c.waiting, s.orders-44, c.moves)
		}
	}
}

// TestPlanAfterLosses removes a quarter of the endpoints. The plan is carried out with a layer never left without a holder, which run
// checks, and in each of these cases: without more, with a successor that takes the duty after the first orders, with an endpoint that
// crashes while it loads, and with orders that are carried out without an answer.
func TestPlanAfterLosses(t *testing.T) {
	t.Parallel()
	crash := func(s *simulation) {
		s.endpoints = slices.DeleteFunc(s.endpoints, func(e *simulatedEndpoint) bool { return e.ID == s.loadingEndpoint() })
	}
	for name, disturb := range map[string]func(s *simulation){
		"undisturbed": nil, "duty moves": (*simulation).startDirector, "endpoint crashes": crash,
	} {
		for _, unanswered := range []int{0, 2} {
			t.Run(fmt.Sprint(name, ", ", unanswered, " unanswered"), func(t *testing.T) {
				t.Parallel()
				draws := 6
				if disturb == nil {
					draws = 20
				}
				var before, after float64
				orders := 0
				for seed := range uint64(draws) {
					s := newSimulation(t)
					s.lose(11, seed)
					lost, ordered := s.capacity(), s.orders
					s.unanswered = unanswered
					if disturb != nil {
						s.run(30*time.Second, func() bool { return s.orders > ordered })
						disturb(s)
					}
					s.run(time.Minute)
					if s.orders-ordered > 20 {
						t.Errorf("draw %d: %d orders", seed, s.orders-ordered)
					}
					calm := s.orders
					s.run(time.Minute)
					if s.orders != calm {
						t.Errorf("draw %d: %d orders after the plan", seed, s.orders-calm)
					}
					before, after, orders = before+lost/float64(draws), after+s.capacity()/float64(draws), orders+s.orders-ordered
				}
				t.Logf("capacity %.1f, then %.1f after %d orders in %d draws", before, after, orders, draws)
				if after < 1.05*before {
					t.Errorf("capacity %.1f, then %.1f", before, after)
				}
			})
		}
	}
}

// loadingEndpoint returns the id of an endpoint that loads, or an empty string.
func (s *simulation) loadingEndpoint() string {
	for _, e := range s.endpoints {
		if e.Held.Empty() && !e.ordered.Empty() {
			return e.ID
		}
	}
	return ""
}
