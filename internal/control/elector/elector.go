// Package elector decides which instance takes over a duty that one instance holds at a time.
//
// A duty is a row of the store with its holder and a fencing token that grows with each holder. It has no lease time:
// an instance takes it over by a conditional write once the holder is no longer among the live instances, and the
// endpoints refuse orders with an older token. So an instance that was paused or partitioned can do no harm, and a duty
// costs the store nothing while its holder stays the same.
package elector

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// Duty is the row of a duty.
type Duty struct {
	// Holder is the ID of the instance that holds the duty.
	Holder string `json:"holder"`
	// Token is the fencing token. It grows with each holder.
	Token int64 `json:"token"`
}

// Encode returns the JSON value of the row.
func (d Duty) Encode() []byte {
	b, err := json.Marshal(d)
	if err != nil {
		panic(err) // A struct of a string and a number can always be encoded as JSON.
	}
	return b
}

// maxToken bounds the tokens that are read: JSON readers that take numbers as floating-point numbers are exact up to it.
const maxToken = 1 << 53

// Decode parses the JSON value of a row. It returns an error if the token is below zero or so high that not enough can follow.
func Decode(b []byte) (Duty, error) {
	var d Duty
	if err := json.Unmarshal(b, &d); err != nil {
		return Duty{}, err
	}
	if d.Token < 0 || d.Token >= maxToken {
		return Duty{}, merry.Errorf("token %d is out of range", d.Token)
	}
	return d, nil
}

// The delays of a takeover.
const (
	// settleTime is how long an instance waits for others to be discovered before it takes over a duty.
	settleTime = 1200 * time.Millisecond
	// rankDelay is how much longer each instance waits than the one ranked before it, so that not all write at once.
	// From rank 8 on, all wait equally long.
	rankDelay = 700 * time.Millisecond
)

// Elector is the view of a duty on one instance. It is not safe for concurrent use.
type Elector struct {
	Self string
	// Duty is the duty as last read or written. DutyKnown reports whether it has been read or written.
	Duty      Duty
	DutyKnown bool
	// VacantSince is when the holder was first found missing. It is zero while the holder is live.
	VacantSince time.Time
	// CooldownUntil is the time before which this instance does not take over the duty, as an endpoint has seen a
	// higher token.
	CooldownUntil time.Time
}

// New returns the view of an instance that starts at now.
func New(now time.Time, self string) *Elector {
	return &Elector{Self: self, VacantSince: now}
}

// RecordDuty records the duty as reported by another instance or by the store. A duty whose token is not higher than
// the known one is ignored.
func (e *Elector) RecordDuty(_ time.Time, d Duty) {
	if e.DutyKnown && d.Token <= e.Duty.Token {
		return
	}
	e.Duty, e.DutyKnown, e.VacantSince = d, true, time.Time{}
}

// Holds reports whether this instance holds the duty.
func (e *Elector) Holds() bool {
	return e.DutyKnown && e.Duty.Holder == e.Self
}

// RecordTokenRejected records that an endpoint rejected the token of this instance. The instance gives up the duty and
// starts a cooldown.
func (e *Elector) RecordTokenRejected(now time.Time) {
	if e.Holds() {
		e.Duty.Holder = ""
	}
	e.CooldownUntil = now.Add(settleTime)
}

// ShouldTakeOver reports whether this instance is to take over the duty, and tracks since when the duty has been
// vacant. Live holds the IDs of the live instances, this one not included.
func (e *Elector) ShouldTakeOver(now time.Time, live []string) bool {
	if e.Holds() {
		return false
	}
	if e.DutyKnown && e.Duty.Holder != "" && slices.Contains(live, e.Duty.Holder) {
		e.VacantSince = time.Time{}
		return false
	}
	if e.VacantSince.IsZero() {
		e.VacantSince = now
	}
	rank := 0
	for _, id := range live {
		if id < e.Self {
			rank++
		}
	}
	return now.After(e.CooldownUntil) && now.Sub(e.VacantSince) >= settleTime+time.Duration(min(rank, 8))*rankDelay
}
