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

// openStream runs an attempt at an answer as its first stage and streams the tokens.
func (d *Decoder) openStream(w http.ResponseWriter, r *http.Request) {
	var q streamer.Request
	if err := read(r, &q); err != nil {
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
	d.finish(q)
}

// admit refuses an attempt that is stale or repeated, and one of layers that are not held.
func (d *Decoder) admit(q streamer.Request) (int, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving {
		return http.StatusServiceUnavailable, "leaving"
	}
	if !d.holds(q, q.Stages[0]) {
		return http.StatusNotFound, "layers not held"
	}
	if d.sessions.attempts[q.Request] >= q.Attempt {
		return http.StatusConflict, "stale attempt"
	}
	d.sessions.admit(q.Request, q.Attempt)
	return http.StatusOK, ""
}

// finish ends the sessions of an attempt in this engine.
func (d *Decoder) finish(q streamer.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sessions.end(q.Request, q.Attempt)
}

// cancelStream ends an attempt. It answers the same whether or not the attempt was known.
func (d *Decoder) cancelStream(w http.ResponseWriter, r *http.Request) {
	attempt, err := strconv.Atoi(mux.Vars(r)["attempt"])
	if err != nil {
		d.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	d.finish(streamer.Request{Request: mux.Vars(r)["request"], Attempt: attempt})
	w.WriteHeader(http.StatusNoContent)
}

// stream is the answer to one attempt.
type stream struct {
	decoder *Decoder
	request streamer.Request
	writer  http.ResponseWriter
	encoder *json.Encoder
}

// run decodes token by token until the answer ends, a stage fails or the caller leaves.
func (s *stream) run(ctx context.Context) {
	inputs := prefix(s.request.Prompt, s.request.Delivered)
	step := Step{Request: s.request, Inputs: inputs}
	for token := len(s.request.Delivered); token < s.request.Limit; token++ {
		step.Last = token+1 == s.request.Limit
		reply, ok := s.await(ctx, step, token)
		if !ok {
			return
		}
		if reply.Reason != "" {
			s.send(streamer.Step{Kind: streamer.KindFault, Position: token, Reason: reply.Reason, Endpoint: reply.Endpoint})
			return
		}
		if reply.Stop {
			s.end(token, streamer.ReasonStop)
			return
		}
		s.send(streamer.Step{
			Kind: streamer.KindToken, Position: token, Token: reply.Token,
			Text: spell(token, reply.Token), Ran: reply.Ran,
		})
		step.Position += len(step.Inputs)
		step.Inputs = []uint64{embed(word(reply.Token))}
		step.Request.Prompt = ""
		step.Request.Delivered = nil
		step.Request.Imports = nil
	}
	s.end(s.request.Limit, streamer.ReasonLength)
}

// await runs a step and sends pings until its reply is there. It returns false if the caller left or the engine
// crashed.
func (s *stream) await(ctx context.Context, step Step, token int) (Reply, bool) {
	h := hop{s.decoder, step, make(chan Reply, 1)}
	go h.run(ctx)
	ticker := time.NewTicker(s.decoder.ping)
	defer ticker.Stop()
	down := s.decoder.crashed()
	for {
		select {
		case reply, ok := <-h.replies:
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

// hop is one step on its way through the stages.
type hop struct {
	decoder *Decoder
	step    Step
	replies chan Reply
}

// run runs the step and sends its reply. It closes the channel without one if the engine crashes.
func (h hop) run(ctx context.Context) {
	defer close(h.replies)
	defer func() {
		if e := recover(); e != nil && e != http.ErrAbortHandler {
			panic(e)
		}
	}()
	h.replies <- h.decoder.runStep(ctx, h.step)
}

// end sends the last step of a complete answer.
func (s *stream) end(position int, reason string) {
	s.send(streamer.Step{
		Kind: streamer.KindEnd, Position: position, Reason: reason, Prompt: len(tokenize(s.request.Prompt)),
	})
}

// send writes one line and flushes it. A caller that left is seen by the context.
func (s *stream) send(step streamer.Step) {
	step.Request = s.request.Request
	step.Attempt = s.request.Attempt
	if err := s.encoder.Encode(step); err != nil {
		return
	}
	_ = http.NewResponseController(s.writer).Flush()
}
