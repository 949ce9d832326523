package claimer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/leaser"
)

// The size of a history of leases.
const (
	historyContenders = 3
	historyEngines    = 4
	historyLength     = 20 * time.Minute
)

// policy is how the holders of a history keep apart.
type policy struct {
	terms leaser.Terms
	// fenced is set if the engines check the fencing number.
	fenced bool
	// forget drops the unconfirmed orders of earlier holders.
	forget bool
	// pause bounds the pause between a holder's last check and the order's first byte.
	pause time.Duration
}

// history is a row, the instances that contend for it, and the engines that they order.
type history struct {
	clock      clock
	rand       *rand.Rand
	policy     policy
	row        leaser.Row
	down       time.Time
	end        time.Time
	contenders []*contender
	engines    []*engine
	started    int
	writes     int
	ran        int
	refused    int
	doubled    int
	changes    int
	// vacant is when the holder died, and gaps are the times from there to the next holder.
	vacant time.Time
	gaps   []time.Duration
}

// newHistory returns a history of a policy.
func newHistory(seed uint64, p policy) *history {
	h := &history{clock: clock{now: epoch}, rand: rand.New(rand.NewPCG(seed, 4)), policy: p, end: epoch.Add(historyLength)}
	for n := range historyEngines {
		h.engines = append(h.engines, &engine{history: h, name: fmt.Sprint("engine-", n), active: map[string]int{}})
	}
	for range historyContenders {
		h.join()
	}
	return h
}

// join starts a new instance, whose clock goes wrong by as much as the terms allow.
func (h *history) join() {
	h.started++
	self := fmt.Sprint("entry-", h.started)
	drift := float64(h.policy.terms.MaxClockDrift) / float64(h.policy.terms.LeaseDuration) / 2
	c := &contender{history: h, self: self, rate: 1 + drift*(2*h.rand.Float64()-1), offset: h.between(-time.Hour, time.Hour)}
	c.lease = leaser.New(self, h.policy.terms, func(n int64) string { return fmt.Sprint(self, "/", n) })
	h.contenders = append(h.contenders, c)
	h.clock.after(0, c.loop)
	h.clock.after(0, c.order)
}

// run runs the history to its end.
func (h *history) run() {
	for h.clock.now.Before(h.end) && h.clock.next() {
	}
}

// disturb may pause an instance, end it, or take the table away.
func (h *history) disturb(c *contender) {
	now := h.clock.now
	switch h.rand.IntN(120) {
	case 0:
		c.wake = now.Add(h.between(time.Second, time.Minute))
	case 1:
		h.kill(c)
	case 2:
		if h.rand.IntN(5) == 0 {
			h.down = now.Add(h.between(5*time.Second, time.Minute))
		}
	}
}

// kill ends an instance and starts another in its place.
func (h *history) kill(c *contender) {
	if c.dead {
		return
	}
	c.dead = true
	if c.lease.Held && h.row.Record.Holder == c.self {
		h.vacant = h.clock.now
	}
	h.clock.after(h.between(time.Second, 10*time.Second), h.join)
}

// took notes a new holder.
func (h *history) took(c *contender) {
	h.changes++
	if !h.vacant.IsZero() && h.row.Record.Holder == c.self {
		h.gaps = append(h.gaps, h.clock.now.Sub(h.vacant))
		h.vacant = time.Time{}
	}
}

// commit writes the row on condition of its version, and returns the row that stands.
func (h *history) commit(a leaser.Action) (bool, leaser.Row) {
	if a.Version != h.row.Version {
		return false, h.row
	}
	h.row = leaser.Row{Version: h.row.Version + 1, Record: a.Record}
	return true, h.row
}

// writeFault draws the fault of a write, if any.
func (h *history) writeFault() Fault {
	all := []Fault{FaultLate, FaultDropped, FaultLost, FaultRefused}
	if n := h.rand.IntN(40); n < len(all) {
		return all[n]
	}
	return ""
}

// latency draws the time of an operation of the store.
func (h *history) latency() time.Duration {
	if h.rand.IntN(20) == 0 {
		return h.between(storeLatency, 2*time.Second)
	}
	return storeLatency
}

// between draws a duration.
func (h *history) between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(h.rand.Int64N(int64(high-low)))
}
