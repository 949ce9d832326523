package decoder

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
)

// Cache is the KV cache of one stage of one request: the state of each layer after each position, and the output of the
// stage's last layer for each position.
type Cache struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	From    int    `json:"from"`
	To      int    `json:"to"`
	// Inputs and Outputs hold one value per position, States one value per position and layer.
	Inputs  []uint64   `json:"inputs"`
	Outputs []uint64   `json:"outputs"`
	States  [][]uint64 `json:"states"`
}

// isSameStage reports whether two caches are of the same model, version, adapter and layers.
func (c *Cache) isSameStage(o *Cache) bool {
	return c.Model == o.Model && c.Version == o.Version && c.Adapter == o.Adapter && c.From == o.From && c.To == o.To
}

// commonPositions returns how many leading positions the cache has in common with the inputs.
func (c *Cache) commonPositions(inputs []uint64) int {
	n := 0
	for n < len(inputs) && n < len(c.Inputs) && c.Inputs[n] == inputs[n] {
		n++
	}
	return n
}

// firstPositions returns a copy of the cache for the first n positions. Extending the copy leaves the original as it
// is.
func (c *Cache) firstPositions(n int) Cache {
	cut := *c
	cut.Inputs = append([]uint64(nil), c.Inputs[:n]...)
	cut.Outputs = append([]uint64(nil), c.Outputs[:n]...)
	cut.States = append([][]uint64(nil), c.States[:n]...)
	return cut
}

// extend runs the stage's layers below a bound for the next positions and appends the results.
func (c *Cache) extend(inputs []uint64, bound int) {
	salt := modelSalt(c.Model, c.Version, c.Adapter)
	for _, input := range inputs {
		states := make([]uint64, c.To-c.From)
		if n := len(c.States); n > 0 {
			copy(states, c.States[n-1])
		}
		output := input
		for i := range min(bound, c.To) - c.From {
			states[i], output = runLayer(salt, c.From+i, states[i], output)
		}
		c.Inputs = append(c.Inputs, input)
		c.Outputs = append(c.Outputs, output)
		c.States = append(c.States, states)
	}
}

// sessionKey identifies a session. An engine may run several stages of one attempt; From is the first layer of the
// stage.
type sessionKey struct {
	Request string
	Attempt int
	From    int
}

// session is the state of one stage of an attempt. Cancelled is closed once the attempt has ended.
type session struct {
	cache     Cache
	cancelled chan struct{}
}

// sessions holds the latest attempt of each request. It drops the oldest requests beyond maxRetained, and the caches of
// the ones that ended first beyond maxEndedRequests.
type sessions struct {
	latestAttempt map[string]int
	requestOrder  []string
	stages        map[string]map[int]*session
	// lastStepAt holds the time of the last step of each running request.
	lastStepAt map[string]time.Time
	// endedAttempt holds, per request, the latest attempt that has ended.
	endedAttempt map[string]int
	// endedOrder holds ended attempts, the oldest first, whose caches are kept until they are removed from it.
	endedOrder []sessionKey
}

func newSessions() *sessions {
	return &sessions{
		latestAttempt: map[string]int{}, stages: map[string]map[int]*session{}, lastStepAt: map[string]time.Time{},
		endedAttempt: map[string]int{},
	}
}

// admit records an attempt and reports true, or reports false if a newer attempt of the request was recorded before. A
// newer attempt ends the previous one.
func (s *sessions) admit(request string, attempt int) bool {
	latest, ok := s.latestAttempt[request]
	if attempt < latest {
		return false
	}
	if !ok {
		s.requestOrder = append(s.requestOrder, request)
	}
	if attempt > latest {
		s.end(request, latest)
	}
	s.latestAttempt[request] = attempt
	for len(s.requestOrder) > maxRetained {
		delete(s.latestAttempt, s.requestOrder[0])
		delete(s.stages, s.requestOrder[0])
		delete(s.lastStepAt, s.requestOrder[0])
		delete(s.endedAttempt, s.requestOrder[0])
		s.requestOrder = s.requestOrder[1:]
	}
	return true
}

// countRunning returns the number of running requests that had a step since a time.
func (s *sessions) countRunning(since time.Time) int {
	n := 0
	for _, last := range s.lastStepAt {
		if !last.Before(since) {
			n++
		}
	}
	return n
}

// open starts a session of a stage and replaces that of an earlier attempt at the same first layer.
func (s *sessions) open(k sessionKey, cache Cache) *session {
	n := &session{cache: cache, cancelled: make(chan struct{})}
	if s.stages[k.Request] == nil {
		s.stages[k.Request] = map[int]*session{}
	}
	s.stages[k.Request][k.From] = n
	return n
}

// find returns the session of a stage, or nil if there is none or its attempt is not the latest.
func (s *sessions) find(k sessionKey) *session {
	if s.latestAttempt[k.Request] != k.Attempt {
		return nil
	}
	return s.stages[k.Request][k.From]
}

// end ends an attempt unless a newer one was recorded. Its caches are kept for a later attempt, until maxEndedRequests
// others have ended.
func (s *sessions) end(request string, attempt int) {
	if s.latestAttempt[request] != attempt {
		return
	}
	delete(s.lastStepAt, request)
	s.endedAttempt[request] = attempt
	newlyEnded := false
	for _, n := range s.stages[request] {
		if !isClosed(n.cancelled) {
			close(n.cancelled)
			newlyEnded = true
		}
	}
	if newlyEnded {
		s.endedOrder = append(s.endedOrder, sessionKey{Request: request, Attempt: attempt})
	}
	for len(s.endedOrder) > maxEndedRequests {
		k := s.endedOrder[0]
		s.endedOrder = s.endedOrder[1:]
		if s.latestAttempt[k.Request] == k.Attempt {
			delete(s.stages, k.Request)
		}
	}
}

// newStageCache returns an empty cache for a stage of a request.
func newStageCache(q streamer.Request, from, to int) Cache {
	return Cache{Model: q.Model, Version: q.Version, Adapter: q.Adapter, From: from, To: to}
}
