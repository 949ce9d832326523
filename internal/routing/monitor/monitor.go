// Package monitor detects streams that have gone silent and the endpoint of their path that caused it. An endpoint that
// dies in the middle of a path sends nothing: the streams through it stop, and streams through other endpoints continue.
package monitor

import (
	"time"
)

// The limits of a silence.
const (
	// CheckInterval is the time between checks.
	CheckInterval = 20 * time.Millisecond
	// checkTolerance is how long after CheckInterval a check may come before this process counts as having been paused.
	checkTolerance = 60 * time.Millisecond
	// firstEventGrace is how long a stream may take to its first event beyond twice the expected time.
	firstEventGrace = 700 * time.Millisecond
	// minSilence is the shortest silence between events that is suspicious.
	minSilence = 160 * time.Millisecond
	// stalledSilence is how long a stream may be silent although the endpoints of its path answer probes: it was
	// preempted, or waits for other requests' prompts, and moving it to another path would read its prompt again.
	stalledSilence = 900 * time.Millisecond
	// gapFactor is the multiple of the average gap from which a silence is suspicious.
	gapFactor = 6
	// singleStreamFactor is how many times longer a silence has to be if other streams through the same endpoints
	// continue: the stream may have been preempted or be waiting its turn.
	singleStreamFactor = 5
	// groupSilence and groupGapFactor, a multiple of the average gap, set the silence that is suspicious if at least
	// groupMinStreams streams through one endpoint fell silent together while others continue.
	groupSilence    = 80 * time.Millisecond
	groupGapFactor  = 2.5
	groupMinStreams = 3
	// probeMinStreams and probeSilenceFactor set the silence after which an endpoint is probed: that of two streams
	// through it, or of one that is longer by the factor.
	probeMinStreams    = 2
	probeSilenceFactor = 1.6
	// recentEventAge is how recent an event has to be to show that this process still reads incoming data.
	recentEventAge = 60 * time.Millisecond
	// gapWeight is the weight of the newest gap in the average gap.
	gapWeight = 0.2
)

// Stream is one answer in progress.
type Stream struct {
	// Path holds the endpoints that it passes.
	Path []string
	// ExpectedTimeToFirstEvent is counted from OpenedAt.
	ExpectedTimeToFirstEvent time.Duration
	// OpenedAt is when the stream began, and LastEventAt when it began or had its last event.
	OpenedAt    time.Time
	LastEventAt time.Time
	// AverageGap is the moving average of the time between events; zero before the second one.
	AverageGap time.Duration
	// EventCount is the number of events.
	EventCount int
	// SuppressedUntil is the time before which the stream is not reported again.
	SuppressedUntil time.Time
}

// Verdict is a stream that has gone silent.
type Verdict struct {
	ID string
	// Silent is the time since its last event.
	Silent time.Duration
	// Suspects holds the endpoints of its path through which no stream had an event meanwhile; it is empty if other
	// streams continue through all of them.
	Suspects []string
	// ExcludeSuspects reports whether other requests are not to use the suspects either: they passed events before, and
	// the silence points to them rather than to a long prompt.
	ExcludeSuspects bool
	// ProcessLost reports whether the processes of the suspects have ended, however short the silence is.
	ProcessLost bool
}

// Monitor watches the streams of one instance. It is not safe for concurrent use.
type Monitor struct {
	Streams map[string]*Stream
	// ProbeBeforeDead reports whether endpoints through which streams stopped are probed before they count as dead.
	ProbeBeforeDead bool

	// deadUntil holds until when endpoints count as dead, by a probe of this instance or a report of another one, and
	// aliveUntil until when they count as alive, by a probe.
	deadUntil  map[string]time.Time
	aliveUntil map[string]time.Time
	// probedDeadUntil holds, for endpoints that did not answer a probe of this instance, until when that result counts.
	probedDeadUntil map[string]time.Time

	// reportedDead holds the endpoints that count as dead only by reports of other instances. refutedUntil holds until
	// when this instance refutes such a report, since the endpoint has passed an event.
	reportedDead map[string]bool
	refutedUntil map[string]time.Time

	// lostAt is when the process of an endpoint ended.
	lostAt map[string]time.Time

	// lastPassedAt is when an endpoint last passed an event of any stream.
	lastPassedAt map[string]time.Time
	// lastCheckAt is when Check was last called.
	lastCheckAt time.Time
}

// New returns a monitor without streams.
func New() *Monitor {
	return &Monitor{
		Streams: map[string]*Stream{}, lastPassedAt: map[string]time.Time{}, deadUntil: map[string]time.Time{},
		aliveUntil: map[string]time.Time{}, probedDeadUntil: map[string]time.Time{}, lostAt: map[string]time.Time{},
		reportedDead: map[string]bool{}, refutedUntil: map[string]time.Time{},
	}
}

// Open adds a stream with the endpoints of its path and the expected time to its first event. Checks may stop while there
// are no streams.
func (m *Monitor) Open(now time.Time, id string, path []string, expected time.Duration) {
	if len(m.Streams) == 0 && !m.lastCheckAt.IsZero() {
		m.lastCheckAt = now
	}
	m.Streams[id] = &Stream{Path: path, ExpectedTimeToFirstEvent: expected, OpenedAt: now, LastEventAt: now}
}

// Close removes a stream.
func (m *Monitor) Close(id string) {
	delete(m.Streams, id)
}

// RecordEvent records an event of a stream. It returns the endpoints of its path that counted as dead only by reports of
// other instances and that the event shows to be alive.
func (m *Monitor) RecordEvent(now time.Time, id string) (alive []string) {
	s, ok := m.Streams[id]
	if !ok {
		return nil
	}
	if s.EventCount > 0 {
		gap := now.Sub(s.LastEventAt)
		if s.AverageGap == 0 {
			s.AverageGap = gap
		}
		s.AverageGap += time.Duration(gapWeight * float64(gap-s.AverageGap))
	}
	s.EventCount++
	s.LastEventAt = now
	for _, e := range s.Path {
		m.lastPassedAt[e] = now
		if m.reportedDead[e] {
			m.refutedUntil[e] = now.Add(probeResultTTL)
			m.removeDeadReport(now, e)
			alive = append(alive, e)
		}
	}
	return alive
}

// reportInterval is the time between two verdicts on a stream that stays silent.
const reportInterval = 100 * time.Millisecond

// Check returns the streams that have gone silent. One that stays silent is reported again after reportInterval. A check
// that comes late shows that this process was paused: the delay does not count as silence, as events may wait unread.
func (m *Monitor) Check(now time.Time) []Verdict {
	delay := now.Sub(m.lastCheckAt) - CheckInterval
	if !m.lastCheckAt.IsZero() && delay > checkTolerance {
		for _, s := range m.Streams {
			s.LastEventAt = s.LastEventAt.Add(delay)
		}
		for e := range m.lastPassedAt {
			m.lastPassedAt[e] = m.lastPassedAt[e].Add(delay)
		}
	}
	m.lastCheckAt = now
	deadSet := m.deadEndpoints(now)
	var out []Verdict
	for id, s := range m.Streams {
		if now.Before(s.SuppressedUntil) {
			continue
		}
		silentFor := now.Sub(s.LastEventAt)
		if lost := m.lostEndpoints(s); len(lost) > 0 {
			out = append(out, Verdict{ID: id, Silent: silentFor, Suspects: lost, ExcludeSuspects: true, ProcessLost: true})
			s.SuppressedUntil = now.Add(reportInterval)
			continue
		}
		if deadOnPath := intersect(s.Path, deadSet); len(deadOnPath) > 0 && silentFor >= groupSilence {
			out = append(out, Verdict{ID: id, Silent: silentFor, Suspects: deadOnPath, ExcludeSuspects: true})
			s.SuppressedUntil = now.Add(reportInterval)
			continue
		}
		limit := s.silenceLimit()
		if m.ProbeBeforeDead {
			limit = max(limit, stalledSilence)
		}
		if silentFor < limit {
			continue
		}
		suspects := m.suspects(s, now.Add(-limit/2))
		if len(suspects) == 0 && silentFor < singleStreamFactor*limit {
			continue
		}
		exclude := len(suspects) == 1 && m.hasPassedEvents(suspects[0]) && !now.Before(m.aliveUntil[suspects[0]])
		out = append(out, Verdict{ID: id, Silent: silentFor, Suspects: suspects, ExcludeSuspects: exclude})
		s.SuppressedUntil = now.Add(reportInterval)
	}
	return out
}

// lostEndpoints returns the endpoints of a stream's path whose processes have ended since the stream began. A process
// started in place of one of them does not have the stream.
func (m *Monitor) lostEndpoints(s *Stream) []string {
	var out []string
	for _, e := range s.Path {
		if at, ok := m.lostAt[e]; ok && !s.OpenedAt.After(at) {
			out = append(out, e)
		}
	}
	return out
}

// RecordLoss records that the process of an endpoint has ended: the streams through it get no further event.
func (m *Monitor) RecordLoss(now time.Time, id string) {
	m.lostAt[id] = now
}

// deadEndpoints returns the endpoints that count as dead: those that did not answer a probe or were reported as dead, or
// without probes those through which several streams stopped together.
func (m *Monitor) deadEndpoints(now time.Time) map[string]bool {
	if !m.ProbeBeforeDead {
		return m.stoppedEndpoints(now, func(n int, _ bool) bool { return n >= groupMinStreams })
	}
	out := map[string]bool{}
	for e, until := range m.deadUntil {
		if now.Before(until) {
			out[e] = true
		}
	}
	return out
}

// stoppedEndpoints returns the endpoints through which streams fell silent and none continues, while others continue
// elsewhere. isEnough reports whether a number of silent streams is sufficient; long is true if one of them has
// been silent for probeSilenceFactor times the limit.
func (m *Monitor) stoppedEndpoints(now time.Time, isEnough func(streams int, long bool) bool) map[string]bool {
	silentStreams, longSilent, active := map[string]int{}, map[string]bool{}, map[string]bool{}
	anyRecent := false
	for _, s := range m.Streams {
		if s.EventCount < 2 {
			continue
		}
		threshold := max(groupSilence, time.Duration(groupGapFactor*float64(s.AverageGap)))
		age := now.Sub(s.LastEventAt)
		anyRecent = anyRecent || age < recentEventAge
		for _, e := range s.Path {
			if age >= threshold {
				silentStreams[e]++
				longSilent[e] = longSilent[e] || age >= time.Duration(probeSilenceFactor*float64(threshold))
			} else {
				active[e] = true
			}
		}
	}
	if !anyRecent {
		return nil
	}
	out := map[string]bool{}
	for e, n := range silentStreams {
		if !active[e] && isEnough(n, longSilent[e]) {
			out[e] = true
		}
	}
	return out
}

// intersect returns the endpoints of a path that are in a set, in the order of the path.
func intersect(path []string, set map[string]bool) []string {
	var out []string
	for _, e := range path {
		if set[e] {
			out = append(out, e)
		}
	}
	return out
}

// silenceLimit returns the silence from which the stream is suspicious.
func (s *Stream) silenceLimit() time.Duration {
	if s.EventCount == 0 {
		return firstEventGrace + 2*s.ExpectedTimeToFirstEvent
	}
	return max(minSilence, gapFactor*s.AverageGap)
}

// lossRetention is how long the loss of an endpoint's process is kept: longer than a stream stays on a path without an
// event.
const lossRetention = time.Minute

// probeResultTTL is how long the result of a probe, or a report of another instance, counts.
const probeResultTTL = 600 * time.Millisecond

// EndpointsToProbe returns the endpoints that are to be probed. It leaves out those with a result that still counts.
func (m *Monitor) EndpointsToProbe(now time.Time) []string {
	var out []string
	isEnough := func(n int, long bool) bool { return n >= probeMinStreams || long }
	for e := range m.stoppedEndpoints(now, isEnough) {
		if now.Before(m.deadUntil[e]) || now.Before(m.aliveUntil[e]) {
			continue
		}
		// The endpoint is not probed again until the result arrives.
		m.aliveUntil[e] = now.Add(probeResultTTL)
		out = append(out, e)
	}
	return out
}

// RecordProbeResult records whether an endpoint has answered a probe. One that has passed an event meanwhile counts as
// alive even without an answer.
func (m *Monitor) RecordProbeResult(now time.Time, id string, alive bool) {
	if alive || now.Sub(m.lastPassedAt[id]) < groupSilence {
		m.aliveUntil[id] = now.Add(probeResultTTL)
		return
	}
	delete(m.aliveUntil, id)
	m.deadUntil[id] = now.Add(probeResultTTL)
	m.probedDeadUntil[id] = now.Add(probeResultTTL)
}

// DiscardProbe discards a probe without an answer during which this process was paused: the endpoint may be probed again.
func (m *Monitor) DiscardProbe(id string) {
	delete(m.aliveUntil, id)
}

// UnresponsiveEndpoints returns the endpoints that recently did not answer a probe of this instance.
func (m *Monitor) UnresponsiveEndpoints(now time.Time) []string {
	var out []string
	for e, until := range m.probedDeadUntil {
		if now.Before(until) {
			out = append(out, e)
		} else {
			delete(m.probedDeadUntil, e)
		}
	}
	return out
}

// hasPassedEvents reports whether events have reached this instance through an endpoint.
func (m *Monitor) hasPassedEvents(id string) bool {
	_, ok := m.lastPassedAt[id]
	return ok
}

// suspects returns the endpoints of a stream's path that passed no event since the given time.
func (m *Monitor) suspects(s *Stream, since time.Time) []string {
	var out []string
	for _, e := range s.Path {
		if m.lastPassedAt[e].Before(since) {
			out = append(out, e)
		}
	}
	return out
}

// RetainEndpoints removes the state of endpoints that are no longer listed. A loss is kept for lossRetention.
func (m *Monitor) RetainEndpoints(now time.Time, isListed func(id string) bool) {
	for e := range m.lastPassedAt {
		if !isListed(e) {
			delete(m.lastPassedAt, e)
			delete(m.deadUntil, e)
			delete(m.aliveUntil, e)
		}
	}
	for e := range m.reportedDead {
		if !isListed(e) {
			delete(m.reportedDead, e)
		}
	}
	for e, at := range m.lostAt {
		if !isListed(e) && now.Sub(at) > lossRetention {
			delete(m.lostAt, e)
		}
	}
}
