package claimer

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is something that goes wrong at a step of the protocol.
type Fault string

// The faults of a step.
const (
	// FaultDie ends the claim's owner before the step leaves it.
	FaultDie Fault = "owner dies before"
	// FaultGone ends the claim's owner once the step has left it.
	FaultGone Fault = "owner dies after"
	// FaultPause stops the owner between the decision and the step.
	FaultPause Fault = "owner pauses before"
	// FaultWake stops the owner between the step and its answer.
	FaultWake Fault = "owner pauses after"
	// FaultLost loses the answer after the effect.
	FaultLost Fault = "answer lost"
	// FaultLate lets the step take effect long after it was given up.
	FaultLate Fault = "effect late"
	// FaultDropped loses the step before its effect.
	FaultDropped Fault = "step lost"
	// FaultSilent loses the answer after the effect, and tells so only after a timeout.
	FaultSilent Fault = "connection silent"
	// FaultRefused has the receiver refuse the step.
	FaultRefused Fault = "refused"
	// FaultDown takes the table away for long, from this step on.
	FaultDown Fault = "table down"
	// FaultCaller loses the answer to the caller.
	FaultCaller Fault = "caller cut off"
	// FaultDelayed delivers the caller's request late.
	FaultDelayed Fault = "request late"
)

// Step is a step of the protocol at which a fault can strike.
type Step string

// The steps of a claim.
const (
	StepArrive Step = "arrive"
	StepClaim  Step = "claim"
	StepBlock  Step = "block"
	StepRead   Step = "read"
	StepSend   Step = "send"
	StepAsk    Step = "ask"
	StepRecord Step = "record"
	StepAnswer Step = "answer"
)

// steps lists the steps in the order of the protocol.
var steps = []Step{StepArrive, StepClaim, StepBlock, StepRead, StepSend, StepAsk, StepRecord, StepAnswer}

// faults lists the faults that can strike each step.
func faults(s Step) []Fault {
	switch s {
	case StepArrive:
		return []Fault{FaultDelayed}
	case StepAnswer:
		return []Fault{FaultCaller}
	case StepSend, StepAsk:
		return []Fault{
			FaultDie, FaultGone, FaultPause, FaultWake, FaultLost, FaultLate, FaultDropped, FaultSilent, FaultRefused,
		}
	default:
		return []Fault{
			FaultDie, FaultGone, FaultPause, FaultWake, FaultLost, FaultLate, FaultDropped, FaultSilent, FaultRefused,
			FaultDown,
		}
	}
}

// Injection is a fault at the step of one attempt. Long is how long it lasts where it lasts.
type Injection struct {
	Step    Step
	Attempt int
	Fault   Fault
	Long    time.Duration
}

// Plan is the faults that strike one hold, and how its caller behaves.
type Plan struct {
	Injections []Injection
	// Asked is set if the service can be asked about a key.
	Asked bool
	// Fenced is set if the service runs a key once only by itself.
	Fenced bool
	// Resend is how the caller sends again.
	Resend Resend
}

// Resend is a caller's way to send again.
type Resend string

// The ways to send again.
const (
	// ResendNever sends once.
	ResendNever Resend = "never"
	// ResendAfter sends again at another instance if the answer does not settle the matter or does not come.
	ResendAfter Resend = "after"
	// ResendRace sends two attempts to different instances at once, and then as ResendAfter.
	ResendRace Resend = "race"
)

// resends lists the ways to send again.
var resends = []Resend{ResendNever, ResendAfter, ResendRace}

// lengths are how long a fault lasts: past the time to send, past a resend, and past all times of a caller.
var lengths = []time.Duration{1500 * time.Millisecond, 4 * time.Second, 20 * time.Second}

// lasts reports whether a fault has a length.
func lasts(f Fault) bool {
	return slices.Contains([]Fault{FaultPause, FaultWake, FaultLate, FaultDown, FaultDelayed}, f)
}

// injections returns each fault at each step of an attempt, in each length.
func injections(attempt int) []Injection {
	var all []Injection
	for _, s := range steps {
		for _, f := range faults(s) {
			for _, long := range lengths {
				all = append(all, Injection{Step: s, Attempt: attempt, Fault: f, Long: long})
				if !lasts(f) {
					break
				}
			}
		}
	}
	return all
}

// product returns a plan for each fault at each step, each way to send again, and each kind of service.
func product() []Plan {
	var plans []Plan
	for _, i := range injections(1) {
		plans = append(plans, variants(i)...)
	}
	return plans
}

// pairs returns a plan for each two faults that strike the first two attempts, each way to send again, and a service
// that can be asked or not. The service ignores repeated keys, as one that fences hides what is looked for.
func pairs() []Plan {
	var plans []Plan
	all := append(injections(1), injections(2)...)
	for n, first := range all {
		for _, second := range all[n+1:] {
			for _, p := range variants(first, second) {
				if !p.Fenced {
					plans = append(plans, p)
				}
			}
		}
	}
	return plans
}

// variants returns the plans with some injections for each way to send again and kind of service.
func variants(i ...Injection) []Plan {
	var plans []Plan
	for _, r := range resends {
		for _, asked := range []bool{false, true} {
			for _, fenced := range []bool{false, true} {
				plans = append(plans, Plan{Injections: i, Asked: asked, Fenced: fenced, Resend: r})
			}
		}
	}
	return plans
}

// draw returns a random plan with n faults.
func draw(r *rand.Rand, n int) Plan {
	p := Plan{Asked: r.IntN(2) == 0, Fenced: r.IntN(2) == 0, Resend: resends[r.IntN(len(resends))]}
	for range n {
		all := injections(1 + r.IntN(2))
		i := all[r.IntN(len(all))]
		i.Long = time.Duration(1+r.IntN(200)) * 100 * time.Millisecond
		p.Injections = append(p.Injections, i)
	}
	return p
}

// take removes and returns the injection that strikes a step of an attempt.
func (p *Plan) take(s Step, attempt int) (Injection, bool) {
	i := slices.IndexFunc(p.Injections, func(i Injection) bool { return i.Step == s && i.Attempt == attempt })
	if i < 0 {
		return Injection{}, false
	}
	found := p.Injections[i]
	p.Injections = slices.Delete(slices.Clone(p.Injections), i, i+1)
	return found, true
}
