package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/standin/hoster"
)

const (
	// deadlyBody is the body of the call that crashes the endpoints which run it, and deadlyInterval the mean time between two sends.
	deadlyBody     = "dead"
	deadlyInterval = 300 * time.Millisecond
	// deadlyPath is the path of that call.
	deadlyPath = "/" + routeHold + "/deadly"
	// lapseTime is how long the row of a crashed endpoint remains, and deadlyRestart how long after the crash a new one starts.
	lapseTime     = time.Second
	deadlyRestart = 3 * time.Second
	// deadlyLimit is the number of crashes from which on the call counts as known, and of arrivals that are allowed afterwards.
	deadlyLimit = 3
)

// DeadlyCrash is the crash of an endpoint under a call. It is no planned fault: it follows from what instances send.
const DeadlyCrash Kind = "crash by a call"

// hasDeadlyCall reports whether a run has a call that crashes endpoints: every other one does.
func hasDeadlyCall(seed uint64) bool { return rand.New(rand.NewPCG(seed, 4)).IntN(2) == 0 }

// runDeadly sends the call to one instance after another until stop is closed.
func (s *soak) runDeadly(wait *sync.WaitGroup, stop chan struct{}) {
	defer wait.Done()
	random := rand.New(rand.NewPCG(s.options.Seed, 5))
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.ExpFloat64() * float64(deadlyInterval))):
		}
		instance := random.IntN(instanceCount)
		c := newCaller(0, instance, s.instances[instance].callerLink.Address(), 0, &s.pauses, stop)
		r := c.sendTo(Request{ID: fmt.Sprint("deadly-", n), Route: routeHold, Key: firstKey, Instance: instance}, deadlyPath, deadlyBody)
		c.client.CloseIdleConnections()
		s.mu.Lock()
		s.deadlyRequests = append(s.deadlyRequests, r)
		s.mu.Unlock()
	}
}

// handleCrash makes the link of an endpoint that a call crashes refuse connections, and has the endpoint replaced.
func (s *soak) handleCrash(server *hoster.Server) {
	now := time.Now()
	s.mu.Lock()
	s.spans = append(s.spans, Span{From: now, To: now.Add(deadlyRestart), Instance: allInstances, Fault: Fault{Kind: DeadlyCrash}})
	var slot *endpoint
	for _, e := range s.endpoints {
		if e.server == server {
			slot, e.server = e, nil
			e.link.Crash()
		}
	}
	s.mu.Unlock()
	if slot != nil { // Otherwise another fault has crashed it.
		go s.runReplacement(slot, server.ID, int(now.UnixMilli()%1e9))
	}
}

// runReplacement removes the row of an endpoint that has crashed, and starts another one in its slot.
func (s *soak) runReplacement(slot *endpoint, id string, suffix int) {
	time.Sleep(lapseTime)
	s.platform.Store.Remove("servers", id)
	time.Sleep(deadlyRestart - lapseTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isClosed {
		s.startEndpoint(slot, suffix)
	}
}

// deadlyViolations returns whether the call went on to endpoints after it had crashed some.
func deadlyViolations(e Observations) []string {
	var crashes []time.Time
	for _, s := range e.Spans {
		if s.Fault.Kind == DeadlyCrash {
			crashes = append(crashes, s.From)
		}
	}
	if len(crashes) < deadlyLimit {
		return nil
	}
	knownAt := crashes[deadlyLimit-1].Add(settleTime)
	requests := map[string]Request{}
	for _, r := range e.DeadlyRequests {
		requests[r.ID] = r
	}
	late := 0
	for _, a := range e.Arrivals {
		if r, ok := requests[a.ID]; ok && r.SentAt.After(knownAt) && !e.isExcused(r) && r.PausedFor < maxPause {
			late++
		}
	}
	if late <= deadlyLimit {
		return nil
	}
	return []string{fmt.Sprintf("a call under which %d endpoints had crashed reached endpoints %d times more", len(crashes), late)}
}

// excusing holds the faults that excuse an instance from knowing that a call crashes endpoints: it, its links or the store are not
// as usual.
var excusing = []Kind{
	Kill, KillAll, Stop, Pause, CallerLink, StoreLink, EndpointLink, StoreDown, StoreSilent, StoreLossy, StoreDropHistory, StoreRestore,
}

// isExcused reports whether a fault excuses the instance of a request.
func (e Observations) isExcused(r Request) bool {
	return slices.ContainsFunc(e.Spans, func(s Span) bool { return slices.Contains(excusing, s.Fault.Kind) && s.affects(r) })
}
