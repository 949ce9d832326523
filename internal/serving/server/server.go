// Package server serves the callers' HTTP interface to models, in the format of the OpenAI API.
package server

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/routing/quarantiner"
	"github.com/heatherrock/heatherrock/internal/routing/tracker"
	"github.com/heatherrock/heatherrock/internal/serving/generator"
)

const (
	// maxIDBytes bounds the length of a request id given by a caller.
	maxIDBytes = 128
	// defaultMaxTokens bounds the tokens of an answer if the caller sets no limit.
	defaultMaxTokens = 256
)

// Views provides the active configuration.
type Views interface {
	View() recorder.View
}

// AdmissionRequest is a request to start an answer.
type AdmissionRequest struct {
	Job generator.Job
	// EstimatedTokens is an estimate of the tokens of prompt and answer together.
	EstimatedTokens int
	// StartDeadline is the latest time at which starting the answer is still useful.
	StartDeadline time.Time
}

// Grant is the permission to run an answer.
type Grant struct {
	// Job is the job to run, as admitted.
	Job generator.Job
	// Done must be called when the answer ends, with the tokens used.
	Done func(tokens int)
}

// Admitter decides when an answer may start.
type Admitter interface {
	// Admit waits until the answer may start, or returns the reason why it is rejected.
	Admit(ctx context.Context, view recorder.View, r AdmissionRequest) (Grant, *Problem)
}

// Gate decides whether the instance admits requests at all.
type Gate interface {
	// Gate returns the reason why the instance admits no requests at now, or nil.
	Gate(now time.Time) *Problem
}

// Runner runs an answer.
type Runner interface {
	// Run runs an answer and passes the text of each token to sink.
	Run(ctx context.Context, j generator.Job, sink func(text string) error) generator.Result
}

// Server answers callers' requests for models.
type Server struct {
	views    Views
	gate     Gate
	admitter Admitter
	runner   Runner
	clock    func() time.Time
	log      *slog.Logger
	// limits are the silence and stall limits of each attempt.
	limits tracker.Limits
	// timeout bounds the time from a request's receipt to the end of its answer.
	timeout time.Duration
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes int64
	prefixes     func(model, version, adapter, prompt string) []uint64
	onEnded      func(team, model string, r generator.Result, took time.Duration)
	onRefused    func(team string, code Code)
}

// Option changes a Server under construction.
type Option func(*Server)

// WithClock sets the source of the current time.
func WithClock(clock func() time.Time) Option { return func(s *Server) { s.clock = clock } }

// WithLog sets the logger.
func WithLog(l *slog.Logger) Option { return func(s *Server) { s.log = l } }

// WithLimits sets the silence and stall limits of each attempt. They apply if no endpoint record sets any.
func WithLimits(l tracker.Limits) Option { return func(s *Server) { s.limits = l } }

// WithTimeout bounds the time from a request's receipt to the end of its answer.
func WithTimeout(d time.Duration) Option { return func(s *Server) { s.timeout = d } }

// WithMaxBodyBytes bounds the body of a request, in bytes.
func WithMaxBodyBytes(n int64) Option { return func(s *Server) { s.maxBodyBytes = n } }

// WithPrefixes sets the function that returns the hashes by which cache events name the prefixes of a prompt.
func WithPrefixes(f func(model, version, adapter, prompt string) []uint64) Option {
	return func(s *Server) { s.prefixes = f }
}

// WithOnEnded sets the function called when an answer has ended.
func WithOnEnded(f func(team, model string, r generator.Result, took time.Duration)) Option {
	return func(s *Server) { s.onEnded = f }
}

// WithOnRefused sets the function called when a request was refused. The team is empty if it is not known.
func WithOnRefused(f func(team string, code Code)) Option {
	return func(s *Server) { s.onRefused = f }
}

// New returns a server.
func New(v Views, g Gate, a Admitter, r Runner, options ...Option) *Server {
	s := &Server{
		views:        v,
		gate:         g,
		admitter:     a,
		runner:       r,
		clock:        time.Now,
		log:          slog.Default(),
		limits:       tracker.Limits{MaxSilence: 2 * time.Second, MaxStall: 10 * time.Second},
		timeout:      2 * time.Minute,
		maxBodyBytes: 1 << 20,
		prefixes:     func(_, _, _, _ string) []uint64 { return nil },
		onEnded:      func(string, string, generator.Result, time.Duration) {},
		onRefused:    func(string, Code) {},
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Register adds the server's routes to a router, and its answers to unknown paths and methods.
func (s *Server) Register(r *mux.Router) {
	r.HandleFunc("/v1/chat/completions", s.handle(true)).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", s.handle(false)).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", s.models).Methods(http.MethodGet)
	r.HandleFunc("/v1/models/{model}", s.model).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		RefusalProblem(CodePathNotFound, "there is no path "+r.URL.Path).Write(w)
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		RefusalProblem(CodeMethodNotAllowed, r.Method+" is not allowed on "+r.URL.Path).Write(w)
	})
}

// Identify returns the request's id, the caller's if it is valid or else a new one, and sets it as a header of the
// answer.
func Identify(w http.ResponseWriter, r *http.Request) string {
	id := r.Header.Get(HeaderRequest)
	if id == "" || len(id) > maxIDBytes || strings.ContainsFunc(id, isUnprintable) {
		id = uuid.NewString()
	}
	w.Header().Set(HeaderRequest, id)
	return id
}

// isUnprintable reports whether a character is not allowed in an id.
func isUnprintable(c rune) bool {
	return c <= ' ' || c > '~'
}

// Authenticate returns the name of the team whose credential the request carries, or the problem if it carries none that
// is known.
func Authenticate(v recorder.View, r *http.Request) (string, *Problem) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return "", RefusalProblem(CodeInvalidCredential, "a bearer token is required")
	}
	// The lookup is by the token's hash, so its duration reveals nothing about the tokens that exist.
	sum := sha256.Sum256([]byte(token))
	name, _, ok := v.FindTeam(hex.EncodeToString(sum[:]))
	if !ok {
		return "", RefusalProblem(CodeInvalidCredential, "the bearer token is not known")
	}
	return name, nil
}

// handle returns the handler of chat requests or, if isChat is false, of completion requests.
func (s *Server) handle(isChat bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		receivedAt := s.clock()
		id := Identify(w, r)
		view := s.views.View()
		team, p := s.authorize(receivedAt, view, r)
		if p != nil {
			s.refuse(w, id, team, p)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, s.maxBodyBytes)
		q, p := readRequest(r)
		if p != nil {
			s.refuse(w, id, team, p)
			return
		}
		job, p := s.newJob(view, id, team, q, isChat, receivedAt)
		if p != nil {
			s.refuse(w, id, team, p)
			return
		}
		s.serve(w, r, view, q, job, isChat, receivedAt)
	}
}

// authorize returns the request's team after the checks that do not need the body.
func (s *Server) authorize(now time.Time, view recorder.View, r *http.Request) (string, *Problem) {
	if p := s.gate.Gate(now); p != nil {
		return "", p
	}
	return Authenticate(view, r)
}

// refuse logs, reports and answers a request that did not run.
func (s *Server) refuse(w http.ResponseWriter, id, team string, p *Problem) {
	s.log.Info("request refused", "request", id, "team", team, "code", p.Code, "reason", p.Message)
	s.onRefused(team, p.Code)
	p.Write(w)
}

// newJob returns the job that answers a request, or the reason why the request is refused.
func (s *Server) newJob(view recorder.View, id, team string, q request, isChat bool, receivedAt time.Time) (generator.Job, *Problem) {
	model, ok := view.Models[q.Model]
	if !ok || !view.AllowsModel(team, q.Model) {
		return generator.Job{}, fieldProblem(CodeModelNotFound, "model", fmt.Sprintf("there is no model %q", q.Model))
	}
	prompt, p := q.completionPrompt()
	if isChat {
		prompt, p = q.chatPrompt()
	}
	if p != nil {
		return generator.Job{}, p
	}
	version, _ := view.SelectVersion(q.Model, team+"/"+prompt)
	if q.Adapter != "" && !view.AllowsAdapter(q.Model, version, q.Adapter) {
		return generator.Job{}, fieldProblem(CodeInvalid, "adapter", fmt.Sprintf("there is no adapter %q", q.Adapter))
	}
	limit := min(model.MaxAnswerTokens, defaultMaxTokens)
	if n := q.maxAnswerTokens(); n != nil {
		limit = min(model.MaxAnswerTokens, *n)
	}
	return generator.Job{
		Request:     id + "." + uuid.NewString(),
		Team:        team,
		Model:       q.Model,
		Version:     version,
		Layers:      model.Layers,
		Adapter:     q.Adapter,
		Priority:    view.Teams[team].Priority,
		Prompt:      prompt,
		Sampling:    streamer.Sampling(q.sampling),
		MaxTokens:   limit,
		Deadline:    receivedAt.Add(s.timeout),
		Limits:      s.attemptLimits(view),
		Fingerprint: fingerprint(team, q.Model, q.Adapter, prompt),
		Prefixes:    s.prefixes(q.Model, version, q.Adapter, prompt),
	}, nil
}

// fingerprint returns the fingerprint of a request's content, by which the quarantine identifies it.
func fingerprint(parts ...string) quarantiner.Fingerprint {
	return quarantiner.Fingerprint(xxhash.Sum64String(strings.Join(parts, "\x00")))
}

// serve waits for the admission of a job, runs it and writes its answer.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, view recorder.View, q request, job generator.Job, isChat bool, receivedAt time.Time) {
	id := w.Header().Get(HeaderRequest)
	estimatedTokens := len(strings.Fields(job.Prompt)) + job.MaxTokens
	grant, p := s.admitter.Admit(r.Context(), view, AdmissionRequest{
		Job: job, EstimatedTokens: estimatedTokens, StartDeadline: startDeadline(view, job, receivedAt),
	})
	if p != nil {
		s.refuse(w, id, job.Team, p)
		return
	}
	out := s.newReply(w, q, job, isChat, receivedAt)
	result := s.runner.Run(r.Context(), grant.Job, out.writeToken)
	grant.Done(result.PromptTokens + result.Tokens)
	took := s.clock().Sub(receivedAt)
	s.onEnded(job.Team, job.Model, result, took)
	s.log.Info("answer ended", "request", id, "team", job.Team, "model", job.Model, "version", job.Version,
		"epoch", view.Epoch, "outcome", result.Verdict.String(), "tokens", result.Tokens,
		"attempts", len(result.Attempts), "failure", result.Failure.String(), "took", took)
	if result.Failure != generator.FailureNone {
		out.fail(problemOf(result))
		return
	}
	out.finish(result.Reason, usage{PromptTokens: result.PromptTokens, CompletionTokens: result.Tokens, TotalTokens: result.PromptTokens + result.Tokens})
}

// startDeadline returns the latest time at which starting an answer is still useful. After it, the first token would
// come later than the model's target.
func startDeadline(view recorder.View, job generator.Job, receivedAt time.Time) time.Time {
	target := time.Duration(view.Models[job.Model].FirstTokenMillis) * time.Millisecond
	if target <= 0 || receivedAt.Add(target).After(job.Deadline) {
		return job.Deadline
	}
	return receivedAt.Add(target)
}

// attemptLimits returns the silence and stall limits of each attempt. If endpoint records set progress timeouts,
// silence is the longest of them, that of the slowest kind of accelerator, and stall keeps its configured ratio to
// silence. Otherwise both are as configured.
func (s *Server) attemptLimits(view recorder.View) tracker.Limits {
	silence := time.Duration(0)
	for _, e := range view.Endpoints {
		silence = max(silence, time.Duration(e.ProgressTimeoutMillis)*time.Millisecond)
	}
	if silence == 0 {
		return s.limits
	}
	ratio := s.limits.MaxStall.Seconds() / s.limits.MaxSilence.Seconds()
	return tracker.Limits{MaxSilence: silence, MaxStall: time.Duration(ratio * float64(silence))}
}

// newReply returns the writer of a job's answer.
func (s *Server) newReply(w http.ResponseWriter, q request, job generator.Job, isChat bool, receivedAt time.Time) *reply {
	out := &reply{w: w, isChat: isChat, streamed: q.Stream, includeUsage: q.StreamOptions != nil && q.StreamOptions.IncludeUsage}
	out.common = answer{ID: "cmpl-" + uuid.NewString(), Object: objectCompletion, Created: receivedAt.Unix(), Model: job.Model}
	if isChat {
		out.common.ID = "chat" + out.common.ID
		out.common.Object = objectChat
	}
	return out
}

// problemOf returns the problem reported to the caller of an answer that is not complete.
func problemOf(r generator.Result) *Problem {
	p := &Problem{Verdict: r.Verdict, RetryAfter: r.RetryAfter}
	switch r.Failure {
	case generator.FailureCapacity:
		p.Code = CodeNoCapacity
		p.Message = r.NoRouteReason
		p.RetryAfter = max(r.RetryAfter, time.Second)
	case generator.FailureDeadline:
		p.Code = CodeDeadline
		p.Message = "the request's deadline passed"
	case generator.FailureQuarantine:
		p.Code = CodeQuarantined
		p.Message = "the request crashed the endpoints that ran it and is not run again"
	default:
		p.Code = CodeInterrupted
		p.Message = "the answer was interrupted"
		p.RetryAfter = max(r.RetryAfter, time.Second)
	}
	return p
}

// modelObject is a model in the format of the OpenAI API.
type modelObject struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	CreatedAt int64  `json:"created"`
	OwnedBy   string `json:"owned_by"`
}

// modelList is the list of models in the format of the OpenAI API.
type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

// models answers with the models that the caller's team may use.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	id := Identify(w, r)
	view := s.views.View()
	team, p := s.authorize(s.clock(), view, r)
	if p != nil {
		s.refuse(w, id, team, p)
		return
	}
	list := modelList{Object: "list", Data: []modelObject{}}
	for name := range view.Models {
		if view.AllowsModel(team, name) {
			list.Data = append(list.Data, describeModel(name))
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	writeJSON(w, list)
}

// model answers with one model.
func (s *Server) model(w http.ResponseWriter, r *http.Request) {
	id := Identify(w, r)
	view := s.views.View()
	team, p := s.authorize(s.clock(), view, r)
	name := mux.Vars(r)["model"]
	if _, ok := view.Models[name]; p == nil && (!ok || !view.AllowsModel(team, name)) {
		p = fieldProblem(CodeModelNotFound, "model", fmt.Sprintf("there is no model %q", name))
	}
	if p != nil {
		s.refuse(w, id, team, p)
		return
	}
	writeJSON(w, describeModel(name))
}

// describeModel returns a model in the format of the OpenAI API.
func describeModel(name string) modelObject {
	return modelObject{ID: name, Object: "model", OwnedBy: "heatherrock"}
}

// writeJSON answers a completed request with a value as JSON, and states its length.
func writeJSON(w http.ResponseWriter, v any) {
	var b bytes.Buffer
	_ = json.NewEncoder(&b).Encode(v) // The types of answers have no values that cannot be encoded.
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(b.Len()))
	h.Set(HeaderOutcome, classifier.VerdictCompleted.String())
	_, _ = b.WriteTo(w) // The write fails if the caller has disconnected.
}
