package claimer

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// Call identifies one attempt of a caller to run a non-idempotent call.
type Call struct {
	Team string
	Key  Key
	// Service and Path describe the call to operators.
	Service string
	Path    string
	// Print is the fingerprint of the call and its body.
	Print string
	// Attempt counts from 1 how often the caller has sent the key. An outcome recorded for an attempt covers all lower
	// ones.
	Attempt int
	// Lookup reports whether the service can be queried about a key.
	Lookup bool
}

// RowKey returns the key of the row of the call. It begins with the day of the key, so that old rows are adjacent.
func (c Call) RowKey() string {
	return c.Key.Day + "/" + c.Team + "/" + c.Key.Text
}

// Limits are the times that bound a claim.
type Limits struct {
	// Send is the latest time at which the work may be sent.
	Send time.Time
	// Answer is the time by which the caller gets an answer.
	Answer time.Time
	// Settle is the time after which the claim no longer tries to write the result.
	Settle time.Time
	// Poll is the time between reads of a row that another instance owns.
	Poll time.Duration
}

// Step is what the caller of a claim has to do next.
type Step int

// The steps of a claim.
const (
	// StepDone ends the claim.
	StepDone Step = iota
	// StepCommit writes Mutation and reports to HandleCommit.
	StepCommit
	// StepRead reads the row and reports to HandleRead.
	StepRead
	// StepSend sends the work once and reports to HandleSend.
	StepSend
	// StepQuery queries the service about the key and reports to HandleQuery.
	StepQuery
	// StepPause waits until Until and reports to Resume.
	StepPause
)

// Action is the next step of a claim. Answer, if not nil, is sent to the caller first.
type Action struct {
	Step     Step
	Mutation Mutation
	Until    time.Time
	Answer   *Answer
}

// Answer is what the caller receives.
type Answer struct {
	Verdict classifier.Verdict
	// Code is empty if the answer is that of the service.
	Code string
	// Reply is the response of the service, if it is known.
	Reply *Reply
	// Retryable reports whether sending the same key again, with a higher attempt, may help.
	Retryable bool
}
