package router

import "time"

// kind is a kind of accelerator: its rate in layer steps a second and its shortest batch.
type kind struct {
	name         string
	rate         float64
	minBatchTime time.Duration
}

// The kinds of accelerators in the fleet.
var (
	large  = kind{"large", 96_000, 3 * time.Millisecond}
	medium = kind{"medium", 48_000, 4 * time.Millisecond}
	small  = kind{"small", 24_000, 5 * time.Millisecond}
)

// group is a number of identical engines in one data centre.
type group struct {
	dataCentre string
	kind       kind
	from, to   int
	count      int
}

// dataCentres are the data centres of the fleet.
var dataCentres = []string{"a", "b", "c"}

// layout is a fleet of three kinds of accelerators whose ranges are cut at different layers. Data centre a lacks
// capacity for some of the last layers and c for some of the first, so that the bound needs the links.
var layout = []group{
	{"a", large, 0, 24, 2}, {"a", large, 24, 48, 1},
	{"a", medium, 0, 16, 2}, {"a", medium, 16, 32, 2}, {"a", medium, 32, 48, 1},
	{"a", small, 0, 12, 1}, {"a", small, 12, 24, 1}, {"a", small, 24, 36, 1}, {"a", small, 36, 48, 1},
	{"b", large, 0, 24, 1}, {"b", large, 24, 48, 1},
	{"b", medium, 0, 16, 1}, {"b", medium, 16, 32, 1}, {"b", medium, 32, 48, 1},
	{"b", small, 0, 12, 1}, {"b", small, 12, 24, 1}, {"b", small, 24, 36, 1}, {"b", small, 36, 48, 1},
	{"c", large, 24, 48, 2},
	{"c", medium, 0, 16, 1}, {"c", medium, 16, 32, 1}, {"c", medium, 32, 48, 2},
	{"c", small, 12, 24, 1}, {"c", small, 24, 36, 1}, {"c", small, 36, 48, 1},
}
