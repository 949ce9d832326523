package placer

import "slices"

// minGridGain is the relative gain of capacity below which a grid that leaves less memory for requests, or has smaller blocks, is not
// chosen.
const minGridGain = 0.02

// maxSearches bounds the searches of a Division.
const maxSearches = 5

// Division chooses what empty endpoints are to hold, and, as long as none holds anything, the grid by which they do. It is done in
// steps, so that its work can be spread.
type Division struct {
	engine  *Engine
	holders []Holder
	// grids are the grids that are left to try, grid the best so far and highest its capacity.
	grids   []Grid
	grid    Grid
	highest float64
	// assignments are those of the grid, once it is chosen, and search looks for moves that raise their capacity.
	assignments []Assignment
	search      *Search
	searches    int
	done        bool
}

// NewDivision returns a division among the holders, whatever they hold.
func NewDivision(e *Engine, holders []Holder) *Division {
	d := &Division{engine: e, holders: slices.Clone(holders), grids: e.grids(holders)}
	for i := range d.holders {
		d.holders[i].Held = Range{}
	}
	return d
}

// NewFilling returns a division by a grid among those of the holders that are empty. The others keep what they hold.
func NewFilling(e *Engine, g Grid, holders []Holder) *Division {
	return &Division{engine: e, grid: g, holders: slices.Clone(holders)}
}

// Done reports whether the division is complete.
func (d *Division) Done() bool { return d.done }

// Grid returns the grid that is chosen.
func (d *Division) Grid() Grid { return d.grid }

// Assignments returns what the endpoints are to hold.
func (d *Division) Assignments() []Assignment { return d.assignments }

// Step tries one grid, or one move of what Plan assigns by the best one. It weighs memory against speed: the more memory is left beside
// the layers, the more requests run at once; the more layers on the fast cards, the sooner each is done. Smaller blocks
// fill each card better, but are only chosen for a clear gain.
func (d *Division) Step() {
	switch {
	case d.done:
	case len(d.grids) > 0:
		g := d.grids[0]
		d.grids = d.grids[1:]
		if c := Capacity(d.engine, assign(d.holders, Plan(d.engine, g, d.holders))); c > d.highest*(1+minGridGain) || d.grid.BlockCount() < 1 {
			d.grid, d.highest = g, c
		}
	case d.search == nil:
		d.assignments = Plan(d.engine, d.grid, d.holders)
		d.search = d.newSearch()
	case !d.search.Done():
		d.search.Step()
	default:
		moves := d.search.Plan().Moves
		for _, m := range moves {
			i := slices.IndexFunc(d.assignments, func(a Assignment) bool { return a.ID == m.ID })
			d.assignments[i] = m
		}
		d.searches++
		d.search = d.newSearch()
		d.done = len(moves) == 0 || d.searches >= maxSearches
	}
}

// newSearch returns a search for other ranges for the empty endpoints.
func (d *Division) newSearch() *Search {
	holders := assign(d.holders, d.assignments)
	for i := range holders {
		holders[i].Fixed = !d.holders[i].Held.Empty()
	}
	s := NewSearch(d.engine, d.grid, holders)
	s.isFree = true
	return s
}
