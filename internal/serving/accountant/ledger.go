package accountant

import (
	"maps"
	"math"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/limiter"
	"github.com/heatherrock/heatherrock/internal/routing/prioritizer"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
)

// ledger adds up the latest reports of several owners: instances or data centres. A report changes the sums by its
// difference from the owner's previous one, so that its cost does not grow with the number of owners. Amounts are rounded
// to whole numbers, which add up without error and take few bytes.
type ledger struct {
	reports map[string]receivedReport
	sums    map[string]*serviceSum
}

// receivedReport is the latest report of an owner.
type receivedReport struct {
	usages     Usages
	receivedAt time.Time
}

// serviceSum is the sum of the reports on one service.
type serviceSum struct {
	memory reserver.Usage
	sent   limiter.Tally
	// dead and alive hold the number of owners that reported each endpoint.
	dead  map[string]int
	alive map[string]int
	// failing holds the endpoints that instances do not use because of failures, with the number of these instances.
	failing map[string]int
	// demand holds the requests of the last second, by priority.
	demand prioritizer.Sums
}

// newLedger returns a ledger without reports.
func newLedger() *ledger {
	return &ledger{reports: map[string]receivedReport{}, sums: map[string]*serviceSum{}}
}

// record replaces an owner's report.
func (l *ledger) record(now time.Time, owner string, u Usages) {
	if r, ok := l.reports[owner]; ok {
		l.add(r.usages, -1)
	}
	u = u.rounded()
	l.reports[owner] = receivedReport{u, now}
	l.add(u, 1)
}

// expire drops the reports that are older than reportExpiry.
func (l *ledger) expire(now time.Time) {
	dropped := false
	for owner, r := range l.reports {
		if now.Sub(r.receivedAt) > reportExpiry {
			l.add(r.usages, -1)
			delete(l.reports, owner)
			dropped = true
		}
	}
	if dropped {
		l.updateAges()
	}
}

// add adds a report to the sums, or subtracts it if sign is -1.
func (l *ledger) add(u Usages, sign float64) {
	for service, h := range u {
		s, ok := l.sums[service]
		if !ok {
			s = &serviceSum{
				memory: reserver.Usage{}, dead: map[string]int{}, alive: map[string]int{}, failing: map[string]int{}, demand: prioritizer.Sums{},
			}
			l.sums[service] = s
		}
		for name, n := range h.Memory {
			if s.memory[name] += sign * n; s.memory[name] == 0 {
				delete(s.memory, name)
			}
		}
		s.sent.Requests += sign * h.Sent.Requests
		s.sent.Repeats += sign * h.Sent.Repeats
		s.sent.Instances += sign * h.Sent.Instances
		if sign > 0 {
			s.sent.Age = max(s.sent.Age, h.Sent.Age)
		}
		count(s.dead, h.Dead, int(sign))
		count(s.alive, h.Alive, int(sign))
		addCounts(s.failing, h.Failing, int(sign))
		s.demand.Add(h.Demand, sign)
		if len(s.memory) == 0 && s.sent.Instances == 0 && len(s.dead) == 0 && len(s.alive) == 0 && len(s.failing) == 0 && len(s.demand) == 0 {
			delete(l.sums, service)
		}
	}
}

// updateAges sets the age of each sum to the highest of the reports.
func (l *ledger) updateAges() {
	for _, s := range l.sums {
		s.sent.Age = 0
	}
	for _, r := range l.reports {
		for service, h := range r.usages {
			if s, ok := l.sums[service]; ok {
				s.sent.Age = max(s.sent.Age, h.Sent.Age)
			}
		}
	}
}

// count adds n to the count of each name, and drops counts of 0.
func count(counts map[string]int, names []string, n int) {
	for _, name := range names {
		if counts[name] += n; counts[name] == 0 {
			delete(counts, name)
		}
	}
}

// addCounts adds other counts, multiplied by n, and drops counts of 0.
func addCounts(counts, others map[string]int, n int) {
	for name, other := range others {
		if counts[name] += n * other; counts[name] == 0 {
			delete(counts, name)
		}
	}
}

// sum returns the sum of all reports but those of one owner. The age is the highest of all owners.
func (l *ledger) sum(except string) Usages {
	own := l.reports[except].usages
	out := make(Usages, len(l.sums))
	for service, s := range l.sums {
		h := Holding{Memory: make(reserver.Usage, len(s.memory)), Sent: s.sent}
		o := own[service]
		for name, n := range s.memory {
			if n -= o.Memory[name]; n != 0 {
				h.Memory[name] = n
			}
		}
		h.Sent.Requests -= o.Sent.Requests
		h.Sent.Repeats -= o.Sent.Repeats
		h.Sent.Instances -= o.Sent.Instances
		h.Dead, h.Alive = namesWithout(s.dead, o.Dead), namesWithout(s.alive, o.Alive)
		h.Failing = maps.Clone(s.failing)
		addCounts(h.Failing, o.Failing, -1)
		h.Demand = maps.Clone(s.demand)
		h.Demand.Add(o.Demand, -1)
		out[service] = h
	}
	l.collectRefused(out, except)
	return out
}

// maxRefused bounds the refused requests of all owners in a sum.
const maxRefused = 512

// collectRefused adds the refused requests of all owners but one to a sum, up to maxRefused a service.
func (l *ledger) collectRefused(out Usages, except string) {
	for owner, r := range l.reports {
		if owner == except {
			continue
		}
		for service, h := range r.usages {
			sum := out[service]
			sum.Refused = append(sum.Refused, h.Refused[:min(len(h.Refused), maxRefused-len(sum.Refused))]...)
			out[service] = sum
		}
	}
}

// namesWithout returns the counted names that an owner does not alone account for.
func namesWithout(counts map[string]int, own []string) []string {
	if len(counts) == 0 {
		return nil
	}
	ownCounts := map[string]int{}
	count(ownCounts, own, 1)
	var out []string
	for name, n := range counts {
		if n > ownCounts[name] {
			out = append(out, name)
		}
	}
	return out
}

// rounded returns a copy with whole amounts.
func (u Usages) rounded() Usages {
	out := make(Usages, len(u))
	for service, h := range u {
		memory := make(reserver.Usage, len(h.Memory))
		for name, n := range h.Memory {
			if n = math.Round(n); n != 0 {
				memory[name] = n
			}
		}
		h.Memory = memory
		out[service] = h
	}
	return out
}

// merge adds other usages to u.
func (u Usages) merge(o Usages) {
	for service, other := range o {
		h := u[service]
		if h.Memory == nil {
			h.Memory = make(reserver.Usage, len(other.Memory))
		}
		for name, n := range other.Memory {
			h.Memory[name] += n
		}
		h.Sent.Requests += other.Sent.Requests
		h.Sent.Repeats += other.Sent.Repeats
		h.Sent.Age = max(h.Sent.Age, other.Sent.Age)
		h.Sent.Instances += other.Sent.Instances
		h.Dead, h.Alive = union(h.Dead, other.Dead), union(h.Alive, other.Alive)
		if h.Failing == nil {
			h.Failing = make(map[string]int, len(other.Failing))
		}
		addCounts(h.Failing, other.Failing, 1)
		h.Refused = append(h.Refused, other.Refused...)
		if h.Demand == nil {
			h.Demand = make(prioritizer.Sums, len(other.Demand))
		}
		h.Demand.Add(other.Demand, 1)
		u[service] = h
	}
}
