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

// The bounds of reads.
const (
	scanLimit = 200
	maxWait   = 5 * time.Minute
	maxPause  = time.Second
)

// List is the answer to a list of records. From is store, or instance if the store did not answer: then only what this
// instance has in force is listed.
type List struct {
	Epoch   int64            `json:"epoch"`
	From    string           `json:"from"`
	Entries []accepter.Entry `json:"entries"`
}

// Shown is the answer to a show: the entry of a record and one of its revisions.
type Shown struct {
	Entry  accepter.Entry  `json:"entry"`
	Record recorder.Record `json:"record"`
}

// Waited is the answer to a wait. Behind holds the live instances on which the epoch is not in force.
type Waited struct {
	Epoch     int64          `json:"epoch"`
	Instances int            `json:"instances"`
	Behind    []poller.Force `json:"behind,omitempty"`
}

// list lists the records, in order.
func (o *Operator) list(w http.ResponseWriter, r *http.Request) {
	kind := r.URL.Query().Get("kind")
	prefix := accepter.EntryPrefix
	if kind != "" {
		prefix += kind + "/"
	}
	base := o.source.Base()
	out := List{Epoch: base.Epoch, From: "store", Entries: []accepter.Entry{}}
	rows, err := o.scan(r.Context(), prefix, "")
	if err != nil {
		out.From = "instance"
		for _, record := range base.Records {
			if kind == "" || kind == record.Kind {
				out.Entries = append(out.Entries, accepter.Entry{Kind: record.Kind, Name: record.Name, LatestRevision: record.Revision,
					ActiveRevision: record.Revision, State: recorder.StateAccepted})
			}
		}
		answerer.JSON(w, http.StatusOK, out)
		return
	}
	for _, row := range rows {
		entry, err := accepter.Decode[accepter.Entry](row)
		if err != nil {
			answerer.Problem(w, http.StatusInternalServerError, err.Error())
			return
		}
		out.Entries = append(out.Entries, entry)
	}
	answerer.JSON(w, http.StatusOK, out)
}

// scan reads all rows with a prefix whose keys come after the key given.
func (o *Operator) scan(ctx context.Context, prefix, after string) ([]tabler.Row, error) {
	var all []tabler.Row
	for {
		call, cancel := context.WithTimeout(ctx, o.timeout)
		rows, err := o.table.Scan(call, accepter.Table, prefix, after, scanLimit)
		cancel()
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < scanLimit {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// get reads and decodes one row and reports whether it exists.
func get[T any](ctx context.Context, o *Operator, key string) (T, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	row, found, err := o.table.Get(ctx, accepter.Table, key)
	if err != nil || !found {
		var none T
		return none, false, err
	}
	value, err := accepter.Decode[T](row)
	return value, true, err
}

// audits lists the changes made, oldest first, after the id given and up to a limit.
func (o *Operator) audits(w http.ResponseWriter, r *http.Request) {
	limit, err := number(r, "limit", scanLimit)
	if err != nil || limit < 1 || limit > scanLimit {
		answerer.Problem(w, http.StatusBadRequest, fmt.Sprintf("limit: want 1 to %d", scanLimit))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), o.timeout)
	defer cancel()
	after := accepter.AuditKey(r.URL.Query().Get("after"))
	rows, err := o.table.Scan(ctx, accepter.Table, accepter.AuditPrefix, after, int(limit))
	if err != nil {
		answerer.Problem(w, http.StatusServiceUnavailable, "the store cannot be read: "+err.Error())
		return
	}
	audits := make([]accepter.Audit, 0, len(rows))
	for _, row := range rows {
		audit, err := accepter.Decode[accepter.Audit](row)
		if err != nil {
			answerer.Problem(w, http.StatusInternalServerError, err.Error())
			return
		}
		audits = append(audits, audit)
	}
	answerer.JSON(w, http.StatusOK, audits)
}

// show answers a record: the revision asked for, or the one in force, or the latest if none is.
func (o *Operator) show(w http.ResponseWriter, r *http.Request) {
	ref := reference(r)
	entry, found, err := get[accepter.Entry](r.Context(), o, accepter.EntryKey(ref))
	if !o.present(w, ref.String(), found, err) {
		return
	}
	revision := entry.ActiveRevision
	if revision == 0 {
		revision = entry.LatestRevision
	}
	record, ok := o.revision(w, r, ref, "revision", revision)
	if !ok {
		return
	}
	schema, err := number(r, "schema", int64(record.Schema))
	if err != nil {
		answerer.Problem(w, http.StatusBadRequest, err.Error())
		return
	}
	record, err = converter.Convert(record, int(schema))
	if err != nil {
		answerer.Problem(w, http.StatusUnprocessableEntity, err.Error())
		return
	}
	answerer.JSON(w, http.StatusOK, Shown{Entry: entry, Record: record})
}

// reference returns the record that a request's path names.
func reference(r *http.Request) recorder.Ref {
	return recorder.Ref{Kind: mux.Vars(r)["kind"], Name: mux.Vars(r)["name"]}
}

// number returns a whole number of the query, or the one given if it is absent.
func number(r *http.Request, name string, absent int64) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return absent, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("%s: %q is not a whole number of 0 or more", name, text)
	}
	return n, nil
}

// present reports whether something was found, and answers the error otherwise.
func (o *Operator) present(w http.ResponseWriter, what string, found bool, err error) bool {
	switch {
	case err != nil:
		answerer.Problem(w, http.StatusServiceUnavailable, "the store cannot be read: "+err.Error())
	case !found:
		answerer.Problem(w, http.StatusNotFound, what+" does not exist")
	default:
		return true
	}
	return false
}

// revision reads the revision of a record that the query names, or the one given. Revision 0 is an absent record.
func (o *Operator) revision(w http.ResponseWriter, r *http.Request, ref recorder.Ref, name string, absent int64) (recorder.Record, bool) {
	revision, err := number(r, name, absent)
	if err != nil {
		answerer.Problem(w, http.StatusBadRequest, err.Error())
		return recorder.Record{}, false
	}
	if revision == 0 {
		return recorder.Record{}, true
	}
	record, found, err := get[recorder.Record](r.Context(), o, accepter.BodyKey(ref, revision))
	return record, o.present(w, fmt.Sprintf("%s@%d", ref, revision), found, err)
}

// diff answers the difference between two revisions: by default the one in force and the latest.
func (o *Operator) diff(w http.ResponseWriter, r *http.Request) {
	ref := reference(r)
	entry, found, err := get[accepter.Entry](r.Context(), o, accepter.EntryKey(ref))
	if !o.present(w, ref.String(), found, err) {
		return
	}
	before, ok := o.revision(w, r, ref, "from", entry.ActiveRevision)
	if !ok {
		return
	}
	after, ok := o.revision(w, r, ref, "to", entry.LatestRevision)
	if !ok {
		return
	}
	diffs := recorder.Compare(before, after)
	if diffs == nil {
		diffs = []recorder.Diff{}
	}
	answerer.JSON(w, http.StatusOK, diffs)
}

// wait answers once an epoch is in force on every live instance, or with the instances where it is not when the time
// given is over.
func (o *Operator) wait(w http.ResponseWriter, r *http.Request) {
	epoch, err := strconv.ParseInt(mux.Vars(r)["epoch"], 10, 64)
	if err != nil || epoch < 0 {
		answerer.Problem(w, http.StatusBadRequest, "the epoch is not a whole number of 0 or more")
		return
	}
	millis, err := number(r, "timeout", 0)
	if err != nil {
		answerer.Problem(w, http.StatusBadRequest, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(millis)*time.Millisecond, maxWait))
	defer cancel()
	out := Waited{Epoch: epoch}
	for pause := o.interval; ; pause = min(2*pause, maxPause) {
		o.look(r.Context(), &out)
		if len(out.Behind) == 0 {
			answerer.JSON(w, http.StatusOK, out)
			return
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			answerer.JSON(w, http.StatusGatewayTimeout, out)
			return
		}
	}
}

// look asks the instances that were behind at the look before, or all of them at the first look.
func (o *Operator) look(ctx context.Context, out *Waited) {
	var ids []string
	for _, f := range out.Behind {
		ids = append(ids, f.ID)
	}
	forces := o.source.Forces(ctx, ids)
	if len(ids) == 0 {
		out.Instances = len(forces)
	}
	out.Behind = nil
	for _, f := range forces {
		if f.Error != "" || f.Epoch < out.Epoch {
			out.Behind = append(out.Behind, f)
		}
	}
}
