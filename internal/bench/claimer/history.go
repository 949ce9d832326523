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

// policy is how the holders of a history avoid concurrent orders.
type policy struct {
	terms leaser.Terms
	// checksFencing reports whether the engines check the fencing token.
	checksFencing bool
	// forgetsIntents makes a new holder drop the unconfirmed orders of earlier holders.
	forgetsIntents bool
	// maxPause bounds the pause between a holder's last check and the first byte of the order.
	maxPause time.Duration
}

// history is a lease row, the instances that compete for it, and the engines that they order.
type history struct {
	clock             clock
	rand              *rand.Rand
	policy            policy
	row               leaser.Row
	storeDownUntil    time.Time
	end               time.Time
	contenders        []*contender
	engines           []*engine
	startedCount      int
	writeCount        int
	executedOrders    int
	refusedOrders     int
	overlappingOrders int
	holderChanges     int
	// vacantSince is when the holder died, and gaps are the times from then until there is a new holder.
	vacantSince time.Time
	gaps        []time.Duration
}

// newHistory returns a history under a policy.
func newHistory(seed uint64, p policy) *history {
	h := &history{clock: clock{now: startTime}, rand: rand.New(rand.NewPCG(seed, 4)), policy: p, end: startTime.Add(historyLength)}
	for n := range historyEngines {
		h.engines = append(h.engines, &engine{history: h, name: fmt.Sprint("engine-", n), activeOrders: map[string]int{}})
	}
	for range historyContenders {
		h.startContender()
	}
	return h
}

// startContender starts a new instance whose clock drifts by at most what the terms allow.
func (h *history) startContender() {
	h.startedCount++
	self := fmt.Sprint("entry-", h.startedCount)
	drift := float64(h.policy.terms.MaxClockDrift) / float64(h.policy.terms.LeaseDuration) / 2
	c := &contender{history: h, instanceID: self, clockRate: 1 + drift*(2*h.rand.Float64()-1), clockOffset: h.drawDuration(-time.Hour, time.Hour)}
	c.lease = leaser.New(self, h.policy.terms, func(n int64) string { return fmt.Sprint(self, "/", n) })
	h.contenders = append(h.contenders, c)
	h.clock.runAfter(0, c.loop)
	h.clock.runAfter(0, c.tryOrder)
}

// run runs the history to its end.
func (h *history) run() {
	for h.clock.now.Before(h.end) && h.clock.runNext() {
	}
}

// injectFault may pause or kill an instance, or make the table unavailable.
func (h *history) injectFault(c *contender) {
	now := h.clock.now
	switch h.rand.IntN(120) {
	case 0:
		c.pausedUntil = now.Add(h.drawDuration(time.Second, time.Minute))
	case 1:
		h.kill(c)
	case 2:
		if h.rand.IntN(5) == 0 {
			h.storeDownUntil = now.Add(h.drawDuration(5*time.Second, time.Minute))
		}
	}
}

// kill kills an instance and starts another in its place.
func (h *history) kill(c *contender) {
	if c.dead {
		return
	}
	c.dead = true
	if c.lease.Held && h.row.Record.Holder == c.instanceID {
		h.vacantSince = h.clock.now
	}
	h.clock.runAfter(h.drawDuration(time.Second, 10*time.Second), h.startContender)
}

// recordHolder records a change of holder.
func (h *history) recordHolder(c *contender) {
	h.holderChanges++
	if !h.vacantSince.IsZero() && h.row.Record.Holder == c.instanceID {
		h.gaps = append(h.gaps, h.clock.now.Sub(h.vacantSince))
		h.vacantSince = time.Time{}
	}
}

// commitRow writes the row if its version matches, and returns whether it was written and the current row.
func (h *history) commitRow(a leaser.Action) (bool, leaser.Row) {
	if a.Version != h.row.Version {
		return false, h.row
	}
	h.row = leaser.Row{Version: h.row.Version + 1, Record: a.Record}
	return true, h.row
}

// drawWriteFault draws the fault of a write, if any.
func (h *history) drawWriteFault() Fault {
	all := []Fault{FaultEffectLate, FaultStepLost, FaultAnswerLost, FaultRefused}
	if n := h.rand.IntN(40); n < len(all) {
		return all[n]
	}
	return ""
}

// drawLatency draws the duration of a store operation.
func (h *history) drawLatency() time.Duration {
	if h.rand.IntN(20) == 0 {
		return h.drawDuration(storeLatency, 2*time.Second)
	}
	return storeLatency
}

// drawDuration draws a duration from low up to high.
func (h *history) drawDuration(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(h.rand.Int64N(int64(high-low)))
}
