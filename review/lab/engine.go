//go:build review

package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Engine is a server that holds layers of a model: a sound one, but that a deadly request crashes it.
type Engine struct {
	Service string
	Zone    string
	Address string

	lab    *Lab
	number int
	mu     sync.Mutex
	// The state of the present process. It is empty after each start.
	id       string
	born     int64
	starts   int
	from, to int
	orders   int
	fence    int64
	sequence int
	server   *http.Server
	// down is closed when the present process crashes.
	down chan struct{}
}

// The model of the engines and the events of an answer.
const (
	Layers        = 80
	LayerMB       = 1750
	CardMB        = 73728
	cardKind      = "a100"
	EventCount    = 40
	EventInterval = 20 * time.Millisecond
	// loadTime is how long an engine takes for an order, and stallTime how long work stalls that depends on a server that is gone.
	loadTime = 500 * time.Millisecond
	// readTime is how long a deadly request is read before it crashes the server.
	readTime  = 20 * time.Millisecond
	stallTime = 2500 * time.Millisecond
	// backAfter is how long after a crash the server is back, and expiry how long after it the old process's row is removed.
	backAfter = 3 * time.Second
	expiry    = 3 * Heartbeat
)

// AddEngine starts the nth server, as an empty one of a service that runs a model, and registers it.
func (l *Lab) AddEngine(n int, service string) (*Engine, error) {
	e := &Engine{Service: service, Zone: Zones[n%len(Zones)], Address: l.ServerAddress(n), lab: l, number: n}
	l.mu.Lock()
	l.engines[e.Address] = e
	l.mu.Unlock()
	l.OnClose(e.stop)
	return e, e.start()
}

// start starts a process of the server.
func (e *Engine) start() error {
	listener, err := net.Listen("tcp", e.Address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.starts++
	e.id, e.born = fmt.Sprintf("i-%06x%02x", 0x1c00a3+e.number, e.starts), time.Now().UnixMilli()
	e.from, e.to, e.orders, e.fence, e.sequence = 0, 0, 0, 0, 0
	e.server, e.down = &http.Server{Handler: e}, make(chan struct{})
	go func(s *http.Server) { _ = s.Serve(listener) }(e.server) // It ends as the process does.
	e.mu.Unlock()
	e.Register("ready")
	return nil
}

// stop ends the present process.
func (e *Engine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.down:
		return
	default:
	}
	close(e.down)
	_ = e.server.Close()
}

// crash ends the process with the id, if it still runs, and starts another one later.
func (e *Engine) crash(id, cause string) {
	e.mu.Lock()
	isCurrent := e.id == id && e.isUp()
	e.mu.Unlock()
	if !isCurrent {
		return
	}
	e.lab.recordCrash(Crash{time.Now(), id, cause})
	e.stop()
	time.AfterFunc(expiry, func() { e.lab.Store.Remove("servers", id) })
	time.AfterFunc(backAfter, func() {
		if err := e.start(); err != nil {
			e.lab.Record.Line("server at %s not started again: %v", e.Address, err)
		}
	})
}

// isUp reports whether a process runs. The lock is held.
func (e *Engine) isUp() bool {
	select {
	case <-e.down:
		return false
	default:
		return true
	}
}

// Crash is the crash of a server under a request.
type Crash struct {
	At     time.Time
	Server string
	Cause  string
}

// recordCrash records a crash.
func (l *Lab) recordCrash(c Crash) {
	l.mu.Lock()
	l.crashes = append(l.crashes, c)
	n := len(l.crashes)
	l.mu.Unlock()
	l.Record.Line("crash %d: %s under %s", n, c.Server, c.Cause)
}

// Crashes returns the crashes so far.
func (l *Lab) Crashes() []Crash {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Crash(nil), l.crashes...)
}

// Arrival is a request for the model that a server got and began to run.
type Arrival struct {
	At     time.Time
	Server string
	ID     string
	Deadly bool
}

// Arrivals returns the requests for the model that servers began to run.
func (l *Lab) Arrivals() []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Arrival(nil), l.arrivals...)
}

// deadlyRequests tells which requests crash the servers that begin to run them, and how.
type deadlyRequests struct {
	// part is the part of their prompts; an empty one makes none deadly.
	part string
	// delay is how long after its first event a request crashes the server; if it is negative, the server crashes before that event.
	delay time.Duration
}

// SetDeadly makes requests deadly whose prompts have a part. They crash the server some time after their first event.
func (l *Lab) SetDeadly(part string, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deadlyRequests = deadlyRequests{part, delay}
}

// deadly returns what is deadly.
func (l *Lab) deadly() deadlyRequests {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.deadlyRequests
}

// state returns what the server says of itself. The lock is held.
func (e *Engine) state() map[string]any {
	out := map[string]any{"phase": "both", "models": []any{}, "born": e.born, "route_kind": cardKind, "layers": nil}
	if e.to > e.from {
		out["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
		out["layers"] = map[string]int{"from": e.from, "target": e.to, "version": 1}
	}
	return out
}

// Register writes the server's row.
func (e *Engine) Register(state string) {
	e.mu.Lock()
	e.sequence++
	entry, id := e.state(), e.id
	for k, v := range map[string]any{
		"service": e.Service, "address": e.Address, "zone": e.Zone, "version": "v1", "slots": 192, "state": state,
		"cold_left_ms": 0, "sequence": e.sequence,
	} {
		entry[k] = v
	}
	e.mu.Unlock()
	e.lab.Store.Put("servers", id, entry)
}

// ServeHTTP answers one request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	self := e.id
	e.mu.Unlock()
	id := r.Header.Get("X-Heatherrock-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Heatherrock-Attempt-Id", id)
	}
	w.Header().Set("X-Heatherrock-Instance-Id", self)
	if expected := r.Header.Get("X-Heatherrock-Expect-Instance"); expected != "" && expected != self {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
	case "/report":
		e.mu.Lock()
		out := e.state()
		out["busy"], out["sequence"] = false, e.orders
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	case "/order":
		e.order(w, r, self)
	default:
		e.stream(w, r, self, id)
	}
}

// order answers an order.
func (e *Engine) order(w http.ResponseWriter, r *http.Request, self string) {
	var o struct {
		Operation string `json:"op"`
		From      int    `json:"from"`
		To        int    `json:"target"`
		Token     int64  `json:"fencing_token"`
		Sequence  *int   `json:"precondition"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Operation != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	status := http.StatusAccepted
	switch {
	case o.Token < e.fence:
		status = http.StatusPreconditionFailed
	case e.from == o.From && e.to == o.To:
		status = http.StatusOK
	case o.Sequence != nil && *o.Sequence != e.orders:
		status = http.StatusConflict
	default:
		e.fence = o.Token
		e.orders++
	}
	e.mu.Unlock()
	e.lab.Record.Line("order at %s: layers %d to %d, token %d, status %d", self, o.From, o.To, o.Token, status)
	w.WriteHeader(status)
	if status != http.StatusAccepted {
		return
	}
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		isCurrent := e.id == self && e.isUp()
		if isCurrent {
			e.from, e.to = o.From, o.To
		}
		e.mu.Unlock()
		if isCurrent {
			e.Register("ready")
		}
	})
}

// stages returns the servers and layers of a path.
func (l *Lab) stages(header string) (engines []*Engine, ranges [][2]int, ok bool) {
	for part := range strings.SplitSeq(header, ",") {
		address, layers, _ := strings.Cut(part, "=")
		var r [2]int
		if _, err := fmt.Sscanf(layers, "%d-%d", &r[0], &r[1]); err != nil {
			return nil, nil, false
		}
		l.mu.Lock()
		e := l.engines[address]
		l.mu.Unlock()
		if e == nil {
			return nil, nil, false
		}
		engines, ranges = append(engines, e), append(ranges, r)
	}
	return engines, ranges, true
}

// holds reports whether the server runs and holds layers.
func (e *Engine) holds(r [2]int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isUp() && e.from <= r[0] && r[1] <= e.to
}

// stream answers a request for a model.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, self, id string) {
	if id == "" {
		w.Header().Set("X-Heatherrock-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	engines, ranges, ok := e.lab.stages(r.Header.Get("X-Heatherrock-Hop-Count"))
	if !ok || engines[0] != e {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for i, stage := range engines {
		if !stage.holds(ranges[i]) {
			w.Header().Set("At-Server", stage.Address)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
	}
	deadly := e.lab.deadly()
	isDeadly := deadly.part != "" && strings.Contains(r.Header.Get("X-Heatherrock-Prefix-Hash"), deadly.part+":")
	e.lab.mu.Lock()
	e.lab.arrivals = append(e.lab.arrivals, Arrival{time.Now(), self, id, isDeadly})
	e.lab.mu.Unlock()
	e.lab.Record.Line("run at %s: %s %s from event %q path %s", self, id, r.RequestURI, r.Header.Get("Last-Event-Id"), r.Header.Get("X-Heatherrock-Hop-Count"))
	if isDeadly && deadly.delay < 0 {
		time.Sleep(readTime)
		go e.crash(self, id) // It ends this request, too.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Heatherrock-Server-Stamp", "stamp-"+self+"-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= EventCount; n++ {
		for i, stage := range engines {
			if !stage.holds(ranges[i]) {
				select {
				case <-time.After(stallTime):
				case <-r.Context().Done():
				}
				panic(http.ErrAbortHandler) // The work is cut off.
			}
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		if isDeadly && n == last+1 {
			time.AfterFunc(deadly.delay, func() { e.crash(self, id) })
		}
		select {
		case <-time.After(EventInterval):
		case <-r.Context().Done():
			return
		}
	}
}
