// Package settler serves the operators' HTTP interface to calls whose outcome is not known: it lists, shows and settles
// them.
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
	// maxBodyBytes bounds the body of a request, in bytes.
	maxBodyBytes = 64 << 10
	// pageRows is the number of rows read in one scan.
	pageRows = 256
	// maxListed bounds the calls in one list.
	maxListed = 4096
	// defaultTimeout bounds each operation of the table service.
	defaultTimeout = 2 * time.Second
)

// Entry is one call as shown to operators.
type Entry struct {
	Call    string         `json:"call"`
	Version int64          `json:"version"`
	Record  claimer.Record `json:"record"`
}

// outcomeKnown reports whether the call's outcome is known or the call does not exist.
func (e Entry) outcomeKnown() bool {
	return e.Record.State != claimer.StateUnknown && e.Record.State != claimer.StateDispatching
}

// Settler serves the operators' requests about calls.
type Settler struct {
	table     tabler.Table
	authorize func(http.HandlerFunc) http.HandlerFunc
	timeout   time.Duration
	now       func() time.Time
}

// Option changes a Settler.
type Option func(*Settler)

// WithTableTimeout bounds each operation of the table service.
func WithTableTimeout(d time.Duration) Option {
	return func(s *Settler) { s.timeout = d }
}

// WithGuard sets the middleware that admits only operators. Without it every request is admitted.
func WithGuard(guard func(http.HandlerFunc) http.HandlerFunc) Option {
	return func(s *Settler) { s.authorize = guard }
}

// New returns a settler.
func New(t tabler.Table, options ...Option) *Settler {
	s := &Settler{table: t, timeout: defaultTimeout, now: time.Now}
	s.authorize = func(h http.HandlerFunc) http.HandlerFunc { return h }
	for _, option := range options {
		option(s)
	}
	return s
}

// Register adds the settler's routes to a router.
func (s *Settler) Register(r *mux.Router) {
	r.HandleFunc("/calls", s.authorize(s.list)).Methods(http.MethodGet)
	r.HandleFunc("/calls/{day}", s.authorize(s.listDay)).Methods(http.MethodGet)
	r.HandleFunc("/calls/{day}/{team}/{key}", s.authorize(s.show)).Methods(http.MethodGet)
	r.HandleFunc("/calls/{day}/{team}/{key}/settle", s.authorize(s.settle)).Methods(http.MethodPost)
}

// list answers with the calls in doubt, that is those of which a caller received no outcome and whose outcome is still
// not known, the oldest key first.
func (s *Settler) list(w http.ResponseWriter, r *http.Request) {
	s.listEntries(w, r, claimer.DoubtsTable, "", s.readDoubt)
}

// listDay answers with all calls of a day's keys whose outcome is not known. It reads every row of the day.
func (s *Settler) listDay(w http.ResponseWriter, r *http.Request) {
	s.listEntries(w, r, claimer.Table, mux.Vars(r)["day"]+"/", func(_ context.Context, row tabler.Row) (Entry, bool, error) {
		entry, err := entryOf(row)
		return entry, !entry.outcomeKnown(), err
	})
}

// listEntries answers with the entries that toEntry returns for a table's rows, except those for which it returns
// false.
func (s *Settler) listEntries(w http.ResponseWriter, r *http.Request, table, prefix string, toEntry func(context.Context, tabler.Row) (Entry, bool, error)) {
	entries := []Entry{}
	after := ""
	for len(entries) < maxListed {
		rows, err := s.scan(r.Context(), table, prefix, after)
		if err != nil {
			answerer.WriteProblem(w, http.StatusServiceUnavailable, "the table service cannot be read: "+err.Error())
			return
		}
		for _, row := range rows {
			entry, undecided, err := toEntry(r.Context(), row)
			if err != nil {
				answerer.WriteProblem(w, http.StatusServiceUnavailable, "the call "+row.Key+" cannot be read: "+err.Error())
				return
			}
			if undecided {
				entries = append(entries, entry)
			}
		}
		if len(rows) < pageRows {
			break
		}
		after = rows[len(rows)-1].Key
	}
	answerer.WriteJSON(w, http.StatusOK, entries)
}

// scan reads the next rows of a table after a key.
func (s *Settler) scan(ctx context.Context, table, prefix, after string) ([]tabler.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.table.Scan(ctx, table, prefix, after, pageRows)
}

// readDoubt reads a call on the list of doubts and reports whether its outcome is still not known. If it is known, the
// call is removed from the list.
func (s *Settler) readDoubt(ctx context.Context, doubt tabler.Row) (Entry, bool, error) {
	entry, err := s.read(ctx, doubt.Key)
	if err != nil {
		return Entry{}, false, err
	}
	if !entry.outcomeKnown() {
		return entry, true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	// If this fails, the call stays on the list until the list is read again.
	_, _ = s.table.Commit(ctx, tabler.Txn{
		ID:         uuid.NewString(),
		Conditions: []tabler.Condition{{Table: claimer.DoubtsTable, Key: doubt.Key, Version: doubt.Version}},
		Writes:     []tabler.Write{{Table: claimer.DoubtsTable, Key: doubt.Key, Delete: true}},
	})
	return Entry{}, false, nil
}

// read reads a call. Version 0 means that the call does not exist.
func (s *Settler) read(ctx context.Context, key string) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	row, found, err := s.table.Get(ctx, claimer.Table, key)
	if err != nil || !found {
		return Entry{Call: key}, err
	}
	return entryOf(row)
}

// entryOf decodes a row of the table of claims.
func entryOf(row tabler.Row) (Entry, error) {
	decoded, err := claimer.Decode(row.Version, row.Value)
	return Entry{Call: row.Key, Version: decoded.Version, Record: decoded.Record}, err
}

// show answers with one call, whatever its state.
func (s *Settler) show(w http.ResponseWriter, r *http.Request) {
	entry, err := s.read(r.Context(), rowKeyOf(r))
	switch {
	case err != nil:
		answerer.WriteProblem(w, http.StatusServiceUnavailable, "the call cannot be read: "+err.Error())
	case entry.Version == 0:
		answerer.WriteProblem(w, http.StatusNotFound, "there is no such call")
	default:
		answerer.WriteJSON(w, http.StatusOK, entry)
	}
}

// settle writes an operator's decision on the outcome of a call.
func (s *Settler) settle(w http.ResponseWriter, r *http.Request) {
	settlement, ok := parseSettlement(w, r)
	if !ok {
		return
	}
	entry, err := s.read(r.Context(), rowKeyOf(r))
	if err != nil {
		answerer.SetOutcome(w, classifier.VerdictNotRun)
		answerer.WriteProblem(w, http.StatusServiceUnavailable, "the call cannot be read: "+err.Error())
		return
	}
	record, refusal := settlement.Settle(s.now(), claimer.Row{Version: entry.Version, Record: entry.Record})
	if refusal != "" {
		answerer.SetOutcome(w, classifier.VerdictNotRun)
		answerer.WriteProblem(w, http.StatusConflict, refusal)
		return
	}
	s.write(w, r, entry, record)
}

// write writes a settled record, on condition that the call has not changed since it was read.
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
		answerer.SetOutcome(w, classifier.VerdictCompleted)
		answerer.WriteJSON(w, http.StatusOK, Entry{Call: old.Call, Version: result.Versions[0], Record: record})
	case result.Outcome == classifier.Completed:
		answerer.SetOutcome(w, classifier.VerdictNotRun)
		answerer.WriteProblem(w, http.StatusConflict, "the call has changed since it was seen")
	case result.Outcome.NotRun():
		answerer.SetOutcome(w, classifier.VerdictNotRun)
		answerer.WriteProblem(w, http.StatusServiceUnavailable, "the settlement was not written: "+errorText(err))
	default:
		s.verifyWrite(w, r, old.Call, record)
	}
}

// verifyWrite reads back a settlement whose commit had no known outcome. If the row does not hold it, the write may
// still take effect later, so the outcome is unknown.
func (s *Settler) verifyWrite(w http.ResponseWriter, r *http.Request, key string, record claimer.Record) {
	entry, err := s.read(r.Context(), key)
	if err == nil && bytes.Equal(entry.Record.Encode(), record.Encode()) {
		answerer.SetOutcome(w, classifier.VerdictCompleted)
		answerer.WriteJSON(w, http.StatusOK, entry)
		return
	}
	answerer.SetOutcome(w, classifier.VerdictUnknown)
	answerer.WriteProblem(w, http.StatusGatewayTimeout, "it is not known whether the settlement was written; look at the call again")
}

// parseSettlement reads a settlement from a request's body. If it cannot, it answers the request and returns false.
func parseSettlement(w http.ResponseWriter, r *http.Request) (claimer.Settlement, bool) {
	var settlement claimer.Settlement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&settlement); err != nil {
		answerer.SetOutcome(w, classifier.VerdictNotRun)
		answerer.WriteProblem(w, http.StatusBadRequest, "the body cannot be read: "+err.Error())
		return settlement, false
	}
	return settlement, true
}

// rowKeyOf returns the key of the call's row.
func rowKeyOf(r *http.Request) string {
	v := mux.Vars(r)
	return v["day"] + "/" + v["team"] + "/" + v["key"]
}

// errorText returns an error's text, or a placeholder if there is no error.
func errorText(err error) string {
	if err == nil {
		return "no reason given"
	}
	return err.Error()
}
