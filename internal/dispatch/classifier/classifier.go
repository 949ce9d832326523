// Package classifier classifies the attempts of a call: whether the work ran, did not run, or may have run.
package classifier

// Outcome is the result of one attempt to send work to an endpoint or to the platform. The zero value is Unknown, so
// an outcome that was never set is never reported as not run.
type Outcome int

// The outcomes of an attempt.
const (
	// Unknown means that the work may have run.
	Unknown Outcome = iota
	// NotSent means that no byte of the work left this process.
	NotSent
	// Refused means that the receiver rejected the work before running it.
	Refused
	// Completed means that the receiver ran the work and its result is known.
	Completed
)

// String returns the outcome's name in headers and logs.
func (o Outcome) String() string {
	switch o {
	case NotSent:
		return "not-sent"
	case Refused:
		return "refused"
	case Completed:
		return "completed"
	default:
		return "unknown"
	}
}

// NotRun reports whether the outcome proves that the work did not run.
func (o Outcome) NotRun() bool {
	return o == NotSent || o == Refused
}

// Verdict is the result of a call as reported to its caller, derived from the outcomes of all its attempts. The zero
// value is VerdictUnknown.
type Verdict int

// The verdicts of a call.
const (
	// VerdictUnknown means that the call may have run.
	VerdictUnknown Verdict = iota
	// VerdictNotRun means that no attempt of the call ran.
	VerdictNotRun
	// VerdictCompleted means that the call ran and its result is known.
	VerdictCompleted
)

// String returns the verdict as sent to callers in the Heatherrock-Outcome header.
func (v Verdict) String() string {
	switch v {
	case VerdictNotRun:
		return "not-run"
	case VerdictCompleted:
		return "completed"
	default:
		return "unknown"
	}
}

// Combine returns the verdict of a call from the outcomes of its attempts. A call without attempts did not run.
// One completed attempt completes the call. The verdict is VerdictNotRun only if no attempt can have run.
func Combine(outcomes ...Outcome) Verdict {
	verdict := VerdictNotRun
	for _, o := range outcomes {
		if o == Completed {
			return VerdictCompleted
		}
		if !o.NotRun() {
			verdict = VerdictUnknown
		}
	}
	return verdict
}

// statusTooManyRequests is the status by which a receiver rejects a request because of a rate limit (RFC 6585).
const statusTooManyRequests = 429

// ResponseOutcome returns the outcome of a complete HTTP response. Verdict is the value of its Heatherrock-Outcome
// header, in which a receiver may state that it did not run the work. A server error without that statement proves
// nothing, since the receiver may have failed after the effect, or an intermediary may have sent the response.
func ResponseOutcome(status int, verdict string) Outcome {
	switch {
	case verdict == VerdictNotRun.String(), status == statusTooManyRequests:
		return Refused
	case status >= 500 && verdict != VerdictCompleted.String():
		return Unknown
	default:
		return Completed
	}
}
