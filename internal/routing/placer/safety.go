package placer

// MinServing is the number of holders of a layer that go on serving it while others load. Where a layer has fewer, one has to be left.
const MinServing = 2

// supply counts what serves each layer.
type supply struct {
	engine  *Engine
	holders []int
	tokens  []float64
}

// newSupply returns the supply of a layout.
func newSupply(e *Engine, serving []Holder) *supply {
	s := &supply{engine: e, holders: make([]int, e.Layers), tokens: make([]float64, e.Layers)}
	for _, h := range serving {
		s.add(h, 1)
	}
	return s
}

// add adds a holder n times.
func (s *supply) add(h Holder, n int) {
	tokens := s.engine.TokenCapacity(s.engine.Cards[h.Card], h.Held.Len())
	for l := max(0, h.Held.From); l < min(h.Held.To, s.engine.Layers); l++ {
		s.holders[l] += n
		s.tokens[l] += float64(n * tokens)
	}
}

// floor is the least that a layer keeps while endpoints load: a number of holders, and an amount of memory in tokens.
type floor struct {
	holders int
	tokens  float64
}

// floor returns what a release of layers has to leave: no layer becomes scarcer than the scarcest one is now.
func (s *supply) floor() floor {
	f := floor{holders: MinServing}
	for l := range s.holders {
		f.holders = min(f.holders, s.holders[l])
		if l == 0 || s.tokens[l] < f.tokens {
			f.tokens = s.tokens[l]
		}
	}
	f.holders = max(1, f.holders)
	return f
}

// allows reports whether each layer of a holder keeps the floor without it. An endpoint that loads counts as serving nothing, not even
// the layers that it keeps.
func (s *supply) allows(f floor, h Holder) bool {
	tokens := float64(s.engine.TokenCapacity(s.engine.Cards[h.Card], h.Held.Len()))
	for l := max(0, h.Held.From); l < min(h.Held.To, s.engine.Layers); l++ {
		if s.holders[l]-1 < f.holders || s.tokens[l]-tokens < f.tokens {
			return false
		}
	}
	return true
}

// Scarcity is a layer and the memory that its holders have for requests on it, in tokens.
type Scarcity struct {
	Layer  int
	Tokens float64
}

// ScarcestLayer returns the layer with the least memory.
func ScarcestLayer(e *Engine, serving []Holder) Scarcity {
	s := newSupply(e, serving)
	var out Scarcity
	for l, tokens := range s.tokens {
		if l == 0 || tokens < out.Tokens {
			out = Scarcity{l, tokens}
		}
	}
	return out
}

// SafeMoves returns the first moves of the plan, at most a number of them, that can all begin now: while they run, no layer has less
// memory at serving endpoints than the scarcest layer had before the plan, or has now if that is less, nor fewer than MinServing holders.
// An endpoint that loads has an empty range in serving.
func (p MovePlan) SafeMoves(e *Engine, serving []Holder, limit int) []Assignment {
	s := newSupply(e, serving)
	f := s.floor()
	f.tokens, f.holders = min(f.tokens, p.floor.tokens), min(f.holders, p.floor.holders)
	byID := make(map[string]Holder, len(serving))
	for _, h := range serving {
		byID[h.ID] = h
	}
	var out []Assignment
	for _, m := range p.Moves {
		h, ok := byID[m.ID]
		if len(out) >= limit {
			break
		}
		if !ok || h.Held.Empty() || !s.allows(f, h) {
			continue
		}
		s.add(h, -1)
		out = append(out, m)
	}
	return out
}
