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

// services shares one selector of plain services' endpoints between goroutines.
type services struct {
	clock func() time.Time

	mu       sync.Mutex
	selector *selector.Selector
	random   *rand.Rand
}

// newServices returns the choice of plain services' endpoints, which knows none yet.
func newServices(clock func() time.Time) *services {
	return &services{clock: clock, selector: selector.New(), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// Choose returns the endpoints that may get work of a service, the best first.
func (s *services) Choose(service string) []dispatcher.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []dispatcher.Endpoint
	for _, e := range s.selector.Choose(s.clock(), service, s.random) {
		list = append(list, dispatcher.Endpoint{ID: e.ID, Address: e.Address})
	}
	return list
}

// Report takes in how an attempt on an endpoint went.
func (s *services) Report(endpoint string, failed bool, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.RecordResult(s.clock(), endpoint, failed, latency)
}

// ObserveService takes in an endpoint of a plain service.
func (s *services) ObserveService(now time.Time, id, address, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.Observe(now, id, address, service)
}

// LeaveService takes in that an endpoint is leaving.
func (s *services) LeaveService(now time.Time, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.MarkLeaving(now, id)
}

// RemoveService forgets an endpoint.
func (s *services) RemoveService(now time.Time, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.Remove(now, id)
}

// State returns what is believed of each endpoint, for the state dump.
func (s *services) State() map[string]selector.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := make(map[string]selector.Server, len(s.selector.Servers))
	for id, e := range s.selector.Servers {
		state[id] = e
	}
	return state
}

// Service returns the body of a service's record and whether there is one.
func (r *Runner) Service(name string) (recorder.Service, bool) {
	s, ok := r.config.View().Services[name]
	return s, ok
}

// Fleet returns the limits of the fleet.
func (r *Runner) Fleet() recorder.Fleet {
	return r.config.View().Fleet
}

// teamKey is the key of a request's team in its context.
type teamKey struct{}

// Team returns the team of a request that was let in.
func (r *Runner) Team(q *http.Request) string {
	team, _ := q.Context().Value(teamKey{}).(string)
	return team
}

// admitted lets in requests to plain services whose team is known and may use the service.
func (r *Runner) admitted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		id := server.Identify(w, q)
		q.Header.Set(server.HeaderRequest, id)
		if p := r.Gate(r.clock()); p != nil {
			refuse(w, q, *p)
			return
		}
		view := r.config.View()
		team, p := server.Authenticate(view, q)
		if p == nil && !view.AllowsService(team, mux.Vars(q)["service"]) {
			p = server.Refuse(server.CodeService, "the team may not use the service")
		}
		if p == nil {
			p = r.admitter.Call(view, team)
		}
		if p != nil {
			r.log.Info("request refused", "request", id, "team", team, "code", p.Code)
			r.refused(team, p.Code)
			refuse(w, q, *p)
			return
		}
		next.ServeHTTP(w, q.WithContext(context.WithValue(q.Context(), teamKey{}, team)))
	})
}

// refuse answers a call that is not let in. Of a later attempt it is not known whether one before it has run.
func refuse(w http.ResponseWriter, q *http.Request, p server.Problem) {
	if dispatcher.Later(q) {
		p.Verdict = classifier.VerdictUnknown
	}
	p.Write(w)
}
