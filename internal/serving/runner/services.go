package runner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/routing/selector"
	"github.com/heatherrock/heatherrock/internal/serving/dispatcher"
	"github.com/heatherrock/heatherrock/internal/serving/server"
)

// lockedSelector is a selector of plain services' endpoints that is safe for concurrent use.
type lockedSelector struct {
	clock func() time.Time

	mu       sync.Mutex
	selector *selector.Selector
	random   *rand.Rand
}

// newLockedSelector returns a selector without endpoints.
func newLockedSelector(clock func() time.Time) *lockedSelector {
	return &lockedSelector{clock: clock, selector: selector.New(), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// Choose returns the endpoints that may receive calls of a service, the best first.
func (s *lockedSelector) Choose(service string) []dispatcher.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []dispatcher.Endpoint
	for _, e := range s.selector.Choose(s.clock(), service, s.random) {
		list = append(list, dispatcher.Endpoint{ID: e.ID, Address: e.Address})
	}
	return list
}

// RecordResult records the result and latency of an attempt on an endpoint.
func (s *lockedSelector) RecordResult(endpoint string, failed bool, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.RecordResult(s.clock(), endpoint, failed, latency)
}

// ObserveService records an endpoint of a plain service.
func (s *lockedSelector) ObserveService(now time.Time, id, address, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.Observe(now, id, address, service)
}

// MarkServiceLeaving marks an endpoint as leaving.
func (s *lockedSelector) MarkServiceLeaving(now time.Time, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.MarkLeaving(now, id)
}

// RemoveService removes an endpoint.
func (s *lockedSelector) RemoveService(now time.Time, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.Remove(now, id)
}

// State returns a copy of the endpoints' state by endpoint ID, for the state dump.
func (s *lockedSelector) State() map[string]selector.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := make(map[string]selector.Server, len(s.selector.Servers))
	for id, e := range s.selector.Servers {
		state[id] = e
	}
	return state
}

// Service returns the record of a service in force, and whether there is one.
func (r *Runner) Service(name string) (recorder.Service, bool) {
	s, ok := r.configPoller.View().Services[name]
	return s, ok
}

// Fleet returns the fleet's record in force.
func (r *Runner) Fleet() recorder.Fleet {
	return r.configPoller.View().Fleet
}

// teamContextKey is the key of a request's team in its context.
type teamContextKey struct{}

// Team returns the team of an admitted request.
func (r *Runner) Team(q *http.Request) string {
	team, _ := q.Context().Value(teamContextKey{}).(string)
	return team
}

// admitServiceCalls returns a handler that passes a call of a plain service on to next if its team is authenticated, may
// use the service and is within its rate limit, and that refuses all others.
func (r *Runner) admitServiceCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		id := server.Identify(w, q)
		q.Header.Set(server.HeaderRequest, id)
		if p := r.Gate(r.clock()); p != nil {
			writeRefusal(w, q, *p)
			return
		}
		view := r.configPoller.View()
		team, p := server.Authenticate(view, q)
		if p == nil && !view.AllowsService(team, mux.Vars(q)["service"]) {
			p = server.RefusalProblem(server.CodeServiceNotFound, "the team may not use the service")
		}
		if p == nil {
			p = r.admitter.AdmitCall(view, team)
		}
		if p != nil {
			r.log.Info("request refused", "request", id, "team", team, "code", p.Code)
			r.countRefusal(team, p.Code)
			writeRefusal(w, q, *p)
			return
		}
		next.ServeHTTP(w, q.WithContext(context.WithValue(q.Context(), teamContextKey{}, team)))
	})
}

// writeRefusal writes the response to a refused call. The outcome of a repeated attempt is unknown, since an earlier
// attempt may have run.
func writeRefusal(w http.ResponseWriter, q *http.Request, p server.Problem) {
	if dispatcher.IsLaterAttempt(q) {
		p.Verdict = classifier.VerdictUnknown
	}
	p.Write(w)
}
