package operator

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/accepter"
	"github.com/heatherrock/heatherrock/internal/control/converter"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/serving/answerer"
	"github.com/heatherrock/heatherrock/internal/serving/poller"
)

const (
	// scanPageRows is the number of rows that one scan of the table reads, and the largest number of audits in a response.
	scanPageRows = 200
	// maxWait bounds a wait for an epoch.
	maxWait         = 5 * time.Minute
	maxPollInterval = time.Second
)

// ListResult is the response to a list of records. From is "store", or "instance" if the store could not be read: then
// only the records that this instance has in force are listed.
type ListResult struct {
	Epoch   int64            `json:"epoch"`
	From    string           `json:"from"`
	Entries []accepter.Entry `json:"entries"`
}

// ShowResult is the response to a show: the entry of a record and one of its revisions.
type ShowResult struct {
	Entry  accepter.Entry  `json:"entry"`
	Record recorder.Record `json:"record"`
}

// WaitResult is the response to a wait. Behind holds the live instances on which the epoch is not in force.
type WaitResult struct {
	Epoch         int64                  `json:"epoch"`
	InstanceCount int                    `json:"instances"`
	Behind        []poller.InstanceEpoch `json:"behind,omitempty"`
}

// handleList responds with the records, in order of their keys.
func (o *Operator) handleList(w http.ResponseWriter, r *http.Request) {
	kind := r.URL.Query().Get("kind")
	prefix := accepter.EntryPrefix
	if kind != "" {
		prefix += kind + "/"
	}
	base := o.source.LatestSnapshot()
	out := ListResult{Epoch: base.Epoch, From: "store", Entries: []accepter.Entry{}}
	rows, err := o.scanRows(r.Context(), prefix, "")
	if err != nil {
		out.From = "instance"
		for _, record := range base.Records {
			if kind == "" || kind == record.Kind {
				out.Entries = append(out.Entries, accepter.Entry{Kind: record.Kind, Name: record.Name, LatestRevision: record.Revision,
					ActiveRevision: record.Revision, State: recorder.StateAccepted})
			}
		}
		answerer.WriteJSON(w, http.StatusOK, out)
		return
	}
	for _, row := range rows {
		entry, err := accepter.Decode[accepter.Entry](row)
		if err != nil {
			answerer.WriteProblem(w, http.StatusInternalServerError, err.Error())
			return
		}
		out.Entries = append(out.Entries, entry)
	}
	answerer.WriteJSON(w, http.StatusOK, out)
}

// scanRows reads all rows with a prefix whose keys come after the key given.
func (o *Operator) scanRows(ctx context.Context, prefix, after string) ([]tabler.Row, error) {
	var all []tabler.Row
	for {
		readCtx, cancel := context.WithTimeout(ctx, o.readTimeout)
		rows, err := o.table.Scan(readCtx, accepter.Table, prefix, after, scanPageRows)
		cancel()
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < scanPageRows {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// readRow reads and decodes one row and reports whether it exists.
func readRow[T any](ctx context.Context, o *Operator, key string) (T, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, o.readTimeout)
	defer cancel()
	row, found, err := o.table.Get(ctx, accepter.Table, key)
	if err != nil || !found {
		var none T
		return none, false, err
	}
	value, err := accepter.Decode[T](row)
	return value, true, err
}

// handleAudits responds with the changes made, oldest first, after the id given and up to a limit.
func (o *Operator) handleAudits(w http.ResponseWriter, r *http.Request) {
	limit, err := queryNumber(r, "limit", scanPageRows)
	if err != nil || limit < 1 || limit > scanPageRows {
		answerer.WriteProblem(w, http.StatusBadRequest, fmt.Sprintf("limit: want 1 to %d", scanPageRows))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), o.readTimeout)
	defer cancel()
	after := accepter.AuditKey(r.URL.Query().Get("after"))
	rows, err := o.table.Scan(ctx, accepter.Table, accepter.AuditPrefix, after, int(limit))
	if err != nil {
		answerer.WriteProblem(w, http.StatusServiceUnavailable, "the store cannot be read: "+err.Error())
		return
	}
	audits := make([]accepter.Audit, 0, len(rows))
	for _, row := range rows {
		audit, err := accepter.Decode[accepter.Audit](row)
		if err != nil {
			answerer.WriteProblem(w, http.StatusInternalServerError, err.Error())
			return
		}
		audits = append(audits, audit)
	}
	answerer.WriteJSON(w, http.StatusOK, audits)
}

// handleShow responds with a record: the requested revision, or the one in force, or the latest if none is in force.
func (o *Operator) handleShow(w http.ResponseWriter, r *http.Request) {
	ref := recordRef(r)
	entry, found, err := readRow[accepter.Entry](r.Context(), o, accepter.EntryKey(ref))
	if !o.requireFound(w, ref.String(), found, err) {
		return
	}
	revision := entry.ActiveRevision
	if revision == 0 {
		revision = entry.LatestRevision
	}
	record, ok := o.readRevision(w, r, ref, "revision", revision)
	if !ok {
		return
	}
	schema, err := queryNumber(r, "schema", int64(record.Schema))
	if err != nil {
		answerer.WriteProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	record, err = converter.Convert(record, int(schema))
	if err != nil {
		answerer.WriteProblem(w, http.StatusUnprocessableEntity, err.Error())
		return
	}
	answerer.WriteJSON(w, http.StatusOK, ShowResult{Entry: entry, Record: record})
}

// recordRef returns the record that a request's path names.
func recordRef(r *http.Request) recorder.Ref {
	return recorder.Ref{Kind: mux.Vars(r)["kind"], Name: mux.Vars(r)["name"]}
}

// queryNumber returns a whole number of the query, or fallback if it is absent.
func queryNumber(r *http.Request, name string, fallback int64) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("%s: %q is not a whole number of 0 or more", name, text)
	}
	return n, nil
}

// requireFound reports whether what was read exists. Otherwise it responds with an error.
func (o *Operator) requireFound(w http.ResponseWriter, what string, found bool, err error) bool {
	switch {
	case err != nil:
		answerer.WriteProblem(w, http.StatusServiceUnavailable, "the store cannot be read: "+err.Error())
	case !found:
		answerer.WriteProblem(w, http.StatusNotFound, what+" does not exist")
	default:
		return true
	}
	return false
}

// readRevision reads the revision of a record that the query gives under name, or fallback. Revision 0 is an absent
// record. If the read fails it responds with an error and returns false.
func (o *Operator) readRevision(w http.ResponseWriter, r *http.Request, ref recorder.Ref, name string, fallback int64) (recorder.Record, bool) {
	revision, err := queryNumber(r, name, fallback)
	if err != nil {
		answerer.WriteProblem(w, http.StatusBadRequest, err.Error())
		return recorder.Record{}, false
	}
	if revision == 0 {
		return recorder.Record{}, true
	}
	record, found, err := readRow[recorder.Record](r.Context(), o, accepter.BodyKey(ref, revision))
	return record, o.requireFound(w, fmt.Sprintf("%s@%d", ref, revision), found, err)
}

// handleDiff responds with the difference between two revisions: by default the one in force and the latest.
func (o *Operator) handleDiff(w http.ResponseWriter, r *http.Request) {
	ref := recordRef(r)
	entry, found, err := readRow[accepter.Entry](r.Context(), o, accepter.EntryKey(ref))
	if !o.requireFound(w, ref.String(), found, err) {
		return
	}
	before, ok := o.readRevision(w, r, ref, "from", entry.ActiveRevision)
	if !ok {
		return
	}
	after, ok := o.readRevision(w, r, ref, "to", entry.LatestRevision)
	if !ok {
		return
	}
	diffs := recorder.Compare(before, after)
	if diffs == nil {
		diffs = []recorder.Diff{}
	}
	answerer.WriteJSON(w, http.StatusOK, diffs)
}

// handleWait responds once an epoch is in force on every live instance, or at the timeout with the instances where it is
// not.
func (o *Operator) handleWait(w http.ResponseWriter, r *http.Request) {
	epoch, err := strconv.ParseInt(mux.Vars(r)["epoch"], 10, 64)
	if err != nil || epoch < 0 {
		answerer.WriteProblem(w, http.StatusBadRequest, "the epoch is not a whole number of 0 or more")
		return
	}
	millis, err := queryNumber(r, "timeout", 0)
	if err != nil {
		answerer.WriteProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(millis)*time.Millisecond, maxWait))
	defer cancel()
	out := WaitResult{Epoch: epoch}
	for interval := o.firstPollInterval; ; interval = min(2*interval, maxPollInterval) {
		o.pollInstances(r.Context(), &out)
		if len(out.Behind) == 0 {
			answerer.WriteJSON(w, http.StatusOK, out)
			return
		}
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			answerer.WriteJSON(w, http.StatusGatewayTimeout, out)
			return
		}
	}
}

// pollInstances queries the instances that were behind at the previous poll, or all of them at the first, and updates out.
func (o *Operator) pollInstances(ctx context.Context, out *WaitResult) {
	var ids []string
	for _, e := range out.Behind {
		ids = append(ids, e.ID)
	}
	epochs := o.source.ActiveEpochs(ctx, ids)
	if len(ids) == 0 {
		out.InstanceCount = len(epochs)
	}
	out.Behind = nil
	for _, e := range epochs {
		if e.Error != "" || e.Epoch < out.Epoch {
			out.Behind = append(out.Behind, e)
		}
	}
}
