// Package operator answers the operators' HTTP interface for records.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/accepter"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/serving/answerer"
	"github.com/heatherrock/heatherrock/internal/serving/poller"
)

// maxBody is the largest body of a request, in bytes.
const maxBody = 8 << 20

// Committer carries changes out.
type Committer interface {
	Do(ctx context.Context, c accepter.Command) accepter.Result
}

// Source is the configuration of this instance.
type Source interface {
	Base() recorder.Snapshot
	// Forces asks live instances for their epochs: those with the ids given, or all if none is given.
	Forces(ctx context.Context, ids []string) []poller.Force
}

// Operator answers for records.
type Operator struct {
	table      tabler.Table
	committer  Committer
	source     Source
	credential string
	timeout    time.Duration
	interval   time.Duration
}

// Option changes an Operator on construction.
type Option func(*Operator)

// WithCredential sets the SHA-256 of the operators' bearer token, in hexadecimal. Without it none is asked for.
func WithCredential(hash string) Option {
	return func(o *Operator) { o.credential = strings.ToLower(hash) }
}

// WithTimeout bounds each read of the store.
func WithTimeout(d time.Duration) Option { return func(o *Operator) { o.timeout = d } }

// WithInterval sets the time between the first two looks at the instances while a wait goes on. It doubles from look to
// look, up to a second.
func WithInterval(d time.Duration) Option { return func(o *Operator) { o.interval = d } }

// New returns an Operator.
func New(table tabler.Table, committer Committer, source Source, options ...Option) *Operator {
	o := &Operator{
		table:     table,
		committer: committer,
		source:    source,
		timeout:   2 * time.Second,
		interval:  100 * time.Millisecond,
	}
	for _, option := range options {
		option(o)
	}
	return o
}

// Register adds the routes of records, changes and audits.
func (o *Operator) Register(r *mux.Router) {
	route := func(method, path string, h http.HandlerFunc) {
		r.HandleFunc(path, o.Guard(h)).Methods(method)
	}
	route(http.MethodPost, "/changes", o.change)
	route(http.MethodPost, "/changes/{id}/resolve", o.resolve)
	route(http.MethodGet, "/epochs/{epoch}/wait", o.wait)
	route(http.MethodGet, "/audits", o.audits)
	route(http.MethodGet, "/records", o.list)
	route(http.MethodGet, "/records/{kind}/{name}", o.show)
	route(http.MethodGet, "/records/{kind}/{name}/diff", o.diff)
}

// Guard lets a request through that bears the operators' token.
func (o *Operator) Guard(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		given := hex.EncodeToString(sum[:])
		if o.credential != "" && subtle.ConstantTimeCompare([]byte(given), []byte(o.credential)) != 1 {
			answerer.Problem(w, http.StatusUnauthorized, "the operators' token is missing or wrong")
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		h(w, r)
	}
}

// change carries out a submit, an accept or a retire.
func (o *Operator) change(w http.ResponseWriter, r *http.Request) {
	var c accepter.Command
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		answerer.Outcome(w, classifier.VerdictNotRun)
		answerer.Problem(w, http.StatusBadRequest, "the body cannot be read: "+err.Error())
		return
	}
	if c.Operator == "" || c.Action == accepter.ActionResolve {
		answerer.Outcome(w, classifier.VerdictNotRun)
		answerer.Problem(w, http.StatusBadRequest, "operator and an action of submit, accept or retire are wanted")
		return
	}
	if c.ID == "" {
		c.ID = uuid.Must(uuid.NewV7()).String()
	}
	o.report(w, c, o.committer.Do(r.Context(), c))
}

// resolve finds out what became of a change whose outcome was not known.
func (o *Operator) resolve(w http.ResponseWriter, r *http.Request) {
	c := accepter.Command{ID: mux.Vars(r)["id"], Action: accepter.ActionResolve}
	o.report(w, c, o.committer.Do(r.Context(), c))
}

// report writes what became of a change.
func (o *Operator) report(w http.ResponseWriter, c accepter.Command, result accepter.Result) {
	answerer.Outcome(w, classifier.Combine(result.Outcome))
	status := http.StatusOK
	switch {
	case result.Outcome == classifier.Unknown:
		status = http.StatusGatewayTimeout
	case result.Outcome == classifier.Completed:
	case c.DryRun && len(result.Faults)+len(result.Conflicts) == 0 && result.Changes != nil:
	case len(result.Faults) > 0:
		status = http.StatusUnprocessableEntity
	case len(result.Conflicts) > 0:
		status = http.StatusConflict
	case c.Action == accepter.ActionResolve:
	case result.Blocked:
		status = http.StatusGone
	default:
		status = http.StatusServiceUnavailable
		answerer.RetryLater(w)
	}
	answerer.JSON(w, status, result)
}
