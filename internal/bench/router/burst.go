package router

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
)

const (
	// burstBaseLoad is the load before and after a burst, as a share of the bound, and burstFactor the burst's multiple
	// of it.
	burstBaseLoad = 0.3
	burstFactor   = 10
	// burstStart and burstEnd are the times of the burst, and burstTrialTime is the length of the trial.
	burstStart     = 4 * time.Second
	burstEnd       = 6 * time.Second
	burstTrialTime = 16 * time.Second
	// recoveryBin is the resolution of the recovery time.
	recoveryBin = 250 * time.Millisecond
	// normalFactor is the multiple of the first token's 95th percentile before the burst up to which latency counts as
	// normal.
	normalFactor = 1.5
)

// burst measures a tenfold burst: the share of its requests that get the first token in time and a complete answer, and
// the time to return to normal.
func burst(seed uint64) (reporter.Result, error) {
	result := reporter.NewResult("burst", seed)
	bound := newFleet(newClock()).bound()
	rate := func(since time.Duration) float64 {
		base := burstBaseLoad * bound / requestWork
		if since >= burstStart && since < burstEnd {
			return burstFactor * base
		}
		return base
	}
	for _, p := range policies() {
		t := newTrial(seed, p.newPolicy, []load{{team: "team", rate: rate}})
		t.clock.run(burstTrialTime)
		served, recovery := t.servedShare(burstStart, burstEnd), t.burstRecovery()
		if p.name != ownPolicy {
			result.Set(p.name, served, "ratio")
			result.Set(p.name+"return", recovery.Seconds(), "s")
			continue
		}
		result.Set("share", served, "ratio")
		result.Set("return", recovery.Seconds(), "s")
		result.Set("refused", t.latency(burstStart, burstEnd).refusedShare, "ratio")
	}
	return result, nil
}

// servedShare returns the share of the requests that arrived between two times whose first token came in time and whose
// answer is complete.
func (t *trial) servedShare(from, to time.Duration) float64 {
	all, served := 0, 0
	for _, a := range t.answers {
		since := a.arrivedAt.Sub(startTime)
		if since < from || since >= to {
			continue
		}
		all++
		if a.ended && a.firstTokenAt.Sub(a.arrivedAt) <= firstTokenTarget {
			served++
		}
	}
	return share(served, all)
}

// burstRecovery returns the time from the burst's end after which all arriving requests are admitted and first tokens
// come as fast as before the burst, without a later relapse.
func (t *trial) burstRecovery() time.Duration {
	normal := percentileMillis(t.latency(burstStart/2, burstStart).firstToken, 95)
	recovery := time.Duration(0)
	for at := burstEnd; at < burstTrialTime-tailTime; at += recoveryBin {
		l := t.latency(at, at+recoveryBin)
		if l.refusedShare > 0 || percentileMillis(l.firstToken, 95) > normalFactor*normal {
			recovery = at + recoveryBin - burstEnd
		}
	}
	return recovery
}
