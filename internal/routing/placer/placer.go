package placer

import (
	"cmp"
	"math"
	"slices"
)

// Holder is an endpoint that can hold layers.
type Holder struct {
	ID         string
	DataCentre string
	Card       string
	// Held is the range that the endpoint holds or is loading.
	Held Range
}

// Assignment is the range that an endpoint is to hold.
type Assignment struct {
	ID    string
	Range Range
}

// roomShares are the shares of MaxTokens for which a grid keeps memory beside the layers, in the order in which they
// are tried.
var roomShares = []float64{1, 0.9, 0.8, 0.7, 0.6, 0.5, 0.4, 0.3, 0.2, 0.1, 0.05}

// Grid is a division of the layers into blocks.
type Grid struct {
	// Boundaries holds the first layer of each block, and at the end the number of layers.
	Boundaries []int
	// BlocksPerCard is the number of blocks that an endpoint holds, by card.
	BlocksPerCard map[string]int
}

// BlockCount returns the number of blocks.
func (g Grid) BlockCount() int { return max(0, len(g.Boundaries)-1) }

// NewGrid returns the grid by which the endpoints, if they were empty, would serve the most requests. It weighs
// memory against speed: the more memory is left beside the layers, the more requests run at once; the more layers on
// the fast cards, the sooner each is done.
func NewGrid(e *Engine, holders []Holder) Grid {
	empty := make([]Holder, len(holders))
	for i, h := range holders {
		h.Held = Range{}
		empty[i] = h
	}
	var best Grid
	highest := 0.0
	for _, share := range roomShares {
		g, ok := e.gridWithRoom(share*float64(e.MaxTokens), holders)
		if !ok {
			continue
		}
		if capacity := Capacity(e, assign(empty, Plan(e, g, empty))); capacity > highest*(1+minGridGain) || best.BlockCount() < 1 {
			best, highest = g, capacity
		}
	}
	return best
}

// RecoverGrid returns the grid by which the endpoints were placed: the one that most of the ranges they hold fit. An
// instance that takes over the placement continues with it. It returns false if under half of the ranges fit any
// grid.
func RecoverGrid(e *Engine, holders []Holder) (Grid, bool) {
	held, mostFits := 0, 0
	var best Grid
	for _, h := range holders {
		if !h.Held.Empty() {
			held++
		}
	}
	for _, share := range roomShares {
		g, ok := e.gridWithRoom(share*float64(e.MaxTokens), holders)
		if !ok {
			continue
		}
		fits := 0
		for _, h := range holders {
			if !h.Held.Empty() && slices.Contains(g.Boundaries, h.Held.From) && slices.Contains(g.Boundaries, h.Held.To) {
				fits++
			}
		}
		if fits > mostFits {
			best, mostFits = g, fits
		}
	}
	return best, 2*mostFits > held
}

// minGridGain is the relative gain of capacity below which a grid that leaves less memory for requests is not chosen.
const minGridGain = 0.02

// assign returns the holders with the ranges that they are assigned.
func assign(holders []Holder, assignments []Assignment) []Holder {
	held := map[string]Range{}
	for _, a := range assignments {
		held[a.ID] = a.Range
	}
	out := slices.Clone(holders)
	for i, h := range out {
		if r, ok := held[h.ID]; ok {
			out[i].Held = r
		}
	}
	return out
}

// gridWithRoom returns the grid by which each endpoint keeps memory for a number of tokens, and false if no card
// holds a layer then.
func (e *Engine) gridWithRoom(tokens float64, holders []Holder) (Grid, bool) {
	block := 0
	for _, h := range holders {
		if n := e.MaxLayers(e.Cards[h.Card], tokens); n > 0 && (block == 0 || n < block) {
			block = n
		}
	}
	if block == 0 {
		return Grid{}, false
	}
	blocks := (e.Layers + block - 1) / block
	g := Grid{BlocksPerCard: map[string]int{}}
	for i := range blocks + 1 {
		g.Boundaries = append(g.Boundaries, i*e.Layers/blocks)
	}
	// The widest block decides how many blocks fit in memory.
	widest := float64((e.Layers + blocks - 1) / blocks)
	for name, c := range e.Cards {
		g.BlocksPerCard[name] = min(blocks, int(float64(e.MaxLayers(c, tokens))/widest))
	}
	return g, true
}

// Plan returns what the empty endpoints are to hold. Each takes the blocks that the fewest endpoints of its data
// centre hold, and to a lesser degree those that the fewest hold in all; those with the most memory choose first.
// Endpoints that hold layers keep them.
func Plan(e *Engine, g Grid, holders []Holder) []Assignment {
	if g.BlockCount() < 1 {
		return nil
	}
	counts := newCoverage(g)
	var empty []Holder
	for _, h := range holders {
		if h.Held.Empty() {
			empty = append(empty, h)
			continue
		}
		counts.add(h.DataCentre, h.Held, 1)
	}
	slices.SortFunc(empty, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(g.BlocksPerCard[b.Card], g.BlocksPerCard[a.Card]), cmp.Compare(e.Cards[a.Card].StepFactor, e.Cards[b.Card].StepFactor),
			cmp.Compare(a.ID, b.ID))
	})
	var out []Assignment
	for _, h := range empty {
		width := g.BlocksPerCard[h.Card]
		if width == 0 {
			continue
		}
		r := counts.bestRange(h.DataCentre, width)
		counts.add(h.DataCentre, r, 1)
		out = append(out, Assignment{h.ID, r})
	}
	return out
}

// minMoveGain is the relative gain of capacity below which an endpoint that holds layers is not moved: a move costs a
// load, and the endpoint serves nothing during it.
const minMoveGain = 0.12

// BestMove returns the move of one endpoint to other layers that raises the capacity most, and false if none is worth
// a load. It considers only moves to the block that the fewest endpoints hold, and none after which the layer with
// the fewest holders would have fewer.
func BestMove(e *Engine, g Grid, holders []Holder) (Assignment, bool) {
	counts := newCoverage(g)
	for _, h := range holders {
		counts.add(h.DataCentre, h.Held, 1)
	}
	if g.BlockCount() < 1 {
		return Assignment{}, false
	}
	scarcest := slices.Index(counts.total, slices.Min(counts.total))
	current := Capacity(e, holders)
	best, threshold := Assignment{}, current*(1+minMoveGain)
	tried := slices.Clone(holders)
	for i, h := range holders {
		width := g.BlocksPerCard[h.Card]
		if width == 0 || h.Held.Empty() || h.Held.Covers(Range{g.Boundaries[scarcest], g.Boundaries[scarcest+1]}) {
			continue
		}
		for first := max(0, scarcest-width+1); first <= scarcest && first+width <= g.BlockCount(); first++ {
			tried[i].Held = Range{g.Boundaries[first], g.Boundaries[first+width]}
			if capacity := Capacity(e, tried); capacity > threshold && MinHolders(e, tried) >= MinHolders(e, holders) {
				best, threshold = Assignment{h.ID, tried[i].Held}, capacity
			}
		}
		tried[i].Held = h.Held
	}
	return best, best.ID != ""
}

// coverage counts the holders of each block, by data centre and in all.
type coverage struct {
	grid     Grid
	byCentre map[string][]float64
	total    []float64
}

// newCoverage returns the coverage without any holder.
func newCoverage(g Grid) *coverage {
	return &coverage{grid: g, byCentre: map[string][]float64{}, total: make([]float64, g.BlockCount())}
}

// centreCounts returns the counts of a data centre.
func (c *coverage) centreCounts(name string) []float64 {
	if c.byCentre[name] == nil {
		c.byCentre[name] = make([]float64, c.grid.BlockCount())
	}
	return c.byCentre[name]
}

// add counts a holder of a range n times, for the share of each block that it holds.
func (c *coverage) add(name string, r Range, n float64) {
	local := c.centreCounts(name)
	for i := range c.total {
		from, to := c.grid.Boundaries[i], c.grid.Boundaries[i+1]
		share := n * float64(max(0, min(to, r.To)-max(from, r.From))) / float64(to-from)
		local[i] += share
		c.total[i] += share
	}
}

// bestRange returns the range of a number of blocks that a new holder in a data centre should hold: the one with the
// least cost.
func (c *coverage) bestRange(name string, width int) Range {
	local := c.centreCounts(name)
	width = min(width, len(local))
	best, first := math.Inf(1), 0
	for i := 0; i+width <= len(local); i++ {
		cost := 0.0
		for j := i; j < i+width; j++ {
			cost += holderCost(local[j]) + holderCost(c.total[j])/remoteDivisor
		}
		if cost < best-1e-9 {
			best, first = cost, i
		}
	}
	return Range{c.grid.Boundaries[first], c.grid.Boundaries[first+width]}
}

// remoteDivisor is how much less holders of all data centres count than those of the same one: others are reached
// over slower links.
const remoteDivisor = 8

// holderCost returns the cost of one more holder of a block that n hold. It rises with n, most steeply for the first
// holders.
func holderCost(n float64) float64 {
	return -math.Pow(0.2, n)
}

// MinHolders returns the number of endpoints that hold the layer with the fewest holders, over all data centres.
func MinHolders(e *Engine, holders []Holder) int {
	counts := make([]int, e.Layers)
	for _, h := range holders {
		for l := max(0, h.Held.From); l < min(h.Held.To, e.Layers); l++ {
			counts[l]++
		}
	}
	if len(counts) == 0 {
		return 0
	}
	return slices.Min(counts)
}
