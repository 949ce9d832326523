// Package operator serves the operators' HTTP interface for records.
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

// maxBodyBytes is the largest body of a request, in bytes.
const maxBodyBytes = 8 << 20

// Committer executes changes of the configuration.
type Committer interface {
	Do(ctx context.Context, c accepter.Command) accepter.Result
}

// Source is the configuration of this instance.
type Source interface {
	LatestSnapshot() recorder.Snapshot
	// ActiveEpochs queries live instances for the epochs that they have in force: those with the ids given, or all if none is
	// given.
	ActiveEpochs(ctx context.Context, ids []string) []poller.InstanceEpoch
}

// Operator serves the HTTP interface for records, changes and audits.
type Operator struct {
	table             tabler.Table
	committer         Committer
	source            Source
	tokenHash         string
	readTimeout       time.Duration
	firstPollInterval time.Duration
}

// Option changes an Operator on construction.
type Option func(*Operator)

// WithCredential sets the SHA-256 of the operators' bearer token, in hexadecimal. Without it requests need no token.
func WithCredential(hash string) Option {
	return func(o *Operator) { o.tokenHash = strings.ToLower(hash) }
}

// WithTimeout bounds each read of the store.
func WithTimeout(d time.Duration) Option { return func(o *Operator) { o.readTimeout = d } }

// WithPollInterval sets the time between the first two polls of the instances during a wait. It doubles with each poll, up
// to a second.
func WithPollInterval(d time.Duration) Option { return func(o *Operator) { o.firstPollInterval = d } }

// New returns an Operator.
func New(table tabler.Table, committer Committer, source Source, options ...Option) *Operator {
	o := &Operator{
		table:             table,
		committer:         committer,
		source:            source,
		readTimeout:       2 * time.Second,
		firstPollInterval: 100 * time.Millisecond,
	}
	for _, option := range options {
		option(o)
	}
	return o
}

// Register adds the routes of records, changes and audits.
func (o *Operator) Register(r *mux.Router) {
	handle := func(method, path string, h http.HandlerFunc) {
		r.HandleFunc(path, o.RequireToken(h)).Methods(method)
	}
	handle(http.MethodPost, "/changes", o.handleChange)
	handle(http.MethodPost, "/changes/{id}/resolve", o.handleResolve)
	handle(http.MethodGet, "/epochs/{epoch}/wait", o.handleWait)
	handle(http.MethodGet, "/audits", o.handleAudits)
	handle(http.MethodGet, "/records", o.handleList)
	handle(http.MethodGet, "/records/{kind}/{name}", o.handleShow)
	handle(http.MethodGet, "/records/{kind}/{name}/diff", o.handleDiff)
}

// RequireToken returns a handler that rejects requests without the operators' token, and limits the body of the others.
func (o *Operator) RequireToken(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		hash := hex.EncodeToString(sum[:])
		if o.tokenHash != "" && subtle.ConstantTimeCompare([]byte(hash), []byte(o.tokenHash)) != 1 {
			answerer.WriteProblem(w, http.StatusUnauthorized, "the operators' token is missing or wrong")
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		h(w, r)
	}
}

// handleChange executes a submit, an accept or a retire.
func (o *Operator) handleChange(w http.ResponseWriter, r *http.Request) {
	var c accepter.Command
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		answerer.SetOutcome(w, classifier.VerdictNotRun)
		answerer.WriteProblem(w, http.StatusBadRequest, "the body cannot be read: "+err.Error())
		return
	}
	if c.Operator == "" || c.Action == accepter.ActionResolve {
		answerer.SetOutcome(w, classifier.VerdictNotRun)
		answerer.WriteProblem(w, http.StatusBadRequest, "operator and an action of submit, accept or retire are wanted")
		return
	}
	if c.ID == "" {
		c.ID = uuid.Must(uuid.NewV7()).String()
	}
	o.writeResult(w, c, o.committer.Do(r.Context(), c))
}

// handleResolve determines the outcome of a change whose outcome was unknown.
func (o *Operator) handleResolve(w http.ResponseWriter, r *http.Request) {
	c := accepter.Command{ID: mux.Vars(r)["id"], Action: accepter.ActionResolve}
	o.writeResult(w, c, o.committer.Do(r.Context(), c))
}

// writeResult writes the response to a change, with the status that its outcome calls for.
func (o *Operator) writeResult(w http.ResponseWriter, c accepter.Command, result accepter.Result) {
	answerer.SetOutcome(w, classifier.Combine(result.Outcome))
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
		answerer.SetRetryAfter(w)
	}
	answerer.WriteJSON(w, status, result)
}
