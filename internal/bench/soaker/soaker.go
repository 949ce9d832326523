// Package soaker applies random faults to the real programs. Instances run as separate processes against a stand-in of
// the platform and are connected by loopback proxies. The guarantees to callers are checked by what callers and
// endpoints observe.
package soaker

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/standin/hoster"
)

// Options configures a run.
type Options struct {
	// Binary is the path of an instance's program, and Dir the directory for settings and logs.
	Binary string
	Dir    string
	Seed   uint64
	Length time.Duration
}

// Report is the result of a run.
type Report struct {
	Seed   uint64
	Faults []Fault
	// Requests counts the requests, and Served those that were served completely.
	Requests int
	Served   int
	// Violations describes the guarantees that were violated.
	Violations []string
}

// The size of a run.
const (
	instanceCount = 3
	engineCount   = 6
	deskCount     = 3
	callerCount   = 8
	// startTimeout bounds the time until all instances serve, or a restarted one is ready, and recoveryTimeout the time
	// until all serve after the last fault, as the platform requires.
	startTimeout    = 20 * time.Second
	recoveryTimeout = 15 * time.Second
	// eventInterval and answerTime make requests last long enough to overlap with faults.
	eventInterval = 40 * time.Millisecond
	answerTime    = 30 * time.Millisecond
	// lateRunWindow is how long endpoints are observed after the last answer: a refused request must not run later.
	lateRunWindow = 500 * time.Millisecond
)

// soak is a run in progress.
type soak struct {
	options   Options
	addresses *hoster.Net
	platform  *hoster.Platform
	instances []*instance
	pauses    pauseRecorder

	mu            sync.Mutex
	endpoints     []*endpoint
	endpointLinks []*Proxy
	spans         []Span
	keyChanges    []time.Time
	configVersion int
	violations    []string
	// deadlyRequests are the sends of the call that crashes endpoints.
	deadlyRequests []Request
	isClosed       bool
}

// endpoint is the slot of an endpoint, in which a new one starts after a crash.
type endpoint struct {
	service    string
	dataCentre string
	kind       string
	number     int
	server     *hoster.Server
	link       *Proxy
}

// Run executes the run of one seed.
func Run(o Options) (Report, error) {
	report := Report{Seed: o.Seed, Faults: Plan(o.Seed, o.Length, instanceCount, engineCount+deskCount)}
	claim, err := hoster.ClaimNet()
	if err != nil {
		return report, err
	}
	s := &soak{options: o, addresses: claim, platform: hoster.NewPlatform()}
	if hasDeadlyCall(o.Seed) {
		s.platform.DeadlyBody, s.platform.OnCrash = deadlyBody, s.handleCrash
	}
	defer s.close()
	if err := s.startAll(); err != nil {
		return report, err
	}
	if !s.waitUntil(startTimeout, s.allServing) {
		return report, merry.New("instances do not serve before the first fault")
	}
	requests := s.runLoad(report.Faults)
	if !s.waitUntil(recoveryTimeout, s.allServing) {
		s.violations = append(s.violations, "not every instance serves again after the last fault")
	}
	time.Sleep(lateRunWindow)
	s.mu.Lock()
	e := Observations{
		Requests: requests, DeadlyRequests: s.deadlyRequests, Arrivals: s.platform.Arrivals(), RunCounts: map[string]int{}, Spans: s.spans,
		KeyChanges: s.keyChanges, Failures: s.violations,
	}
	s.mu.Unlock()
	for _, r := range requests {
		e.RunCounts[r.ID] = s.platform.RunCount(r.ID)
		if r.Status == http.StatusOK && r.Err == "" {
			report.Served++
		}
	}
	for _, i := range s.instances {
		i.mu.Lock()
		e.Failures = append(e.Failures, i.failures...)
		i.mu.Unlock()
	}
	report.Requests = len(requests)
	report.Violations = FindViolations(e)
	return report, nil
}

// startAll starts the platform, the endpoints and the instances.
func (s *soak) startAll() error {
	if err := os.MkdirAll(s.options.Dir, 0o755); err != nil {
		return err
	}
	s.platform.EventInterval, s.platform.AnswerTime, s.platform.PublicAddress = eventInterval, answerTime, s.publicAddress
	s.putNextConfig(time.Now())
	for n := range engineCount + deskCount {
		e := &endpoint{service: "pool", dataCentre: dataCentreOf(n), kind: "card", number: n}
		if n >= engineCount {
			e.service, e.kind = "desk", ""
		}
		s.endpoints = append(s.endpoints, e)
		s.startEndpoint(e, 0)
	}
	for n := range instanceCount {
		link, err := NewProxy(s.platform.Store.Address())
		if err != nil {
			return err
		}
		m := hoster.Machine{
			Name: fmt.Sprint("edge-", n), Zone: dataCentreOf(n), IP: s.addresses.IP(n), StoreAddress: link.Address(),
		}
		inbound, err := NewProxy(m.CallersAddress())
		if err != nil {
			link.Close()
			return err
		}
		i := &instance{binary: s.options.Binary, dir: s.options.Dir, machine: m, storeLink: link, callerLink: inbound}
		s.instances = append(s.instances, i)
		if err := i.start(); err != nil {
			return err
		}
	}
	return nil
}

// dataCentreOf returns the data centre of the nth instance or endpoint.
func dataCentreOf(n int) string { return string(rune('a' + n%2)) }

// publicAddress starts the link to an endpoint and returns its address, under which the endpoint registers.
func (s *soak) publicAddress(_, address string) string {
	p, err := NewProxy(address)
	if err != nil {
		panic(err) // No port is free on this machine.
	}
	s.endpointLinks = append(s.endpointLinks, p)
	return p.Address()
}

// startEndpoint starts an endpoint. A suffix other than 0 becomes part of its id. The caller holds the lock, or no
// other goroutine runs.
func (s *soak) startEndpoint(e *endpoint, suffix int) {
	id := fmt.Sprintf("%s-%d", e.service, e.number)
	if suffix > 0 {
		id += fmt.Sprint("-", suffix)
	}
	e.server = s.platform.AddServer(id, e.service, e.dataCentre, e.kind)
	e.link = s.endpointLinks[len(s.endpointLinks)-1]
}

// close ends the instances, the platform and the links.
func (s *soak) close() {
	s.mu.Lock()
	s.isClosed = true
	s.mu.Unlock()
	for _, i := range s.instances {
		i.close()
	}
	s.platform.Close()
	for _, p := range s.endpointLinks {
		p.Close()
	}
	_ = s.addresses.Close() // Closing an open listener does not fail.
}

// waitUntil polls a condition and reports whether it held within the limit.
func (s *soak) waitUntil(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// allServing reports whether every instance is ready and serves every route.
func (s *soak) allServing() bool {
	for n, i := range s.instances {
		if !i.ready() {
			return false
		}
		for _, route := range []string{routeModel, routeHold, routeRead} {
			c := newCaller(0, n, i.callerLink.Address(), 0, &s.pauses, nil)
			r := c.send(Request{ID: fmt.Sprintf("probe-%d", time.Now().UnixNano()), Route: route, Key: firstKey, Instance: n})
			c.client.CloseIdleConnections()
			if r.Status != http.StatusOK || r.Err != "" {
				return false
			}
		}
	}
	return true
}

// runLoad sends the requests of all callers while the faults are applied, and returns the requests.
func (s *soak) runLoad(faults []Fault) []Request {
	done := make(chan struct{})
	var recorderDone, callersDone, faultsDone sync.WaitGroup
	recorderDone.Add(1)
	go s.pauses.run(&recorderDone, done)
	stop := make(chan struct{})
	var clients []*caller
	for n := range callerCount {
		c := newCaller(n, n%instanceCount, s.instances[n%instanceCount].callerLink.Address(), s.options.Seed, &s.pauses, stop)
		clients = append(clients, c)
		callersDone.Add(1)
		go c.run(&callersDone)
	}
	if s.platform.DeadlyBody != "" {
		callersDone.Add(1)
		go s.runDeadly(&callersDone, stop)
	}
	startedAt := time.Now()
	for _, f := range faults {
		time.Sleep(time.Until(startedAt.Add(f.StartAfter)))
		faultsDone.Add(1)
		go s.runFault(&faultsDone, f)
	}
	faultsDone.Wait()
	time.Sleep(time.Until(startedAt.Add(s.options.Length)))
	close(stop)
	callersDone.Wait()
	close(done)
	recorderDone.Wait()
	var out []Request
	for _, c := range clients {
		out = append(out, c.requests...)
	}
	return out
}

// String returns the printed form of the report.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d requests, %d served, %d faults, %d promises broken\n", r.Seed, r.Requests, r.Served, len(r.Faults), len(r.Violations))
	if len(r.Violations) == 0 {
		return b.String()
	}
	for _, f := range r.Faults {
		fmt.Fprintln(&b, "  fault ", f)
	}
	for _, v := range r.Violations {
		fmt.Fprintln(&b, "  broken", v)
	}
	return b.String()
}

// LogDir returns the directory of a seed's logs below root.
func LogDir(root string, seed uint64) string { return filepath.Join(root, fmt.Sprint("seed-", seed)) }
