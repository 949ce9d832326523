package screener

import (
	"maps"
	"slices"
	"time"
)

// Evidence is why requests with a key are refused: the crashes since one with it was last proven.
type Evidence struct {
	Key     string
	Crashes []Crash
}

// LastCrash returns when the last crash was.
func (e Evidence) LastCrash() time.Time {
	if len(e.Crashes) == 0 {
		return time.Time{}
	}
	return e.Crashes[len(e.Crashes)-1].At
}

// Evidence returns the evidence against those of the keys that are refused, which is to be kept beyond the life of this
// instance. There is none against a request whose crashes a refused part explains.
func (s *Screener) Evidence(now time.Time, keys []string) []Evidence {
	var out []Evidence
	for _, key := range keys {
		if ruling, _ := s.checkKey(now, key); ruling != Refuse {
			continue
		}
		r := s.records[key]
		if isRequestKey(key) && slices.ContainsFunc(keys, func(part string) bool { return s.explains(now, part, r) }) {
			continue
		}
		out = append(out, Evidence{key, slices.Clone(r.crashes)})
	}
	return out
}

// AllEvidence returns the evidence against all keys that are refused, in the order of the keys.
func (s *Screener) AllEvidence(now time.Time) []Evidence {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(s.suspectParts)), maps.Keys(s.suspectRequests))
	slices.Sort(keys)
	return s.Evidence(now, keys)
}

// explains reports whether a part is refused and was there at all crashes of a record.
func (s *Screener) explains(now time.Time, part string, r *record) bool {
	if ruling, _ := s.checkKey(now, part); ruling != Refuse || isRequestKey(part) {
		return false
	}
	return isWithin(r.crashes, s.records[part])
}

// Restore records evidence that was kept, unless more is known by now.
func (s *Screener) Restore(now time.Time, e Evidence) {
	r := s.record(now, e.Key)
	if r == nil || r.provenAt.After(e.LastCrash()) || len(r.crashes) >= len(e.Crashes) {
		return
	}
	// It may have been written by an instance whose clock is ahead.
	ahead := max(0, e.LastCrash().Sub(now))
	r.crashes = nil
	for _, c := range e.Crashes {
		c.At = c.At.Add(-ahead)
		r.crashes = append(r.crashes, c)
	}
	s.addSuspect(e.Key, r)
}
