package crosser

import (
	"math"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/spiller"
)

// Policy is how requests leave their data centre.
type Policy string

// The policies.
const (
	// Marginal compares the marginal cost of a request in both data centres: the decision of package spiller.
	Marginal Policy = "marginal cost"
	// Fixed lets each path cross at a fixed cost, whatever the loads are.
	Fixed Policy = "fixed cost"
	// Threshold lets all requests leave while the own data centre is filled to a threshold.
	Threshold Policy = "threshold"
	// Flow solves a minimum cost flow over the data centres' loads, each half second, and sends the result as shares.
	Flow Policy = "minimum cost flow"
)

// Policies lists the policies that are compared.
var Policies = []Policy{Marginal, Fixed, Threshold, Flow}

const (
	// thresholdFill is the load at which requests leave, and the load up to which data centres are filled by the flow.
	thresholdFill = 0.85
	// flowInterval is the time between two solutions of the flow.
	flowInterval = 500 * time.Millisecond
)

// apply makes a spiller follow the policy.
func (p Policy) apply(s *spiller.Spiller) {
	switch p {
	case Fixed:
		s.RequestTime = 0
		rate := s.Links.MBPerSecond
		s.Cost = func(c spiller.Crossing) time.Duration { return fixedCost(c, rate) }
	case Threshold:
		s.Wanted = thresholdShares
	case Flow:
		s.Wanted = (&flow{}).shares
	}
}

// fixedCost is the cost of a hop before package spiller, over a link with a rate in MB a second.
func fixedCost(c spiller.Crossing, rate float64) time.Duration {
	cost := 300*time.Millisecond + time.Duration(c.AnswerTokens)*500*time.Microsecond
	if c.IsFirst {
		return cost
	}
	return cost + time.Duration(c.MB()/rate/(1-c.UsedShare)*float64(time.Second))
}

// thresholdShares sends all requests to the data centre with the least load while the own one is filled to the threshold.
func thresholdShares(_ time.Time, centre string, loads map[string]spiller.Load) map[string]float64 {
	if loads[centre].Fill() < thresholdFill {
		return nil
	}
	best, least := "", thresholdFill
	for name, l := range loads {
		if name != centre && l.Fill() < least {
			best, least = name, l.Fill()
		}
	}
	if best == "" {
		return nil
	}
	return map[string]float64{best: 1}
}

// flow holds the last solution of the flow.
type flow struct {
	solvedAt time.Time
	last     map[string]float64
}

// shares returns the shares of the excess of the own data centre that the flow sends to the others. All links cost the same, so that
// the flow of least cost moves just what exceeds the threshold, in proportion to what is free.
func (f *flow) shares(now time.Time, centre string, loads map[string]spiller.Load) map[string]float64 {
	if now.Sub(f.solvedAt) < flowInterval {
		return f.last
	}
	f.solvedAt = now
	own := loads[centre]
	excess, free := 0.0, 0.0
	for _, l := range loads {
		excess += math.Max(0, l.Used-thresholdFill*l.Capacity)
		free += math.Max(0, thresholdFill*l.Capacity-l.Used)
	}
	f.last = map[string]float64{}
	ownExcess := math.Max(0, own.Used-thresholdFill*own.Capacity)
	if ownExcess == 0 || free == 0 || own.Used == 0 {
		return f.last
	}
	// Memory holds at most a few hundredths more than the threshold: the excess is that part of it, of what may be reserved.
	share := math.Min(1, ownExcess/((0.92-thresholdFill)*own.Capacity)) * math.Min(1, free/excess)
	for name, l := range loads {
		if name != centre {
			f.last[name] = share * math.Max(0, thresholdFill*l.Capacity-l.Used) / free
		}
	}
	return f.last
}
