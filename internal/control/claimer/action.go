package claimer

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// Call identifies one attempt of a caller to have a non-idempotent call run.
type Call struct {
	Team string
	Key  Key
	// Service and Path name the call for operators.
	Service string
	Path    string
	// Print is the fingerprint of the call and its body.
	Print string
	// Attempt counts the caller's sends of the key from 1. A statement about an attempt covers all lower ones.
	Attempt int
	// Lookup is set if the service can be asked what became of a key.
	Lookup bool
}

// Row returns the key of the call's row. It begins with the day of the key, so that old rows stand together.
func (c Call) Row() string {
	return c.Key.Day + "/" + c.Team + "/" + c.Key.Text
}

// Limits are the times that bound a claim.
type Limits struct {
	// Send is the latest time at which the work may be sent.
	Send time.Time
	// Answer is the time by which the caller gets an answer.
	Answer time.Time
	// Settle is the time at which writing down the result is given up.
	Settle time.Time
	// Poll is the time between reads of a row that another instance owns.
	Poll time.Duration
}

// Step is what a claim needs next from its plumbing.
type Step int

// The steps of a claim.
const (
	// StepDone ends the claim.
	StepDone Step = iota
	// StepCommit writes Mutation and reports to Committed.
	StepCommit
	// StepRead reads the row and reports to Read.
	StepRead
	// StepSend sends the work once and reports to Sent.
	StepSend
	// StepAsk asks the service about the key and reports to Asked.
	StepAsk
	// StepPause waits until Until and reports to Resume.
	StepPause
)

// Action is the next step of a claim. Answer, if set, goes to the caller first.
type Action struct {
	Step     Step
	Mutation Mutation
	Until    time.Time
	Answer   *Answer
}

// Answer is what the caller is told.
type Answer struct {
	Verdict classifier.Verdict
	// Code is empty if the answer is the service's own.
	Code string
	// Reply is the service's answer, if it is known.
	Reply *Reply
	// Retry is set if sending the same key again, with a higher attempt, may help.
	Retry bool
}
