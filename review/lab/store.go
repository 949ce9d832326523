//go:build review

package lab

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"schema_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Store is the platform's store: linearizable, with a history that is never dropped.
type Store struct {
	lab *Lab
	mux *http.ServeMux

	mu      sync.Mutex
	started time.Time
	rows    map[string]row
	version int64
	changed chan struct{}
	// down is closed while the store is down: it resets all connections.
	down chan struct{}
}

// answerTime is how long the store takes for an answer, as on the sheets of the small deployments.
const answerTime = 4 * time.Millisecond

// newStore returns an empty store.
func newStore(l *Lab) *Store {
	s := &Store{lab: l, mux: http.NewServeMux(), started: time.Now(), rows: map[string]row{}, changed: make(chan struct{}), down: make(chan struct{})}
	s.mux.HandleFunc("GET /rows-get", s.get)
	s.mux.HandleFunc("GET /rows-feed", s.feed)
	s.mux.HandleFunc("POST /rows-tx", s.commit)
	return s
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-s.outage():
		panic(http.ErrAbortHandler) // The connection is closed.
	case <-time.After(answerTime):
	}
	s.mux.ServeHTTP(w, r)
}

// outage returns a channel that is closed while the store is down.
func (s *Store) outage() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// GoDown takes the store down for a time: it breaks off all calls. It returns when the store is back.
func (s *Store) GoDown(length time.Duration) {
	s.mu.Lock()
	close(s.down)
	s.mu.Unlock()
	time.Sleep(length)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = make(chan struct{})
}

// Put writes a row as the operator or a server does, and returns when the store has acknowledged it.
func (s *Store) Put(table, key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // The script passed a value that cannot be encoded.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(row{Table: table, Key: key, Value: b})
	return time.Now()
}

// Remove removes a row.
func (s *Store) Remove(table, key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(row{Table: table, Key: key, Deleted: true})
	return time.Now()
}

// set replaces a row. The lock is held.
func (s *Store) set(r row) {
	s.version++
	r.Version = s.version
	s.rows[r.Table+"\x00"+r.Part+"\x00"+r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the rows of a table that are newer than a version. The lock is held.
func (s *Store) since(table string, version int64) []row {
	out := []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Version > version {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b row) int { return int(a.Version - b.Version) })
	return out
}

// page writes rows. The lock is held.
func (s *Store) page(w http.ResponseWriter, status int, rows []row, more bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": more, "schema_version": s.version, "now_ms": time.Since(s.started).Milliseconds(),
	})
}

// maxPageRows is the greatest number of rows in an answer.
const maxPageRows = 500

// get answers rows-get.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := slices.DeleteFunc(s.since(q.Get("table"), 0), func(r row) bool {
		return r.Deleted || r.Part != q.Get("part") || r.Key < q.Get("from") || q.Has("target") && r.Key >= q.Get("target")
	})
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	more := len(rows) > limit
	s.page(w, http.StatusOK, rows[:min(limit, len(rows))], more)
}

// feed answers rows-feed.
func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		rows, changed := s.since(q.Get("table"), after), s.changed
		if len(rows) > 0 || timedOut {
			s.page(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-s.outage():
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// commit answers rows-tx.
func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		If     []row `json:"precondition"`
		Set    []row `json:"set_keys"`
		Remove []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []row{}, true
	for _, c := range tx.If {
		now := s.rows[c.Table+"\x00"+c.Part+"\x00"+c.Key]
		if now.Deleted {
			now = row{}
		}
		holds = holds && now.Version == c.Version
		if now.Version > 0 {
			current = append(current, now)
		}
	}
	if !holds {
		s.page(w, http.StatusPreconditionFailed, current, false)
		return
	}
	for _, c := range slices.Concat(tx.Set, tx.Remove) {
		if c.Table == "op" || c.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, c := range tx.Set {
		s.set(c)
	}
	for _, c := range tx.Remove {
		c.Deleted = true
		s.set(c)
	}
	s.page(w, http.StatusOK, []row{}, false)
}
