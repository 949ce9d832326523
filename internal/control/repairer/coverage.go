package repairer

import (
	"slices"
	"time"
)

// missingRanges returns the ranges that too few live endpoints hold or are loading, those that none holds first, and
// records since when each has been missing.
func (r *Repairer) missingRanges(now time.Time, needs []Need, endpoints []Endpoint) []Range {
	var unheld, underReplicated []Range
	for _, n := range needs {
		counts := n.layerCounts(r.heldRanges(n, endpoints))
		unheld = append(unheld, n.gaps(counts, Stage{To: n.Layers, Replicas: 1}, 0)...)
		for _, s := range n.Stages {
			underReplicated = append(underReplicated, n.gaps(counts, s, 1)...)
		}
	}
	all := append(unheld, underReplicated...)
	since := map[Range]time.Time{}
	for _, m := range all {
		since[m] = now
		for old, at := range r.MissingSince {
			if rangesOverlap(old, m) && at.Before(since[m]) {
				since[m] = at
			}
		}
	}
	r.MissingSince = since
	return all
}

// heldRanges returns the ranges of a need that live endpoints hold or are loading.
func (r *Repairer) heldRanges(n Need, endpoints []Endpoint) []Range {
	var held []Range
	add := func(h Range) {
		if h.Model == n.Model && h.Version == n.Version {
			held = append(held, h)
		}
	}
	for _, e := range endpoints {
		if e.Unavailable {
			continue
		}
		for _, h := range e.Held {
			add(h)
		}
	}
	for _, l := range r.Loads {
		add(l.Range)
	}
	return held
}

// layerCounts returns how many of the ranges cover each layer of the need.
func (n Need) layerCounts(held []Range) []int {
	counts := make([]int, n.Layers+1)
	for _, h := range held {
		counts[min(max(h.From, 0), n.Layers)]++
		counts[min(max(h.To, 0), n.Layers)]--
	}
	for i := 1; i < len(counts); i++ {
		counts[i] += counts[i-1]
	}
	return counts[:n.Layers]
}

// gaps returns the widest parts of a stage whose layers are covered at least minCount times but fewer times than
// Replicas.
func (n Need) gaps(counts []int, s Stage, minCount int) []Range {
	var all []Range
	from := -1
	for layer := s.From; layer <= s.To; layer++ {
		tooFew := layer < min(s.To, n.Layers) && counts[layer] >= minCount && counts[layer] < s.Replicas
		if tooFew && from < 0 {
			from = layer
		}
		if !tooFew && from >= 0 {
			all = append(all, Range{Model: n.Model, Version: n.Version, From: from, To: layer})
			from = -1
		}
	}
	return all
}

// holdsRange reports whether an endpoint holds the whole of a range.
func holdsRange(e Endpoint, m Range) bool {
	return slices.ContainsFunc(e.Held, func(h Range) bool {
		return h.Model == m.Model && h.Version == m.Version && h.From <= m.From && h.To >= m.To
	})
}

// rangesOverlap reports whether two ranges have a layer in common.
func rangesOverlap(a, b Range) bool {
	return a.Model == b.Model && a.Version == b.Version && a.From < b.To && b.From < a.To
}
