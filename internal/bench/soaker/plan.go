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

// The kinds of faults. Those of links act on a loopback proxy, those of instances are signals to their processes.
const (
	// Kill ends an instance with SIGKILL and starts it again after the fault's time. KillAll does so with all of them.
	Kill    Kind = "kill"
	KillAll Kind = "kill all"
	// Stop ends an instance with SIGTERM and starts it again once it has ended.
	Stop Kind = "stop"
	// Pause holds an instance up with SIGSTOP until SIGCONT.
	Pause Kind = "pause"
	// Hangup makes an instance read its settings again.
	Hangup Kind = "hangup"
	// StoreDown, StoreSilent, StoreLossy and StoreForget are faults of the store: it answers 503, does not answer, loses
	// answers to what it has written, or has dropped its history.
	StoreDown   Kind = "store down"
	StoreSilent Kind = "store silent"
	StoreLossy  Kind = "store lossy"
	StoreForget Kind = "store forgets"
	// StoreLink, EndpointLink and CallerLink are faults of the way from an instance to the store, to an endpoint, and from
	// callers to an instance.
	StoreLink    Kind = "store link"
	EndpointLink Kind = "endpoint link"
	CallerLink   Kind = "caller link"
	// Crash ends an endpoint without a word; a new one starts empty after the fault's time.
	Crash Kind = "crash"
	// Trouble makes an endpoint give bad answers.
	Trouble Kind = "trouble"
	// Configure puts a configuration in force in which a caller's second key is there or not, in turn.
	Configure Kind = "configure"
)

// Fault is one fault of a run.
type Fault struct {
	Kind Kind
	// At is when it begins, from the start of the load, and For is how long it lasts.
	At  time.Duration
	For time.Duration
	// Target is the number of the instance or endpoint.
	Target int
	// Mode is what a link does wrong, and Ill the number of an endpoint's trouble.
	Mode Mode
	Ill  int
}

// String returns the fault as printed in a report.
func (f Fault) String() string {
	s := fmt.Sprintf("%5.1fs %4.1fs %s", f.At.Seconds(), f.For.Seconds(), f.Kind)
	switch f.Kind {
	case KillAll, StoreDown, StoreSilent, StoreLossy, StoreForget, Configure:
		return s
	case StoreLink, EndpointLink, CallerLink:
		return fmt.Sprintf("%s %d %s", s, f.Target, f.Mode)
	case Trouble:
		return fmt.Sprintf("%s %d kind %d", s, f.Target, f.Ill)
	default:
		return fmt.Sprintf("%s %d", s, f.Target)
	}
}

// weights hold how often each kind is drawn.
var weights = []struct {
	kind   Kind
	weight int
}{
	{Kill, 4}, {KillAll, 1}, {Stop, 4}, {Pause, 4}, {Hangup, 2}, {StoreDown, 2}, {StoreSilent, 2}, {StoreLossy, 2},
	{StoreForget, 1}, {StoreLink, 4}, {EndpointLink, 5}, {CallerLink, 3}, {Crash, 4}, {Trouble, 6}, {Configure, 4},
}

// The bounds of what is drawn.
const (
	// calm is the time without faults at the start and at the end of a run: recovery is judged after it.
	calm = 2 * time.Second
	// shortest and longest bound the time of a fault.
	shortest = 300 * time.Millisecond
	longest  = 4 * time.Second
	// spacing is the mean time between the beginnings of two faults.
	spacing = 900 * time.Millisecond
	// seriesPart is the part of faults that strike the target of the one before once more.
	seriesPart = 0.2
)

// troubles are those of endpoints whose answers a caller must not get as a success.
var troubles = []hoster.ServerFault{
	hoster.Full, hoster.Hanging, hoster.Resetting, hoster.Failing, hoster.Truncating, hoster.WrongRequestID, hoster.Garbling, hoster.Stalling,
}

// Plan draws the faults of a run of a length: some seeds have many, others few.
func Plan(seed uint64, length time.Duration, instances, endpoints int) []Fault {
	r := rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	pace := time.Duration((0.5 + 2*r.Float64()) * float64(spacing))
	var out []Fault
	for at := calm; ; {
		at += time.Duration(r.ExpFloat64() * float64(pace))
		f := Fault{At: at, For: shortest + time.Duration(r.Float64()*float64(longest-shortest)), Kind: draw(r, total)}
		f.Target = r.IntN(instances)
		if f.Kind == EndpointLink || f.Kind == Crash || f.Kind == Trouble {
			f.Target = r.IntN(endpoints)
		}
		if n := len(out); n > 0 && r.Float64() < seriesPart {
			f.Kind, f.Target = out[n-1].Kind, out[n-1].Target
		}
		f.Mode = modes[1+r.IntN(len(modes)-1)]
		f.Ill = r.IntN(len(troubles))
		if f.At+f.For > length-calm {
			break
		}
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b Fault) int { return int(a.At - b.At) })
	return out
}

// draw returns a kind by its weight.
func draw(r *rand.Rand, total int) Kind {
	n := r.IntN(total)
	for _, w := range weights {
		if n -= w.weight; n < 0 {
			return w.kind
		}
	}
	return Kill
}
