package decoder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/standin/answerer"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
)

// Step is the body of the call from the engine of one stage to that of the next.
type Step struct {
	// Request is the attempt that the step belongs to. Its prompt is empty except in the first step.
	Request streamer.Request `json:"request"`
	// Index is the receiver's index in the request's stages.
	Index int `json:"index"`
	// Position is the position of the first of Inputs, counted from 0 at the start of the prompt.
	Position int      `json:"position"`
	Inputs   []uint64 `json:"inputs"`
	// Last reports whether this is the last step of the attempt.
	Last bool `json:"last,omitempty"`
}

// Reply is the response to a Step: the token that the last stage chose, and the stages that ran for it, in order.
type Reply struct {
	Token          int              `json:"token"`
	Stop           bool             `json:"stop,omitempty"`
	ExecutedStages []streamer.Stage `json:"ran"`
	// Endpoint and Reason name the endpoint that failed and how. They are empty if none failed.
	Endpoint string `json:"endpoint,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// CallStep is the call for which faults of the kind SkipLayer are set.
const CallStep = "POST /engine/steps"

// postStep runs a step that the engine of the previous stage forwarded.
func (d *Decoder) postStep(w http.ResponseWriter, r *http.Request) {
	var s Step
	if err := readJSON(r, &s); err != nil {
		d.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if s.Index < 0 || s.Index >= len(s.Request.Stages) {
		d.refuse(w, http.StatusBadRequest, "no such stage")
		return
	}
	answerer.WriteJSON(w, d.runStep(r.Context(), s))
}

// runStep runs one step of this engine's stage and of all later ones. The attempt ends with its last token or a fault.
func (d *Decoder) runStep(ctx context.Context, s Step) Reply {
	d.crashOn(s.Request.Prompt)
	reply := d.runStages(ctx, s)
	if s.Last || reply.Stop || reply.Reason != "" {
		d.endAttempt(s.Request)
	}
	return reply
}

// runStages runs this engine's stage of a step and forwards the step to the next stage.
func (d *Decoder) runStages(ctx context.Context, s Step) Reply {
	g := s.Request.Stages[s.Index]
	n, reason := d.sessionForStep(s, g)
	if reason != "" {
		return Reply{Endpoint: d.endpoint, Reason: reason}
	}
	if _, ok := d.faults.Trigger(CallStep, faulter.SkipLayer); ok {
		g.To--
	}
	outputs, reason := d.compute(ctx, n, s, g)
	if reason != "" {
		return Reply{Endpoint: d.endpoint, Reason: reason}
	}
	ran := streamer.Stage{Endpoint: d.endpoint, Address: g.Address, From: g.From, To: g.To}
	if s.Index+1 == len(s.Request.Stages) {
		token, stop := chooseToken(outputs[len(outputs)-1])
		return Reply{Token: token, Stop: stop, ExecutedStages: []streamer.Stage{ran}}
	}
	s.Index++
	s.Inputs = outputs
	reply := d.forward(ctx, s)
	reply.ExecutedStages = append([]streamer.Stage{ran}, reply.ExecutedStages...)
	return reply
}

// sessionForStep returns the session that a step belongs to, which it opens for the first step, or the reason why the
// step is rejected.
func (d *Decoder) sessionForStep(s Step, g streamer.Stage) (*session, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := s.Request
	if !d.sessions.admit(q.Request, q.Attempt) {
		return nil, "stale attempt"
	}
	if ended, ok := d.sessions.endedAttempt[q.Request]; ok && ended >= q.Attempt {
		return nil, "cancelled"
	}
	k := sessionKey{q.Request, q.Attempt, g.From}
	if s.Position > 0 {
		n := d.sessions.find(k)
		if n == nil || len(n.cache.Inputs) != s.Position {
			return nil, "unknown position"
		}
		d.sessions.lastStepAt[q.Request] = d.clock()
		return n, ""
	}
	if !d.holds(q, g) {
		return nil, "layers not held"
	}
	if len(s.Inputs) == 0 {
		return nil, "no input"
	}
	d.sessions.lastStepAt[q.Request] = d.clock()
	return d.sessions.open(k, d.initialCache(q, g, s.Inputs)), ""
}

// initialCache returns the cache that a stage starts with: of the imported caches and those of earlier attempts that
// the request lists in its imports, the one with the most positions in common with the inputs, or an empty one. The
// caller holds d.mu.
func (d *Decoder) initialCache(q streamer.Request, g streamer.Stage, inputs []uint64) Cache {
	best := newStageCache(q, g.From, g.To)
	for _, name := range q.Imports {
		c, ok := d.importedCaches[name]
		if n := d.sessions.stages[name][g.From]; !ok && n != nil {
			c, ok = n.cache, true
		}
		if ok && c.isSameStage(&best) && c.commonPositions(inputs) > len(best.Inputs) {
			best = c.firstPositions(c.commonPositions(inputs))
		}
	}
	return best
}

// holds reports whether the engine has the layers and the adapter of a stage loaded. The caller holds d.mu.
func (d *Decoder) holds(q streamer.Request, g streamer.Stage) bool {
	if q.Adapter != "" && !contains(d.adapters, q.Adapter) {
		return false
	}
	if g.From >= g.To {
		return false
	}
	for _, h := range d.held {
		if h.Model == q.Model && h.Version == q.Version && h.From <= g.From && g.To <= h.To {
			return true
		}
	}
	return false
}

// compute waits for a batch and runs the layers of a stage for a step's inputs. If a fault skips a layer, they are
// fewer than the session's. It returns the outputs, or the reason why the step did not run.
func (d *Decoder) compute(ctx context.Context, n *session, s Step, g streamer.Stage) ([]uint64, string) {
	newInputs := s.Inputs
	if s.Position == 0 {
		newInputs = s.Inputs[len(n.cache.Inputs):]
	}
	cost := work{layers: g.To - g.From, positions: len(newInputs), priority: s.Request.Priority}
	if s.Position == 0 {
		cost.positions -= d.prefixes.markUsed(d.clock(), s.Request, g, len(newInputs))
	}
	if !d.batcher.wait(ctx, n.cancelled, d.crashed(), cost) {
		return nil, "cancelled"
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	n.cache.extend(newInputs, g.To)
	outputs := n.cache.Outputs
	return append([]uint64(nil), outputs[len(outputs)-len(s.Inputs):]...), ""
}

// forward sends a step to the engine of the next stage and returns its reply, or a reply that names the fault.
func (d *Decoder) forward(ctx context.Context, s Step) Reply {
	g := s.Request.Stages[s.Index]
	if !faulter.Pause(ctx, d.linkDelay(g.Address, len(s.Inputs))) {
		return Reply{Endpoint: d.endpoint, Reason: "cancelled"}
	}
	if d.stageTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.stageTimeout*time.Duration(len(s.Request.Stages)-s.Index))
		defer cancel()
	}
	reply, err := d.sendStep(ctx, g.Address, s)
	if err != nil {
		return Reply{Endpoint: g.Endpoint, Reason: faultReason(err)}
	}
	return reply
}

// faultReason returns the reason in the engines' protocol for a step that could not be forwarded.
func faultReason(err error) string {
	var dialErr *net.OpError
	if errors.As(err, &dialErr) && dialErr.Op == "dial" {
		return streamer.FaultUnreachable
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return streamer.FaultStalled
	}
	return streamer.FaultCrashed
}

// sendStep posts a step to the engine at an address.
func (d *Decoder) sendStep(ctx context.Context, address string, s Step) (Reply, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return Reply{}, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/engine/steps", bytes.NewReader(body))
	if err != nil {
		return Reply{}, err
	}
	r.GetBody = nil
	resp, err := d.client.Do(r)
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Reply{}, fmt.Errorf("status %d", resp.StatusCode)
	}
	var reply Reply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return Reply{}, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return reply, err
}

func contains(list []string, name string) bool {
	for _, n := range list {
		if n == name {
			return true
		}
	}
	return false
}
