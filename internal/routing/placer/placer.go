package placer

import (
	"cmp"
	"math"
	"slices"
)

// Holder is an endpoint as placement sees it.
type Holder struct {
	ID         string
	DataCentre string
	Card       string
	// Held is what the endpoint holds or is loading.
	Held Range
}

// Assignment is a range that an endpoint is to hold.
type Assignment struct {
	ID    string
	Range Range
}

// roomSteps are the parts of the greatest number of tokens that are tried as the room beside the layers, in order.
var roomSteps = []float64{1, 0.9, 0.8, 0.7, 0.6, 0.5, 0.4, 0.3, 0.2, 0.1, 0.05}

// Grid is a division of the layers into blocks.
type Grid struct {
	// Bounds holds the first layer of each block, and the number of layers at the end.
	Bounds []int
	// Widths is the number of blocks that an endpoint holds, by card.
	Widths map[string]int
}

// Blocks returns the number of blocks.
func (g Grid) Blocks() int { return max(0, len(g.Bounds)-1) }

// NewGrid returns the division of which the endpoints, if they were empty, would serve most requests: the more room beside
// the layers, the more requests at once; the more layers on the fast cards, the sooner each is done.
func NewGrid(e *Engine, holders []Holder) Grid {
	empty := make([]Holder, len(holders))
	for i, h := range holders {
		h.Held = Range{}
		empty[i] = h
	}
	var best Grid
	most := 0.0
	for _, part := range roomSteps {
		g, ok := e.grid(part*float64(e.Tokens), holders)
		if !ok {
			continue
		}
		if c := Capacity(e, assign(empty, Plan(e, g, empty))); c > most*(1+gain) || best.Blocks() < 1 {
			best, most = g, c
		}
	}
	return best
}

// Recover returns the division that endpoints were placed by: the one that most of the ranges they hold fit. An instance that
// takes the placement over goes on with it. It returns false if under half of them fit any.
func Recover(e *Engine, holders []Holder) (Grid, bool) {
	held, most := 0, 0
	var best Grid
	for _, h := range holders {
		if !h.Held.Empty() {
			held++
		}
	}
	for _, part := range roomSteps {
		g, ok := e.grid(part*float64(e.Tokens), holders)
		if !ok {
			continue
		}
		fits := 0
		for _, h := range holders {
			if !h.Held.Empty() && slices.Contains(g.Bounds, h.Held.From) && slices.Contains(g.Bounds, h.Held.To) {
				fits++
			}
		}
		if fits > most {
			best, most = g, fits
		}
	}
	return best, 2*most > held
}

// gain is the relative gain below which a division with less room is not taken.
const gain = 0.02

// assign returns holders with what they are assigned.
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

// grid returns the division with room for a number of tokens at each endpoint.
func (e *Engine) grid(tokens float64, holders []Holder) (Grid, bool) {
	block := 0
	for _, h := range holders {
		if n := e.Fit(e.Cards[h.Card], tokens); n > 0 && (block == 0 || n < block) {
			block = n
		}
	}
	if block == 0 {
		return Grid{}, false
	}
	blocks := (e.Layers + block - 1) / block
	g := Grid{Widths: map[string]int{}}
	for i := range blocks + 1 {
		g.Bounds = append(g.Bounds, i*e.Layers/blocks)
	}
	// The widest block is what counts for memory.
	widest := float64((e.Layers + blocks - 1) / blocks)
	for name, c := range e.Cards {
		g.Widths[name] = min(blocks, int(float64(e.Fit(c, tokens))/widest))
	}
	return g, true
}

// Plan returns what empty endpoints are to hold. Each takes the blocks that the fewest endpoints of its data centre hold,
// weighed by how few hold them in all; those with most memory choose first. Endpoints that hold something keep it.
func Plan(e *Engine, g Grid, holders []Holder) []Assignment {
	if g.Blocks() < 1 {
		return nil
	}
	c := newCoverage(g)
	var empty []Holder
	for _, h := range holders {
		if h.Held.Empty() {
			empty = append(empty, h)
			continue
		}
		c.add(h.DataCentre, h.Held, 1)
	}
	slices.SortFunc(empty, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(g.Widths[b.Card], g.Widths[a.Card]), cmp.Compare(e.Cards[a.Card].Pace, e.Cards[b.Card].Pace),
			cmp.Compare(a.ID, b.ID))
	})
	var out []Assignment
	for _, h := range empty {
		w := g.Widths[h.Card]
		if w == 0 {
			continue
		}
		r := c.window(h.DataCentre, w)
		c.add(h.DataCentre, r, 1)
		out = append(out, Assignment{h.ID, r})
	}
	return out
}

// moveGain is the relative gain of capacity below which an endpoint that holds layers is not moved: a move costs a load, and
// its endpoint serves nothing meanwhile.
const moveGain = 0.12

// Move returns the one endpoint whose move to other layers serves most, if it is worth a load. Only moves to the blocks that
// the fewest endpoints hold are weighed.
func Move(e *Engine, g Grid, holders []Holder) (Assignment, bool) {
	c := newCoverage(g)
	for _, h := range holders {
		c.add(h.DataCentre, h.Held, 1)
	}
	if g.Blocks() < 1 {
		return Assignment{}, false
	}
	weak := slices.Index(c.all, slices.Min(c.all))
	before := Capacity(e, holders)
	best, most := Assignment{}, before*(1+moveGain)
	tried := slices.Clone(holders)
	for i, h := range holders {
		w := g.Widths[h.Card]
		if w == 0 || h.Held.Empty() || h.Held.Covers(Range{g.Bounds[weak], g.Bounds[weak+1]}) {
			continue
		}
		for at := max(0, weak-w+1); at <= weak && at+w <= g.Blocks(); at++ {
			tried[i].Held = Range{g.Bounds[at], g.Bounds[at+w]}
			if c := Capacity(e, tried); c > most && Covered(e, tried) >= Covered(e, holders) {
				best, most = Assignment{h.ID, tried[i].Held}, c
			}
		}
		tried[i].Held = h.Held
	}
	return best, best.ID != ""
}

// coverage counts the holders of each block, by data centre and in all.
type coverage struct {
	grid    Grid
	centres map[string][]float64
	all     []float64
}

// newCoverage returns the coverage of no holder.
func newCoverage(g Grid) *coverage {
	return &coverage{grid: g, centres: map[string][]float64{}, all: make([]float64, g.Blocks())}
}

// centre returns the counts of a data centre.
func (c *coverage) centre(name string) []float64 {
	if c.centres[name] == nil {
		c.centres[name] = make([]float64, c.grid.Blocks())
	}
	return c.centres[name]
}

// add counts a holder of a range, for the part of each block that it holds.
func (c *coverage) add(name string, r Range, n float64) {
	centre := c.centre(name)
	for i := range c.all {
		from, to := c.grid.Bounds[i], c.grid.Bounds[i+1]
		part := n * float64(max(0, min(to, r.To)-max(from, r.From))) / float64(to-from)
		centre[i] += part
		c.all[i] += part
	}
}

// window returns the range of w blocks that a new holder in a data centre serves best.
func (c *coverage) window(name string, w int) Range {
	centre := c.centre(name)
	w = min(w, len(centre))
	best, at := math.Inf(1), 0
	for i := 0; i+w <= len(centre); i++ {
		cost := 0.0
		for j := i; j < i+w; j++ {
			cost += weigh(centre[j]) + weigh(c.all[j])/allWeight
		}
		if cost < best-1e-9 {
			best, at = cost, i
		}
	}
	return Range{c.grid.Bounds[at], c.grid.Bounds[at+w]}
}

// allWeight is how much less the holders of other data centres count: they are reached over slower links.
const allWeight = 8

// weigh returns how little a block needs one more holder. The first holders count most.
func weigh(n float64) float64 {
	return -math.Pow(0.2, n)
}

// Covered returns how many endpoints hold each layer at least, over all data centres.
func Covered(e *Engine, holders []Holder) int {
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
