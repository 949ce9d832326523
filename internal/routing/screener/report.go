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
	// Late holds the keys of those requests that had begun before, and the parts of those that had settled. Ages holds how long
	// before the crash their first events were.
	Late []string
	Ages map[string]time.Duration
	// Proven holds keys that requests had proven before, and Cleared those that one has proven since.
	Proven  []string
	Cleared []string
	// Sound holds keys of requests that were observed until they refute crashes at any moment.
	Sound []string
	// Tried holds the keys of which this instance begins a trial.
	Tried []string
}

// IsEmpty reports whether there is nothing to tell.
func (r Report) IsEmpty() bool {
	return len(r.Crashed)+len(r.Proven)+len(r.Cleared)+len(r.Sound)+len(r.Tried) == 0
}

// crash returns the crash of a key that the report is of.
func (r Report) crash(now time.Time, key string) Crash {
	return Crash{r.Endpoint, now, slices.Contains(r.Repeated, key), slices.Contains(r.Late, key), r.Ages[key]}
}

// drop takes keys out of the crash.
func (r *Report) drop(keys map[string]bool) {
	isDropped := func(key string) bool { return keys[key] }
	r.Crashed, r.Late, r.Repeated = slices.DeleteFunc(r.Crashed, isDropped), slices.DeleteFunc(r.Late, isDropped), slices.DeleteFunc(r.Repeated, isDropped)
	maps.DeleteFunc(r.Ages, func(key string, _ time.Duration) bool { return keys[key] })
}

// Reply returns what follows from another instance's reply to the report, which lists the keys that requests have proven there.
func (r Report) Reply(keys []string) Report {
	var news Report
	for _, key := range keys {
		if slices.Contains(r.Late, key) {
			news.Sound = append(news.Sound, key)
		} else {
			news.Proven = append(news.Proven, key)
		}
	}
	return news
}

// DropKnown takes out of a report which keys are proven what is known at now.
func (s *Screener) DropKnown(now time.Time, report Report) Report {
	known := s.Proven(now, report.Proven)
	report.Proven = slices.DeleteFunc(report.Proven, func(key string) bool { return slices.Contains(known, key) })
	report.Sound = slices.DeleteFunc(report.Sound, func(key string) bool {
		r := s.records[key]
		return s.isSound(key) && (r == nil || !r.hasLateCrash())
	})
	return report
}

// Refuted returns the keys of a report that requests have proven here lately. Those of late crashes are sound.
func (s *Screener) Refuted(now time.Time, report Report) []string {
	proven := s.Proven(now, report.Crashed)
	return slices.DeleteFunc(slices.Clone(report.Crashed), func(key string) bool {
		return !s.isSound(key) && (slices.Contains(report.Late, key) || !slices.Contains(proven, key))
	})
}

// refutedKeys returns the keys of late crashes in a report under which endpoints were sound lately, or have outlived the moment of the
// crash after a whole response. Those crashes count again if such an endpoint crashes later.
func (s *Screener) refutedKeys(now time.Time, report Report) map[string]bool {
	if len(report.Late) == 0 {
		return nil
	}
	out, crashes := map[string]bool{}, map[string]Crash{}
	for _, key := range report.Late {
		crashes[key] = report.crash(now, key)
		if s.isSound(key) {
			out[key] = true
		}
	}
	for _, a := range s.attempts {
		if !a.isSound(now) || slices.Contains(a.endpoints, report.Endpoint) {
			continue
		}
		for _, key := range a.keys {
			if c, ok := crashes[key]; ok && !out[key] && c.isOutlived(a.age(now)) {
				out[key] = true
				a.refuted = append(a.refuted, Evidence{key, []Crash{c}})
			}
		}
	}
	return out
}

// Proven returns those of the keys that a request has proven lately, at this instance or by what others report.
func (s *Screener) Proven(now time.Time, keys []string) []string {
	var out []string
	for _, key := range keys {
		if r := s.records[key]; r != nil && r.isProven(now) || isRequestKey(key) && s.isSound(key) {
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
		maps.DeleteFunc(s.repeatedRequests, func(_ string, r *record) bool { return r.crashCount(now) == 0 })
	}
	if len(report.Crashed) > 0 {
		s.recordAnyCrash(now, report.Endpoint)
	}
	refuted := s.refutedKeys(now, report)
	for _, key := range report.Crashed {
		if !refuted[key] {
			s.addKeyCrash(now, key, report.crash(now, key))
		}
	}
	for _, key := range report.Proven {
		if r := s.record(now, key); r != nil && !r.isProven(now) {
			// It began before the crash, so the crash still counts.
			r.provenAt = now.Add(-SettleTime)
		}
	}
	for _, key := range report.Cleared {
		s.prove(now, key, now, 0)
	}
	for _, key := range report.Sound {
		s.markSound(now, key)
		s.prove(now, key, now, anyAge)
	}
	for _, key := range report.Tried {
		if r := s.record(now, key); r != nil {
			r.trialUntil = now.Add(trialTime)
		}
	}
}

// addKeyCrash adds a crash under a key.
func (s *Screener) addKeyCrash(now time.Time, key string, c Crash) {
	if r := s.record(now, key); r != nil {
		r.addCrash(c)
		s.addSuspect(key, r)
	}
}
