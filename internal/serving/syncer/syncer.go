// Package syncer keeps copies of the platform's tables up to date, and relays changes to instances that cannot reach
// the store themselves.
package syncer

import (
	"cmp"
	"context"
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
	// ErrHistoryDropped means that the store no longer has the requested changes.
	ErrHistoryDropped = merry.Sentinel("the store has dropped the history")
	// ErrConflict means that a condition of a change did not hold: nothing was written.
	ErrConflict = merry.Sentinel("a condition of the change does not hold")
	// ErrRestored means that the store has come back from a copy during a read, or since the versions in the conditions of a
	// change were read: the change was applied, and its conditions may have been met by other rows than those read.
	ErrRestored = merry.Sentinel("the store has come back from a copy")
)

// Condition is a row's version that a change requires; 0 means that the row does not exist.
type Condition struct {
	Key     string
	Version int64
}

// Change is a transaction on one table.
type Change struct {
	Table string
	// If holds the conditions, and Era the era of their versions.
	If     []Condition
	Era    int64
	Set    []replicator.Row
	Remove []string
}

// Store is the platform's store.
type Store interface {
	// Rows returns a whole table.
	Rows(ctx context.Context, table string) (replicator.Page, error)
	// Changes returns the rows of a table that have changed since a version, once there are any or wait has passed.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (replicator.Page, error)
	// Commit applies a change atomically and returns the new version. After an error other than ErrConflict and ErrRestored,
	// the change may have been applied, or may be applied later.
	Commit(ctx context.Context, c Change) (int64, error)
}

// The intervals of a Syncer.
const (
	// defaultMaxDelay is the maximum delay of changes of a table that states none.
	defaultMaxDelay = 2 * time.Second
	// callTimeout bounds a read of a whole table and a call of a peer, and changesTimeout a read of changes that the store
	// does not hold.
	callTimeout    = 2 * time.Second
	changesTimeout = time.Second
	// confirmedHold is how long the store is asked to hold a read of changes while a peer that reads the store tells this
	// instance of all changes. A read that is lost meanwhile is sent again once the peer no longer does so.
	confirmedHold = 15 * time.Second
	// coalesceInterval is the pause after a read that returned changes, so that changes in quick succession cost one
	// call.
	coalesceInterval = 150 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the backoff after a failed call.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// peerFetchDelay is how long an instance waits for a change from the store before it fetches it from a peer.
	peerFetchDelay = 250 * time.Millisecond
	// maxStartDelay is how long after its start an instance that is no reader waits for a peer that relays changes before
	// it follows the store itself.
	maxStartDelay = 1500 * time.Millisecond
	// readPauseTime is how long reads of the store are paused after a response of a peer that reads it.
	// pauseCheckInterval is the time between checks whether the pause has ended.
	readPauseTime      = 600 * time.Millisecond
	pauseCheckInterval = 100 * time.Millisecond
	// deletionDelay is how long the deletion of a row is held back after an outage of the store, during which the row
	// may have been lost: endpoints write their rows again. It is the same for rows that differ in a store that has come back
	// from a copy.
	deletionDelay = 2200 * time.Millisecond
	// outageNoticeTime is the time within which an instance that reads the store notices an outage.
	outageNoticeTime = 2 * time.Second
)

// Table is a table to keep up to date.
type Table struct {
	Name string
	// OnChange is called with the rows that have changed, one call at a time for each table.
	OnChange func(now time.Time, rows []replicator.Row)
	// DelaysDeletions reports whether rows may be lost during an outage of the store and written again after it, so that
	// OnChange is called only after a delay with deletions, and with rows that were different before the store came back from a
	// copy.
	DelaysDeletions bool
	// MaxDelay is how long after the store's acknowledgement a change may arrive here, also if the store has lost a read of
	// changes that it held. Zero means defaultMaxDelay.
	MaxDelay time.Duration
}

// pollTimes returns how long the store is asked to hold a read of changes, and after what time the read counts as lost:
// a lost read looks like a table that does not change.
func (t Table) pollTimes() (hold, timeout time.Duration) {
	d := cmp.Or(t.MaxDelay, defaultMaxDelay)
	return d / 2, d * 3 / 4
}

// followedTable is a table with its local copy.
type followedTable struct {
	Table
	replica *replicator.Copy
	// storeFailed reports whether the latest read of the store failed.
	storeFailed bool
	// lostAt is when a read of the store failed since which neither a read of this instance nor a peer has shown that the store is
	// back; zero if there is none. regainedAt is when that was shown last.
	lostAt     time.Time
	regainedAt time.Time
	// readStartedAt is when the read of the store in progress was sent; a zero time means that there is none. cancelRead
	// ends it, and isRepeated is true if the next read repeats one that was ended.
	readStartedAt time.Time
	cancelRead    context.CancelFunc
	isRepeated    bool
	// published is the head that gossip last announced.
	published replicator.Head
	// delayedChanges holds the changes that OnChange has not been called with yet, by key.
	delayedChanges map[string]delayedChange
	// aheadPeer is a peer with a newer version of the table, aheadHead, since aheadSince; a zero time means that there is none.
	aheadPeer  gossiper.Peer
	aheadHead  replicator.Head
	aheadSince time.Time
	// isFetching is true while changes are being fetched from a peer.
	isFetching bool
}

// Syncer keeps the tables of one instance up to date.
type Syncer struct {
	store    Store
	exchange *exchanger.Exchanger
	log      *slog.Logger
	clock    func() time.Time
	ctx      context.Context
	stop     context.CancelFunc
	// readCtx is the context of reads of the store. stopReads ends it.
	readCtx   context.Context
	stopReads context.CancelFunc
	wait      sync.WaitGroup

	// onRestore is called under mu once the store has come back from a copy.
	onRestore func(now time.Time)

	mu     sync.Mutex
	tables map[string]*followedTable
	// restoredEra is the latest era that began while the syncer ran.
	restoredEra int64
	// readsPausedUntil is when reads of the store resume if the peer that reads it in place of this instance does not
	// respond again.
	readsPausedUntil time.Time
	// confirmedUntil is when this instance no longer relies on a peer that reads the store to hear of changes, and confirmedSince
	// since when it has relied on one without interruption.
	confirmedUntil time.Time
	confirmedSince time.Time
	// startedAt is when the syncer was started, and isReader is true once this instance is one of those that read the
	// store in any case.
	startedAt time.Time
	isReader  bool
}

// New returns a syncer that keeps tables up to date once started.
func New(store Store, x *exchanger.Exchanger, log *slog.Logger, clock func() time.Time, tables ...Table) *Syncer {
	s := &Syncer{store: store, exchange: x, log: log, clock: clock, onRestore: func(time.Time) {}, tables: map[string]*followedTable{}}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.readCtx, s.stopReads = context.WithCancel(s.ctx)
	for _, t := range tables {
		s.tables[t.Name] = &followedTable{Table: t, replica: replicator.New(), delayedChanges: map[string]delayedChange{}}
	}
	if err := x.Register("Relay", &Relay{s}); err != nil {
		panic(err) // The methods have the form that net/rpc requires.
	}
	x.Subscribe(gossiper.TopicHead, s.recordPeerHead)
	return s
}

// HandleRestores sets the function that is called once each time that the store has come back from a copy and may have lost what
// this instance wrote. It must not wait for the store. It is set before Start.
func (s *Syncer) HandleRestores(handle func(now time.Time)) { s.onRestore = handle }

// Start starts reading the tables.
func (s *Syncer) Start() {
	s.mu.Lock()
	s.startedAt = s.clock()
	s.mu.Unlock()
	for _, t := range s.tables {
		s.wait.Add(1)
		go s.loop(t)
	}
	s.wait.Add(1)
	go s.loopPeerFetch()
}

// Close stops the syncer and waits for its goroutines.
func (s *Syncer) Close() {
	s.stop()
	s.wait.Wait()
}

// Detach stops reading from the store: from then on, changes come from peers alone.
func (s *Syncer) Detach() { s.stopReads() }

// loop reads one table from the store until the syncer is closed or detached.
func (s *Syncer) loop(t *followedTable) {
	defer s.wait.Done()
	retry := minRetryDelay
	for s.readCtx.Err() == nil {
		if s.readsPaused(t) {
			select {
			case <-s.readCtx.Done():
			case <-time.After(pauseCheckInterval):
			}
			continue
		}
		changed, err := s.read(t)
		pause := time.Duration(0)
		switch {
		case err != nil:
			pause = retry
			retry = min(2*retry, maxRetryDelay)
		case changed:
			pause = coalesceInterval
			fallthrough
		default:
			retry = minRetryDelay
		}
		select {
		case <-s.readCtx.Done():
		case <-time.After(pause):
		}
	}
}

// read reads a table from the store once and applies the result. It reports whether the store returned a change, also
// one that a peer has already relayed.
func (s *Syncer) read(t *followedTable) (bool, error) {
	s.mu.Lock()
	head := t.replica.Head()
	now := s.clock()
	t.readStartedAt = now
	hold, timeout := s.holdTimes(now, t)
	ctx, cancel := context.WithTimeout(s.readCtx, timeout)
	t.cancelRead = cancel
	s.mu.Unlock()
	defer cancel()
	full := head.Version == 0
	var page replicator.Page
	var err error
	if !full {
		page, err = s.store.Changes(ctx, t.Name, head.Version, hold)
		if s.isReadRepeated(t, ctx) {
			return false, nil
		}
		full = errors.Is(err, ErrHistoryDropped) || err == nil && page.Era > head.Era
	}
	if full {
		ctx, cancel := context.WithTimeout(s.readCtx, callTimeout)
		page, err = s.store.Rows(ctx, t.Name)
		cancel()
	}
	if err != nil {
		s.recordFailure(t, err)
		return false, err
	}
	s.apply(t, page, full, true)
	return page.Head().IsAfter(head) || len(page.Rows) > 0, nil
}

// holdTimes returns how long the store is asked to hold a read of changes that is sent at now, and when it counts as lost.
// The lock is held.
func (s *Syncer) holdTimes(now time.Time, t *followedTable) (hold, timeout time.Duration) {
	if t.storeFailed || t.isRepeated {
		t.isRepeated = false
		return 0, changesTimeout
	}
	hold, timeout = t.pollTimes()
	if now.Before(s.confirmedUntil) && hold < confirmedHold {
		return confirmedHold, confirmedHold + timeout - hold
	}
	return hold, timeout
}

// repeatRead ends a read that has been pending for so long that it may be lost, unless a peer tells of changes. The lock is
// held.
func (s *Syncer) repeatRead(now time.Time, t *followedTable) {
	if _, timeout := t.pollTimes(); t.pendingTime(now) >= timeout && !now.Before(s.confirmedUntil) && !t.isRepeated {
		t.isRepeated = true
		t.cancelRead()
	}
}

// isReadRepeated reports whether repeatRead has ended a read, which says nothing of the store.
func (s *Syncer) isReadRepeated(t *followedTable, ctx context.Context) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !t.isRepeated || !errors.Is(ctx.Err(), context.Canceled) {
		return false
	}
	t.readStartedAt = time.Time{}
	return true
}

// readsPaused reports whether reads of the store are paused because a peer reads it and relays changes, or may do so
// shortly after the start. The first read is never paused: callers are refused until it is done.
func (s *Syncer) readsPaused(t *followedTable) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isPaused(s.clock(), t)
}

// isPaused is readsPaused at now. The lock is held.
func (s *Syncer) isPaused(now time.Time, t *followedTable) bool {
	if t.replica.Version == 0 {
		return false
	}
	return now.Before(s.readsPausedUntil) || !s.isReader && now.Sub(s.startedAt) < maxStartDelay
}

// SetReader states whether this instance is one of those that read the store in any case.
func (s *Syncer) SetReader(isReader bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isReader = isReader
}

// Heads returns the head of each table's copy, and whether all of them are being read from the store.
func (s *Syncer) Heads() (map[string]replicator.Head, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	heads, fresh := map[string]replicator.Head{}, s.readCtx.Err() == nil
	for name, t := range s.tables {
		heads[name] = t.replica.Head()
		fresh = fresh && !t.storeFailed && t.replica.Version > 0
	}
	return heads, fresh && !s.clock().Before(s.readsPausedUntil)
}

// recordFailure records that a read of the store failed.
func (s *Syncer) recordFailure(t *followedTable, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	pending := t.pendingTime(now)
	t.readStartedAt = time.Time{}
	if s.readCtx.Err() != nil {
		return // This instance has ended the read itself.
	}
	if t.lostAt.IsZero() {
		t.lostAt = now
	}
	if !t.storeFailed {
		t.storeFailed = true
		s.log.Warn("store lost", "table", t.Name, "version", t.replica.Version, "pending", pending.Seconds(), "error", err)
	}
}

// pendingTime returns how long the read of the store in progress has been unanswered, and 0 if there is none.
func (t *followedTable) pendingTime(now time.Time) time.Duration {
	if t.readStartedAt.IsZero() {
		return 0
	}
	return now.Sub(t.readStartedAt)
}

// apply applies a page from the store or a peer to the copy of a table, and reports the changes. A full page replaces
// the copy.
func (s *Syncer) apply(t *followedTable, page replicator.Page, full, fromStore bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if fromStore {
		t.readStartedAt = time.Time{}
	}
	if fromStore && t.storeFailed {
		t.storeFailed = false
		s.log.Info("store regained", "table", t.Name, "version", page.Version, "era", page.Era)
	}
	if fromStore && !t.lostAt.IsZero() {
		t.lostAt, t.regainedAt = time.Time{}, now
	}
	before, oldRows := t.replica.Head(), t.replica.Rows
	isRestored := full && page.Era > before.Era && before.Version > 0
	delayed := len(t.delayedChanges)
	var changed []replicator.Row
	if full {
		changed = t.replica.Replace(now, page)
	} else {
		changed = t.replica.Merge(now, page)
	}
	if isRestored {
		s.log.Warn("store has come back from a copy", "table", t.Name, "version", page.Version, "era", page.Era, "before", before.Version,
			"direct", fromStore)
		changed = t.delayReversions(now, changed, oldRows)
		if page.Era > s.restoredEra {
			s.restoredEra = page.Era
			s.onRestore(now)
		}
	} else {
		changed = t.delayDeletions(now, changed, page.Held)
	}
	if n := len(t.delayedChanges); n > delayed {
		s.log.Info("changes held back", "table", t.Name, "version", t.replica.Version, "rows", n, "direct", fromStore)
	}
	if len(changed) > 0 {
		s.log.Info("table changed", "table", t.Name, "version", t.replica.Version, "era", t.replica.Era, "rows", len(changed), "direct", fromStore)
		t.OnChange(now, changed)
	}
	s.publishHead(now, t)
}

// Status is what is known of an instance's copy of a table.
type Status struct {
	// Head is that of the copy, and Age how long ago a read of the store or a peer confirmed it.
	Head replicator.Head
	Age  time.Duration
	// Reached is true if the last read of the store succeeded.
	Reached bool
	// Pending is how long the read of the store in progress has been unanswered; 0 means that there is none.
	Pending time.Duration
	// Paused is true while this instance leaves the reads of the store to a peer.
	Paused bool
}

// Status returns the status of a table at now, and whether it has been read.
func (s *Syncer) Status(now time.Time, table string) (Status, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tables[table]
	if !ok || t.replica.ConfirmedAt.IsZero() {
		return Status{}, false
	}
	return Status{
		Head: t.replica.Head(), Age: now.Sub(t.replica.ConfirmedAt), Reached: !t.storeFailed,
		Pending: t.pendingTime(now), Paused: s.isPaused(now, t),
	}, true
}
