// Package hoster stands in for the first users' platform: its store, its model servers and its plain services, with the
// faults that the platform may have. It speaks the platform's protocol.
package hoster

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Row is a row of the store.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"schema_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Faults are the ways in which the store fails. The zero value is a store without fault.
type Faults struct {
	// Status is answered to all calls, if set.
	Status int
	// Silent makes calls hang until the fault is over.
	Silent bool
	// LoseWrites makes writes be applied and not answered.
	LoseWrites bool
	// Forget makes the store answer that it has dropped its history, once for each table.
	Forget map[string]bool
}

// Store is the stand-in's store.
type Store struct {
	server *httptest.Server

	mu      sync.Mutex
	rows    map[string]Row
	version int64
	changed chan struct{}
	faults  Faults
	calls   map[string]int
}

// NewStore starts a store.
func NewStore() *Store {
	s := &Store{rows: map[string]Row{}, changed: make(chan struct{}), calls: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.commit)
	s.server = httptest.NewServer(s.fail(mux))
	return s
}

// Close ends the store.
func (s *Store) Close() {
	s.SetFaults(Faults{})
	s.server.CloseClientConnections()
	s.server.Close()
}

// Address returns the store's host and port.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// SetFaults changes how the store fails.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Calls returns how often a call was made.
func (s *Store) Calls(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[name]
}

// Put writes a row as the operator or a server does.
func (s *Store) Put(table, key string, value any) {
	b, ok := value.([]byte)
	if !ok {
		var err error
		if b, err = json.Marshal(value); err != nil {
			panic(err) // A fault of the test.
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(Row{Table: table, Key: key, Value: b})
}

// Remove drops a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(Row{Table: table, Key: key, Deleted: true})
}

// Get returns a row.
func (s *Store) Get(table, key string) (Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[table+"/"+key]
	return r, ok && !r.Deleted
}

// set writes a row at the next version. The lock is held.
func (s *Store) set(r Row) {
	s.version++
	r.Version = s.version
	s.rows[r.Table+"/"+r.Key] = r
	s.wake()
}

// wake wakes the calls that wait for changes. The lock is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// fail counts calls and lets the faults act on them.
func (s *Store) fail(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[strings.TrimPrefix(r.URL.Path, "/")]++
		s.mu.Unlock()
		for {
			s.mu.Lock()
			f, changed := s.faults, s.changed
			s.mu.Unlock()
			if f.Status != 0 {
				w.WriteHeader(f.Status)
				return
			}
			if !f.Silent {
				break
			}
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

// get answers with the rows of a table.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(w, s.since(r.URL.Query().Get("table"), 0, false))
}

// since returns the rows of a table that are newer than a version. The lock is held.
func (s *Store) since(table string, version int64, deleted bool) []Row {
	out := []Row{}
	for _, row := range s.rows {
		if row.Table == table && row.Version > version && (deleted || !row.Deleted) {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// feed answers with the changes of a table as soon as there are some.
func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	over := false
	for {
		s.mu.Lock()
		if s.faults.Forget[q.Get("table")] {
			delete(s.faults.Forget, q.Get("table"))
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows, changed := s.since(q.Get("table"), after, true), s.changed
		if len(rows) > 0 || over || s.faults.Status != 0 {
			s.write(w, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// write writes a page. The lock is held.
func (s *Store) write(w http.ResponseWriter, rows []Row) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "has_more": false, "schema_version": s.version})
}

// commit applies a transaction.
func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		If     []Row `json:"precondition"`
		Set    []Row `json:"set_keys"`
		Remove []Row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range tx.If {
		row := s.rows[c.Table+"/"+c.Key]
		if row.Deleted {
			row.Version = 0
		}
		if row.Version != c.Version {
			w.WriteHeader(http.StatusPreconditionFailed)
			s.write(w, []Row{row})
			return
		}
	}
	for _, row := range tx.Set {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		s.set(row)
	}
	for _, row := range tx.Remove {
		row.Deleted = true
		s.set(row)
	}
	if s.faults.LoseWrites {
		cut(w)
		return
	}
	s.write(w, nil)
}

// cut resets the connection of an answer.
func cut(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
