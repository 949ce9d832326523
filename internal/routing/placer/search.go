package placer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The bounds of a search.
const (
	// maxMoves bounds the moves of one plan.
	maxMoves = 16
	// triedMoves is the number of moves whose capacity is computed at each step of a search. The others are compared by
	// the balance of memory, which costs a hundredth.
	triedMoves = 16
	// maxFruitless is the number of moves in a row that may leave the capacity as it is. One move alone often gains
	// nothing while two blocks are equally scarce.
	maxFruitless = 3
)

// minMoveShare is the relative gain of capacity that each move of a plan has to bring: a load and its order have a price.
const minMoveShare = 0.005

// MovePlan is a sequence of moves of endpoints to other layers.
type MovePlan struct {
	Moves []Assignment
	// Before and After are the capacities of the layout without and with all moves, in usual requests a second.
	Before float64
	After  float64
	// Duration is how long the moves take, and LostRequests how many usual requests fewer are served meanwhile, as endpoints that
	// load serve nothing.
	Duration     time.Duration
	LostRequests float64
	// floor is what each layer keeps while the moves are carried out.
	floor floor
}

// usualDrainTime is how long a moved endpoint usually takes to finish its requests before it loads: half of the 8 s that one took under
// users' load, as it serves fewer and fewer meanwhile.
const usualDrainTime = 4 * time.Second

// Gain returns the gain of capacity, relative to that before.
func (p MovePlan) Gain() float64 {
	if p.Before <= 0 {
		return math.Inf(1)
	}
	return p.After/p.Before - 1
}

// Pays reports whether more requests are served with the plan than without it within a time from its beginning.
func (p MovePlan) Pays(horizon time.Duration) bool {
	return len(p.Moves) > 0 && (p.After-p.Before)*(horizon-p.Duration).Seconds() > p.LostRequests
}

// Without returns the plan without some of its moves, which have begun.
func (p MovePlan) Without(begun []Assignment) MovePlan {
	p.Moves = slices.DeleteFunc(slices.Clone(p.Moves), func(m Assignment) bool { return slices.Contains(begun, m) })
	return p
}

// Search looks for the moves that raise the capacity of a layout most. It is done in steps, each of which adds one move,
// so that its work can be spread.
type Search struct {
	engine *Engine
	grid   Grid
	// layout is the layout with the moves so far, and original that without them.
	layout   []Holder
	original []Holder
	balance  *balance
	// supply is that of the layout.
	supply *supply
	// moved holds the endpoints that the plan moves already, by index in the layout.
	moved map[int]bool
	moves []Assignment
	// best is the plan with the highest value so far, highest that value, and fruitless the number of moves since.
	best      MovePlan
	highest   float64
	fruitless int
	done      bool
}

// NewSearch returns a search for moves of the holders to ranges of a grid.
func NewSearch(e *Engine, g Grid, holders []Holder) *Search {
	s := &Search{engine: e, grid: g, layout: slices.Clone(holders), moved: map[int]bool{}}
	// The order decides between equal moves: each instance finds the same ones.
	slices.SortFunc(s.layout, func(a, b Holder) int { return cmp.Compare(a.ID, b.ID) })
	s.original = slices.Clone(s.layout)
	s.best.Before = Capacity(e, holders)
	s.best.After, s.highest = s.best.Before, s.best.Before
	s.balance = newBalance(e, g, s.layout)
	s.supply = newSupply(e, s.layout)
	s.best.floor = s.supply.floor()
	s.done = g.BlockCount() < 1
	return s
}

// Done reports whether the search has ended.
func (s *Search) Done() bool { return s.done }

// Plan returns the best plan found so far.
func (s *Search) Plan() MovePlan { return s.best }

// candidate is a move of the holder with an index, and the imbalance that it leaves.
type candidate struct {
	index     int
	target    Range
	imbalance float64
}

// Step adds the move after which the capacity is highest.
func (s *Search) Step() {
	if s.done {
		return
	}
	candidates := s.candidates()
	if len(candidates) == 0 || len(s.moves) >= maxMoves || s.fruitless >= maxFruitless {
		s.done = true
		s.priceMoves()
		return
	}
	chosen, capacity := candidates[0], -1.0
	for _, c := range candidates {
		held := s.layout[c.index].Held
		s.layout[c.index].Held = c.target
		// Later candidates leave a less even balance, which counts as long as the capacity is the same.
		if now := Capacity(s.engine, s.layout); now > capacity*(1+1e-9) {
			chosen, capacity = c, now
		}
		s.layout[c.index].Held = held
	}
	h := &s.layout[chosen.index]
	s.balance.add(*h, -1)
	s.supply.add(*h, -1)
	h.Held = chosen.target
	s.balance.add(*h, 1)
	s.supply.add(*h, 1)
	s.moved[chosen.index] = true
	s.moves = append(s.moves, Assignment{h.ID, h.Held})
	s.fruitless++
	if value := capacity - minMoveShare*s.best.Before*float64(len(s.moves)); value > s.highest {
		s.highest, s.fruitless = value, 0
		s.best.Moves, s.best.After = slices.Clone(s.moves), capacity
	}
}

// maxSearches bounds the searches of PlanAnew.
const maxSearches = 5

// PlanAnew returns what the endpoints are to hold while none of them holds anything: Plan, with the moves that raise its capacity, so
// that none of them is left to be made once the layers are loaded.
func PlanAnew(e *Engine, g Grid, holders []Holder) []Assignment {
	out := Plan(e, g, holders)
	for range maxSearches {
		s := NewSearch(e, g, assign(holders, out))
		for !s.Done() {
			s.Step()
		}
		for _, m := range s.Plan().Moves {
			i := slices.IndexFunc(out, func(a Assignment) bool { return a.ID == m.ID })
			out[i] = m
		}
		if len(s.Plan().Moves) == 0 {
			break
		}
	}
	return out
}

// priceMoves sets the duration of the best plan and what is lost during it.
func (s *Search) priceMoves() {
	longest, sum := time.Duration(0), time.Duration(0)
	for _, m := range s.best.Moves {
		i := slices.IndexFunc(s.original, func(h Holder) bool { return h.ID == m.ID })
		held := s.original[i].Held
		loaded := Range{min(m.Range.To, max(m.Range.From, held.To)), m.Range.To}
		if held.From > m.Range.From {
			loaded = Range{m.Range.From, min(m.Range.To, held.From)}
		}
		took := usualDrainTime + time.Duration(s.engine.LayerShare(loaded)*float64(s.engine.LoadTime))
		longest, sum = max(longest, took), sum+took
		s.original[i].Held = Range{}
		s.best.LostRequests += max(0, s.best.Before-Capacity(s.engine, s.original)) * took.Seconds()
		s.original[i].Held = held
	}
	s.best.Duration = max(longest, sum/time.Duration(max(1, s.engine.MaxParallelLoads)))
}

// candidates returns the moves that leave memory most evenly balanced over the layers, the best first. Endpoints of the
// same kind and data centre with the same layers are interchangeable, so only one of them is considered. Each move can
// begin once those before it are done.
func (s *Search) candidates() []candidate {
	type kind struct {
		card, centre string
		held         Range
	}
	seen := map[kind]bool{}
	var out []candidate
	current := s.balance.imbalance()
	for i, h := range s.layout {
		width := min(s.grid.BlocksPerCard[h.Card], s.grid.BlockCount())
		k := kind{h.Card, h.DataCentre, h.Held}
		if width == 0 || h.Held.Empty() || s.moved[i] || seen[k] {
			continue
		}
		seen[k] = true
		if !s.supply.allows(s.best.floor, h) {
			continue
		}
		s.balance.add(h, -1)
		for first := 0; first+width <= s.grid.BlockCount(); first++ {
			target := Range{s.grid.Boundaries[first], s.grid.Boundaries[first+width]}
			if target == h.Held {
				continue
			}
			moved := h
			moved.Held = target
			s.balance.add(moved, 1)
			if imbalance := s.balance.imbalance(); imbalance < current {
				out = append(out, candidate{i, target, imbalance})
			}
			s.balance.add(moved, -1)
		}
		s.balance.add(h, 1)
	}
	slices.SortStableFunc(out, func(a, b candidate) int { return cmp.Compare(a.imbalance, b.imbalance) })
	return out[:min(len(out), triedMoves)]
}

// balance compares the memory for requests at each part of the layers.
type balance struct {
	engine *Engine
	// parts are the parts into which the boundaries of the grid and of all ranges divide the layers.
	parts []Range
	// total is the memory in tokens by part, and byCentre the same by data centre and part, at the indices of centres. Sums are in a
	// fixed order, so that each instance chooses the same among equal moves.
	total    []float64
	byCentre [][]float64
	centres  map[string]int
}

// newBalance returns the balance of a layout.
func newBalance(e *Engine, g Grid, holders []Holder) *balance {
	boundaries := slices.Clone(g.Boundaries)
	for _, h := range holders {
		if !h.Held.Empty() && e.HasLayers(h.Held) {
			boundaries = append(boundaries, h.Held.From, h.Held.To)
		}
	}
	slices.Sort(boundaries)
	boundaries = slices.Compact(boundaries)
	b := &balance{engine: e, centres: map[string]int{}}
	for i := 1; i < len(boundaries); i++ {
		b.parts = append(b.parts, Range{boundaries[i-1], boundaries[i]})
	}
	b.total = make([]float64, len(b.parts))
	for _, h := range holders {
		b.add(h, 1)
	}
	return b
}

// add adds the memory of a holder n times.
func (b *balance) add(h Holder, n float64) {
	centre, ok := b.centres[h.DataCentre]
	if !ok {
		centre = len(b.byCentre)
		b.centres[h.DataCentre] = centre
		b.byCentre = append(b.byCentre, make([]float64, len(b.parts)))
	}
	local := b.byCentre[centre]
	tokens := n * float64(b.engine.TokenCapacity(b.engine.Cards[h.Card], h.Held.Len()))
	for i, p := range b.parts {
		if h.Held.Covers(p) {
			b.total[i] += tokens
			local[i] += tokens
		}
	}
}

// localWeight is the weight of the balance within data centres beside that over all of them: paths through several data
// centres are slower.
const localWeight = 0.15

// imbalance returns how unevenly the memory is distributed; 1 + localWeight means evenly. Layers that are short of memory count far
// more than those that have more than others, as the layer with the least memory limits all requests.
func (b *balance) imbalance() float64 {
	sum := unevenness(b.parts, b.total)
	all := totalMemory(b.parts, b.total)
	for _, local := range b.byCentre {
		if share := totalMemory(b.parts, local) / all; share > 0 {
			sum += localWeight * share * unevenness(b.parts, local)
		}
	}
	return sum
}

// totalMemory returns the sum of the tokens over all layers.
func totalMemory(parts []Range, tokens []float64) float64 {
	sum := 0.0
	for i, p := range parts {
		sum += tokens[i] * float64(p.Len())
	}
	return sum
}

// unevenness returns the mean over all layers of the fourth power of the mean memory divided by the memory of the layer.
func unevenness(parts []Range, tokens []float64) float64 {
	layers := parts[len(parts)-1].To
	mean := totalMemory(parts, tokens) / float64(layers)
	if mean <= 0 {
		return math.Inf(1)
	}
	sum := 0.0
	for i, p := range parts {
		// A twentieth of the mean keeps layers without a holder comparable.
		ratio := 1.05 * mean / (tokens[i] + 0.05*mean)
		sum += float64(p.Len()) * ratio * ratio * ratio * ratio
	}
	return sum / float64(layers)
}
