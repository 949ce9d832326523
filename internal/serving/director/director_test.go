package director

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/elector"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/control/replicator"
	"github.com/heatherrock/heatherrock/internal/routing/placer"
	"github.com/heatherrock/heatherrock/internal/serving/exchanger"
	"github.com/heatherrock/heatherrock/internal/serving/syncer"
)

// memoryStore is a store with one table.
type memoryStore struct {
	mu      sync.Mutex
	rows    map[string]replicator.Row
	version int64
	era     int64
	// failures is the number of reads that fail before one succeeds.
	failures int
}

// Rows returns the table.
func (m *memoryStore) Rows(context.Context, string) (replicator.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failures > 0 {
		m.failures--
		return replicator.Page{}, context.DeadlineExceeded
	}
	p := replicator.Page{Version: m.version, Era: m.era}
	for _, r := range m.rows {
		p.Rows = append(p.Rows, r)
	}
	return p, nil
}

// Changes returns nothing: the director does not follow the table.
func (m *memoryStore) Changes(context.Context, string, int64, time.Duration) (replicator.Page, error) {
	return replicator.Page{}, nil
}

// Commit applies a change under its condition.
func (m *memoryStore) Commit(_ context.Context, c syncer.Change) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, condition := range c.If {
		if m.rows[condition.Key].Version != condition.Version {
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

// fakeEndpoints are endpoints that carry out orders at once.
type fakeEndpoints struct {
	mu          sync.Mutex
	held        map[string]placer.Range
	begunOrders map[string]int64
	tokens      map[string]int64
	// lowestToken is the lowest token of an order; zero before the first one.
	lowestToken int64
	// receivedOrders counts the orders received, and unresponsive holds the endpoints that answer none.
	receivedOrders int
	unresponsive   map[string]bool
}

// newFakeEndpoints returns endpoints that hold no layers.
func newFakeEndpoints() *fakeEndpoints {
	return &fakeEndpoints{
		held: map[string]placer.Range{}, begunOrders: map[string]int64{}, tokens: map[string]int64{}, unresponsive: map[string]bool{},
	}
}

// Place carries out an order.
func (e *fakeEndpoints) Place(_ context.Context, o Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.receivedOrders++
	if e.lowestToken == 0 || o.Token < e.lowestToken {
		e.lowestToken = o.Token
	}
	switch {
	case e.unresponsive[o.Endpoint]:
		return context.DeadlineExceeded
	case o.Token < e.tokens[o.Endpoint]:
		return ErrFenced
	case o.Sequence != e.begunOrders[o.Endpoint]:
		return ErrStale
	}
	e.held[o.Endpoint], e.tokens[o.Endpoint] = o.Range, o.Token
	e.begunOrders[o.Endpoint]++
	return nil
}

// Report returns an endpoint's state.
func (e *fakeEndpoints) Report(_ context.Context, id, _ string) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Report{Held: e.held[id], Sequence: e.begunOrders[id]}, nil
}

// model returns a model of which six endpoints each have memory for a third of the layers.
func (e *fakeEndpoints) model() Model {
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

// isCovered reports whether each layer is held twice.
func (e *fakeEndpoints) isCovered() bool {
	m := e.model()
	var holders []placer.Holder
	for _, p := range m.Endpoints {
		holders = append(holders, p.Holder)
	}
	return placer.MinHolders(m.Engine, holders) == 2
}

// newDirector returns a started director that knows the endpoints.
func newDirector(t *testing.T, id string, store syncer.Store, e *fakeEndpoints) *Director {
	t.Helper()
	x := exchanger.New(gossiper.Peer{ID: id, DataCentre: "a"})
	d := New(id, "s", store, x, e, slog.New(slog.DiscardHandler), time.Now)
	d.UpdateModel(time.Now(), e.model())
	d.Start()
	t.Cleanup(d.Close)
	return d
}

// waitUntil waits for a condition while it keeps the director's view of the endpoints up to date.
func waitUntil(t *testing.T, d *Director, e *fakeEndpoints, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not %s within 20 s; %v", what, e.held)
		}
		d.UpdateModel(time.Now(), e.model())
	}
}

func TestPlacesEmptyEndpoints(t *testing.T) {
	t.Parallel()
	e := newFakeEndpoints()
	d := newDirector(t, "a", &memoryStore{rows: map[string]replicator.Row{}}, e)
	waitUntil(t, d, e, "covered", e.isCovered)
	time.Sleep(3 * checkInterval)
	if e.receivedOrders != 6 {
		t.Errorf("%d orders for 6 endpoints", e.receivedOrders)
	}
}

func TestUnansweredOrderIsSentAgain(t *testing.T) {
	t.Parallel()
	e := newFakeEndpoints()
	e.unresponsive["e0"] = true
	d := newDirector(t, "a", &memoryStore{rows: map[string]replicator.Row{}}, e)
	waitUntil(t, d, e, "ordered", func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.receivedOrders >= 6 })
	e.mu.Lock()
	delete(e.unresponsive, "e0")
	e.mu.Unlock()
	waitUntil(t, d, e, "covered", e.isCovered)
}

// TestOrdersCarriedOutMeanwhile guards against orders that are refused forever after an endpoint has begun orders that
// the director does not know: the director reads the endpoint's state, and the next order is accepted.
func TestOrdersCarriedOutMeanwhile(t *testing.T) {
	t.Parallel()
	e := newFakeEndpoints()
	e.begunOrders["e3"] = 4
	d := newDirector(t, "a", &memoryStore{rows: map[string]replicator.Row{}}, e)
	waitUntil(t, d, e, "covered", e.isCovered)
	if e.receivedOrders > 8 {
		t.Errorf("%d orders for 6 endpoints, one of which refused one", e.receivedOrders)
	}
}

func TestFencedDirectorStops(t *testing.T) {
	t.Parallel()
	e := newFakeEndpoints()
	for i := range 6 {
		e.tokens[fmt.Sprint("e", i)] = 100
	}
	store := &memoryStore{rows: map[string]replicator.Row{}}
	d := newDirector(t, "a", store, e)
	waitUntil(t, d, e, "ordered", func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.receivedOrders > 0 })
	time.Sleep(2 * checkInterval)
	e.mu.Lock()
	received := e.receivedOrders
	e.mu.Unlock()
	if received > 6 || d.Holds() && d.elector.Duty.Token == 1 {
		t.Errorf("%d orders with a token that was refused", received)
	}
}

// TestTokenIsNotUsedAgainAfterTheStoreIsRestored guards against two holders of the duty with the same token: the store has come back
// from a copy, whose row has an earlier holder and a lower token than the instance has heard of, or none.
func TestTokenIsNotUsedAgainAfterTheStoreIsRestored(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		row   *elector.Duty
		known elector.Duty
		era   int64
		above int64
	}{
		{"an earlier holder that is gone", &elector.Duty{Holder: "gone", Token: 3}, elector.Duty{Holder: "c", Token: 5}, 0, 5},
		{"the instance itself, which has lost the duty since", &elector.Duty{Holder: "a", Token: 4}, elector.Duty{Holder: "c", Token: 5}, 0, 5},
		{"no row", nil, elector.Duty{Holder: "c", Token: 5}, 0, 5},
		{"nothing is known of the holders of an earlier era", &elector.Duty{Holder: "gone", Token: 3}, elector.Duty{}, 2, 2 * tokensPerEra},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := newFakeEndpoints()
			store := &memoryStore{rows: map[string]replicator.Row{}, era: c.era}
			if c.row != nil {
				store.version = 1
				store.rows["s"] = replicator.Row{Key: "s", Value: c.row.Encode(), Version: 1}
			}
			d := newDirector(t, "a", store, e)
			if c.known.Token > 0 {
				d.handleDuty(gossiper.Entry{Owner: "c", Key: "s", Value: c.known.Encode()})
			}
			waitUntil(t, d, e, "covered", e.isCovered)
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.lowestToken <= c.above {
				t.Errorf("order with token %d, want more than %d", e.lowestToken, c.above)
			}
		})
	}
}

// TestHolderWritesARowThatTheStoreHasLost guards against a row that stays older than the duty, also if the store fails once more, and
// against a holder that goes on although another instance has taken the duty meanwhile.
func TestHolderWritesARowThatTheStoreHasLost(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name     string
		restored *elector.Duty
		failures int
		want     elector.Duty
	}{
		{"no row", nil, 0, elector.Duty{Holder: "a", Token: 1}},
		{"an earlier holder", &elector.Duty{Holder: "gone"}, 0, elector.Duty{Holder: "a", Token: 1}},
		{"no row, and the store fails", nil, 1, elector.Duty{Holder: "a", Token: 1}},
		{"a later holder", &elector.Duty{Holder: "b", Token: 9}, 0, elector.Duty{Holder: "b", Token: 9}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := newFakeEndpoints()
			store := &memoryStore{rows: map[string]replicator.Row{}}
			d := newDirector(t, "a", store, e)
			waitUntil(t, d, e, "covered", e.isCovered)
			store.mu.Lock()
			store.failures = c.failures
			delete(store.rows, "s")
			if c.restored != nil {
				store.rows["s"] = replicator.Row{Key: "s", Value: c.restored.Encode(), Version: 1}
			}
			store.mu.Unlock()
			d.HandleRestore()
			waitUntil(t, d, e, "agreed on the duty", func() bool {
				store.mu.Lock()
				row, err := elector.Decode(store.rows["s"].Value)
				store.mu.Unlock()
				d.mu.Lock()
				defer d.mu.Unlock()
				return err == nil && row == c.want && d.elector.Duty == c.want && !d.rowLost
			})
		})
	}
}

// TestOddDutyRowIsReplaced guards against layers that are never placed again, after another writer has left a row whose token no
// higher one can follow, or that cannot be read.
func TestOddDutyRowIsReplaced(t *testing.T) {
	t.Parallel()
	for name, row := range map[string]string{
		"greatest token": `{"holder":"gone","token":9223372036854775807}`,
		"beyond JSON":    `{"holder":"gone","token":9007199254740993}`,
		"below zero":     `{"holder":"gone","token":-1}`,
		"no number":      `{"holder":"gone","token":"7"}`,
		"not JSON":       `{`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newFakeEndpoints()
			for i := range 6 {
				e.tokens[fmt.Sprint("e", i)] = 1
			}
			store := &memoryStore{version: 1, rows: map[string]replicator.Row{"s": {Key: "s", Value: []byte(row), Version: 1}}}
			d := newDirector(t, "a", store, e)
			waitUntil(t, d, e, "covered", e.isCovered)
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.lowestToken < 1 || e.lowestToken > 100 {
				t.Errorf("order with token %d", e.lowestToken)
			}
		})
	}
}
