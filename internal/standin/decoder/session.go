package decoder

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
)

// Cache is the KV cache of one stage of one request: the state of each layer after each position, and what the last
// layer put out for each.
type Cache struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	From    int    `json:"from"`
	To      int    `json:"to"`
	// Inputs and Outputs hold one value for each position; States holds the layers' values for each position.
	Inputs  []uint64   `json:"inputs"`
	Outputs []uint64   `json:"outputs"`
	States  [][]uint64 `json:"states"`
}

// fits reports whether the cache is of the same stage as another.
func (c *Cache) fits(o *Cache) bool {
	return c.Model == o.Model && c.Version == o.Version && c.Adapter == o.Adapter && c.From == o.From && c.To == o.To
}

// shared returns how many of the inputs the cache already holds.
func (c *Cache) shared(inputs []uint64) int {
	n := 0
	for n < len(inputs) && n < len(c.Inputs) && c.Inputs[n] == inputs[n] {
		n++
	}
	return n
}

// cut returns the cache of the first n positions. It has room of its own for further ones.
func (c *Cache) cut(n int) Cache {
	cut := *c
	cut.Inputs = append([]uint64(nil), c.Inputs[:n]...)
	cut.Outputs = append([]uint64(nil), c.Outputs[:n]...)
	cut.States = append([][]uint64(nil), c.States[:n]...)
	return cut
}

// run runs the stage's layers below a bound for the next positions.
func (c *Cache) run(inputs []uint64, bound int) {
	salt := salt(c.Model, c.Version, c.Adapter)
	for _, input := range inputs {
		states := make([]uint64, c.To-c.From)
		if n := len(c.States); n > 0 {
			copy(states, c.States[n-1])
		}
		output := input
		for i := range min(bound, c.To) - c.From {
			states[i], output = layer(salt, c.From+i, states[i], output)
		}
		c.Inputs = append(c.Inputs, input)
		c.Outputs = append(c.Outputs, output)
		c.States = append(c.States, states)
	}
}

// sessionKey names the work of one stage of an attempt. An engine may run several stages of one attempt.
type sessionKey struct {
	Request string
	Attempt int
	From    int
}

// session is the work of one stage of an attempt.
type session struct {
	cache     Cache
	cancelled chan struct{}
}

// sessions holds the latest attempt of each request. It forgets the oldest requests beyond a bound, and the caches of
// ended ones beyond a lower bound.
type sessions struct {
	attempts map[string]int
	order    []string
	stages   map[string]map[int]*session
	// live holds the time of the last step of each request that runs.
	live map[string]time.Time
	// over holds the latest attempt of each request that has ended.
	over map[string]int
	// ended holds the requests whose latest attempt is over, the oldest first.
	ended []sessionKey
}

func newSessions() *sessions {
	return &sessions{
		attempts: map[string]int{}, stages: map[string]map[int]*session{}, live: map[string]time.Time{},
		over: map[string]int{},
	}
}

// admit notes an attempt and reports whether it is as new as the newest that is known.
func (s *sessions) admit(request string, attempt int) bool {
	known, ok := s.attempts[request]
	if attempt < known {
		return false
	}
	if !ok {
		s.order = append(s.order, request)
	}
	if attempt > known {
		s.end(request, known)
	}
	s.attempts[request] = attempt
	for len(s.order) > retained {
		delete(s.attempts, s.order[0])
		delete(s.stages, s.order[0])
		delete(s.live, s.order[0])
		delete(s.over, s.order[0])
		s.order = s.order[1:]
	}
	return true
}

// running counts the requests that had a step since a time.
func (s *sessions) running(since time.Time) int {
	n := 0
	for _, last := range s.live {
		if !last.Before(since) {
			n++
		}
	}
	return n
}

// open begins a stage of an attempt. The stage of an earlier attempt in the same place ends.
func (s *sessions) open(k sessionKey, cache Cache) *session {
	n := &session{cache: cache, cancelled: make(chan struct{})}
	if s.stages[k.Request] == nil {
		s.stages[k.Request] = map[int]*session{}
	}
	s.stages[k.Request][k.From] = n
	return n
}

// find returns a running stage, or nil.
func (s *sessions) find(k sessionKey) *session {
	if s.attempts[k.Request] != k.Attempt {
		return nil
	}
	return s.stages[k.Request][k.From]
}

// end ends an attempt. Its caches stay for some time, for a later attempt.
func (s *sessions) end(request string, attempt int) {
	if s.attempts[request] != attempt {
		return
	}
	delete(s.live, request)
	s.over[request] = attempt
	fresh := false
	for _, n := range s.stages[request] {
		if !closed(n.cancelled) {
			close(n.cancelled)
			fresh = true
		}
	}
	if fresh {
		s.ended = append(s.ended, sessionKey{Request: request, Attempt: attempt})
	}
	for len(s.ended) > cached {
		k := s.ended[0]
		s.ended = s.ended[1:]
		if s.attempts[k.Request] == k.Attempt {
			delete(s.stages, k.Request)
		}
	}
}

// stage returns the empty cache of a stage of a request.
func stage(q streamer.Request, from, to int) Cache {
	return Cache{Model: q.Model, Version: q.Version, Adapter: q.Adapter, From: from, To: to}
}
