// Package server is the callers' HTTP interface for models, in the format of the OpenAI API.
package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"sort"
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
	// idLimit bounds the length of a request id given by a caller, in bytes.
	idLimit = 128
	// defaultTokens bounds an answer whose caller names no limit, in tokens.
	defaultTokens = 256
)

// Views returns the configuration in force.
type Views interface {
	View() recorder.View
}

// Ticket is what an answer asks of the fleet.
type Ticket struct {
	Job generator.Job
	// Tokens estimates the tokens of prompt and answer together.
	Tokens int
	// Deadline is the latest time at which it is of use to begin.
	Deadline time.Time
}

// Grant is leave to run an answer.
type Grant struct {
	// Job is the answer as it is to run.
	Job generator.Job
	// Done is to be called with the tokens used, at the answer's end.
	Done func(tokens int)
}

// Admitter says when an answer may start.
type Admitter interface {
	// Admit waits until the answer may start, or returns why it does not run.
	Admit(ctx context.Context, view recorder.View, t Ticket) (Grant, *Problem)
}

// Gate says whether the instance admits requests at all.
type Gate interface {
	Gate(now time.Time) *Problem
}

// Runner runs an answer.
type Runner interface {
	Run(ctx context.Context, j generator.Job, sink func(text string) error) generator.Result
}

// Server answers callers.
type Server struct {
	views    Views
	gate     Gate
	admitter Admitter
	runner   Runner
	clock    func() time.Time
	log      *slog.Logger
	// limits are the deadlines of each attempt.
	limits tracker.Limits
	// timeout bounds a request from its arrival to its end.
	timeout time.Duration
	// size bounds a body, in bytes.
	size     int64
	prefixes func(model, version, adapter, prompt string) []uint64
	ended    func(team, model string, r generator.Result, took time.Duration)
	refusals func(team string, code Code)
}

// Option changes a Server under construction.
type Option func(*Server)

// WithClock sets the source of the present time.
func WithClock(clock func() time.Time) Option { return func(s *Server) { s.clock = clock } }

// WithLog sets the log.
func WithLog(l *slog.Logger) Option { return func(s *Server) { s.log = l } }

// WithLimits sets the deadlines of each attempt.
func WithLimits(l tracker.Limits) Option { return func(s *Server) { s.limits = l } }

// WithTimeout bounds a request from its arrival to its end.
func WithTimeout(d time.Duration) Option { return func(s *Server) { s.timeout = d } }

// WithSize bounds a body, in bytes.
func WithSize(n int64) Option { return func(s *Server) { s.size = n } }

// WithPrefixes sets how the prefixes of a prompt are named in cache events.
func WithPrefixes(f func(model, version, adapter, prompt string) []uint64) Option {
	return func(s *Server) { s.prefixes = f }
}

// WithEnded sets what is told of each answer that has ended.
func WithEnded(f func(team, model string, r generator.Result, took time.Duration)) Option {
	return func(s *Server) { s.ended = f }
}

// WithRefused sets what is told of each request that was refused. The team is empty if it is not known.
func WithRefused(f func(team string, code Code)) Option {
	return func(s *Server) { s.refusals = f }
}

// New returns a server of callers.
func New(v Views, g Gate, a Admitter, r Runner, options ...Option) *Server {
	s := &Server{
		views:    v,
		gate:     g,
		admitter: a,
		runner:   r,
		clock:    time.Now,
		log:      slog.Default(),
		limits:   tracker.Limits{MaxSilence: 2 * time.Second, MaxStall: 10 * time.Second},
		timeout:  2 * time.Minute,
		size:     1 << 20,
		prefixes: func(_, _, _, _ string) []uint64 { return nil },
		ended:    func(string, string, generator.Result, time.Duration) {},
		refusals: func(string, Code) {},
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Register adds the callers' routes.
func (s *Server) Register(r *mux.Router) {
	r.HandleFunc("/v1/chat/completions", s.handle(true)).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", s.handle(false)).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", s.models).Methods(http.MethodGet)
	r.HandleFunc("/v1/models/{model}", s.model).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Refuse(CodePath, "there is no path "+r.URL.Path).Write(w)
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Refuse(CodeMethod, r.Method+" is not allowed on "+r.URL.Path).Write(w)
	})
}

// Identify returns the request's id: the caller's, or a new one. The answer carries it.
func Identify(w http.ResponseWriter, r *http.Request) string {
	id := r.Header.Get(HeaderRequest)
	if id == "" || len(id) > idLimit || strings.ContainsFunc(id, unprintable) {
		id = uuid.NewString()
	}
	w.Header().Set(HeaderRequest, id)
	return id
}

// unprintable reports whether a character does not belong in an id.
func unprintable(c rune) bool {
	return c <= ' ' || c > '~'
}

// Authenticate returns the name of the team whose credential the request carries, and the view that it was found in.
func Authenticate(v recorder.View, r *http.Request) (string, *Problem) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return "", Refuse(CodeCredential, "a bearer token is required")
	}
	// The lookup is by the token's hash: its time says nothing of the tokens that exist.
	sum := sha256.Sum256([]byte(token))
	name, _, ok := v.FindTeam(hex.EncodeToString(sum[:]))
	if !ok {
		return "", Refuse(CodeCredential, "the bearer token is not known")
	}
	return name, nil
}

// handle returns the handler of chat or completion requests.
func (s *Server) handle(chat bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		began := s.clock()
		id := Identify(w, r)
		view := s.views.View()
		team, p := s.enter(began, view, r)
		if p != nil {
			s.refused(w, id, team, p)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, s.size)
		q, p := read(r)
		if p != nil {
			s.refused(w, id, team, p)
			return
		}
		job, p := s.job(view, id, team, q, chat, began)
		if p != nil {
			s.refused(w, id, team, p)
			return
		}
		s.serve(w, r, view, q, job, chat, began)
	}
}

// enter checks what does not depend on the body.
func (s *Server) enter(now time.Time, view recorder.View, r *http.Request) (string, *Problem) {
	if p := s.gate.Gate(now); p != nil {
		return "", p
	}
	return Authenticate(view, r)
}

// refused answers a request that did not run.
func (s *Server) refused(w http.ResponseWriter, id, team string, p *Problem) {
	s.log.Info("request refused", "request", id, "team", team, "code", p.Code, "reason", p.Message)
	s.refusals(team, p.Code)
	p.Write(w)
}

// job returns the answer to run for a request.
func (s *Server) job(view recorder.View, id, team string, q request, chat bool, now time.Time) (generator.Job, *Problem) {
	model, ok := view.Models[q.Model]
	if !ok || !view.AllowsModel(team, q.Model) {
		return generator.Job{}, parameter(CodeModel, "model", fmt.Sprintf("there is no model %q", q.Model))
	}
	text, p := q.prompt()
	if chat {
		text, p = q.conversation()
	}
	if p != nil {
		return generator.Job{}, p
	}
	version, _ := view.SelectVersion(q.Model, team+"/"+text)
	if q.Adapter != "" && !view.AllowsAdapter(q.Model, version, q.Adapter) {
		return generator.Job{}, parameter(CodeInvalid, "adapter", fmt.Sprintf("there is no adapter %q", q.Adapter))
	}
	limit := min(model.MaxAnswerTokens, defaultTokens)
	if n := q.limit(); n != nil {
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
		Prompt:      text,
		Sampling:    streamer.Sampling(q.sampling),
		Limit:       limit,
		Deadline:    now.Add(s.timeout),
		Limits:      s.waits(view),
		Fingerprint: fingerprint(team, q.Model, q.Adapter, text),
		Prefixes:    s.prefixes(q.Model, version, q.Adapter, text),
	}, nil
}

// fingerprint identifies a request by its content.
func fingerprint(parts ...string) quarantiner.Fingerprint {
	return quarantiner.Fingerprint(xxhash.Sum64String(strings.Join(parts, "\x00")))
}

// serve admits an answer, runs it and writes it.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, view recorder.View, q request, job generator.Job, chat bool, began time.Time) {
	id := w.Header().Get(HeaderRequest)
	estimate := len(strings.Fields(job.Prompt)) + job.Limit
	grant, p := s.admitter.Admit(r.Context(), view, Ticket{
		Job: job, Tokens: estimate, Deadline: starting(view, job, began),
	})
	if p != nil {
		s.refused(w, id, job.Team, p)
		return
	}
	out := s.reply(w, q, job, chat, began)
	result := s.runner.Run(r.Context(), grant.Job, out.token)
	grant.Done(result.Prompt + result.Tokens)
	took := s.clock().Sub(began)
	s.ended(job.Team, job.Model, result, took)
	s.log.Info("answer ended", "request", id, "team", job.Team, "model", job.Model, "version", job.Version,
		"epoch", view.Epoch, "outcome", result.Verdict.String(), "tokens", result.Tokens,
		"attempts", len(result.Attempts), "failure", result.Failure.String(), "took", took)
	if result.Failure != generator.FailureNone {
		out.fail(problem(result))
		return
	}
	out.finish(result.Reason, usage{Prompt: result.Prompt, Completion: result.Tokens, Total: result.Prompt + result.Tokens})
}

// starting returns the latest time at which it is of use to begin an answer: after it, the first token would come later
// than the model's target.
func starting(view recorder.View, job generator.Job, began time.Time) time.Time {
	first := time.Duration(view.Models[job.Model].FirstTokenMillis) * time.Millisecond
	if first <= 0 || began.Add(first).After(job.Deadline) {
		return job.Deadline
	}
	return began.Add(first)
}

// waits returns the deadlines of each attempt: those of the slowest kind of accelerator that a record names, or else
// those of the settings.
func (s *Server) waits(view recorder.View) tracker.Limits {
	longest := time.Duration(0)
	for _, e := range view.Endpoints {
		longest = max(longest, time.Duration(e.ProgressTimeoutMillis)*time.Millisecond)
	}
	if longest == 0 {
		return s.limits
	}
	factor := s.limits.MaxStall.Seconds() / s.limits.MaxSilence.Seconds()
	return tracker.Limits{MaxSilence: longest, MaxStall: time.Duration(factor * float64(longest))}
}

// reply returns the writer of an answer.
func (s *Server) reply(w http.ResponseWriter, q request, job generator.Job, chat bool, began time.Time) *reply {
	out := &reply{w: w, chat: chat, stream: q.Stream, usage: q.Options != nil && q.Options.Usage}
	out.head = answer{ID: "cmpl-" + uuid.NewString(), Object: objectCompletion, Created: began.Unix(), Model: job.Model}
	if chat {
		out.head.ID = "chat" + out.head.ID
		out.head.Object = objectChat
	}
	return out
}

// problem returns what the caller is told of an answer that is not complete.
func problem(r generator.Result) *Problem {
	p := &Problem{Verdict: r.Verdict, After: r.After}
	switch r.Failure {
	case generator.FailureCapacity:
		p.Code = CodeCapacity
		p.Message = r.Why
		p.After = max(r.After, time.Second)
	case generator.FailureDeadline:
		p.Code = CodeDeadline
		p.Message = "the request's deadline passed"
	case generator.FailureQuarantine:
		p.Code = CodeQuarantine
		p.Message = "the request crashed the endpoints that ran it and is not run again"
	default:
		p.Code = CodeInterrupted
		p.Message = "the answer was interrupted"
		p.After = max(r.After, time.Second)
	}
	return p
}

// modelObject is a model in the callers' format.
type modelObject struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Create int64  `json:"created"`
	Owner  string `json:"owned_by"`
}

// modelList is the list of models in the callers' format.
type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

// models lists the models that the caller's team may use.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	id := Identify(w, r)
	view := s.views.View()
	team, p := s.enter(s.clock(), view, r)
	if p != nil {
		s.refused(w, id, team, p)
		return
	}
	list := modelList{Object: "list", Data: []modelObject{}}
	for name := range view.Models {
		if view.AllowsModel(team, name) {
			list.Data = append(list.Data, describe(name))
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	writeJSON(w, list)
}

// model describes one model.
func (s *Server) model(w http.ResponseWriter, r *http.Request) {
	id := Identify(w, r)
	view := s.views.View()
	team, p := s.enter(s.clock(), view, r)
	name := mux.Vars(r)["model"]
	if _, ok := view.Models[name]; p == nil && (!ok || !view.AllowsModel(team, name)) {
		p = parameter(CodeModel, "model", fmt.Sprintf("there is no model %q", name))
	}
	if p != nil {
		s.refused(w, id, team, p)
		return
	}
	writeJSON(w, describe(name))
}

// describe returns a model in the callers' format.
func describe(name string) modelObject {
	return modelObject{ID: name, Object: "model", Owner: "heatherrock"}
}

// writeJSON answers with a value as JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, classifier.VerdictCompleted.String())
	_ = json.NewEncoder(w).Encode(v)
}
