package decoder

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
)

// openStream runs an attempt of a request, as the engine of its first stage, and streams the tokens.
func (d *Decoder) openStream(w http.ResponseWriter, r *http.Request) {
	var q streamer.Request
	if err := readJSON(r, &q); err != nil {
		d.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if len(q.Stages) == 0 {
		d.refuse(w, http.StatusBadRequest, "no stages")
		return
	}
	if status, reason := d.admit(q); status != http.StatusOK {
		d.refuse(w, status, reason)
		return
	}
	d.crashOn(q.Prompt)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	w.Header().Set("Content-Type", "application/x-ndjson")
	s := &stream{decoder: d, request: q, writer: w, encoder: json.NewEncoder(w)}
	s.run(ctx)
	d.endAttempt(q)
}

// admit records an attempt. It rejects one that is stale or repeated, one whose first stage's layers are not held, and
// every attempt while the engine is leaving.
func (d *Decoder) admit(q streamer.Request) (int, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving {
		return http.StatusServiceUnavailable, "leaving"
	}
	if !d.holds(q, q.Stages[0]) {
		return http.StatusNotFound, "layers not held"
	}
	if d.sessions.latestAttempt[q.Request] >= q.Attempt {
		return http.StatusConflict, "stale attempt"
	}
	d.sessions.admit(q.Request, q.Attempt)
	return http.StatusOK, ""
}

// endAttempt ends the sessions of an attempt on this engine.
func (d *Decoder) endAttempt(q streamer.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sessions.end(q.Request, q.Attempt)
}

// cancelStream ends an attempt. Its response is the same whether or not the engine has the attempt.
func (d *Decoder) cancelStream(w http.ResponseWriter, r *http.Request) {
	attempt, err := strconv.Atoi(mux.Vars(r)["attempt"])
	if err != nil {
		d.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	d.endAttempt(streamer.Request{Request: mux.Vars(r)["request"], Attempt: attempt})
	w.WriteHeader(http.StatusNoContent)
}

// stream is the streamed response to one attempt.
type stream struct {
	decoder *Decoder
	request streamer.Request
	writer  http.ResponseWriter
	encoder *json.Encoder
}

// run decodes token by token until the answer ends, a stage fails or the caller disconnects.
func (s *stream) run(ctx context.Context) {
	inputs := prefixInputs(s.request.Prompt, s.request.Delivered)
	step := Step{Request: s.request, Inputs: inputs}
	for token := len(s.request.Delivered); token < s.request.MaxTokens; token++ {
		step.Last = token+1 == s.request.MaxTokens
		reply, ok := s.awaitReply(ctx, step, token)
		if !ok {
			return
		}
		if reply.Reason != "" {
			s.send(streamer.Step{Kind: streamer.KindFault, Position: token, Reason: reply.Reason, Endpoint: reply.Endpoint})
			return
		}
		if reply.Stop {
			s.sendEnd(token, streamer.ReasonStop)
			return
		}
		s.send(streamer.Step{
			Kind: streamer.KindToken, Position: token, Token: reply.Token,
			Text: tokenText(token, reply.Token), ExecutedStages: reply.ExecutedStages,
		})
		step.Position += len(step.Inputs)
		step.Inputs = []uint64{embed(tokenWord(reply.Token))}
		step.Request.Prompt = ""
		step.Request.Delivered = nil
		step.Request.Imports = nil
	}
	s.sendEnd(s.request.MaxTokens, streamer.ReasonLength)
}

// awaitReply runs a step and sends pings until its reply arrives. It returns false if the caller disconnected, and cuts
// the connection if the engine crashed.
func (s *stream) awaitReply(ctx context.Context, step Step, token int) (Reply, bool) {
	p := pendingStep{s.decoder, step, make(chan Reply, 1)}
	go p.run(ctx)
	ticker := time.NewTicker(s.decoder.pingInterval)
	defer ticker.Stop()
	down := s.decoder.crashed()
	for {
		select {
		case reply, ok := <-p.replies:
			if !ok {
				panic(http.ErrAbortHandler)
			}
			return reply, ctx.Err() == nil
		case <-ticker.C:
			s.send(streamer.Step{Kind: streamer.KindPing, Position: token})
		case <-down:
			panic(http.ErrAbortHandler)
		case <-ctx.Done():
			return Reply{}, false
		}
	}
}

// pendingStep is a step that runs through the stages in a goroutine of its own.
type pendingStep struct {
	decoder *Decoder
	step    Step
	replies chan Reply
}

// run runs the step and sends its reply. If the engine crashes, it closes the channel without a reply.
func (p pendingStep) run(ctx context.Context) {
	defer close(p.replies)
	defer func() {
		if e := recover(); e != nil && e != http.ErrAbortHandler {
			panic(e)
		}
	}()
	p.replies <- p.decoder.runStep(ctx, p.step)
}

// sendEnd sends the final line of a complete answer.
func (s *stream) sendEnd(position int, reason string) {
	s.send(streamer.Step{
		Kind: streamer.KindEnd, Position: position, Reason: reason, PromptTokens: len(tokenize(s.request.Prompt)),
	})
}

// send writes one line and flushes it. It ignores write errors: if the caller disconnected, the context ends.
func (s *stream) send(step streamer.Step) {
	step.Request = s.request.Request
	step.Attempt = s.request.Attempt
	if err := s.encoder.Encode(step); err != nil {
		return
	}
	_ = http.NewResponseController(s.writer).Flush()
}
