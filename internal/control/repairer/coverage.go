package repairer

import (
	"slices"
	"time"
)

// missing returns the ranges that too few live endpoints hold or are loading, those that none holds first, and keeps
// since when.
func (r *Repairer) missing(now time.Time, needs []Need, endpoints []Endpoint) []Range {
	var none, few []Range
	for _, n := range needs {
		counts := n.counts(r.held(n, endpoints))
		none = append(none, n.gaps(counts, Stage{To: n.Layers, Replicas: 1}, 0)...)
		for _, s := range n.Stages {
			few = append(few, n.gaps(counts, s, 1)...)
		}
	}
	all := append(none, few...)
	since := map[Range]time.Time{}
	for _, m := range all {
		since[m] = now
		for old, at := range r.Missing {
			if overlap(old, m) && at.Before(since[m]) {
				since[m] = at
			}
		}
	}
	r.Missing = since
	return all
}

// held returns the ranges of a need that live endpoints hold or are loading.
func (r *Repairer) held(n Need, endpoints []Endpoint) []Range {
	var held []Range
	take := func(h Range) {
		if h.Model == n.Model && h.Version == n.Version {
			held = append(held, h)
		}
	}
	for _, e := range endpoints {
		if e.Gone {
			continue
		}
		for _, h := range e.Held {
			take(h)
		}
	}
	for _, l := range r.Loads {
		take(l.Range)
	}
	return held
}

// counts returns how many of the ranges given cover each layer of the need.
func (n Need) counts(held []Range) []int {
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

// gaps returns the widest parts of a stage whose layers are covered at least least times and fewer than its replicas.
func (n Need) gaps(counts []int, s Stage, least int) []Range {
	var all []Range
	from := -1
	for layer := s.From; layer <= s.To; layer++ {
		few := layer < min(s.To, n.Layers) && counts[layer] >= least && counts[layer] < s.Replicas
		if few && from < 0 {
			from = layer
		}
		if !few && from >= 0 {
			all = append(all, Range{Model: n.Model, Version: n.Version, From: from, To: layer})
			from = -1
		}
	}
	return all
}

// holds reports whether an endpoint holds a whole range.
func holds(e Endpoint, m Range) bool {
	return slices.ContainsFunc(e.Held, func(h Range) bool {
		return h.Model == m.Model && h.Version == m.Version && h.From <= m.From && h.To >= m.To
	})
}

// overlap reports whether two ranges have a layer in common.
func overlap(a, b Range) bool {
	return a.Model == b.Model && a.Version == b.Version && a.From < b.To && b.From < a.To
}
