// Package follower decides which configuration an instance has in force and whether it may serve under it.
package follower

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/control/converter"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

// The defaults of the options.
const (
	// DefaultStale is how long an instance admits requests while it is cut off from the store and from its peers.
	DefaultStale = 30 * time.Second
	// DefaultVouchers is the number of peers whose epochs a joining instance compares while the store is down.
	DefaultVouchers = 3
	// DefaultJoin is how long a joining instance waits for that number of peers before fewer will do.
	DefaultJoin = 5 * time.Second
)

// ErrOld means that a snapshot or delta is of an epoch that the instance has already passed.
var ErrOld = merry.New("epoch is lower than the highest applied")

// Peer is what a peer said last of its configuration.
type Peer struct {
	Epoch int64     `json:"epoch"`
	Heard time.Time `json:"heard"`
	// Vouches is set if the peer has joined and can read the newest configuration that it knows.
	Vouches bool `json:"vouches"`
}

// Decision tells the caller what an event led to.
type Decision struct {
	// Applied is set if View is new and comes into force now.
	Applied bool
	View    recorder.View
	// Learned is set if Known moved: what was learned should be passed on to the peers.
	Learned bool
	// Fetch is set if a higher epoch is known to exist: the deltas after From are wanted.
	Fetch bool
	From  int64
	// Err says why nothing was applied: ErrOld, recorder.ErrGap, recorder.ErrSum or converter.ErrUnreadable.
	Err error
}

// Follower is the configuration of one instance: what it knows, what it has in force, and from whom. Its methods are
// not safe for concurrent use.
type Follower struct {
	// Stale, Vouchers and Join are the options, see the defaults.
	Stale    time.Duration    `json:"stale"`
	Vouchers int              `json:"vouchers"`
	Join     time.Duration    `json:"join"`
	Reader   converter.Reader `json:"reader"`
	// Started is when the instance began to join.
	Started time.Time `json:"started"`
	// Known is the highest configuration learned, as it was stored. Force is the epoch in force: it is lower than
	// Known.Epoch only while the reader cannot read Known.
	Known recorder.Snapshot `json:"known"`
	Force int64             `json:"force"`
	// Highest is the highest epoch heard of. Behind is when Force fell behind it, or zero.
	Highest int64     `json:"highest"`
	Behind  time.Time `json:"behind"`
	// Joined is set once the configuration known was found to be the current one.
	Joined bool `json:"joined"`
	// Read is when the store's head was last read.
	Read time.Time `json:"read"`
	// Peers holds what each peer said last.
	Peers map[string]Peer `json:"peers"`
	// Unreadable says why Known is not in force, if it is not.
	Unreadable string `json:"unreadable,omitempty"`

	view      recorder.View
	unguarded bool
}

// Option changes a follower on construction.
type Option func(*Follower)

// WithStale sets how long the instance admits requests while cut off.
func WithStale(d time.Duration) Option {
	return func(f *Follower) { f.Stale = d }
}

// WithVouchers sets the number of peers that a joining instance asks while the store is down, and how long it waits
// for them before fewer will do.
func WithVouchers(n int, wait time.Duration) Option {
	return func(f *Follower) { f.Vouchers, f.Join = n, wait }
}

// WithReader sets the schema versions that the instance reads.
func WithReader(r converter.Reader) Option {
	return func(f *Follower) { f.Reader = r }
}

// NewFollower returns the follower of an instance that joins at now and knows nothing yet.
func NewFollower(now time.Time, options ...Option) *Follower {
	f := &Follower{
		Stale:    DefaultStale,
		Vouchers: DefaultVouchers,
		Join:     DefaultJoin,
		Reader:   converter.NewReader(),
		Started:  now,
		Peers:    map[string]Peer{},
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// Apply takes in a whole snapshot, from the store or from a peer. One of an epoch that is not higher changes nothing.
func (f *Follower) Apply(now time.Time, s recorder.Snapshot) Decision {
	defer f.settle(now)
	if s.Epoch < f.Known.Epoch && !f.unguarded {
		return Decision{Err: ErrOld}
	}
	if s.Epoch == f.Known.Epoch && f.Force == s.Epoch {
		return f.fetch(Decision{})
	}
	return f.take(s, f.read)
}

// Advance takes in a delta, from the store or from a peer. One that does not follow Known asks for those between.
func (f *Follower) Advance(now time.Time, d recorder.Delta) Decision {
	defer f.settle(now)
	f.Highest = max(f.Highest, d.Epoch)
	if d.Epoch <= f.Known.Epoch && !f.unguarded {
		return Decision{Err: ErrOld}
	}
	if f.unguarded && d.Epoch <= f.Known.Epoch {
		s := f.Known.With(d.Put, d.Drop)
		s.Epoch = d.Epoch
		return f.take(s, f.read)
	}
	s, err := f.Known.Advance(d)
	if err != nil {
		return f.fetch(Decision{Err: err})
	}
	if f.view.Epoch != f.Known.Epoch || f.view.Models == nil {
		return f.take(s, f.read)
	}
	return f.take(s, func(recorder.Snapshot) (recorder.View, error) { return f.step(d) })
}

// take makes a snapshot the one known and, if it can be read, the one in force.
func (f *Follower) take(s recorder.Snapshot, read func(recorder.Snapshot) (recorder.View, error)) Decision {
	f.Known = s
	f.Highest = max(f.Highest, s.Epoch)
	d := f.fetch(Decision{Learned: true})
	view, err := read(s)
	if err != nil {
		f.Unreadable = err.Error()
		d.Err = err
		return d
	}
	f.Unreadable = ""
	f.Force, f.view = s.Epoch, view
	d.Applied, d.View = true, view
	return d
}

// read decodes a whole snapshot if the instance's reader knows the schema of each record.
func (f *Follower) read(s recorder.Snapshot) (recorder.View, error) {
	raised, err := f.raise(s.Records)
	if err != nil {
		return recorder.View{}, err
	}
	return recorder.NewView(recorder.Snapshot{Epoch: s.Epoch, Records: raised})
}

// step decodes the records of a delta that follows the view in force.
func (f *Follower) step(d recorder.Delta) (recorder.View, error) {
	raised, err := f.raise(d.Put)
	if err != nil {
		return recorder.View{}, err
	}
	return f.view.With(d.Epoch, raised, d.Drop)
}

// raise converts records to the schema versions of this release if the instance's reader knows theirs.
func (f *Follower) raise(records []recorder.Record) ([]recorder.Record, error) {
	raised := make([]recorder.Record, 0, len(records))
	for _, r := range records {
		if !f.Reader.Reads(r.Kind, r.Schema) {
			_, err := f.Reader.Raise(r)
			return nil, err
		}
		next, err := converter.NewReader().Raise(r)
		if err != nil {
			return nil, err
		}
		raised = append(raised, next)
	}
	return raised, nil
}

// fetch adds to the decision what is still to be fetched.
func (f *Follower) fetch(d Decision) Decision {
	if f.Highest > f.Known.Epoch {
		d.Fetch, d.From = true, f.Known.Epoch
	}
	return d
}

// Head takes in the store's head, read at now. The store is the truth: a higher epoch that a peer claimed is forgotten.
// A head lower than what is known is not the accepted one, as accepted epochs stay: it is ErrOld and counts as no read.
func (f *Follower) Head(now time.Time, epoch int64) Decision {
	defer f.settle(now)
	if epoch < f.Known.Epoch && !f.unguarded {
		return f.fetch(Decision{Err: ErrOld})
	}
	f.Read = now
	f.Highest = max(f.Known.Epoch, epoch)
	return f.fetch(Decision{})
}

// Heard takes in what a peer said at now: the epoch it has in force and whether it vouches for it.
func (f *Follower) Heard(now time.Time, peer string, epoch int64, vouches bool) Decision {
	defer f.settle(now)
	f.Peers[peer] = Peer{Epoch: epoch, Heard: now, Vouches: vouches}
	f.Highest = max(f.Highest, epoch)
	return f.fetch(Decision{})
}

// Forget drops a peer that has left the fleet.
func (f *Follower) Forget(peer string) {
	delete(f.Peers, peer)
}

// Vouches reports whether the instance vouches for the epoch it has in force: it has joined and can read the newest
// configuration that it knows. One that is cut off still vouches: when every instance was cut off at once, they find
// each other again without the store.
func (f *Follower) Vouches() bool {
	return f.Joined && f.Unreadable == ""
}

// vouchers counts the peers that vouched for their epochs since a time.
func (f *Follower) vouchers(since time.Time) int {
	count := 0
	for _, p := range f.Peers {
		if p.Vouches && !p.Heard.Before(since) {
			count++
		}
	}
	return count
}

// Touch reports whether the store or a peer that vouches was heard from within Stale before now.
func (f *Follower) Touch(now time.Time) bool {
	since := now.Add(-f.Stale)
	if !f.Read.IsZero() && !f.Read.Before(since) {
		return true
	}
	return f.vouchers(since) > 0
}

// joinable reports whether the instance may take the configuration that it knows for the current one: it read the
// store's head, or enough peers vouched for no higher epoch.
func (f *Follower) joinable(now time.Time) bool {
	if f.Known.Epoch < f.Highest {
		return false
	}
	if !f.Read.IsZero() {
		return true
	}
	count := f.vouchers(f.Started)
	return count >= f.Vouchers || count > 0 && now.Sub(f.Started) >= f.Join
}

// settle notes what follows from an event: whether the instance has joined, and since when it is behind.
func (f *Follower) settle(now time.Time) {
	if f.joinable(now) {
		f.Joined = true
	}
	if f.Force >= f.Highest {
		f.Behind = time.Time{}
		return
	}
	if f.Behind.IsZero() {
		f.Behind = now
	}
}

// Admits reports whether the instance may admit a request: it has joined, and within Stale it has heard from the store
// or from a peer that vouches, and it has not known for longer than Stale of an epoch that it cannot bring into force.
func (f *Follower) Admits(now time.Time) bool {
	return f.refusal(now) == ""
}

// refusal returns why the instance admits no request, or an empty text.
func (f *Follower) refusal(now time.Time) string {
	switch {
	case !f.Joined && !f.joinable(now):
		return "joining: the configuration in force is not known yet"
	case !f.Touch(now):
		return "cut off from the store and from all peers"
	case !f.Behind.IsZero() && now.Sub(f.Behind) >= f.Stale:
		return "behind: a newer configuration could not be brought into force"
	default:
		return ""
	}
}

// Ready reports whether the balancer may send requests here, and if not, why. An instance that cannot read the newest
// configuration is not ready at once, though it admits what still arrives.
func (f *Follower) Ready(now time.Time) (bool, string) {
	if f.Unreadable != "" {
		return false, f.Unreadable
	}
	reason := f.refusal(now)
	return reason == "", reason
}

// The bounds of the time between reads of the store's head.
const (
	// HeadReads is the number of reads of the head that the whole fleet makes in a second, once it is large.
	HeadReads = 150
	// MaxInterval is the longest time between two reads by one instance.
	MaxInterval = 2500 * time.Millisecond
)

// Interval returns the time between reads of the store's head in a fleet of live instances: the given least interval,
// or longer in a large fleet so that the fleet's reads stay at HeadReads a second, up to MaxInterval.
func Interval(least time.Duration, live int) time.Duration {
	spread := time.Duration(live) * time.Second / HeadReads
	return max(least, min(spread, MaxInterval))
}
