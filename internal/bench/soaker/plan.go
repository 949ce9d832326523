package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/standin/hoster"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. Link faults act on a loopback proxy; instance faults are signals to the process.
const (
	// Kill ends an instance with SIGKILL and restarts it after the fault's duration. KillAll does so with all
	// instances.
	Kill    Kind = "kill"
	KillAll Kind = "kill all"
	// Stop ends an instance with SIGTERM and restarts it once it has ended.
	Stop Kind = "stop"
	// Pause suspends an instance with SIGSTOP until SIGCONT.
	Pause Kind = "pause"
	// Hangup sends SIGHUP, on which an instance reloads its settings.
	Hangup Kind = "hangup"
	// StoreDown, StoreSilent, StoreLossy and StoreDropHistory are faults of the store: it answers 503, does not answer,
	// loses the responses to writes that it has applied, or has dropped its history.
	StoreDown        Kind = "store down"
	StoreSilent      Kind = "store silent"
	StoreLossy       Kind = "store lossy"
	StoreDropHistory Kind = "store forgets"
	// StoreRestore lets the store come back from a copy of earlier rows after it was away.
	StoreRestore Kind = "store restored"
	// StoreLink, EndpointLink and CallerLink are faults of the links from an instance to the store, from instances to
	// an endpoint, and from callers to an instance.
	StoreLink    Kind = "store link"
	EndpointLink Kind = "endpoint link"
	CallerLink   Kind = "caller link"
	// Crash ends an endpoint without notice; a new one starts empty after the fault's duration.
	Crash Kind = "crash"
	// EndpointFault makes an endpoint give bad answers.
	EndpointFault Kind = "trouble"
	// Configure puts a new configuration in force, which alternately has a caller's second key or lacks it.
	Configure Kind = "configure"
	// Limit, Leave and Refuse are statements of an endpoint in its answers: that it accepts few requests, that it leaves, or
	// that it accepts none for a time.
	Limit  Kind = "limited"
	Leave  Kind = "leaving"
	Refuse Kind = "refusing"
)

// Fault is one fault of a run.
type Fault struct {
	Kind Kind
	// StartAfter is the time from the start of the load to that of the fault, and ActiveTime how long the fault lasts.
	StartAfter time.Duration
	ActiveTime time.Duration
	// Target is the number of the instance or endpoint.
	Target int
	// LinkMode is the mode of a faulty link, and ServerFaultIndex the index of an endpoint's fault in serverFaults.
	LinkMode         LinkMode
	ServerFaultIndex int
	// LosesCalls makes a silent store never answer the calls that it gets meanwhile and those that it held.
	LosesCalls bool
	// CopyAge is the age of the copy that the store comes back from, made at StartAfter, and RewriteDelay the time until what it has
	// lost is written again.
	CopyAge      time.Duration
	RewriteDelay time.Duration
}

// String returns the fault as a line of a report.
func (f Fault) String() string {
	s := fmt.Sprintf("%5.1fs %4.1fs %s", f.StartAfter.Seconds(), f.ActiveTime.Seconds(), f.Kind)
	switch f.Kind {
	case StoreSilent:
		if f.LosesCalls {
			s += " for good"
		}
		return s
	case StoreRestore:
		return fmt.Sprintf("%s %.1fs later from the copy, written again after %.1fs", s, f.CopyAge.Seconds(), f.RewriteDelay.Seconds())
	case KillAll, StoreDown, StoreLossy, StoreDropHistory, Configure:
		return s
	case StoreLink, EndpointLink, CallerLink:
		return fmt.Sprintf("%s %d %s", s, f.Target, f.LinkMode)
	case EndpointFault:
		return fmt.Sprintf("%s %d kind %d", s, f.Target, f.ServerFaultIndex)
	default:
		return fmt.Sprintf("%s %d", s, f.Target)
	}
}

// weights holds the relative frequency of each kind.
var weights = []struct {
	kind   Kind
	weight int
}{
	{Kill, 4}, {KillAll, 1}, {Stop, 4}, {Pause, 4}, {Hangup, 2}, {StoreDown, 2}, {StoreSilent, 2}, {StoreLossy, 2},
	{StoreDropHistory, 1}, {StoreLink, 4}, {EndpointLink, 5}, {CallerLink, 3}, {Crash, 4}, {EndpointFault, 6}, {Configure, 4},
}

// The bounds of the faults that are drawn.
const (
	// quietTime is the time without faults at the start and at the end of a run, so that recovery can be checked.
	quietTime = 2 * time.Second
	// minFaultTime and maxFaultTime bound the duration of a fault.
	minFaultTime = 300 * time.Millisecond
	maxFaultTime = 4 * time.Second
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 900 * time.Millisecond
	// meanInvalidAnswersInterval is the mean time between the starts of two faults from invalidAnswers on.
	meanInvalidAnswersInterval = 3 * time.Second
	// repeatShare is the share of faults that repeat the kind and target of the previous one.
	repeatShare = 0.2
)

// serverFaults are the faults of endpoints whose answers a caller must not receive as a success. Those from invalidAnswers on are drawn by
// planInvalidAnswers.
var serverFaults = []hoster.ServerFault{
	hoster.Full, hoster.Hanging, hoster.Resetting, hoster.Failing, hoster.Truncating, hoster.WrongRequestID, hoster.Garbling, hoster.Stalling,
	hoster.InvalidStatus, hoster.InvalidName, hoster.FoldedHeader, hoster.SplitHead, hoster.WithoutStamp, hoster.Encoding, hoster.Contradicting,
	hoster.UnstatedRefusal,
}

// invalidAnswers is the index of the first fault in serverFaults whose answers are whole, and invalid or misleading.
const invalidAnswers = 8

// Plan draws the faults of a run of some length. The fault rate differs between seeds.
func Plan(seed uint64, length time.Duration, instances, endpoints int) []Fault {
	r := rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
	// Draws of their own for what was added later keep the faults of earlier seeds.
	variants := rand.New(rand.NewPCG(seed, 1))
	totalWeight := 0
	for _, w := range weights {
		totalWeight += w.weight
	}
	meanInterval := time.Duration((0.5 + 2*r.Float64()) * float64(meanFaultInterval))
	var out []Fault
	for at := quietTime; ; {
		at += time.Duration(r.ExpFloat64() * float64(meanInterval))
		f := Fault{StartAfter: at, ActiveTime: minFaultTime + time.Duration(r.Float64()*float64(maxFaultTime-minFaultTime)), Kind: drawKind(r, totalWeight)}
		f.Target = r.IntN(instances)
		if f.Kind == EndpointLink || f.Kind == Crash || f.Kind == EndpointFault {
			f.Target = r.IntN(endpoints)
		}
		if n := len(out); n > 0 && r.Float64() < repeatShare {
			f.Kind, f.Target = out[n-1].Kind, out[n-1].Target
		}
		f.LinkMode = linkModes[1+r.IntN(len(linkModes)-1)]
		f.ServerFaultIndex = r.IntN(invalidAnswers)
		f.LosesCalls = variants.IntN(2) == 0
		if f.StartAfter+f.ActiveTime > length-quietTime {
			break
		}
		out = append(out, f)
	}
	out = append(out, planStatements(seed, length, endpoints)...)
	out = append(out, planRestores(seed, length)...)
	out = append(out, planInvalidAnswers(seed, length, endpoints)...)
	slices.SortFunc(out, func(a, b Fault) int { return int(a.StartAfter - b.StartAfter) })
	return out
}

// planInvalidAnswers draws the endpoints' faults from invalidAnswers on.
func planInvalidAnswers(seed uint64, length time.Duration, endpoints int) []Fault {
	r := rand.New(rand.NewPCG(seed, 6))
	var out []Fault
	for at := quietTime; ; {
		at += time.Duration(r.ExpFloat64() * float64(meanInvalidAnswersInterval))
		f := Fault{
			Kind: EndpointFault, StartAfter: at, Target: r.IntN(endpoints), ServerFaultIndex: invalidAnswers + r.IntN(len(serverFaults)-invalidAnswers),
			ActiveTime: minFaultTime + time.Duration(r.Float64()*float64(maxFaultTime-minFaultTime)),
		}
		if f.StartAfter+f.ActiveTime > length-quietTime {
			return out
		}
		out = append(out, f)
	}
}

// drawKind draws a kind by its weight.
func drawKind(r *rand.Rand, totalWeight int) Kind {
	n := r.IntN(totalWeight)
	for _, w := range weights {
		if n -= w.weight; n < 0 {
			return w.kind
		}
	}
	return Kill
}
