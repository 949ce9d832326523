// Package elector decides which instance takes a duty that one instance has at a time.
//
// A duty is a row of the store with its holder and a token that grows with each holder. It has no term: an instance takes
// it over by a conditional write once the holder is no longer among the living, and the endpoints refuse orders with an
// older token. So an instance that was paused or cut off can do no harm, and a duty costs the store nothing while it stays
// where it is.
package elector

import (
	"encoding/json"
	"slices"
	"time"
)

// Duty is the row of a duty.
type Duty struct {
	// Holder is the instance that has it.
	Holder string `json:"holder"`
	// Token grows with each holder.
	Token int64 `json:"token"`
}

// Encode returns the row's value.
func (d Duty) Encode() []byte {
	b, err := json.Marshal(d)
	if err != nil {
		panic(err) // A struct of a string and a number has a form in JSON.
	}
	return b
}

// Decode reads a row's value.
func Decode(b []byte) (Duty, error) {
	var d Duty
	err := json.Unmarshal(b, &d)
	return d, err
}

// The bounds of a takeover.
const (
	// settle is how long an instance looks for others before it takes a duty.
	settle = 1200 * time.Millisecond
	// turn is how much longer each instance waits than the one before it, so that not all write at once.
	turn = 700 * time.Millisecond
)

// Elector is one instance's view of a duty. It is not safe for concurrent use.
type Elector struct {
	Self string
	// Duty is the duty as last read or written, and Known is set once it has been.
	Duty  Duty
	Known bool
	// Vacant is when the holder was first found missing; zero while it is there.
	Vacant time.Time
	// Barred is until when this instance does not take the duty, as another has shown a higher token.
	Barred time.Time
}

// New returns the view of an instance that starts at now.
func New(now time.Time, self string) *Elector {
	return &Elector{Self: self, Vacant: now}
}

// Learn takes in the duty as another instance or the store tells it. Older news is ignored.
func (e *Elector) Learn(_ time.Time, d Duty) {
	if e.Known && d.Token <= e.Duty.Token {
		return
	}
	e.Duty, e.Known, e.Vacant = d, true, time.Time{}
}

// Holds reports whether this instance has the duty.
func (e *Elector) Holds() bool {
	return e.Known && e.Duty.Holder == e.Self
}

// Fenced takes in that an endpoint refused this instance's token.
func (e *Elector) Fenced(now time.Time) {
	if e.Holds() {
		e.Duty.Holder = ""
	}
	e.Barred = now.Add(settle)
}

// Wants reports whether this instance is to take the duty, with the living instances, itself not included.
func (e *Elector) Wants(now time.Time, living []string) bool {
	if e.Holds() {
		return false
	}
	if e.Known && e.Duty.Holder != "" && slices.Contains(living, e.Duty.Holder) {
		e.Vacant = time.Time{}
		return false
	}
	if e.Vacant.IsZero() {
		e.Vacant = now
	}
	rank := 0
	for _, id := range living {
		if id < e.Self {
			rank++
		}
	}
	return now.After(e.Barred) && now.Sub(e.Vacant) >= settle+time.Duration(min(rank, 8))*turn
}
