package claimer

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is a failure at a step of the protocol.
type Fault string

// The faults of a step.
const (
	// FaultDieBefore kills the claim's owner before it sends the step.
	FaultDieBefore Fault = "owner dies before"
	// FaultDieAfter kills the claim's owner after it has sent the step.
	FaultDieAfter Fault = "owner dies after"
	// FaultPauseBefore pauses the owner between the decision and the step.
	FaultPauseBefore Fault = "owner pauses before"
	// FaultPauseAfter pauses the owner between the step and its answer.
	FaultPauseAfter Fault = "owner pauses after"
	// FaultAnswerLost loses the answer after the effect.
	FaultAnswerLost Fault = "answer lost"
	// FaultEffectLate applies the step long after the owner has given it up.
	FaultEffectLate Fault = "effect late"
	// FaultStepLost loses the step before its effect.
	FaultStepLost Fault = "step lost"
	// FaultConnectionSilent loses the answer after the effect, which the owner notices only by a timeout.
	FaultConnectionSilent Fault = "connection silent"
	// FaultRefused makes the receiver refuse the step.
	FaultRefused Fault = "refused"
	// FaultTableDown makes the table unavailable for some time, from this step on.
	FaultTableDown Fault = "table down"
	// FaultCallerCutOff loses the answer to the caller.
	FaultCallerCutOff Fault = "caller cut off"
	// FaultRequestLate delays the caller's request.
	FaultRequestLate Fault = "request late"
)

// Step is a step of the protocol at which a fault can be injected.
type Step string

// The steps of a claim.
const (
	StepArrive Step = "arrive"
	StepClaim  Step = "claim"
	StepBlock  Step = "block"
	StepRead   Step = "read"
	StepSend   Step = "send"
	StepLookup Step = "ask"
	StepRecord Step = "record"
	StepAnswer Step = "answer"
)

// allSteps lists the steps in the order of the protocol.
var allSteps = []Step{StepArrive, StepClaim, StepBlock, StepRead, StepSend, StepLookup, StepRecord, StepAnswer}

// faultsOf returns the faults that can affect a step.
func faultsOf(s Step) []Fault {
	switch s {
	case StepArrive:
		return []Fault{FaultRequestLate}
	case StepAnswer:
		return []Fault{FaultCallerCutOff}
	case StepSend, StepLookup:
		return []Fault{
			FaultDieBefore, FaultDieAfter, FaultPauseBefore, FaultPauseAfter, FaultAnswerLost, FaultEffectLate, FaultStepLost, FaultConnectionSilent, FaultRefused,
		}
	default:
		return []Fault{
			FaultDieBefore, FaultDieAfter, FaultPauseBefore, FaultPauseAfter, FaultAnswerLost, FaultEffectLate, FaultStepLost, FaultConnectionSilent, FaultRefused,
			FaultTableDown,
		}
	}
}

// Injection is a fault at a step of one attempt. Length is the duration of a fault that has one.
type Injection struct {
	Step    Step
	Attempt int
	Fault   Fault
	Length  time.Duration
}

// Plan is the faults of one hold, and the behaviour of its service and caller.
type Plan struct {
	Injections []Injection
	// HasLookup reports whether the service can be queried about a key.
	HasLookup bool
	// Deduplicates reports whether the service itself runs each key at most once.
	Deduplicates bool
	// Resend is the caller's resend policy.
	Resend Resend
}

// Resend is a resend policy of a caller.
type Resend string

// The resend policies.
const (
	// ResendNever sends once.
	ResendNever Resend = "never"
	// ResendAfter resends to another instance if the answer is missing or leaves the outcome open.
	ResendAfter Resend = "after"
	// ResendConcurrent sends two attempts to different instances at once and then behaves like ResendAfter.
	ResendConcurrent Resend = "race"
)

// allResends lists the resend policies.
var allResends = []Resend{ResendNever, ResendAfter, ResendConcurrent}

// faultLengths are the lengths of faults: past the time to send, past a resend, and past all timeouts of a caller.
var faultLengths = []time.Duration{1500 * time.Millisecond, 4 * time.Second, 20 * time.Second}

// hasLength reports whether a fault has a length.
func hasLength(f Fault) bool {
	return slices.Contains([]Fault{FaultPauseBefore, FaultPauseAfter, FaultEffectLate, FaultTableDown, FaultRequestLate}, f)
}

// allInjections returns each fault at each step of an attempt, with each length.
func allInjections(attempt int) []Injection {
	var all []Injection
	for _, s := range allSteps {
		for _, f := range faultsOf(s) {
			for _, length := range faultLengths {
				all = append(all, Injection{Step: s, Attempt: attempt, Fault: f, Length: length})
				if !hasLength(f) {
					break
				}
			}
		}
	}
	return all
}

// singleFaultPlans returns a plan for each fault at each step, each resend policy and each kind of service.
func singleFaultPlans() []Plan {
	var plans []Plan
	for _, i := range allInjections(1) {
		plans = append(plans, planVariants(i)...)
	}
	return plans
}

// faultPairPlans returns a plan for each pair of faults in the first two attempts, each resend policy, and a service
// with and without lookup. The service doesn't deduplicate, since that would hide the duplicates searched for.
func faultPairPlans() []Plan {
	var plans []Plan
	all := append(allInjections(1), allInjections(2)...)
	for n, first := range all {
		for _, second := range all[n+1:] {
			for _, p := range planVariants(first, second) {
				if !p.Deduplicates {
					plans = append(plans, p)
				}
			}
		}
	}
	return plans
}

// planVariants returns the plans with the given injections for each resend policy and kind of service.
func planVariants(i ...Injection) []Plan {
	var plans []Plan
	for _, r := range allResends {
		for _, hasLookup := range []bool{false, true} {
			for _, deduplicates := range []bool{false, true} {
				plans = append(plans, Plan{Injections: i, HasLookup: hasLookup, Deduplicates: deduplicates, Resend: r})
			}
		}
	}
	return plans
}

// randomPlan returns a random plan with n faults.
func randomPlan(r *rand.Rand, n int) Plan {
	p := Plan{HasLookup: r.IntN(2) == 0, Deduplicates: r.IntN(2) == 0, Resend: allResends[r.IntN(len(allResends))]}
	for range n {
		all := allInjections(1 + r.IntN(2))
		i := all[r.IntN(len(all))]
		i.Length = time.Duration(1+r.IntN(200)) * 100 * time.Millisecond
		p.Injections = append(p.Injections, i)
	}
	return p
}

// takeInjection removes and returns the injection at a step of an attempt.
func (p *Plan) takeInjection(s Step, attempt int) (Injection, bool) {
	i := slices.IndexFunc(p.Injections, func(i Injection) bool { return i.Step == s && i.Attempt == attempt })
	if i < 0 {
		return Injection{}, false
	}
	found := p.Injections[i]
	p.Injections = slices.Delete(slices.Clone(p.Injections), i, i+1)
	return found, true
}
