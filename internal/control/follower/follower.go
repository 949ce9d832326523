// Package follower decides which configuration is active on an instance and whether the instance may serve under it.
// The active configuration is the one in force.
package follower

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/control/converter"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

// Defaults of the options.
const (
	// DefaultMaxStaleness is how long an instance admits requests without contact to the store or to a peer that
	// confirms its epoch.
	DefaultMaxStaleness = 30 * time.Second
	// DefaultMinConfirmations is the number of peers that must confirm their epochs to a joining instance while the
	// store is down.
	DefaultMinConfirmations = 3
	// DefaultJoinTimeout is how long a joining instance waits for that number of confirmations before one is enough.
	DefaultJoinTimeout = 5 * time.Second
)

// ErrStaleEpoch means that the latest snapshot has a higher epoch than the snapshot or head received, or already includes
// the delta received.
var ErrStaleEpoch = merry.New("epoch is lower than the highest applied")

// Peer is the last report of a peer about its configuration.
type Peer struct {
	Epoch        int64     `json:"epoch"`
	LastReportAt time.Time `json:"heard"`
	// ConfirmsEpoch reports whether the peer has joined and can read its latest snapshot.
	ConfirmsEpoch bool `json:"vouches"`
}

// Decision is the result of an event.
type Decision struct {
	// Applied is true if View is new and becomes active now.
	Applied bool
	View    recorder.View
	// LatestChanged is true if the latest snapshot was replaced: it should be forwarded to the peers.
	LatestChanged bool
	// NeedsFetch is true if a higher epoch is known to exist: the deltas after FetchAfterEpoch must be fetched.
	NeedsFetch      bool
	FetchAfterEpoch int64
	// Err is the reason why nothing was applied: ErrStaleEpoch, recorder.ErrGap, recorder.ErrChecksum or
	// converter.ErrUnreadable.
	Err error
}

// Follower tracks the configuration of one instance: its latest snapshot, its active epoch, and the last reports of its
// peers. Its methods are not safe for concurrent use.
type Follower struct {
	// MaxStaleness, MinConfirmations and JoinTimeout are the options, see the defaults.
	MaxStaleness     time.Duration    `json:"stale"`
	MinConfirmations int              `json:"vouchers"`
	JoinTimeout      time.Duration    `json:"join"`
	Reader           converter.Reader `json:"reader"`
	// StartedAt is when the instance began to join.
	StartedAt time.Time `json:"started"`
	// LatestSnapshot is the received configuration of the highest epoch, as it was stored. ActiveEpoch is the epoch in
	// force: it is lower than LatestSnapshot.Epoch only while the reader cannot read LatestSnapshot.
	LatestSnapshot recorder.Snapshot `json:"known"`
	ActiveEpoch    int64             `json:"force"`
	// HighestEpoch is the highest epoch known to exist. BehindSince is when ActiveEpoch became lower than it, or zero.
	HighestEpoch int64     `json:"highest"`
	BehindSince  time.Time `json:"behind"`
	// Joined is true once the latest snapshot was confirmed to be the current configuration.
	Joined bool `json:"joined"`
	// HeadReadAt is when the store's head was last read.
	HeadReadAt time.Time `json:"read"`
	// Peers holds the last report of each peer, by the peer's ID.
	Peers map[string]Peer `json:"peers"`
	// UnreadableReason is the reason why LatestSnapshot is not active. It is empty if it is.
	UnreadableReason string `json:"unreadable,omitempty"`

	view recorder.View
	// epochCheckDisabled makes the follower apply lower epochs too. Only tests set it.
	epochCheckDisabled bool
}

// Option configures a Follower on construction.
type Option func(*Follower)

// WithMaxStaleness sets how long the instance admits requests without contact to the store or to a peer that confirms
// its epoch.
func WithMaxStaleness(d time.Duration) Option {
	return func(f *Follower) { f.MaxStaleness = d }
}

// WithMinConfirmations sets the number of peers that must confirm their epochs to a joining instance while the store is
// down, and how long it waits for them before one is enough.
func WithMinConfirmations(n int, timeout time.Duration) Option {
	return func(f *Follower) { f.MinConfirmations, f.JoinTimeout = n, timeout }
}

// WithReader sets the schema versions that the instance can read.
func WithReader(r converter.Reader) Option {
	return func(f *Follower) { f.Reader = r }
}

// NewFollower returns the Follower of an instance that begins to join at now and has no configuration yet.
func NewFollower(now time.Time, options ...Option) *Follower {
	f := &Follower{
		MaxStaleness:     DefaultMaxStaleness,
		MinConfirmations: DefaultMinConfirmations,
		JoinTimeout:      DefaultJoinTimeout,
		Reader:           converter.NewReader(),
		StartedAt:        now,
		Peers:            map[string]Peer{},
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// ApplySnapshot applies a whole snapshot from the store or from a peer. A snapshot whose epoch is not higher than that
// of the latest one changes nothing, unless it has the same epoch and the latest one is not active.
func (f *Follower) ApplySnapshot(now time.Time, s recorder.Snapshot) Decision {
	defer f.updateStatus(now)
	if s.Epoch < f.LatestSnapshot.Epoch && !f.epochCheckDisabled {
		return Decision{Err: ErrStaleEpoch}
	}
	if s.Epoch == f.LatestSnapshot.Epoch && f.ActiveEpoch == s.Epoch {
		return f.addFetch(Decision{})
	}
	return f.install(s, f.decodeSnapshot)
}

// ApplyDelta applies a delta from the store or from a peer. If the delta does not follow LatestSnapshot, the decision
// requests the missing deltas.
func (f *Follower) ApplyDelta(now time.Time, d recorder.Delta) Decision {
	defer f.updateStatus(now)
	f.HighestEpoch = max(f.HighestEpoch, d.Epoch)
	if d.Epoch <= f.LatestSnapshot.Epoch && !f.epochCheckDisabled {
		return Decision{Err: ErrStaleEpoch}
	}
	if f.epochCheckDisabled && d.Epoch <= f.LatestSnapshot.Epoch {
		s := f.LatestSnapshot.With(d.Put, d.Drop)
		s.Epoch = d.Epoch
		return f.install(s, f.decodeSnapshot)
	}
	s, err := f.LatestSnapshot.Advance(d)
	if err != nil {
		return f.addFetch(Decision{Err: err})
	}
	if f.view.Epoch != f.LatestSnapshot.Epoch || f.view.Models == nil {
		return f.install(s, f.decodeSnapshot)
	}
	return f.install(s, func(recorder.Snapshot) (recorder.View, error) { return f.decodeDelta(d) })
}

// install makes s the latest snapshot and, if read can decode it, the active one.
func (f *Follower) install(s recorder.Snapshot, read func(recorder.Snapshot) (recorder.View, error)) Decision {
	f.LatestSnapshot = s
	f.HighestEpoch = max(f.HighestEpoch, s.Epoch)
	d := f.addFetch(Decision{LatestChanged: true})
	view, err := read(s)
	if err != nil {
		f.UnreadableReason = err.Error()
		d.Err = err
		return d
	}
	f.UnreadableReason = ""
	f.ActiveEpoch, f.view = s.Epoch, view
	d.Applied, d.View = true, view
	return d
}

// decodeSnapshot decodes a whole snapshot. It fails if the instance's reader cannot read the schema of a record.
func (f *Follower) decodeSnapshot(s recorder.Snapshot) (recorder.View, error) {
	upgraded, err := f.upgradeRecords(s.Records)
	if err != nil {
		return recorder.View{}, err
	}
	return recorder.NewView(recorder.Snapshot{Epoch: s.Epoch, Records: upgraded})
}

// decodeDelta applies the records of a delta to the active view, which it must follow directly.
func (f *Follower) decodeDelta(d recorder.Delta) (recorder.View, error) {
	upgraded, err := f.upgradeRecords(d.Put)
	if err != nil {
		return recorder.View{}, err
	}
	return f.view.With(d.Epoch, upgraded, d.Drop)
}

// upgradeRecords converts records to the schema versions of this release. It fails if the instance's reader cannot read
// the schema of a record.
func (f *Follower) upgradeRecords(records []recorder.Record) ([]recorder.Record, error) {
	upgraded := make([]recorder.Record, 0, len(records))
	for _, r := range records {
		if !f.Reader.CanRead(r.Kind, r.Schema) {
			_, err := f.Reader.Upgrade(r)
			return nil, err
		}
		next, err := converter.NewReader().Upgrade(r)
		if err != nil {
			return nil, err
		}
		upgraded = append(upgraded, next)
	}
	return upgraded, nil
}

// addFetch sets the decision's request for deltas if a higher epoch than that of the latest snapshot is known to exist.
func (f *Follower) addFetch(d Decision) Decision {
	if f.HighestEpoch > f.LatestSnapshot.Epoch {
		d.NeedsFetch, d.FetchAfterEpoch = true, f.LatestSnapshot.Epoch
	}
	return d
}

// RecordHead records the epoch of the store's head, read at now. The store is authoritative: a higher epoch that a peer
// reported is discarded. Accepted epochs are never removed, so a head lower than the latest snapshot is not the accepted
// one: the error is ErrStaleEpoch, and the head does not count as read.
func (f *Follower) RecordHead(now time.Time, epoch int64) Decision {
	defer f.updateStatus(now)
	if epoch < f.LatestSnapshot.Epoch && !f.epochCheckDisabled {
		return f.addFetch(Decision{Err: ErrStaleEpoch})
	}
	f.HeadReadAt = now
	f.HighestEpoch = max(f.LatestSnapshot.Epoch, epoch)
	return f.addFetch(Decision{})
}

// RecordPeer records a report that a peer made at now: its active epoch and whether it confirms that epoch.
func (f *Follower) RecordPeer(now time.Time, peer string, epoch int64, confirms bool) Decision {
	defer f.updateStatus(now)
	f.Peers[peer] = Peer{Epoch: epoch, LastReportAt: now, ConfirmsEpoch: confirms}
	f.HighestEpoch = max(f.HighestEpoch, epoch)
	return f.addFetch(Decision{})
}

// RemovePeer removes a peer that has left the fleet.
func (f *Follower) RemovePeer(peer string) {
	delete(f.Peers, peer)
}

// ConfirmsEpoch reports whether the instance confirms its active epoch to its peers: it has joined and can read its
// latest snapshot. An instance that is cut off still confirms: if all instances were cut off at once, they can recover
// from each other's reports without the store.
func (f *Follower) ConfirmsEpoch() bool {
	return f.Joined && f.UnreadableReason == ""
}

// countConfirmations returns the number of peers whose last report is no older than since and confirmed their epoch.
func (f *Follower) countConfirmations(since time.Time) int {
	count := 0
	for _, p := range f.Peers {
		if p.ConfirmsEpoch && !p.LastReportAt.Before(since) {
			count++
		}
	}
	return count
}

// HasContact reports whether the store's head was read, or a peer confirmed its epoch, within MaxStaleness before now.
func (f *Follower) HasContact(now time.Time) bool {
	since := now.Add(-f.MaxStaleness)
	if !f.HeadReadAt.IsZero() && !f.HeadReadAt.Before(since) {
		return true
	}
	return f.countConfirmations(since) > 0
}

// joinable reports whether the latest snapshot may be regarded as the current configuration: no higher epoch is known to
// exist, and either the store's head was read or enough peers confirmed their epochs.
func (f *Follower) joinable(now time.Time) bool {
	if f.LatestSnapshot.Epoch < f.HighestEpoch {
		return false
	}
	if !f.HeadReadAt.IsZero() {
		return true
	}
	count := f.countConfirmations(f.StartedAt)
	return count >= f.MinConfirmations || count > 0 && now.Sub(f.StartedAt) >= f.JoinTimeout
}

// updateStatus updates Joined and BehindSince after an event.
func (f *Follower) updateStatus(now time.Time) {
	if f.joinable(now) {
		f.Joined = true
	}
	if f.ActiveEpoch >= f.HighestEpoch {
		f.BehindSince = time.Time{}
		return
	}
	if f.BehindSince.IsZero() {
		f.BehindSince = now
	}
}

// Admits reports whether the instance may admit a request: it has joined, it had contact to the store or to a peer that
// confirms its epoch within MaxStaleness, and its active epoch has been behind the highest one for less than
// MaxStaleness.
func (f *Follower) Admits(now time.Time) bool {
	return f.rejectReason(now) == ""
}

// rejectReason returns the reason why the instance admits no request, or an empty string if it admits requests.
func (f *Follower) rejectReason(now time.Time) string {
	switch {
	case !f.Joined && !f.joinable(now):
		return "joining: the configuration in force is not known yet"
	case !f.HasContact(now):
		return "cut off from the store and from all peers"
	case !f.BehindSince.IsZero() && now.Sub(f.BehindSince) >= f.MaxStaleness:
		return "behind: a newer configuration could not be brought into force"
	default:
		return ""
	}
}

// Ready reports whether the load balancer may send requests to this instance, and the reason if not. An instance that
// cannot read its latest snapshot becomes not ready at once, but still admits the requests that arrive.
func (f *Follower) Ready(now time.Time) (bool, string) {
	if f.UnreadableReason != "" {
		return false, f.UnreadableReason
	}
	reason := f.rejectReason(now)
	return reason == "", reason
}

// Limits of the polling of the store's head.
const (
	// FleetHeadReadsPerSecond is the number of reads of the head that a large fleet makes in a second, in total.
	FleetHeadReadsPerSecond = 150
	// MaxPollInterval is the longest time between two reads by one instance.
	MaxPollInterval = 2500 * time.Millisecond
)

// PollInterval returns the time between two reads of the store's head by one of live instances: at least minInterval,
// and longer in a large fleet, so that the fleet's reads stay at FleetHeadReadsPerSecond, up to MaxPollInterval. A
// minInterval above MaxPollInterval is kept.
func PollInterval(minInterval time.Duration, live int) time.Duration {
	spread := time.Duration(live) * time.Second / FleetHeadReadsPerSecond
	return max(minInterval, min(spread, MaxPollInterval))
}
