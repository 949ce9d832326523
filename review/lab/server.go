//go:build review

package lab

import (
	"fmt"
	"io"
	"net/http"
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
