// Package settler answers the operators' HTTP interface for calls whose outcome is not known.
package settler

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/serving/answerer"
)

const (
	// maxBody bounds the body of a request, in bytes.
	maxBody = 64 << 10
	// page is the number of rows read at once.
	page = 256
	// most bounds the calls listed.
	most = 4096
	// defaultTimeout bounds each operation of the table service.
	defaultTimeout = 2 * time.Second
)

// Entry is one call as operators see it.
type Entry struct {
	Call    string         `json:"call"`
	Version int64          `json:"version"`
	Record  claimer.Record `json:"record"`
}

// known reports whether the call's outcome is known, or there is no call.
func (e Entry) known() bool {
	return e.Record.State != claimer.StateUnknown && e.Record.State != claimer.StateDispatching
}

// Settler answers for calls.
type Settler struct {
	table   tabler.Table
	guard   func(http.HandlerFunc) http.HandlerFunc
	timeout time.Duration
	now     func() time.Time
}

// Option changes a Settler.
type Option func(*Settler)

// WithTimeout bounds each operation of the table service.
func WithTimeout(d time.Duration) Option {
	return func(s *Settler) { s.timeout = d }
}

// WithGuard sets what lets operators in only. Without it everybody is let in.
func WithGuard(guard func(http.HandlerFunc) http.HandlerFunc) Option {
	return func(s *Settler) { s.guard = guard }
}

// New returns a settler.
func New(t tabler.Table, options ...Option) *Settler {
	s := &Settler{table: t, timeout: defaultTimeout, now: time.Now}
	s.guard = func(h http.HandlerFunc) http.HandlerFunc { return h }
	for _, option := range options {
		option(s)
	}
	return s
}

// Register adds the routes.
func (s *Settler) Register(r *mux.Router) {
	r.HandleFunc("/calls", s.guard(s.list)).Methods(http.MethodGet)
	r.HandleFunc("/calls/{day}", s.guard(s.listDay)).Methods(http.MethodGet)
	r.HandleFunc("/calls/{day}/{team}/{key}", s.guard(s.show)).Methods(http.MethodGet)
	r.HandleFunc("/calls/{day}/{team}/{key}/settle", s.guard(s.settle)).Methods(http.MethodPost)
}

// list answers the calls whose outcome is not known and somebody asked for, the oldest key first.
func (s *Settler) list(w http.ResponseWriter, r *http.Request) {
	s.gather(w, r, claimer.DoubtsTable, "", s.open)
}

// listDay answers all calls of a day's keys whose outcome is not known. It reads every row of the day.
func (s *Settler) listDay(w http.ResponseWriter, r *http.Request) {
	s.gather(w, r, claimer.Table, mux.Vars(r)["day"]+"/", func(_ context.Context, row tabler.Row) (Entry, bool, error) {
		entry, err := entryOf(row)
		return entry, !entry.known(), err
	})
}

// gather answers the entries that pick makes of a table's rows.
func (s *Settler) gather(w http.ResponseWriter, r *http.Request, table, prefix string, pick func(context.Context, tabler.Row) (Entry, bool, error)) {
	entries := []Entry{}
	after := ""
	for len(entries) < most {
		rows, err := s.scan(r.Context(), table, prefix, after)
		if err != nil {
			answerer.Problem(w, http.StatusServiceUnavailable, "the table service cannot be read: "+err.Error())
			return
		}
		for _, row := range rows {
			entry, open, err := pick(r.Context(), row)
			if err != nil {
				answerer.Problem(w, http.StatusServiceUnavailable, "the call "+row.Key+" cannot be read: "+err.Error())
				return
			}
			if open {
				entries = append(entries, entry)
			}
		}
		if len(rows) < page {
			break
		}
		after = rows[len(rows)-1].Key
	}
	answerer.JSON(w, http.StatusOK, entries)
}

// scan reads the next rows of a table.
func (s *Settler) scan(ctx context.Context, table, prefix, after string) ([]tabler.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.table.Scan(ctx, table, prefix, after, page)
}

// open reads a call in the list of doubts and reports whether its outcome is still not known. If it is known, the call
// leaves the list.
func (s *Settler) open(ctx context.Context, doubt tabler.Row) (Entry, bool, error) {
	entry, err := s.read(ctx, doubt.Key)
	if err != nil {
		return Entry{}, false, err
	}
	if !entry.known() {
		return entry, true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	// A failure leaves the call in the list until the next look.
	_, _ = s.table.Commit(ctx, tabler.Txn{
		ID:         uuid.NewString(),
		Conditions: []tabler.Condition{{Table: claimer.DoubtsTable, Key: doubt.Key, Version: doubt.Version}},
		Writes:     []tabler.Write{{Table: claimer.DoubtsTable, Key: doubt.Key, Delete: true}},
	})
	return Entry{}, false, nil
}

// read reads a call. Version 0 means that there is none.
func (s *Settler) read(ctx context.Context, key string) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	row, found, err := s.table.Get(ctx, claimer.Table, key)
	if err != nil || !found {
		return Entry{Call: key}, err
	}
	return entryOf(row)
}

// entryOf returns the call in a row of the table of claims.
func entryOf(row tabler.Row) (Entry, error) {
	decoded, err := claimer.Decode(row.Version, row.Value)
	return Entry{Call: row.Key, Version: decoded.Version, Record: decoded.Record}, err
}

// show answers one call, whatever its state.
func (s *Settler) show(w http.ResponseWriter, r *http.Request) {
	entry, err := s.read(r.Context(), keyOf(r))
	switch {
	case err != nil:
		answerer.Problem(w, http.StatusServiceUnavailable, "the call cannot be read: "+err.Error())
	case entry.Version == 0:
		answerer.Problem(w, http.StatusNotFound, "there is no such call")
	default:
		answerer.JSON(w, http.StatusOK, entry)
	}
}

// settle writes an operator's word on what became of a call.
func (s *Settler) settle(w http.ResponseWriter, r *http.Request) {
	said, ok := settlement(w, r)
	if !ok {
		return
	}
	entry, err := s.read(r.Context(), keyOf(r))
	if err != nil {
		answerer.Outcome(w, classifier.VerdictNotRun)
		answerer.Problem(w, http.StatusServiceUnavailable, "the call cannot be read: "+err.Error())
		return
	}
	record, why := said.Settle(s.now(), claimer.Row{Version: entry.Version, Record: entry.Record})
	if why != "" {
		answerer.Outcome(w, classifier.VerdictNotRun)
		answerer.Problem(w, http.StatusConflict, why)
		return
	}
	s.write(w, r, entry, record)
}

// write writes a settled record on condition that the call did not change.
func (s *Settler) write(w http.ResponseWriter, r *http.Request, old Entry, record claimer.Record) {
	ctx, cancel := context.WithTimeout(r.Context(), s.timeout)
	defer cancel()
	result, err := s.table.Commit(ctx, tabler.Txn{
		ID:         uuid.NewString(),
		Conditions: []tabler.Condition{{Table: claimer.Table, Key: old.Call, Version: old.Version}},
		Writes: []tabler.Write{
			{Table: claimer.Table, Key: old.Call, Value: record.Encode()},
			{Table: claimer.DoubtsTable, Key: old.Call, Delete: true},
		},
	})
	switch {
	case result.Outcome == classifier.Completed && result.Applied:
		answerer.Outcome(w, classifier.VerdictCompleted)
		answerer.JSON(w, http.StatusOK, Entry{Call: old.Call, Version: result.Versions[0], Record: record})
	case result.Outcome == classifier.Completed:
		answerer.Outcome(w, classifier.VerdictNotRun)
		answerer.Problem(w, http.StatusConflict, "the call has changed since it was seen")
	case result.Outcome.NotRun():
		answerer.Outcome(w, classifier.VerdictNotRun)
		answerer.Problem(w, http.StatusServiceUnavailable, "the settlement was not written: "+text(err))
	default:
		s.doubt(w, r, old.Call, record)
	}
}

// doubt reads back a settlement whose answer was lost. If it is not there it may still come.
func (s *Settler) doubt(w http.ResponseWriter, r *http.Request, key string, record claimer.Record) {
	entry, err := s.read(r.Context(), key)
	if err == nil && bytes.Equal(entry.Record.Encode(), record.Encode()) {
		answerer.Outcome(w, classifier.VerdictCompleted)
		answerer.JSON(w, http.StatusOK, entry)
		return
	}
	answerer.Outcome(w, classifier.VerdictUnknown)
	answerer.Problem(w, http.StatusGatewayTimeout, "it is not known whether the settlement was written; look at the call again")
}

// settlement reads the body of a settlement.
func settlement(w http.ResponseWriter, r *http.Request) (claimer.Settlement, bool) {
	var said claimer.Settlement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&said); err != nil {
		answerer.Outcome(w, classifier.VerdictNotRun)
		answerer.Problem(w, http.StatusBadRequest, "the body cannot be read: "+err.Error())
		return said, false
	}
	return said, true
}

// keyOf returns the key of the call's row.
func keyOf(r *http.Request) string {
	v := mux.Vars(r)
	return v["day"] + "/" + v["team"] + "/" + v["key"]
}

// text returns an error's text, or that there is none.
func text(err error) string {
	if err == nil {
		return "no reason given"
	}
	return err.Error()
}
