package screener

import (
	"slices"
	"time"
)

// Evidence is why requests with a part are refused: the crashes since one with it last began.
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

// Evidence returns the evidence against those of the keys that are refused parts, which is to be kept beyond the life of
// this instance.
func (s *Screener) Evidence(now time.Time, keys []string) []Evidence {
	var out []Evidence
	for _, key := range keys {
		if ruling, _ := s.checkKey(now, key); ruling == Refuse && !isRequestKey(key) {
			out = append(out, Evidence{key, slices.Clone(s.records[key].crashes)})
		}
	}
	return out
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
		r.crashes = append(r.crashes, Crash{c.Endpoint, c.At.Add(-ahead), c.IsRepeat})
	}
	s.suspects[e.Key] = true
}
