// Package leaser decides who may give orders to engines: one holder at a time, with a fencing number for the engines
// that check it, and a bounded time to order in for those that do not.
package leaser

import (
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// Table names the table of leases.
const Table = "leases"

// Terms are the times of a lease. An order starts at most Window after the holder began its latest write of the row,
// its holder may pause for Slack between the last check and the first byte, and it arrives within Order or not at all.
// The next holder waits for Length and Drift without a change of the row, and leaves the engines of unconfirmed orders
// alone for the rest of these times and for Run. All times are measured on one clock each: no clock is compared with
// another's.
type Terms struct {
	Length time.Duration
	Window time.Duration
	Order  time.Duration
	Slack  time.Duration
	// Drift is what two clocks may differ by over Length.
	Drift time.Duration
	// Renew is the time between writes of the holder, and Poll that between reads of the others.
	Renew time.Duration
	Poll  time.Duration
	// Run bounds an order's run on an engine.
	Run time.Duration
}

// DefaultTerms returns the terms in use.
func DefaultTerms() Terms {
	return Terms{
		Length: 5 * time.Second,
		Window: 4 * time.Second,
		Order:  2 * time.Second,
		Slack:  30 * time.Second,
		Drift:  250 * time.Millisecond,
		Renew:  2 * time.Second,
		Poll:   3 * time.Second,
		Run:    2 * time.Minute,
	}
}

// rest returns how long after a change of holder an order of the earlier one may still run.
func (t Terms) rest() time.Duration {
	return max(t.Window+t.Order+t.Slack-t.Length, 0) + t.Run
}

// Intent is an order that a holder was about to give. It is written before the order and stays until the engine is
// known to have done it or to have refused it.
type Intent struct {
	ID       string `json:"id"`
	Endpoint string `json:"endpoint"`
	Order    string `json:"order"`
	// Model, Version, From and To are the range of layers that the order is about.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	From    int    `json:"from,omitempty"`
	To      int    `json:"to,omitempty"`
}

// Record is the value of a lease's row, as JSON. An empty holder means that the lease was given back.
type Record struct {
	Holder string `json:"holder"`
	// Fence is raised by each change of holder.
	Fence int64 `json:"fence"`
	// Write identifies the write, so that a holder recognises its own after a lost answer.
	Write   string   `json:"write"`
	Intents []Intent `json:"intents,omitempty"`
}

// Row is a lease's row as found. Version 0 means that there is none.
type Row struct {
	Version int64
	Record  Record
}

// Step is what a lease needs next.
type Step int

// The steps of a lease.
const (
	// StepWait waits until Until.
	StepWait Step = iota
	// StepRead reads the row and reports to Observe.
	StepRead
	// StepWrite writes Record on condition of Version and reports to Written.
	StepWrite
)

// Action is the next step of a lease.
type Action struct {
	Step    Step
	Until   time.Time
	Version int64
	Record  Record
}

// Unconfirmed is an intent of an earlier holder.
type Unconfirmed struct {
	Intent Intent
	// Until is when its order has surely ended.
	Until time.Time
}

// Lease is one instance's part in a lease.
type Lease struct {
	Self  string
	Terms Terms
	// Row is the row as it was last seen, and Seen when this version was first seen.
	Row  Row
	Seen time.Time
	// Known is not set until the row was read, and while a write of this instance is in doubt.
	Known bool
	// Held is set while this instance is the holder, for all that it knows.
	Held bool
	// Released is set once this instance wants the lease no more.
	Released bool
	// Since is when the write that this instance holds the lease by was begun.
	Since time.Time
	// Idle is the time until which nothing is tried.
	Idle time.Time
	// Own are the intents of this instance, and Inherited those of earlier holders. The row holds both.
	Own       []Intent
	Inherited []Unconfirmed
	// Changes counts how often this instance became the holder.
	Changes int

	tried  Record
	began  time.Time
	number int64
	name   func(n int64) string
}

// New returns an instance's part in a lease. Self differs after a restart. Name returns the name of the instance's
// n-th write of the row, which must be unique over all instances.
func New(self string, t Terms, name func(n int64) string) *Lease {
	return &Lease{Self: self, Terms: t, name: name}
}

// Next returns the next step at now.
func (l *Lease) Next(now time.Time) Action {
	switch {
	case l.Released:
		return Action{Step: StepWait, Until: now.Add(l.Terms.Length)}
	case now.Before(l.Idle):
		return Action{Step: StepWait, Until: l.Idle}
	case !l.Known:
		return Action{Step: StepRead}
	case l.Held:
		return l.keep(now)
	case l.vacant(now):
		return l.take(now)
	default:
		return Action{Step: StepRead}
	}
}

// Observe takes the row as read. Now is when the answer came: the holder began its write before that.
func (l *Lease) Observe(now time.Time, r Row) {
	own := !l.Known && l.tried.Write != "" && r.Record.Write == l.tried.Write
	l.Known = true
	if r.Version != l.Row.Version || l.Seen.IsZero() {
		l.Row = r
		l.Seen = now
	}
	if own {
		l.hold()
		return
	}
	l.Held = l.Held && r.Record.Holder == l.Self
	if !l.Held {
		l.Idle = l.later(now)
	}
}

// Unreadable takes a read that failed.
func (l *Lease) Unreadable(now time.Time) {
	l.Idle = now.Add(l.Terms.Renew / 4)
}

// Written takes the outcome of the write last asked for. If the write was not applied, r is the row found.
func (l *Lease) Written(now time.Time, o classifier.Outcome, applied bool, r Row) {
	switch {
	case o.NotRun():
		l.Idle = now.Add(l.Terms.Renew / 4)
	case o != classifier.Completed:
		l.Known = false
	case applied:
		l.Row = Row{Version: r.Version, Record: l.tried}
		l.Seen = now
		l.hold()
	default:
		l.Held = false
		l.Observe(now, r)
	}
}

// Begin asks for an order to an endpoint. It returns false if this instance is not the holder or if another order to
// the endpoint is unconfirmed. The order may be given once Ready allows it.
func (l *Lease) Begin(now time.Time, i Intent) bool {
	if !l.Held || l.Busy(now, i.Endpoint) {
		return false
	}
	l.Own = append(l.Own, i)
	return true
}

// Busy reports whether an order to an endpoint may still run or start.
func (l *Lease) Busy(now time.Time, endpoint string) bool {
	l.expire(now)
	for _, i := range l.intents() {
		if i.Endpoint == endpoint {
			return true
		}
	}
	return false
}

// Ready returns the time by which the last byte of an order must have left, and whether it may be started at now.
func (l *Lease) Ready(now time.Time, id string) (time.Time, bool) {
	limit := l.Since.Add(l.Terms.Window)
	written := slices.ContainsFunc(l.Row.Record.Intents, func(i Intent) bool { return i.ID == id })
	if !l.Held || !l.Known || !written || !now.Before(limit) {
		return time.Time{}, false
	}
	return limit, true
}

// End removes an intent whose order is known to be done, or not to have run and not to run later.
func (l *Lease) End(id string) {
	l.Own = slices.DeleteFunc(l.Own, func(i Intent) bool { return i.ID == id })
	l.Inherited = slices.DeleteFunc(l.Inherited, func(u Unconfirmed) bool { return u.Intent.ID == id })
}

// Abandon keeps the endpoint of an order of this instance, of which nothing was heard, from others for as long as the
// order may start and run.
func (l *Lease) Abandon(now time.Time, id string) {
	for _, i := range l.Own {
		if i.ID == id {
			l.Inherited = append(l.Inherited, Unconfirmed{Intent: i, Until: now.Add(l.Terms.rest())})
		}
	}
	l.Own = slices.DeleteFunc(l.Own, func(i Intent) bool { return i.ID == id })
}

// Release returns the write that gives the lease back. The unconfirmed intents stay in the row.
func (l *Lease) Release() (Action, bool) {
	l.Released = true
	if !l.Held || !l.Known {
		return Action{}, false
	}
	l.Held = false
	l.number++
	r := Record{Fence: l.Row.Record.Fence, Write: l.name(l.number), Intents: l.intents()}
	return Action{Step: StepWrite, Version: l.Row.Version, Record: r}, true
}

// keep renews the lease when it is time to, or when an intent is not yet in the row.
func (l *Lease) keep(now time.Time) Action {
	due := l.Since.Add(l.Terms.Renew)
	for _, i := range l.Own {
		if !slices.Contains(l.Row.Record.Intents, i) {
			due = now
		}
	}
	if now.Before(due) {
		return Action{Step: StepWait, Until: due}
	}
	return l.put(now, l.Row.Record.Fence)
}

// vacant reports whether the row's holder has given the lease back or has surely let it lapse.
func (l *Lease) vacant(now time.Time) bool {
	holder := l.Row.Record.Holder
	return holder == "" || holder == l.Self || !now.Before(l.free())
}

// take makes this instance the holder. Orders of the one before can start no more, but may run.
func (l *Lease) take(now time.Time) Action {
	l.Own, l.Inherited = nil, nil
	for _, i := range l.Row.Record.Intents {
		l.Inherited = append(l.Inherited, Unconfirmed{Intent: i, Until: now.Add(l.Terms.rest())})
	}
	return l.put(now, l.Row.Record.Fence+1)
}

// put writes the row.
func (l *Lease) put(now time.Time, fence int64) Action {
	l.expire(now)
	l.number++
	l.began = now
	l.tried = Record{Holder: l.Self, Fence: fence, Write: l.name(l.number), Intents: l.intents()}
	return Action{Step: StepWrite, Version: l.Row.Version, Record: l.tried}
}

// hold notes that the last write took effect.
func (l *Lease) hold() {
	if !l.Held {
		l.Changes++
	}
	l.Held = true
	l.Since = l.began
}

// expire drops the inherited intents whose orders have surely ended.
func (l *Lease) expire(now time.Time) {
	l.Inherited = slices.DeleteFunc(l.Inherited, func(u Unconfirmed) bool { return !now.Before(u.Until) })
}

// intents returns all unconfirmed intents.
func (l *Lease) intents() []Intent {
	var all []Intent
	for _, u := range l.Inherited {
		all = append(all, u.Intent)
	}
	return append(all, l.Own...)
}

// free returns when the lease of the holder in the row has surely lapsed.
func (l *Lease) free() time.Time {
	return l.Seen.Add(l.Terms.Length + l.Terms.Drift)
}

// later returns when another holder's row is looked at again.
func (l *Lease) later(now time.Time) time.Time {
	if l.vacant(now) {
		return now
	}
	return earlier(now.Add(l.Terms.Poll), l.free())
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
