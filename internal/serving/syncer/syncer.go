// Package syncer follows tables of the platform's store, and passes what it learns on to instances that cannot reach the
// store themselves.
package syncer

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/control/replicator"
	"github.com/heatherrock/heatherrock/internal/serving/exchanger"
)

// The errors of a store.
var (
	// ErrForgotten means that the store no longer has the changes asked for.
	ErrForgotten = merry.Sentinel("the store has dropped the history")
	// ErrConflict means that a condition of a change did not hold: nothing was written.
	ErrConflict = merry.Sentinel("a condition of the change does not hold")
)

// Condition is a row's version that a change depends on; 0 means that the row is not there.
type Condition struct {
	Key     string
	Version int64
}

// Change is what a transaction writes to one table.
type Change struct {
	Table  string
	If     []Condition
	Set    []replicator.Row
	Remove []string
}

// Store is the platform's store.
type Store interface {
	// Rows returns a whole table.
	Rows(ctx context.Context, table string) (replicator.Page, error)
	// Changes returns what has changed in a table since a version, once there is something or wait has passed.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (replicator.Page, error)
	// Commit applies a change as a whole or not at all. After an error other than ErrConflict it may have been
	// applied, or be applied later.
	Commit(ctx context.Context, c Change) (int64, error)
}

// The intervals of a Syncer.
const (
	// pollTime is how long the store holds a question for changes.
	pollTime = 15 * time.Second
	// callTime bounds any other call.
	callTime = 2 * time.Second
	// coalesce is the least time between two answers with changes: changes that come together cost one call.
	coalesce = 150 * time.Millisecond
	// firstRetry and lastRetry are the bounds of the pause after a failed call.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 800 * time.Millisecond
	// relayDelay is how long an instance waits for the store before it asks a peer that knows more.
	relayDelay = 250 * time.Millisecond
	// attachTime is how long after a peer that reads the store has answered the store is not asked, and restTime the
	// time between looks whether it has.
	attachTime = 600 * time.Millisecond
	restTime   = 100 * time.Millisecond
	// lapse is how long after the store's return a row that went meanwhile is kept: endpoints write theirs again.
	lapse = 2200 * time.Millisecond
)

// Table is a table that is followed.
type Table struct {
	Name string
	// News is called with rows that were news, one call at a time for each table.
	News func(now time.Time, rows []replicator.Row)
	// Lapses is set if rows may be lost while the store is away, and written again after its return.
	Lapses bool
}

// followed is a table's copy.
type followed struct {
	Table
	copy *replicator.Copy
	// away is when the store was last out of reach, and lapsed holds deletions that are not yet believed.
	away   time.Time
	failed bool
	lapsed map[string]lapsed
	// ahead is a peer that knows more, since a time.
	ahead gossiper.Peer
	since time.Time
}

// lapsed is a deletion that is not yet believed.
type lapsed struct {
	row   replicator.Row
	until time.Time
}

// Syncer follows the tables of one instance.
type Syncer struct {
	store    Store
	exchange *exchanger.Exchanger
	log      *slog.Logger
	clock    func() time.Time
	ctx      context.Context
	stop     context.CancelFunc
	// direct ends when the store is no longer asked.
	direct context.Context
	detach context.CancelFunc
	wait   sync.WaitGroup

	mu     sync.Mutex
	tables map[string]*followed
	// attached is until when a peer that reads the store tells this instance of changes.
	attached time.Time
}

// New returns a syncer that follows tables once started.
func New(store Store, x *exchanger.Exchanger, log *slog.Logger, clock func() time.Time, tables ...Table) *Syncer {
	s := &Syncer{store: store, exchange: x, log: log, clock: clock, tables: map[string]*followed{}}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.direct, s.detach = context.WithCancel(s.ctx)
	for _, t := range tables {
		s.tables[t.Name] = &followed{Table: t, copy: replicator.New(), lapsed: map[string]lapsed{}}
	}
	if err := x.Register("Relay", &Relay{s}); err != nil {
		panic(err) // The methods have the form that net/rpc asks for.
	}
	x.Subscribe(gossiper.TopicHead, s.heard)
	return s
}

// Start begins to follow the tables.
func (s *Syncer) Start() {
	for _, t := range s.tables {
		s.wait.Add(1)
		go s.loop(t)
	}
	s.wait.Add(1)
	go s.loopRelay()
}

// Close ends the following.
func (s *Syncer) Close() {
	s.stop()
	s.wait.Wait()
}

// Detach ends the asking of the store: changes come from peers alone.
func (s *Syncer) Detach() { s.detach() }

// loop follows one table until the syncer is closed.
func (s *Syncer) loop(t *followed) {
	defer s.wait.Done()
	retry := firstRetry
	for s.direct.Err() == nil {
		if s.rests(t) {
			select {
			case <-s.direct.Done():
			case <-time.After(restTime):
			}
			continue
		}
		changed, err := s.read(t)
		pause := time.Duration(0)
		switch {
		case err != nil:
			s.lost(t, err)
			pause = retry
			retry = min(2*retry, lastRetry)
		case changed:
			pause = coalesce
			fallthrough
		default:
			retry = firstRetry
		}
		select {
		case <-s.direct.Done():
		case <-time.After(pause):
		}
	}
}

// read asks the store once and takes its answer in. It reports whether the store told of a change, which a peer may have told of
// before.
func (s *Syncer) read(t *followed) (bool, error) {
	s.mu.Lock()
	version := t.copy.Version
	failed := t.failed
	s.mu.Unlock()
	whole := version == 0
	var page replicator.Page
	var err error
	if !whole {
		wait := pollTime
		if failed {
			wait = 0
		}
		ctx, cancel := context.WithTimeout(s.direct, wait+callTime)
		page, err = s.store.Changes(ctx, t.Name, version, wait)
		cancel()
		whole = errors.Is(err, ErrForgotten)
	}
	if whole {
		ctx, cancel := context.WithTimeout(s.direct, callTime)
		page, err = s.store.Rows(ctx, t.Name)
		cancel()
	}
	if err != nil {
		return false, err
	}
	s.take(t, page, whole, true)
	return page.Version > version || len(page.Rows) > 0, nil
}

// rests reports whether the store need not be asked, as a peer reads it and tells of changes.
func (s *Syncer) rests(t *followed) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.copy.Version > 0 && s.clock().Before(s.attached)
}

// Heads returns up to which version each table is known, and whether all are read from the store.
func (s *Syncer) Heads() (map[string]int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	heads, fresh := map[string]int64{}, s.direct.Err() == nil
	for name, t := range s.tables {
		heads[name] = t.copy.Version
		fresh = fresh && !t.failed && t.copy.Version > 0
	}
	return heads, fresh && !s.clock().Before(s.attached)
}

// Follow takes in up to which version a peer knows the tables. If the instance may rest, the peer reads them from the store,
// and this instance does not until the peer is silent.
func (s *Syncer) Follow(now time.Time, peer gossiper.Peer, heads map[string]int64, rest bool) {
	s.mu.Lock()
	if rest {
		s.attached = now.Add(attachTime)
	}
	var behind []*followed
	for name, version := range heads {
		if t, ok := s.tables[name]; ok && version > t.copy.Version {
			t.ahead, t.since = peer, now.Add(-relayDelay)
			behind = append(behind, t)
		}
	}
	s.mu.Unlock()
	for _, t := range behind {
		s.relay(t)
	}
}

// lost takes in that the store could not be read.
func (s *Syncer) lost(t *followed, err error) {
	if s.ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t.away = s.clock()
	if !t.failed {
		t.failed = true
		s.log.Warn("store lost", "table", t.Name, "version", t.copy.Version, "error", err)
	}
}

// take takes in a page from the store or a peer.
func (s *Syncer) take(t *followed, page replicator.Page, whole, direct bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if direct && t.failed {
		t.failed = false
		s.log.Info("store regained", "table", t.Name, "version", page.Version)
	}
	before := t.copy.Version
	var news []replicator.Row
	if whole {
		news = t.copy.Replace(now, page)
	} else {
		news = t.copy.Merge(now, page)
	}
	news = t.believe(now, news)
	if len(news) > 0 {
		s.log.Info("table changed", "table", t.Name, "version", t.copy.Version, "rows", len(news), "direct", direct)
		t.News(now, news)
	}
	if t.copy.Version > before {
		s.publish(t)
	}
}

// believe holds deletions back that came with the store's return, and returns those whose time has come with the rest.
func (t *followed) believe(now time.Time, news []replicator.Row) []replicator.Row {
	if !t.Lapses {
		return news
	}
	var out []replicator.Row
	for _, r := range news {
		delete(t.lapsed, r.Key)
		if r.Deleted && !t.away.IsZero() && now.Sub(t.away) < lapse {
			t.lapsed[r.Key] = lapsed{r, now.Add(lapse)}
			continue
		}
		out = append(out, r)
	}
	for key, l := range t.lapsed {
		if now.After(l.until) {
			out = append(out, l.row)
			delete(t.lapsed, key)
		}
	}
	return out
}

// publish tells peers up to which version a table is known. The lock is held.
func (s *Syncer) publish(t *followed) {
	b, err := json.Marshal(t.copy.Version)
	if err != nil {
		panic(err) // A number has a form in JSON.
	}
	s.exchange.Publish(gossiper.TopicHead, t.Name, b, 0)
}

// heard takes in up to which version a peer knows a table.
func (s *Syncer) heard(e gossiper.Entry) {
	var version int64
	if e.Deleted {
		return
	}
	if err := json.Unmarshal(e.Value, &version); err != nil {
		s.log.Warn("head of a table not read", "peer", e.Owner, "table", e.Key, "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tables[e.Key]
	if !ok || version <= t.copy.Version {
		return
	}
	for _, p := range s.exchange.Peers() {
		if p.ID == e.Owner {
			t.ahead = p
			if t.since.IsZero() {
				t.since = s.clock()
			}
		}
	}
}

// loopRelay asks peers for what the store does not tell, until the syncer is closed.
func (s *Syncer) loopRelay() {
	defer s.wait.Done()
	ticker := time.NewTicker(relayDelay / 2)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, t := range s.tables {
			s.relay(t)
		}
	}
}

// relay asks a peer that knows more of a table, if the store has not told it meanwhile.
func (s *Syncer) relay(t *followed) {
	s.mu.Lock()
	now := s.clock()
	if news := t.believe(now, nil); len(news) > 0 {
		t.News(now, news)
	}
	due := !t.since.IsZero() && now.Sub(t.since) >= relayDelay
	peer, version := t.ahead, t.copy.Version
	if due {
		t.since = time.Time{}
	}
	s.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTime)
	defer cancel()
	var page replicator.Page
	if err := s.exchange.Call(ctx, peer, "Relay.Since", Query{t.Name, version}, &page); err != nil {
		s.log.Warn("peer did not pass a table on", "peer", peer.ID, "table", t.Name, "error", err)
		return
	}
	s.take(t, page, false, false)
}

// Query asks for what is newer than a version of a table.
type Query struct {
	Table   string
	Version int64
}

// Relay holds the methods that peers call.
type Relay struct {
	s *Syncer
}

// Since answers with the rows of a table that are newer than a version.
func (r *Relay) Since(q Query, reply *replicator.Page) error {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	t, ok := r.s.tables[q.Table]
	if !ok {
		return merry.Errorf("table %q is not followed", q.Table)
	}
	*reply = t.copy.Since(q.Version)
	return nil
}

// Age returns how long ago a table was last read from the store or a peer, and whether the store is within reach.
func (s *Syncer) Age(now time.Time, table string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tables[table]
	if !ok || t.copy.Read.IsZero() {
		return 0, false
	}
	return now.Sub(t.copy.Read), !t.failed
}
