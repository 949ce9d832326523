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

// Step is the call from the engine of one stage to that of the next.
type Step struct {
	// Request is the attempt that the step belongs to. Its prompt is empty but in the first step.
	Request streamer.Request `json:"request"`
	// Index is the place of the receiver in the request's stages.
	Index int `json:"index"`
	// Position is the first position of Inputs, counted from 0 over the whole prefix.
	Position int      `json:"position"`
	Inputs   []uint64 `json:"inputs"`
	// Last is set if no step of the attempt comes after this one.
	Last bool `json:"last,omitempty"`
}

// Reply is the answer to a Step: the token that the last stage chose, and what was run for it, in order.
type Reply struct {
	Token int              `json:"token"`
	Stop  bool             `json:"stop,omitempty"`
	Ran   []streamer.Stage `json:"ran"`
	// Endpoint and Reason tell which endpoint failed and how. They are empty if none did.
	Endpoint string `json:"endpoint,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// CallStep is the name of a step, by which faults of the kind Skip are set.
const CallStep = "POST /engine/steps"

// takeStep runs a step that the engine of the stage before passed on.
func (d *Decoder) takeStep(w http.ResponseWriter, r *http.Request) {
	var s Step
	if err := read(r, &s); err != nil {
		d.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if s.Index < 0 || s.Index >= len(s.Request.Stages) {
		d.refuse(w, http.StatusBadRequest, "no such stage")
		return
	}
	answerer.JSON(w, d.runStep(r.Context(), s))
}

// runStep runs one step of this engine's stage and of all that come after it. The attempt ends with its last token or
// a fault.
func (d *Decoder) runStep(ctx context.Context, s Step) Reply {
	d.crashOn(s.Request.Prompt)
	reply := d.runStages(ctx, s)
	if s.Last || reply.Stop || reply.Reason != "" {
		d.finish(s.Request)
	}
	return reply
}

// runStages runs this engine's stage of a step and passes the step on.
func (d *Decoder) runStages(ctx context.Context, s Step) Reply {
	g := s.Request.Stages[s.Index]
	n, reason := d.enter(s, g)
	if reason != "" {
		return Reply{Endpoint: d.endpoint, Reason: reason}
	}
	if _, ok := d.faults.Take(CallStep, faulter.Skip); ok {
		g.To--
	}
	outputs, reason := d.compute(ctx, n, s, g)
	if reason != "" {
		return Reply{Endpoint: d.endpoint, Reason: reason}
	}
	ran := streamer.Stage{Endpoint: d.endpoint, Address: g.Address, From: g.From, To: g.To}
	if s.Index+1 == len(s.Request.Stages) {
		token, stop := choose(outputs[len(outputs)-1])
		return Reply{Token: token, Stop: stop, Ran: []streamer.Stage{ran}}
	}
	s.Index++
	s.Inputs = outputs
	reply := d.pass(ctx, s)
	reply.Ran = append([]streamer.Stage{ran}, reply.Ran...)
	return reply
}

// enter returns the session that a step belongs to, or the reason why it is not run.
func (d *Decoder) enter(s Step, g streamer.Stage) (*session, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := s.Request
	if !d.sessions.admit(q.Request, q.Attempt) {
		return nil, "stale attempt"
	}
	if over, ok := d.sessions.over[q.Request]; ok && over >= q.Attempt {
		return nil, "cancelled"
	}
	k := sessionKey{q.Request, q.Attempt, g.From}
	if s.Position > 0 {
		n := d.sessions.find(k)
		if n == nil || len(n.cache.Inputs) != s.Position {
			return nil, "unknown position"
		}
		d.sessions.live[q.Request] = d.clock()
		return n, ""
	}
	if !d.holds(q, g) {
		return nil, "layers not held"
	}
	if len(s.Inputs) == 0 {
		return nil, "no input"
	}
	d.sessions.live[q.Request] = d.clock()
	return d.sessions.open(k, d.recall(q, g, s.Inputs)), ""
}

// recall returns the cache that a stage begins with: an imported one, that of an earlier attempt if the request asks
// for it, or an empty one.
func (d *Decoder) recall(q streamer.Request, g streamer.Stage, inputs []uint64) Cache {
	best := stage(q, g.From, g.To)
	for _, name := range q.Imports {
		c, ok := d.caches[name]
		if n := d.sessions.stages[name][g.From]; !ok && n != nil {
			c, ok = n.cache, true
		}
		if ok && c.fits(&best) && c.shared(inputs) > len(best.Inputs) {
			best = c.cut(c.shared(inputs))
		}
	}
	return best
}

// holds reports whether the engine has the layers and the adapter loaded.
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

// compute runs the layers of a stage, which may be fewer than the session's, for a step's inputs once its batch comes
// up.
func (d *Decoder) compute(ctx context.Context, n *session, s Step, g streamer.Stage) ([]uint64, string) {
	fresh := s.Inputs
	if s.Position == 0 {
		fresh = s.Inputs[len(n.cache.Inputs):]
	}
	cost := work{layers: g.To - g.From, positions: len(fresh), priority: s.Request.Priority}
	if s.Position == 0 {
		cost.positions -= d.prefixes.touch(d.clock(), s.Request, g, len(fresh))
	}
	if !d.batcher.wait(ctx, n.cancelled, d.crashed(), cost) {
		return nil, "cancelled"
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	n.cache.run(fresh, g.To)
	outputs := n.cache.Outputs
	return append([]uint64(nil), outputs[len(outputs)-len(s.Inputs):]...), ""
}

// pass sends a step to the engine of the next stage and returns its reply.
func (d *Decoder) pass(ctx context.Context, s Step) Reply {
	g := s.Request.Stages[s.Index]
	if !faulter.Pause(ctx, d.link(g.Address, len(s.Inputs))) {
		return Reply{Endpoint: d.endpoint, Reason: "cancelled"}
	}
	if d.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.timeout*time.Duration(len(s.Request.Stages)-s.Index))
		defer cancel()
	}
	reply, err := d.call(ctx, g.Address, s)
	if err != nil {
		return Reply{Endpoint: g.Endpoint, Reason: fault(err)}
	}
	return reply
}

// fault returns the reason in the engines' protocol for a step that could not be passed on.
func fault(err error) string {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return streamer.FaultUnreachable
	}
	var slow net.Error
	if errors.As(err, &slow) && slow.Timeout() {
		return streamer.FaultStalled
	}
	return streamer.FaultCrashed
}

// call posts a step to the engine at an address.
func (d *Decoder) call(ctx context.Context, address string, s Step) (Reply, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return Reply{}, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/engine/steps", bytes.NewReader(body))
	if err != nil {
		return Reply{}, err
	}
	r.GetBody = nil
	p, err := d.client.Do(r)
	if err != nil {
		return Reply{}, err
	}
	defer p.Body.Close()
	if p.StatusCode != http.StatusOK {
		return Reply{}, fmt.Errorf("status %d", p.StatusCode)
	}
	var reply Reply
	if err := json.NewDecoder(p.Body).Decode(&reply); err != nil {
		return Reply{}, err
	}
	_, err = io.Copy(io.Discard, p.Body)
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
