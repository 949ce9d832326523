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
	LeaseDuration time.Duration
	OrderWindow   time.Duration
	OrderTimeout  time.Duration
	MaxPause      time.Duration
	// MaxClockDrift is what two clocks may differ by over LeaseDuration.
	MaxClockDrift time.Duration
	// RenewInterval is the time between writes by the holder, and PollInterval that between reads by the other
	// instances.
	RenewInterval time.Duration
	PollInterval  time.Duration
	// MaxRunTime bounds how long an order runs on an engine.
	MaxRunTime time.Duration
}

// DefaultTerms returns the terms used in production.
func DefaultTerms() Terms {
	return Terms{
		LeaseDuration: 5 * time.Second,
		OrderWindow:   4 * time.Second,
		OrderTimeout:  2 * time.Second,
		MaxPause:      30 * time.Second,
		MaxClockDrift: 250 * time.Millisecond,
		RenewInterval: 2 * time.Second,
		PollInterval:  3 * time.Second,
		MaxRunTime:    2 * time.Minute,
	}
}

// remainingOrderTime returns how long after a change of holder an order of the earlier holder may still run.
func (t Terms) remainingOrderTime() time.Duration {
	return max(t.OrderWindow+t.OrderTimeout+t.MaxPause-t.LeaseDuration, 0) + t.MaxRunTime
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
	WriteID string   `json:"write"`
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
	Row       Row
	RowSeenAt time.Time
	// RowKnown is false until the row has been read, and while the outcome of a write of this instance is unknown.
	RowKnown bool
	// Held reports whether this instance is the holder, as far as it knows.
	Held bool
	// Released reports whether this instance has released the lease and no longer tries to acquire it.
	Released bool
	// RenewedAt is when this instance began the write by which it holds the lease.
	RenewedAt time.Time
	// IdleUntil is the time before which the lease neither reads nor writes the row.
	IdleUntil time.Time
	// OwnIntents are the intents of this instance, and InheritedIntents those of earlier holders. The row holds both.
	OwnIntents       []Intent
	InheritedIntents []Unconfirmed
	// AcquiredCount counts how often this instance became the holder.
	AcquiredCount int

	lastRecord  Record
	lastWriteAt time.Time
	writeCount  int64
	newWriteID  func(n int64) string
}

// New returns the state of a lease on one instance. Self must differ after a restart. The function newWriteID returns
// the ID of the n-th write of the row by this instance, which must be unique over all instances.
func New(self string, t Terms, newWriteID func(n int64) string) *Lease {
	return &Lease{Self: self, Terms: t, newWriteID: newWriteID}
}

// Next returns the next step at now.
func (l *Lease) Next(now time.Time) Action {
	switch {
	case l.Released:
		return Action{Step: StepWait, Until: now.Add(l.Terms.LeaseDuration)}
	case now.Before(l.IdleUntil):
		return Action{Step: StepWait, Until: l.IdleUntil}
	case !l.RowKnown:
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
func (l *Lease) HandleRead(now time.Time, r Row) {
	own := !l.RowKnown && l.lastRecord.WriteID != "" && r.Record.WriteID == l.lastRecord.WriteID
	l.RowKnown = true
	if r.Version != l.Row.Version || l.RowSeenAt.IsZero() {
		l.Row = r
		l.RowSeenAt = now
	}
	if own {
		l.markHeld()
		return
	}
	l.Held = l.Held && r.Record.Holder == l.Self
	if !l.Held {
		l.IdleUntil = l.nextReadAt(now)
	}
}

// HandleReadError records that a read failed, and delays the next step by a quarter of RenewInterval.
func (l *Lease) HandleReadError(now time.Time) {
	l.IdleUntil = now.Add(l.Terms.RenewInterval / 4)
}

// HandleWrite records the outcome of the last write. If the write was not applied, r is the row that was found instead.
func (l *Lease) HandleWrite(now time.Time, o classifier.Outcome, applied bool, r Row) {
	switch {
	case o.NotRun():
		l.IdleUntil = now.Add(l.Terms.RenewInterval / 4)
	case o != classifier.Completed:
		l.RowKnown = false
	case applied:
		l.Row = Row{Version: r.Version, Record: l.lastRecord}
		l.RowSeenAt = now
		l.markHeld()
	default:
		l.Held = false
		l.HandleRead(now, r)
	}
}

// AddIntent adds the intent of an order to an endpoint. It returns false if this instance is not the holder or if
// another order to the endpoint is unconfirmed. The order may be given once OrderDeadline allows it.
func (l *Lease) AddIntent(now time.Time, i Intent) bool {
	if !l.Held || l.Busy(now, i.Endpoint) {
		return false
	}
	l.OwnIntents = append(l.OwnIntents, i)
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
func (l *Lease) OrderDeadline(now time.Time, id string) (time.Time, bool) {
	deadline := l.RenewedAt.Add(l.Terms.OrderWindow)
	written := slices.ContainsFunc(l.Row.Record.Intents, func(i Intent) bool { return i.ID == id })
	if !l.Held || !l.RowKnown || !written || !now.Before(deadline) {
		return time.Time{}, false
	}
	return deadline, true
}

// RemoveIntent removes an intent whose order is known to be done, or known neither to have run nor to run later.
func (l *Lease) RemoveIntent(id string) {
	l.OwnIntents = slices.DeleteFunc(l.OwnIntents, func(i Intent) bool { return i.ID == id })
	l.InheritedIntents = slices.DeleteFunc(l.InheritedIntents, func(u Unconfirmed) bool { return u.Intent.ID == id })
}

// MarkUnconfirmed handles an order of this instance whose outcome is unknown: its endpoint gets no other order for as
// long as this one may start and run.
func (l *Lease) MarkUnconfirmed(now time.Time, id string) {
	for _, i := range l.OwnIntents {
		if i.ID == id {
			l.InheritedIntents = append(l.InheritedIntents, Unconfirmed{Intent: i, Until: now.Add(l.Terms.remainingOrderTime())})
		}
	}
	l.OwnIntents = slices.DeleteFunc(l.OwnIntents, func(i Intent) bool { return i.ID == id })
}

// Release returns the write that releases the lease. The unconfirmed intents stay in the row.
func (l *Lease) Release() (Action, bool) {
	l.Released = true
	if !l.Held || !l.RowKnown {
		return Action{}, false
	}
	l.Held = false
	l.writeCount++
	r := Record{Fence: l.Row.Record.Fence, WriteID: l.newWriteID(l.writeCount), Intents: l.intents()}
	return Action{Step: StepWrite, Version: l.Row.Version, Record: r}, true
}

// renew renews the lease when RenewInterval has passed or when an intent is not yet in the row.
func (l *Lease) renew(now time.Time) Action {
	due := l.RenewedAt.Add(l.Terms.RenewInterval)
	for _, i := range l.OwnIntents {
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
	l.OwnIntents, l.InheritedIntents = nil, nil
	for _, i := range l.Row.Record.Intents {
		l.InheritedIntents = append(l.InheritedIntents, Unconfirmed{Intent: i, Until: now.Add(l.Terms.remainingOrderTime())})
	}
	return l.writeRow(now, l.Row.Record.Fence+1)
}

// writeRow returns the write of the row with this instance as the holder and all unconfirmed intents.
func (l *Lease) writeRow(now time.Time, fence int64) Action {
	l.expireIntents(now)
	l.writeCount++
	l.lastWriteAt = now
	l.lastRecord = Record{Holder: l.Self, Fence: fence, WriteID: l.newWriteID(l.writeCount), Intents: l.intents()}
	return Action{Step: StepWrite, Version: l.Row.Version, Record: l.lastRecord}
}

// markHeld records that the last write took effect.
func (l *Lease) markHeld() {
	if !l.Held {
		l.AcquiredCount++
	}
	l.Held = true
	l.RenewedAt = l.lastWriteAt
}

// expireIntents drops the inherited intents whose orders have certainly ended.
func (l *Lease) expireIntents(now time.Time) {
	l.InheritedIntents = slices.DeleteFunc(l.InheritedIntents, func(u Unconfirmed) bool { return !now.Before(u.Until) })
}

// intents returns all unconfirmed intents, the inherited ones first.
func (l *Lease) intents() []Intent {
	var all []Intent
	for _, u := range l.InheritedIntents {
		all = append(all, u.Intent)
	}
	return append(all, l.OwnIntents...)
}

// lapsesAt returns the time at which the lease of the holder in the row has certainly lapsed.
func (l *Lease) lapsesAt() time.Time {
	return l.RowSeenAt.Add(l.Terms.LeaseDuration + l.Terms.MaxClockDrift)
}

// nextReadAt returns when the row of another holder is read again.
func (l *Lease) nextReadAt(now time.Time) time.Time {
	if l.isVacant(now) {
		return now
	}
	return earlier(now.Add(l.Terms.PollInterval), l.lapsesAt())
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
