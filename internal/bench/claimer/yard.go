package claimer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/leaser"
)

// The size of a history of leases.
const (
	yardContenders = 3
	yardEngines    = 4
	yardLength     = 20 * time.Minute
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

// yard is a row, the instances that contend for it, and the engines that they order.
type yard struct {
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

// newYard returns a history of a policy.
func newYard(seed uint64, p policy) *yard {
	y := &yard{clock: clock{now: epoch}, rand: rand.New(rand.NewPCG(seed, 4)), policy: p, end: epoch.Add(yardLength)}
	for n := range yardEngines {
		y.engines = append(y.engines, &engine{yard: y, name: fmt.Sprint("engine-", n), active: map[string]int{}})
	}
	for range yardContenders {
		y.join()
	}
	return y
}

// join starts a new instance, whose clock goes wrong by as much as the terms allow.
func (y *yard) join() {
	y.started++
	self := fmt.Sprint("entry-", y.started)
	drift := float64(y.policy.terms.Drift) / float64(y.policy.terms.Length) / 2
	c := &contender{yard: y, self: self, rate: 1 + drift*(2*y.rand.Float64()-1), offset: y.between(-time.Hour, time.Hour)}
	c.lease = leaser.New(self, y.policy.terms, func(n int64) string { return fmt.Sprint(self, "/", n) })
	y.contenders = append(y.contenders, c)
	y.clock.after(0, c.loop)
	y.clock.after(0, c.order)
}

// run runs the history to its end.
func (y *yard) run() {
	for len(y.clock.events) > 0 && y.clock.now.Before(y.end) {
		y.clock.next()
	}
}

// disturb may pause an instance, end it, or take the table away.
func (y *yard) disturb(c *contender) {
	now := y.clock.now
	switch y.rand.IntN(120) {
	case 0:
		c.wake = now.Add(y.between(time.Second, time.Minute))
	case 1:
		y.kill(c)
	case 2:
		if y.rand.IntN(5) == 0 {
			y.down = now.Add(y.between(5*time.Second, time.Minute))
		}
	}
}

// kill ends an instance and starts another in its place.
func (y *yard) kill(c *contender) {
	if c.dead {
		return
	}
	c.dead = true
	if c.lease.Held && y.row.Record.Holder == c.self {
		y.vacant = y.clock.now
	}
	y.clock.after(y.between(time.Second, 10*time.Second), y.join)
}

// took notes a new holder.
func (y *yard) took(c *contender) {
	y.changes++
	if !y.vacant.IsZero() && y.row.Record.Holder == c.self {
		y.gaps = append(y.gaps, y.clock.now.Sub(y.vacant))
		y.vacant = time.Time{}
	}
}

// commit writes the row on condition of its version, and returns the row that stands.
func (y *yard) commit(a leaser.Action) (bool, leaser.Row) {
	if a.Version != y.row.Version {
		return false, y.row
	}
	y.row = leaser.Row{Version: y.row.Version + 1, Record: a.Record}
	return true, y.row
}

// writeFault draws the fault of a write, if any.
func (y *yard) writeFault() Fault {
	all := []Fault{FaultLate, FaultDropped, FaultLost, FaultRefused}
	if n := y.rand.IntN(40); n < len(all) {
		return all[n]
	}
	return ""
}

// latency draws the time of an operation of the store.
func (y *yard) latency() time.Duration {
	if y.rand.IntN(20) == 0 {
		return y.between(storeLatency, 2*time.Second)
	}
	return storeLatency
}

// between draws a duration.
func (y *yard) between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(y.rand.Int64N(int64(high-low)))
}
