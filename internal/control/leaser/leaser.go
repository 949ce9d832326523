// Package leaser decides which instance may give orders to engines. One instance at a time holds the lease. Its orders
// carry a fencing token for the engines that check it, and may start only within a bounded time for the engines that do
// not.
package leaser

import (
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// Table is the name of the table of leases.
const Table = "leases"

// Terms are the durations of a lease. An order starts at most OrderWindow after the holder began its latest write of
// the row. The holder may pause for MaxPause between the last check and the first byte, and the order arrives within
// OrderTimeout or not at all. The next holder waits for LeaseDuration and MaxClockDrift without a change of the row,
// and sends no order to the engines of unconfirmed orders for the rest of these times and for MaxRunTime. Each duration
// is measured on one clock: clocks of different machines are never compared.
type Terms struct {
	Length time.Duration
	Window time.Duration
	Order  time.Duration
	Slack  time.Duration
	// MaxClockDrift is what two clocks may differ by over LeaseDuration.
	Drift time.Duration
	// RenewInterval is the time between writes by the holder, and PollInterval that between reads by the other
	// instances.
	Renew time.Duration
	Poll  time.Duration
	// MaxRunTime bounds how long an order runs on an engine.
	Run time.Duration
}

// DefaultTerms returns the terms used in production.
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

// remainingOrderTime returns how long after a change of holder an order of the earlier holder may still run.
func (t Terms) remainingOrderTime() time.Duration {
	return max(t.Window+t.Order+t.Slack-t.Length, 0) + t.Run
}

// Intent is an order that a holder is about to give. It is written to the row before the order is sent, and stays there
// until the engine is known to have carried out or refused the order.
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

// Record is the value of the row of a lease, as JSON. An empty holder means that the lease was released.
type Record struct {
	Holder string `json:"holder"`
	// Fence is the fencing token. Each change of holder raises it.
	Fence int64 `json:"fence"`
	// WriteID identifies the write, so that a holder recognises its own write after the answer to it was lost.
	Write   string   `json:"write"`
	Intents []Intent `json:"intents,omitempty"`
}

// Row is the row of a lease as read. Version 0 means that there is no row.
type Row struct {
	Version int64
	Record  Record
}

// Step is what the caller of a lease has to do next.
type Step int

// The steps of a lease.
const (
	// StepWait waits until Until.
	StepWait Step = iota
	// StepRead reads the row and reports to HandleRead.
	StepRead
	// StepWrite writes Record on condition of Version and reports to HandleWrite.
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
	// Until is the time at which its order has certainly ended.
	Until time.Time
}

// Lease is the state of a lease on one instance.
type Lease struct {
	Self  string
	Terms Terms
	// Row is the row as last read or written, and RowSeenAt is when this version of it was first seen.
	Row  Row
	Seen time.Time
	// RowKnown is false until the row has been read, and while the outcome of a write of this instance is unknown.
	Known bool
	// Held reports whether this instance is the holder, as far as it knows.
	Held bool
	// Released reports whether this instance has released the lease and no longer tries to acquire it.
	Released bool
	// RenewedAt is when this instance began the write by which it holds the lease.
	Since time.Time
	// IdleUntil is the time before which the lease neither reads nor writes the row.
	Idle time.Time
	// OwnIntents are the intents of this instance, and InheritedIntents those of earlier holders. The row holds both.
	Own       []Intent
	Inherited []Unconfirmed
	// AcquiredCount counts how often this instance became the holder.
	Changes int

	lastRecord  Record
	lastWriteAt time.Time
	writeCount  int64
	newWriteID  func(n int64) string
}

// New returns the state of a lease on one instance. Self must differ after a restart. NewWriteID returns the ID of the
// n-th write of the row by this instance, which must be unique over all instances.
func New(self string, t Terms, newWriteID func(n int64) string) *Lease {
	return &Lease{Self: self, Terms: t, newWriteID: newWriteID}
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
		return l.renew(now)
	case l.isVacant(now):
		return l.takeOver(now)
	default:
		return Action{Step: StepRead}
	}
}

// HandleRead records the row as read. Now is the time at which the answer arrived: the holder began its write before
// that.
func (l *Lease) Observe(now time.Time, r Row) {
	own := !l.Known && l.lastRecord.Write != "" && r.Record.Write == l.lastRecord.Write
	l.Known = true
	if r.Version != l.Row.Version || l.Seen.IsZero() {
		l.Row = r
		l.Seen = now
	}
	if own {
		l.markHeld()
		return
	}
	l.Held = l.Held && r.Record.Holder == l.Self
	if !l.Held {
		l.Idle = l.nextReadAt(now)
	}
}

// HandleReadError records that a read failed, and delays the next step by a quarter of RenewInterval.
func (l *Lease) Unreadable(now time.Time) {
	l.Idle = now.Add(l.Terms.Renew / 4)
}

// HandleWrite records the outcome of the last write. If the write was not applied, r is the row that was found instead.
func (l *Lease) Written(now time.Time, o classifier.Outcome, applied bool, r Row) {
	switch {
	case o.NotRun():
		l.Idle = now.Add(l.Terms.Renew / 4)
	case o != classifier.Completed:
		l.Known = false
	case applied:
		l.Row = Row{Version: r.Version, Record: l.lastRecord}
		l.Seen = now
		l.markHeld()
	default:
		l.Held = false
		l.Observe(now, r)
	}
}

// AddIntent adds the intent of an order to an endpoint. It returns false if this instance is not the holder or if
// another order to the endpoint is unconfirmed. The order may be given once OrderDeadline allows it.
func (l *Lease) Begin(now time.Time, i Intent) bool {
	if !l.Held || l.Busy(now, i.Endpoint) {
		return false
	}
	l.Own = append(l.Own, i)
	return true
}

// Busy reports whether an earlier order to an endpoint may still start or run.
func (l *Lease) Busy(now time.Time, endpoint string) bool {
	l.expireIntents(now)
	for _, i := range l.intents() {
		if i.Endpoint == endpoint {
			return true
		}
	}
	return false
}

// OrderDeadline returns the time by which the last byte of an order must have been sent, and whether the order may
// start at now.
func (l *Lease) Ready(now time.Time, id string) (time.Time, bool) {
	deadline := l.Since.Add(l.Terms.Window)
	written := slices.ContainsFunc(l.Row.Record.Intents, func(i Intent) bool { return i.ID == id })
	if !l.Held || !l.Known || !written || !now.Before(deadline) {
		return time.Time{}, false
	}
	return deadline, true
}

// RemoveIntent removes an intent whose order is known to be done, or known neither to have run nor to run later.
func (l *Lease) End(id string) {
	l.Own = slices.DeleteFunc(l.Own, func(i Intent) bool { return i.ID == id })
	l.Inherited = slices.DeleteFunc(l.Inherited, func(u Unconfirmed) bool { return u.Intent.ID == id })
}

// MarkUnconfirmed handles an order of this instance whose outcome is unknown: its endpoint gets no other order for as
// long as this one may start and run.
func (l *Lease) Abandon(now time.Time, id string) {
	for _, i := range l.Own {
		if i.ID == id {
			l.Inherited = append(l.Inherited, Unconfirmed{Intent: i, Until: now.Add(l.Terms.remainingOrderTime())})
		}
	}
	l.Own = slices.DeleteFunc(l.Own, func(i Intent) bool { return i.ID == id })
}

// Release returns the write that releases the lease. The unconfirmed intents stay in the row.
func (l *Lease) Release() (Action, bool) {
	l.Released = true
	if !l.Held || !l.Known {
		return Action{}, false
	}
	l.Held = false
	l.writeCount++
	r := Record{Fence: l.Row.Record.Fence, Write: l.newWriteID(l.writeCount), Intents: l.intents()}
	return Action{Step: StepWrite, Version: l.Row.Version, Record: r}, true
}

// renew renews the lease when RenewInterval has passed or when an intent is not yet in the row.
func (l *Lease) renew(now time.Time) Action {
	due := l.Since.Add(l.Terms.Renew)
	for _, i := range l.Own {
		if !slices.Contains(l.Row.Record.Intents, i) {
			due = now
		}
	}
	if now.Before(due) {
		return Action{Step: StepWait, Until: due}
	}
	return l.writeRow(now, l.Row.Record.Fence)
}

// isVacant reports whether the holder in the row has released the lease or its lease has certainly lapsed.
func (l *Lease) isVacant(now time.Time) bool {
	holder := l.Row.Record.Holder
	return holder == "" || holder == l.Self || !now.Before(l.lapsesAt())
}

// takeOver makes this instance the holder. Orders of the earlier holder can no longer start, but may still run.
func (l *Lease) takeOver(now time.Time) Action {
	l.Own, l.Inherited = nil, nil
	for _, i := range l.Row.Record.Intents {
		l.Inherited = append(l.Inherited, Unconfirmed{Intent: i, Until: now.Add(l.Terms.remainingOrderTime())})
	}
	return l.writeRow(now, l.Row.Record.Fence+1)
}

// writeRow returns the write of the row with this instance as the holder and all unconfirmed intents.
func (l *Lease) writeRow(now time.Time, fence int64) Action {
	l.expireIntents(now)
	l.writeCount++
	l.lastWriteAt = now
	l.lastRecord = Record{Holder: l.Self, Fence: fence, Write: l.newWriteID(l.writeCount), Intents: l.intents()}
	return Action{Step: StepWrite, Version: l.Row.Version, Record: l.lastRecord}
}

// markHeld records that the last write took effect.
func (l *Lease) markHeld() {
	if !l.Held {
		l.Changes++
	}
	l.Held = true
	l.Since = l.lastWriteAt
}

// expireIntents drops the inherited intents whose orders have certainly ended.
func (l *Lease) expireIntents(now time.Time) {
	l.Inherited = slices.DeleteFunc(l.Inherited, func(u Unconfirmed) bool { return !now.Before(u.Until) })
}

// intents returns all unconfirmed intents, the inherited ones first.
func (l *Lease) intents() []Intent {
	var all []Intent
	for _, u := range l.Inherited {
		all = append(all, u.Intent)
	}
	return append(all, l.Own...)
}

// lapsesAt returns the time at which the lease of the holder in the row has certainly lapsed.
func (l *Lease) lapsesAt() time.Time {
	return l.Seen.Add(l.Terms.Length + l.Terms.Drift)
}

// nextReadAt returns when the row of another holder is read again.
func (l *Lease) nextReadAt(now time.Time) time.Time {
	if l.isVacant(now) {
		return now
	}
	return earlier(now.Add(l.Terms.Poll), l.lapsesAt())
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
