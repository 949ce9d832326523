package director

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/control/replicator"
	"github.com/heatherrock/heatherrock/internal/routing/placer"
	"github.com/heatherrock/heatherrock/internal/serving/exchanger"
	"github.com/heatherrock/heatherrock/internal/serving/syncer"
)

// memory is a store with one table.
type memory struct {
	mu      sync.Mutex
	rows    map[string]replicator.Row
	version int64
}

// Rows returns the table.
func (m *memory) Rows(context.Context, string) (replicator.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := replicator.Page{Version: m.version}
	for _, r := range m.rows {
		p.Rows = append(p.Rows, r)
	}
	return p, nil
}

// Changes returns nothing: the director does not follow the table.
func (m *memory) Changes(context.Context, string, int64, time.Duration) (replicator.Page, error) {
	return replicator.Page{}, nil
}

// Commit applies a change under its condition.
func (m *memory) Commit(_ context.Context, c syncer.Change) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, i := range c.If {
		if m.rows[i.Key].Version != i.Version {
			return 0, syncer.ErrConflict
		}
	}
	m.version++
	for _, r := range c.Set {
		r.Version = m.version
		m.rows[r.Key] = r
	}
	return m.version, nil
}

// engines are endpoints that take orders.
type engines struct {
	mu     sync.Mutex
	held   map[string]placer.Range
	orders map[string]int64
	token  map[string]int64
	// given counts the orders that came, and silent holds endpoints that answer none.
	given  int
	silent map[string]bool
}

// newEngines returns endpoints that hold nothing.
func newEngines() *engines {
	return &engines{held: map[string]placer.Range{}, orders: map[string]int64{}, token: map[string]int64{}, silent: map[string]bool{}}
}

// Place carries an order out.
func (e *engines) Place(_ context.Context, o Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.given++
	switch {
	case e.silent[o.Endpoint]:
		return context.DeadlineExceeded
	case o.Token < e.token[o.Endpoint]:
		return ErrFenced
	case o.Sequence != e.orders[o.Endpoint]:
		return ErrStale
	}
	e.held[o.Endpoint], e.token[o.Endpoint] = o.Range, o.Token
	e.orders[o.Endpoint]++
	return nil
}

// Report returns an endpoint's state.
func (e *engines) Report(_ context.Context, id, _ string) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Report{Held: e.held[id], Sequence: e.orders[id]}, nil
}

// model returns a model whose six endpoints each hold a third of its layers.
func (e *engines) model() Model {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := Model{Engine: &placer.Engine{
		Layers: 9, LayerMB: 1000, TokenMB: 0.9, MaxTokens: 10000, BaseStepTime: time.Millisecond, ReadRate: 1e5, LoadTime: time.Second, MaxParallelLoads: 5,
		UsualPromptTokens: 100, UsualAnswerTokens: 100, Cards: map[string]placer.Card{"c": {Name: "c", MemoryMB: 6000, StepFactor: 1, ReadFactor: 1}},
	}}
	for i := range 6 {
		id := fmt.Sprint("e", i)
		m.Endpoints = append(m.Endpoints, Endpoint{Holder: placer.Holder{ID: id, DataCentre: "a", Card: "c", Held: e.held[id]}, Born: 1})
	}
	return m
}

// covered reports whether each endpoint holds something and each layer is held twice.
func (e *engines) covered() bool {
	m := e.model()
	var holders []placer.Holder
	for _, p := range m.Endpoints {
		holders = append(holders, p.Holder)
	}
	return placer.MinHolders(m.Engine, holders) == 2
}

// newDirector returns a director that is told of the endpoints.
func newDirector(t *testing.T, id string, store syncer.Store, e *engines) *Director {
	t.Helper()
	x := exchanger.New(gossiper.Peer{ID: id, DataCentre: "a"})
	d := New(id, "s", store, x, e, slog.New(slog.DiscardHandler), time.Now)
	d.Update(time.Now(), e.model())
	d.Start()
	t.Cleanup(d.Close)
	return d
}

// until waits for a condition while the director is told of the endpoints.
func until(t *testing.T, d *Director, e *engines, what string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !met(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not %s within 20 s; %v", what, e.held)
		}
		d.Update(time.Now(), e.model())
	}
}

func TestPlacesEmptyEndpoints(t *testing.T) {
	t.Parallel()
	e := newEngines()
	d := newDirector(t, "a", &memory{rows: map[string]replicator.Row{}}, e)
	until(t, d, e, "covered", e.covered)
	time.Sleep(3 * interval)
	if e.given != 6 {
		t.Errorf("%d orders for 6 endpoints", e.given)
	}
}

func TestEndpointThatDoesNotAnswerIsToldAgain(t *testing.T) {
	t.Parallel()
	e := newEngines()
	e.silent["e0"] = true
	d := newDirector(t, "a", &memory{rows: map[string]replicator.Row{}}, e)
	until(t, d, e, "told", func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.given >= 6 })
	e.mu.Lock()
	delete(e.silent, "e0")
	e.mu.Unlock()
	until(t, d, e, "covered", e.covered)
}

// TestOrdersCarriedOutMeanwhile lets an endpoint have begun orders of which the director does not know: its state is asked,
// and the next order fits.
func TestOrdersCarriedOutMeanwhile(t *testing.T) {
	t.Parallel()
	e := newEngines()
	e.orders["e3"] = 4
	d := newDirector(t, "a", &memory{rows: map[string]replicator.Row{}}, e)
	until(t, d, e, "covered", e.covered)
	if e.given > 8 {
		t.Errorf("%d orders for 6 endpoints, one of which refused one", e.given)
	}
}

func TestFencedDirectorStops(t *testing.T) {
	t.Parallel()
	e := newEngines()
	for i := range 6 {
		e.token[fmt.Sprint("e", i)] = 100
	}
	store := &memory{rows: map[string]replicator.Row{}}
	d := newDirector(t, "a", store, e)
	until(t, d, e, "told", func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.given > 0 })
	time.Sleep(2 * interval)
	e.mu.Lock()
	given := e.given
	e.mu.Unlock()
	if given > 6 || d.Holds() && d.elector.Duty.Token == 1 {
		t.Errorf("%d orders with a token that was refused", given)
	}
}
