// Package soaker plays random faults on the real programs: instances as processes of their own before a stand-in of the
// platform, with loopback links between them. It checks what was promised to callers by what callers and endpoints see.
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

// Options are those of a run.
type Options struct {
	// Binary is the program of an instance, and Dir where settings and logs go.
	Binary string
	Dir    string
	Seed   uint64
	Length time.Duration
}

// Report is the result of a run.
type Report struct {
	Seed   uint64
	Faults []Fault
	// Requests counts the requests, and Served those that were served whole.
	Requests int
	Served   int
	// Broken holds the promises that were broken.
	Broken []string
}

// The size of a run.
const (
	instances = 3
	engines   = 6
	desks     = 3
	callers   = 8
	// starting bounds the time until all instances are ready, and recovery that after the last fault, as the platform asks.
	starting = 20 * time.Second
	recovery = 15 * time.Second
	// eventPace and workTime make requests last long enough for faults to strike them.
	eventPace = 40 * time.Millisecond
	workTime  = 30 * time.Millisecond
	// linger is how long endpoints are watched after the last answer: what was refused must not run later.
	linger = 500 * time.Millisecond
)

// soak is a run in progress.
type soak struct {
	options   Options
	net       *hoster.Net
	world     *hoster.Platform
	instances []*instance
	watch     watch

	mu        sync.Mutex
	endpoints []*endpoint
	links     []*Proxy
	spans     []Span
	keyed     []time.Time
	version   int
	exits     []string
}

// endpoint is one place of an endpoint, in which a new one starts after a crash.
type endpoint struct {
	service string
	zone    string
	kind    string
	number  int
	server  *hoster.Server
	link    *Proxy
}

// Run plays one seed.
func Run(o Options) (Report, error) {
	report := Report{Seed: o.Seed, Faults: Plan(o.Seed, o.Length, instances, engines+desks)}
	claim, err := hoster.ClaimNet()
	if err != nil {
		return report, err
	}
	s := &soak{options: o, net: claim, world: hoster.NewPlatform()}
	defer s.close()
	if err := s.open(); err != nil {
		return report, err
	}
	if !s.until(starting, s.serves) {
		return report, merry.New("the instances do not serve before the first fault")
	}
	requests := s.load(report.Faults)
	if !s.until(recovery, s.serves) {
		s.exits = append(s.exits, "not every instance serves again after the last fault")
	}
	time.Sleep(linger)
	e := Evidence{Requests: requests, Arrivals: s.world.Arrivals(), Runs: map[string]int{}, Spans: s.spans, Keyed: s.keyed, Exits: s.exits}
	for _, r := range requests {
		e.Runs[r.ID] = s.world.RunCount(r.ID)
		if r.Status == http.StatusOK && r.Err == "" {
			report.Served++
		}
	}
	for _, i := range s.instances {
		i.mu.Lock()
		e.Exits = append(e.Exits, i.exits...)
		i.mu.Unlock()
	}
	report.Requests = len(requests)
	report.Broken = Judge(e)
	return report, nil
}

// open starts the platform and the instances.
func (s *soak) open() error {
	if err := os.MkdirAll(s.options.Dir, 0o755); err != nil {
		return err
	}
	s.world.EventInterval, s.world.AnswerTime, s.world.PublicAddress = eventPace, workTime, s.public
	s.configure(time.Now())
	for n := range engines + desks {
		e := &endpoint{service: "pool", zone: zone(n), kind: "card", number: n}
		if n >= engines {
			e.service, e.kind = "desk", ""
		}
		s.endpoints = append(s.endpoints, e)
		s.enter(e, 0)
	}
	for n := range instances {
		link, err := NewProxy(s.world.Store.Address())
		if err != nil {
			return err
		}
		m := hoster.Machine{
			Name: fmt.Sprint("edge-", n), Zone: zone(n), IP: s.net.IP(n), StoreAddress: link.Address(),
		}
		front, err := NewProxy(m.CallersAddress())
		if err != nil {
			link.Close()
			return err
		}
		i := &instance{binary: s.options.Binary, dir: s.options.Dir, machine: m, link: link, callers: front}
		s.instances = append(s.instances, i)
		if err := i.start(); err != nil {
			return err
		}
	}
	return nil
}

// zone returns the data centre of the nth instance or endpoint.
func zone(n int) string { return string(rune('a' + n%2)) }

// public returns the address under which an endpoint registers: that of its link.
func (s *soak) public(_, address string) string {
	p, err := NewProxy(address)
	if err != nil {
		panic(err) // No port is free on this machine.
	}
	s.links = append(s.links, p)
	return p.Address()
}

// enter starts an endpoint. The lock is held, or nothing else runs.
func (s *soak) enter(e *endpoint, life int) {
	id := fmt.Sprintf("%s-%d", e.service, e.number)
	if life > 0 {
		id += fmt.Sprint("-", life)
	}
	e.server = s.world.AddServer(id, e.service, e.zone, e.kind)
	e.link = s.links[len(s.links)-1]
}

// close ends everything.
func (s *soak) close() {
	for _, i := range s.instances {
		i.close()
	}
	s.world.Close()
	for _, p := range s.links {
		p.Close()
	}
	_ = s.net.Close() // A listener that is open closes.
}

// until waits for a condition, and reports whether it came in time.
func (s *soak) until(limit time.Duration, met func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if met() {
			return true
		}
	}
	return false
}

// serves reports whether each instance serves each kind of request.
func (s *soak) serves() bool {
	for n, i := range s.instances {
		if !i.ready() {
			return false
		}
		for _, route := range []string{routeModel, routeHold, routeLook} {
			c := newCaller(0, n, i.callers.Address(), 0, &s.watch, nil)
			r := c.ask(Request{ID: fmt.Sprintf("probe-%d", time.Now().UnixNano()), Route: route, Key: firstKey, Instance: n})
			c.client.CloseIdleConnections()
			if r.Status != http.StatusOK || r.Err != "" {
				return false
			}
		}
	}
	return true
}

// load lets callers send requests while the faults strike, and returns the requests.
func (s *soak) load(faults []Fault) []Request {
	done := make(chan struct{})
	var beats, asking, striking sync.WaitGroup
	beats.Add(1)
	go s.watch.run(&beats, done)
	stop := make(chan struct{})
	var all []*caller
	for n := range callers {
		c := newCaller(n, n%instances, s.instances[n%instances].callers.Address(), s.options.Seed, &s.watch, stop)
		all = append(all, c)
		asking.Add(1)
		go c.run(&asking)
	}
	began := time.Now()
	for _, f := range faults {
		time.Sleep(time.Until(began.Add(f.At)))
		striking.Add(1)
		go s.run(&striking, f)
	}
	striking.Wait()
	time.Sleep(time.Until(began.Add(s.options.Length)))
	close(stop)
	asking.Wait()
	close(done)
	beats.Wait()
	var out []Request
	for _, c := range all {
		out = append(out, c.requests...)
	}
	return out
}

// String returns the report as printed.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d requests, %d served, %d faults, %d promises broken\n", r.Seed, r.Requests, r.Served, len(r.Faults), len(r.Broken))
	if len(r.Broken) == 0 {
		return b.String()
	}
	for _, f := range r.Faults {
		fmt.Fprintln(&b, "  fault ", f)
	}
	for _, w := range r.Broken {
		fmt.Fprintln(&b, "  broken", w)
	}
	return b.String()
}

// Dir returns the directory of a seed's logs below another.
func Dir(root string, seed uint64) string { return filepath.Join(root, fmt.Sprint("seed-", seed)) }
