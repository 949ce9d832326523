package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is one request that a server began to work on.
type Run struct {
	At       time.Time
	Server   string
	ID       string
	Method   string
	Target   string
	Tenant   string
	HasKey   bool
	BodySize int
}

// Desk is a server of a plain service: a sound one, which runs each request that it gets and answers it.
type Desk struct {
	ID      string
	Service string
	Zone    string
	Address string
	// Work is how long a request takes.
	Work time.Duration

	lab *Lab
	mu  sync.Mutex
	// born is the start of the server in Unix milliseconds.
	born     int64
	sequence int
	runs     []Run
}

// AddDesk starts the nth server, as one of a plain service, and registers it.
func (l *Lab) AddDesk(n int, service string) (*Desk, error) {
	d := &Desk{
		ID: fmt.Sprintf("i-%08x", 0x7f3a91c2+n), Service: service, Zone: Zones[n%len(Zones)], Address: l.ServerAddress(n),
		Work: 30 * time.Millisecond, lab: l, born: time.Now().UnixMilli(),
	}
	if err := l.Serve(d.Address, d); err != nil {
		return nil, err
	}
	d.Register("ready", 0)
	return d, nil
}

// Register writes the server's row.
func (d *Desk) Register(state string, coldLeftMS int) time.Time {
	d.mu.Lock()
	d.sequence++
	entry := map[string]any{
		"service": d.Service, "address": d.Address, "zone": d.Zone, "version": "v1", "slots": 6, "state": state,
		"cold_left_ms": coldLeftMS, "sequence": d.sequence, "born": d.born,
	}
	d.mu.Unlock()
	return d.lab.Store.Put("servers", d.ID, entry)
}

// Runs returns the requests that have run.
func (d *Desk) Runs() []Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Run(nil), d.runs...)
}

// ServeHTTP answers one request.
func (d *Desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Heatherrock-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Heatherrock-Attempt-Id", id)
	}
	w.Header().Set("X-Heatherrock-Instance-Id", d.ID)
	if expected := r.Header.Get("X-Heatherrock-Expect-Instance"); expected != "" && expected != d.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		return
	}
	if id == "" {
		w.Header().Set("X-Heatherrock-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := Run{
		At: time.Now(), Server: d.ID, ID: id, Method: r.Method, Target: r.RequestURI, Tenant: r.Header.Get("X-Heatherrock-Tenant"),
		HasKey: r.Header.Get("Authorization") != "", BodySize: len(body),
	}
	d.mu.Lock()
	d.runs = append(d.runs, run)
	d.mu.Unlock()
	d.lab.Record.Line("run at %s: %s %s %s tenant %q key passed on %v body %d bytes", d.ID, id, run.Method, run.Target, run.Tenant, run.HasKey, run.BodySize)
	time.Sleep(d.Work)
	w.Header().Set("X-Heatherrock-Server-Stamp", "stamp-"+d.ID+"-"+id)
	w.Header().Set("X-Heatherrock-Server-Load", "1,0,6")
	_, _ = io.WriteString(w, "answer to "+id)
}

// Engine is a server that holds layers of a model.
type Engine struct {
	ID      string
	Service string
	Zone    string
	Address string

	lab      *Lab
	mu       sync.Mutex
	born     int64
	from, to int
	orders   int
	fence    int64
	sequence int
}

// The model of the engines and the events of an answer.
const (
	Layers        = 80
	LayerMB       = 1750
	CardMB        = 73728
	EventCount    = 20
	EventInterval = 20 * time.Millisecond
)

// AddEngine starts the nth server, as an empty one of a service that runs a model, and registers it.
func (l *Lab) AddEngine(n int, service string) (*Engine, error) {
	e := &Engine{
		ID: fmt.Sprintf("i-%08x", 0x1c00a300+n), Service: service, Zone: Zones[n%len(Zones)], Address: l.ServerAddress(n), lab: l,
		born: time.Now().UnixMilli(),
	}
	if err := l.Serve(e.Address, e); err != nil {
		return nil, err
	}
	e.Register("ready", 0)
	return e, nil
}

// state returns what the server says of itself. The lock is held.
func (e *Engine) state() map[string]any {
	out := map[string]any{"phase": "both", "models": []any{}, "born": e.born, "route_kind": "a100", "layers": nil}
	if e.to > e.from {
		out["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
		out["layers"] = map[string]int{"from": e.from, "target": e.to, "version": 1}
	}
	return out
}

// Register writes the server's row.
func (e *Engine) Register(state string, coldLeftMS int) time.Time {
	e.mu.Lock()
	e.sequence++
	entry := e.state()
	for k, v := range map[string]any{
		"service": e.Service, "address": e.Address, "zone": e.Zone, "version": "v1", "slots": 192, "state": state,
		"cold_left_ms": coldLeftMS, "sequence": e.sequence,
	} {
		entry[k] = v
	}
	e.mu.Unlock()
	return e.lab.Store.Put("servers", e.ID, entry)
}

// ServeHTTP answers one request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Heatherrock-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Heatherrock-Attempt-Id", id)
	}
	w.Header().Set("X-Heatherrock-Instance-Id", e.ID)
	if expected := r.Header.Get("X-Heatherrock-Expect-Instance"); expected != "" && expected != e.ID {
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
		e.order(w, r)
	default:
		e.stream(w, r, id)
	}
}

// order answers an order.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
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
		e.fence, e.from, e.to = o.Token, o.From, o.To
		e.orders++
	}
	e.mu.Unlock()
	e.lab.Record.Line("order at %s: layers %d to %d, token %d, status %d", e.ID, o.From, o.To, o.Token, status)
	if status == http.StatusAccepted {
		e.Register("ready", 0)
	}
	w.WriteHeader(status)
}

// stream answers a request for a model.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	if id == "" {
		w.Header().Set("X-Heatherrock-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	first, _, _ := strings.Cut(r.Header.Get("X-Heatherrock-Hop-Count"), ",")
	address, layers, _ := strings.Cut(first, "=")
	var from, to int
	_, err := fmt.Sscanf(layers, "%d-%d", &from, &to)
	e.mu.Lock()
	holds := err == nil && address == e.Address && e.from <= from && to <= e.to
	e.mu.Unlock()
	if !holds {
		w.Header().Set("At-Server", e.Address)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.lab.Record.Line("run at %s: %s %s path %s", e.ID, id, r.RequestURI, r.Header.Get("X-Heatherrock-Hop-Count"))
	w.Header().Set("X-Heatherrock-Server-Stamp", "stamp-"+e.ID+"-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= EventCount; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(EventInterval):
		case <-r.Context().Done():
			return
		}
	}
}
