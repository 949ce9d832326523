// Package hoster is a stand-in for the first users' platform: its store, its model servers and its plain services, with
// the faults that the platform may have. It implements the platform's protocol.
package hoster

import (
	"encoding/json"
	"maps"
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

// Faults sets how the store fails. The zero value is a store without faults.
type Faults struct {
	// Status, if not 0, is the status of the response to every call.
	Status int
	// Silent makes calls hang until the fault is cleared.
	Silent bool
	// LoseCalls makes the store ignore calls, also those that it holds: it never responds to them, not even once the
	// fault is cleared.
	LoseCalls bool
	// LoseWrites applies writes but resets the connection instead of responding.
	LoseWrites bool
	// DropHistory holds the tables for which the store responds, once each, that it has dropped the history.
	DropHistory map[string]bool
}

// FirstEra is the era of a store that has not come back from a copy yet.
const FirstEra = 1

// Store is the store of a Platform.
type Store struct {
	server *httptest.Server
	done   chan struct{}

	mu      sync.Mutex
	rows    map[string]Row
	version int64
	era     int64
	// restoredVersion is the version of the copy that the store last came back from.
	restoredVersion int64
	changed         chan struct{}
	faults          Faults
	callCounts      map[string]int
	lostCalls       int
}

// NewStore starts a store.
func NewStore() *Store {
	s := &Store{done: make(chan struct{}), rows: map[string]Row{}, era: FirstEra, changed: make(chan struct{}), callCounts: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.handleGet)
	mux.HandleFunc("GET /rows-feed", s.handleFeed)
	mux.HandleFunc("POST /rows-tx", s.handleCommit)
	s.server = httptest.NewServer(s.withFaults(mux))
	return s
}

// Close stops the store. It is called once.
func (s *Store) Close() {
	close(s.done)
	s.SetFaults(Faults{})
	s.server.CloseClientConnections()
	s.server.Close()
}

// Address returns the store's host and port.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// SetFaults replaces the faults of the store.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyChanged()
}

// CallCount returns the number of calls with a name, which is the path without its leading slash.
func (s *Store) CallCount(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCounts[name]
}

// LostCalls returns the number of calls that LoseCalls has made the store ignore.
func (s *Store) LostCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lostCalls
}

// loseCall counts a lost call and waits until the client has given it up or the store is closed: net/http notices that a client
// is gone only once the body of its request has been read.
func (s *Store) loseCall(r *http.Request) {
	s.mu.Lock()
	s.lostCalls++
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-r.Context().Done():
	}
}

// Put writes a row as the operator or a server does. A value other than []byte is encoded as JSON.
func (s *Store) Put(table, key string, value any) {
	content, ok := value.([]byte)
	if !ok {
		var err error
		if content, err = json.Marshal(value); err != nil {
			panic(err) // The test passed a value that cannot be encoded.
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setRow(Row{Table: table, Key: key, Value: content})
}

// Remove deletes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setRow(Row{Table: table, Key: key, Deleted: true})
}

// Get returns a row and whether it exists.
func (s *Store) Get(table, key string) (Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[table+"/"+key]
	return r, ok && !r.Deleted
}

// Snapshot is a copy of the store's rows.
type Snapshot struct {
	rows    map[string]Row
	version int64
}

// Snapshot returns a copy of the rows.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{maps.Clone(s.rows), s.version}
}

// Without returns the copy without the rows of tables, as if it had been made before they were written.
func (c Snapshot) Without(tables ...string) Snapshot {
	rows := maps.Clone(c.rows)
	maps.DeleteFunc(rows, func(_ string, r Row) bool { return slices.Contains(tables, r.Table) })
	return Snapshot{rows, c.version}
}

// Restore makes the store come back from a copy: what was written since is gone, and its versions are given out again. It returns
// the rows that are lost, also deletions.
func (s *Store) Restore(c Snapshot) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lost []Row
	for id, r := range s.rows {
		if c.rows[id].Version != r.Version {
			lost = append(lost, r)
		}
	}
	s.rows, s.version, s.restoredVersion = maps.Clone(c.rows), c.version, c.version
	s.era++
	s.notifyChanged()
	return lost
}

// Rewrite writes rows again that were lost, as the operator and the servers do, unless newer ones were written since the store came
// back.
func (s *Store) Rewrite(lost []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range lost {
		isForeign := r.Table == "op" || r.Table == "servers"
		if isForeign && s.rows[r.Table+"/"+r.Key].Version <= s.restoredVersion {
			s.setRow(r)
		}
	}
}

// RowCount returns the number of rows of a table.
func (s *Store) RowCount(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.rowsSince(table, 0, false))
}

// setRow writes a row with the next version. s.mu must be held.
func (s *Store) setRow(r Row) {
	s.version++
	r.Version = s.version
	s.rows[r.Table+"/"+r.Key] = r
	s.notifyChanged()
}

// notifyChanged resumes the calls that wait for changes. s.mu must be held.
func (s *Store) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// withFaults returns a handler that counts calls and injects Status and Silent faults into them.
func (s *Store) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.callCounts[strings.TrimPrefix(r.URL.Path, "/")]++
		s.mu.Unlock()
		for {
			s.mu.Lock()
			f, changed := s.faults, s.changed
			s.mu.Unlock()
			if f.Status != 0 {
				w.WriteHeader(f.Status)
				return
			}
			if f.LoseCalls {
				s.loseCall(r)
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

// handleGet returns the rows of a table.
func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writePage(w, s.rowsSince(r.URL.Query().Get("table"), 0, false))
}

// rowsSince returns the rows of a table that are newer than a version, in key order, with deleted rows if
// includeDeleted is true. s.mu must be held.
func (s *Store) rowsSince(table string, version int64, includeDeleted bool) []Row {
	out := []Row{}
	for _, row := range s.rows {
		if row.Table == table && row.Version > version && (includeDeleted || !row.Deleted) {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// handleFeed is a long poll: it returns the changes of a table after a version as soon as there are any, or none after
// the time that the request is willing to wait.
func (s *Store) handleFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	timedOut := false
	for {
		s.mu.Lock()
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		if s.faults.DropHistory[q.Get("table")] || after > s.version {
			delete(s.faults.DropHistory, q.Get("table"))
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		if s.faults.LoseCalls {
			s.mu.Unlock()
			s.loseCall(r)
			return
		}
		rows, changed := s.rowsSince(q.Get("table"), after, true), s.changed
		if len(rows) > 0 || timedOut || s.faults.Status != 0 {
			s.writePage(w, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// writePage writes a page of rows as the response. s.mu must be held.
func (s *Store) writePage(w http.ResponseWriter, rows []Row) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "has_more": false, "schema_version": s.version})
}

// handleCommit applies a transaction, unless a precondition fails or it writes a table that instances must not write.
func (s *Store) handleCommit(w http.ResponseWriter, r *http.Request) {
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
			w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
			w.WriteHeader(http.StatusPreconditionFailed)
			s.writePage(w, []Row{row})
			return
		}
	}
	for _, row := range tx.Set {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		s.setRow(row)
	}
	for _, row := range tx.Remove {
		row.Deleted = true
		s.setRow(row)
	}
	if s.faults.LoseWrites {
		resetConnection(w)
		return
	}
	s.writePage(w, nil)
}

// resetConnection resets a call's connection instead of responding.
func resetConnection(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
