package screener

import (
	"maps"
	"slices"
	"time"
)

// Report is what an instance tells the others.
type Report struct {
	// Endpoint crashed while requests with the keys of Crashed were in progress on it.
	Endpoint string
	Crashed  []string
	// Repeated holds those of them with which a request was sent to the endpoint after the key's crash before.
	Repeated []string
	// Late holds the keys of those requests that had begun before.
	Late []string
	// Proven holds keys that requests had proven before, and Cleared those that one has proven since.
	Proven  []string
	Cleared []string
	// Tried holds the keys of which this instance begins a trial.
	Tried []string
}

// IsEmpty reports whether there is nothing to tell.
func (r Report) IsEmpty() bool {
	return len(r.Crashed)+len(r.Proven)+len(r.Cleared)+len(r.Tried) == 0
}

// Proven returns those of the keys that a request has proven lately, at this instance or by what others report.
func (s *Screener) Proven(now time.Time, keys []string) []string {
	var out []string
	for _, key := range keys {
		if r := s.records[key]; r != nil && r.isProven(now) {
			out = append(out, key)
		}
	}
	return out
}

// Merge records at now what this or another instance reports.
func (s *Screener) Merge(now time.Time, report Report) {
	if len(report.Crashed) > 0 {
		isOld := func(key string, _ bool) bool { return s.records[key].crashCount(now) == 0 }
		maps.DeleteFunc(s.suspectParts, isOld)
		maps.DeleteFunc(s.suspectRequests, isOld)
	}
	for _, key := range report.Crashed {
		if r := s.record(now, key); r != nil {
			r.addCrash(Crash{report.Endpoint, now, slices.Contains(report.Repeated, key), slices.Contains(report.Late, key)})
			s.suspects(key)[key] = true
		}
	}
	for _, key := range report.Proven {
		if r := s.record(now, key); r != nil && !r.isProven(now) {
			// It began before the crash, so the crash still counts.
			r.provenAt = now.Add(-SettleTime)
		}
	}
	for _, key := range report.Cleared {
		s.prove(now, key, now)
	}
	for _, key := range report.Tried {
		if r := s.record(now, key); r != nil {
			r.trialUntil = now.Add(trialTime)
		}
	}
}
