// Package spiller decides which share of the requests of a data centre may begin in another one, and what a hop between two
// data centres costs a path.
//
// A request that stays waits for endpoints that fill up; one that leaves takes memory from the other data centre's callers and
// sends bytes over a link that all share. The share of a data centre follows from the difference of both congestions, as the
// accounts state the loads, less the cost of the crossing. It is drawn for each request, so that instances with the same accounts
// neither leave nor return all at once.
package spiller

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// The parameters of the decision.
const (
	// openFill is the load of the own data centre from which requests may leave, and closeFill the load below which none do.
	openFill  = 0.7
	closeFill = 0.6
	// openGain is the gain of a request that leaves, as a share of its time on idle endpoints, from which requests may leave, and
	// fullGain the gain from which all of them may. The share closes at a gain of 0.
	openGain = 0.06
	fullGain = 0.3
	// fullRoom and noRoom are the loads of another data centre up to which it gets the whole share, and from which it gets none:
	// what is left belongs to its own callers. Instances that leave meet there on the same endpoints before the accounts tell.
	fullRoom = 0.5
	noRoom   = 0.8
	// riseTime is the least time in which a share goes from 0 to 1, and fallTime that back. Memory is held for seconds, so that a
	// share that falls as fast as it rises would swing.
	riseTime = 500 * time.Millisecond
	fallTime = 2 * time.Second
	// trialShare bounds the share of a data centre that was unreachable until one of its endpoints responds.
	trialShare = 0.05
	// freshTime is the age of the loads up to which shares hold, and staleTime the age at which they have fallen to 0.
	freshTime = time.Second
	staleTime = 2 * time.Second
	// logStep is the change of a share that is reported while requests leave.
	logStep = 0.25
	// maxChanges bounds the changes that have not been taken.
	maxChanges = 16
)

// Load is how full the endpoints of one data centre are, for one service.
type Load struct {
	// Capacity and Used are in the same unit: tokens of the layer with the least memory left, or slots. A data centre that
	// lacks a layer has no capacity.
	Capacity float64
	Used     float64
}

// Fill returns the share that is used, 1 without capacity.
func (l Load) Fill() float64 {
	if l.Capacity <= 0 {
		return 1
	}
	return min(1, l.Used/l.Capacity)
}

// room returns which part of a share the data centre accepts.
func (l Load) room() float64 {
	return clamp((noRoom - l.Fill()) / (noRoom - fullRoom))
}

// Congestion returns by which factor requests take longer at a fill than on idle endpoints, less 1. Waiting grows steeply only as
// the last memory goes.
func Congestion(fill float64) float64 { return fill * fill * fill }

// Reason states why a share changed.
type Reason string

// The reasons.
const (
	// Busy means that the own data centre's load makes leaving pay off.
	Busy Reason = "own endpoints busy"
	// Uncovered means that the own data centre lacks a layer, or has no endpoint.
	Uncovered Reason = "own endpoints missing"
	// Relieved means that leaving no longer pays off.
	Relieved Reason = "leaving does not pay off"
	// Unreachable means that endpoints of the other data centre did not respond.
	Unreachable Reason = "endpoints unreachable"
	// Reachable means that the other data centre may be tried again.
	Reachable Reason = "tried again"
	// Stale means that the accounts are too old.
	Stale Reason = "accounts stale"
)

// Change is a change of the share that may begin in another data centre.
type Change struct {
	To     string
	Share  float64
	Before float64
	Reason Reason
}

// target is what is known of another data centre.
type target struct {
	share float64
	// reported is the share that was last reported as a change.
	reported float64
	outage   outage
}

// Spiller decides for the requests of one service at an instance. It is not safe for concurrent use.
type Spiller struct {
	// Centre is the data centre of the instance.
	Centre string
	// Links describes the links between data centres.
	Links Links
	// RequestTime is what a usual request costs on idle endpoints, weighted like the costs of paths, and RequestMB what it sends
	// to a path that begins elsewhere.
	RequestTime time.Duration
	RequestMB   float64
	// Wanted replaces the decision on the shares by data centre, and Cost that on the cost of a hop, if they are not nil: experiments
	// compare others.
	Wanted func(now time.Time, centre string, loads map[string]Load) map[string]float64
	Cost   func(c Crossing) time.Duration

	loads     map[string]Load
	updatedAt time.Time
	targets   map[string]*target
	delays    delays
	changes   []Change
}

// New returns a spiller of an instance in a data centre. All shares are 0 until loads are known.
func New(centre string) *Spiller {
	return &Spiller{Centre: centre, loads: map[string]Load{}, targets: map[string]*target{}, delays: delays{}}
}

// clamp returns x limited to 0 to 1.
func clamp(x float64) float64 { return min(1, max(0, x)) }

// Update replaces the loads by data centre and moves the shares towards what they call for. Other data centres that are not among
// the loads get no share.
func (s *Spiller) Update(now time.Time, loads map[string]Load) {
	elapsed := min(now.Sub(s.updatedAt), freshTime)
	s.loads, s.updatedAt = loads, now
	for to := range loads {
		if _, ok := s.targets[to]; !ok && to != s.Centre {
			s.targets[to] = &target{}
		}
	}
	wanted := s.wantedShares(now)
	for to, t := range s.targets {
		rise, fall := elapsed.Seconds()/riseTime.Seconds(), elapsed.Seconds()/fallTime.Seconds()
		t.share = min(max(wanted[to], t.share-fall), t.share+rise)
		reason := Relieved
		switch {
		case t.outage.isClosed(now):
			t.share, reason = 0, Unreachable
		case t.outage.closedTime > 0:
			t.share = min(t.share, trialShare)
			reason = Reachable
		case t.share > t.reported && loads[s.Centre].Capacity <= 0:
			reason = Uncovered
		case t.share > t.reported:
			reason = Busy
		}
		s.report(to, t, reason)
		if _, ok := loads[to]; !ok && t.share == 0 && !t.outage.isClosed(now) {
			delete(s.targets, to)
		}
	}
}

// wantedShares returns the shares that the loads call for. Their sum is 1 at most.
func (s *Spiller) wantedShares(now time.Time) map[string]float64 {
	if s.Wanted != nil {
		return s.Wanted(now, s.Centre, s.loads)
	}
	wanted := map[string]float64{}
	sum := 0.0
	for to, t := range s.targets {
		if l, ok := s.loads[to]; ok && !t.outage.isClosed(now) {
			wanted[to] = s.wantedShare(now, to, l, t.share > 0)
			sum += wanted[to]
		}
	}
	if sum > 1 {
		for to := range wanted {
			wanted[to] /= sum
		}
	}
	return wanted
}

// wantedShare returns the share that the loads call for to one data centre.
func (s *Spiller) wantedShare(now time.Time, to string, other Load, isOpen bool) float64 {
	own := s.loads[s.Centre]
	if own.Fill() < closeFill || !isOpen && own.Fill() < openFill || s.RequestTime <= 0 {
		return 0
	}
	crossing := s.FirstHopCost(now, s.Centre, to, s.RequestMB)
	gain := Congestion(own.Fill()) - Congestion(other.Fill()) - crossing.Seconds()/s.RequestTime.Seconds()
	if gain <= 0 || !isOpen && gain < openGain {
		return 0
	}
	return clamp(gain/fullGain) * other.room()
}

// report records a change of a share: whenever it opens or closes, and in steps while it is open.
func (s *Spiller) report(to string, t *target, reason Reason) {
	step := t.share - t.reported
	if step == 0 || (t.share > 0) == (t.reported > 0) && max(step, -step) < logStep {
		return
	}
	s.addChange(to, t, reason)
}

// addChange reports the present share as a change.
func (s *Spiller) addChange(to string, t *target, reason Reason) {
	if len(s.changes) < maxChanges {
		s.changes = append(s.changes, Change{to, t.share, t.reported, reason})
	}
	t.reported = t.share
}

// TakeChanges returns the changes since the last call.
func (s *Spiller) TakeChanges(now time.Time) []Change {
	if s.staleFactor(now) == 0 {
		for to, t := range s.targets {
			t.share = 0
			s.report(to, t, Stale)
		}
	}
	out := s.changes
	s.changes = nil
	slices.SortStableFunc(out, func(a, b Change) int { return cmp.Compare(a.To, b.To) })
	return out
}

// LacksCapacity reports whether the own data centre cannot serve a request alone, as far as its load is known.
func (s *Spiller) LacksCapacity() bool {
	return len(s.loads) > 0 && s.loads[s.Centre].Capacity <= 0
}

// staleFactor returns the part of the shares that holds at the age of the loads.
func (s *Spiller) staleFactor(now time.Time) float64 {
	return clamp((staleTime - now.Sub(s.updatedAt)).Seconds() / (staleTime - freshTime).Seconds())
}

// IsFresh reports whether the loads are recent enough to decide by.
func (s *Spiller) IsFresh(now time.Time) bool { return now.Sub(s.updatedAt) < staleTime }

// Share returns the share of requests that may begin in another data centre.
func (s *Spiller) Share(now time.Time, to string) float64 {
	t, ok := s.targets[to]
	if !ok || t.outage.isClosed(now) {
		return 0
	}
	return t.share * s.staleFactor(now)
}

// Shares returns the share of each other data centre.
func (s *Spiller) Shares(now time.Time) map[string]float64 {
	out := make(map[string]float64, len(s.targets))
	for to := range s.targets {
		out[to] = s.Share(now, to)
	}
	return out
}

// Destination returns the other data centre in which a request may begin, "" if it stays. It calls random, which returns numbers
// from 0 to 1, only while requests leave.
func (s *Spiller) Destination(now time.Time, random func() float64) string {
	drawn, isDrawn := 0.0, false
	for _, to := range slices.Sorted(maps.Keys(s.targets)) {
		share := s.Share(now, to)
		if share <= 0 {
			continue
		}
		if !isDrawn {
			drawn, isDrawn = random(), true
		}
		if drawn -= share; drawn < 0 {
			return to
		}
	}
	return ""
}
