// Package monitor decides when a stream has gone silent and which endpoint of its path is to blame. An endpoint that dies
// in the middle of a path sends nothing: the streams through it stop, and those beside it go on.
package monitor

import (
	"time"
)

// The bounds of a verdict.
const (
	// Interval is the time between checks.
	Interval = 20 * time.Millisecond
	// lateness is how long after Interval a check may come before this process counts as having been held up.
	lateness = 60 * time.Millisecond
	// firstSilence is how long a stream may take to its first event beyond what was expected.
	firstSilence = 700 * time.Millisecond
	// leastSilence is the shortest silence between events that is suspicious.
	leastSilence = 160 * time.Millisecond
	// stuckSilence is how long a stream may be silent although the endpoints of its path answer: it was preempted, or
	// waits for others' prompts, and another path would read its prompt again.
	stuckSilence = 900 * time.Millisecond
	// gapFactor is how many usual gaps long a silence is suspicious.
	gapFactor = 6
	// aloneFactor is how much longer a silence has to be if other streams through the same endpoints go on: the
	// stream may have been preempted or be waiting its turn.
	aloneFactor = 5
	// quickSilence and quickFactor are the silence that is suspicious if at least quickStreams streams through one
	// endpoint fell silent together while others go on.
	quickSilence = 80 * time.Millisecond
	quickFactor  = 2.5
	quickStreams = 3
	// doubtStreams and doubtFactor bound a silence for which endpoints are asked: that of two streams, or of one that is
	// longer by the factor.
	doubtStreams = 2
	doubtFactor  = 1.6
	// awake is how recent an event has to be to show that this process still reads what comes in.
	awake = 60 * time.Millisecond
	// smoothing is the weight of the newest gap in the usual gap.
	smoothing = 0.2
)

// Stream is one answer in progress.
type Stream struct {
	// Path holds the endpoints that it passes.
	Path []string
	// Expected is the expected time to the first event.
	Expected time.Duration
	// Opened is when the stream began, and Last when it began or had its last event.
	Opened time.Time
	Last   time.Time
	// Gap is the usual time between events; zero before the second one.
	Gap time.Duration
	// Events counts the events.
	Events int
	// Quiet is until when the stream is not reported again.
	Quiet time.Time
}

// Verdict is a stream that has gone silent.
type Verdict struct {
	ID string
	// Silent is for how long.
	Silent time.Duration
	// Suspects holds the endpoints of its path through which no stream had an event meanwhile; it is empty if others
	// go on through all of them.
	Suspects []string
	// Dead is set if the suspects are to be kept out of use for other requests too: they passed events before, and the
	// silence points at them rather than at a long prompt.
	Dead bool
	// Lost is set if the suspects are known to be gone, however short the silence is.
	Lost bool
}

// Monitor watches the streams of one instance. It is not safe for concurrent use.
type Monitor struct {
	Streams map[string]*Stream
	// Asks is set if endpoints through which several streams stopped together are to be asked before they count as dead.
	Asks bool

	// condemned and cleared hold until when endpoints count as dead or as alive, by their answers to a question.
	condemned map[string]time.Time
	cleared   map[string]time.Time
	// asked holds the condemned endpoints that this instance has asked itself.
	asked map[string]time.Time

	// told holds the endpoints that count as dead by what other instances told alone, and refuted until when this instance tells
	// that one of those lives: an event has passed it.
	told    map[string]bool
	refuted map[string]time.Time

	// lost is when the process of an endpoint ended.
	lost map[string]time.Time

	// heard is when an endpoint last passed an event of any stream.
	heard   map[string]time.Time
	checked time.Time
}

// New returns a monitor without streams.
func New() *Monitor {
	return &Monitor{
		Streams: map[string]*Stream{}, heard: map[string]time.Time{}, condemned: map[string]time.Time{},
		cleared: map[string]time.Time{}, asked: map[string]time.Time{}, lost: map[string]time.Time{},
		told: map[string]bool{}, refuted: map[string]time.Time{},
	}
}

// Open begins to watch a stream.
func (m *Monitor) Open(now time.Time, id string, path []string, expected time.Duration) {
	m.Streams[id] = &Stream{Path: path, Expected: expected, Opened: now, Last: now}
}

// Close ends the watch on a stream.
func (m *Monitor) Close(id string) {
	delete(m.Streams, id)
}

// Progress records events of a stream. It returns the endpoints of its path that counted as dead by what others told, and live.
func (m *Monitor) Progress(now time.Time, id string) (alive []string) {
	s, ok := m.Streams[id]
	if !ok {
		return nil
	}
	if s.Events > 0 {
		gap := now.Sub(s.Last)
		if s.Gap == 0 {
			s.Gap = gap
		}
		s.Gap += time.Duration(smoothing * float64(gap-s.Gap))
	}
	s.Events++
	s.Last = now
	for _, e := range s.Path {
		m.heard[e] = now
		if m.told[e] {
			m.refuted[e] = now.Add(answerTime)
			m.acquit(now, e)
			alive = append(alive, e)
		}
	}
	return alive
}

// againTime is the time between two reports of a silent stream.
const againTime = 100 * time.Millisecond

// Check returns the streams that have gone silent. One that stays silent is reported again after againTime. A check that comes late tells that this
// process was held up: the time counts for no stream, as events may wait unread.
func (m *Monitor) Check(now time.Time) []Verdict {
	late := now.Sub(m.checked) - Interval
	if !m.checked.IsZero() && late > lateness {
		for _, s := range m.Streams {
			s.Last = s.Last.Add(late)
		}
		for e := range m.heard {
			m.heard[e] = m.heard[e].Add(late)
		}
	}
	m.checked = now
	stopped := m.dead(now)
	var out []Verdict
	for id, s := range m.Streams {
		if now.Before(s.Quiet) {
			continue
		}
		silent := now.Sub(s.Last)
		if gone := m.gone(s); len(gone) > 0 {
			out = append(out, Verdict{ID: id, Silent: silent, Suspects: gone, Dead: true, Lost: true})
			s.Quiet = now.Add(againTime)
			continue
		}
		if dead := among(s.Path, stopped); len(dead) > 0 && silent >= quickSilence {
			out = append(out, Verdict{ID: id, Silent: silent, Suspects: dead, Dead: true})
			s.Quiet = now.Add(againTime)
			continue
		}
		limit := s.limit()
		if m.Asks {
			limit = max(limit, stuckSilence)
		}
		if silent < limit {
			continue
		}
		suspects := m.suspects(s, now.Add(-limit/2))
		if len(suspects) == 0 && silent < aloneFactor*limit {
			continue
		}
		dead := len(suspects) == 1 && m.known(suspects[0]) && !now.Before(m.cleared[suspects[0]])
		out = append(out, Verdict{ID: id, Silent: silent, Suspects: suspects, Dead: dead})
		s.Quiet = now.Add(againTime)
	}
	return out
}

// gone returns the endpoints of a stream's path whose processes have ended since it began. A process that was started in place
// of one knows nothing of the stream.
func (m *Monitor) gone(s *Stream) []string {
	var out []string
	for _, e := range s.Path {
		if at, ok := m.lost[e]; ok && !s.Opened.After(at) {
			out = append(out, e)
		}
	}
	return out
}

// Lose takes in that the process of an endpoint has ended: the streams through it get no further event.
func (m *Monitor) Lose(now time.Time, id string) {
	m.lost[id] = now
}

// dead returns the endpoints that count as dead: those that did not answer, or if none is asked, those through which several
// streams stopped together.
func (m *Monitor) dead(now time.Time) map[string]bool {
	if !m.Asks {
		return m.stopped(now, func(n int, _ bool) bool { return n >= quickStreams })
	}
	out := map[string]bool{}
	for e, until := range m.condemned {
		if now.Before(until) {
			out[e] = true
		}
	}
	return out
}

// stopped returns the endpoints through which streams fell silent while others go on, and none goes on through them. Enough
// says whether a number of silent streams counts, one of which may have been silent for long.
func (m *Monitor) stopped(now time.Time, enough func(streams int, long bool) bool) map[string]bool {
	silent, long, alive := map[string]int{}, map[string]bool{}, map[string]bool{}
	recent := false
	for _, s := range m.Streams {
		if s.Events < 2 {
			continue
		}
		quick := max(quickSilence, time.Duration(quickFactor*float64(s.Gap)))
		age := now.Sub(s.Last)
		recent = recent || age < awake
		for _, e := range s.Path {
			if age >= quick {
				silent[e]++
				long[e] = long[e] || age >= time.Duration(doubtFactor*float64(quick))
			} else {
				alive[e] = true
			}
		}
	}
	if !recent {
		return nil
	}
	out := map[string]bool{}
	for e, n := range silent {
		if !alive[e] && enough(n, long[e]) {
			out[e] = true
		}
	}
	return out
}

// among returns the endpoints of a path that are in a set.
func among(path []string, set map[string]bool) []string {
	var out []string
	for _, e := range path {
		if set[e] {
			out = append(out, e)
		}
	}
	return out
}

// limit returns the silence that is suspicious.
func (s *Stream) limit() time.Duration {
	if s.Events == 0 {
		return firstSilence + 2*s.Expected
	}
	return max(leastSilence, gapFactor*s.Gap)
}

// lostTime is how long it is kept that an endpoint's process has ended: longer than a stream stays on a path without an event.
const lostTime = time.Minute

// answerTime is how long the answer to a question counts.
const answerTime = 600 * time.Millisecond

// Questions returns the endpoints that are to be asked whether they are there. It does not ask again while an answer counts.
func (m *Monitor) Questions(now time.Time) []string {
	var out []string
	doubtful := func(n int, long bool) bool { return n >= doubtStreams || long }
	for e := range m.stopped(now, doubtful) {
		if now.Before(m.condemned[e]) || now.Before(m.cleared[e]) {
			continue
		}
		// Until the answer comes the endpoint is not asked again.
		m.cleared[e] = now.Add(answerTime)
		out = append(out, e)
	}
	return out
}

// Answer takes in whether an endpoint has answered. One that has passed an event meanwhile lives all the same.
func (m *Monitor) Answer(now time.Time, id string, alive bool) {
	if alive || now.Sub(m.heard[id]) < quickSilence {
		m.cleared[id] = now.Add(answerTime)
		return
	}
	delete(m.cleared, id)
	m.condemned[id] = now.Add(answerTime)
	m.asked[id] = now.Add(answerTime)
}

// Doubt takes in that the answer of an endpoint was waited for in vain by a process that was held up itself: it may be asked again.
func (m *Monitor) Doubt(id string) {
	delete(m.cleared, id)
}

// Dead returns the endpoints of which this instance had no answer of late.
func (m *Monitor) Dead(now time.Time) []string {
	var out []string
	for e, until := range m.asked {
		if now.Before(until) {
			out = append(out, e)
		} else {
			delete(m.asked, e)
		}
	}
	return out
}

// known reports whether an endpoint has passed events to this instance.
func (m *Monitor) known(id string) bool {
	_, ok := m.heard[id]
	return ok
}

// suspects returns the endpoints of a stream's path that passed no event since a time.
func (m *Monitor) suspects(s *Stream, since time.Time) []string {
	var out []string
	for _, e := range s.Path {
		if m.heard[e].Before(since) {
			out = append(out, e)
		}
	}
	return out
}

// Forget drops what is known of endpoints that are not in the set.
func (m *Monitor) Forget(now time.Time, known func(id string) bool) {
	for e := range m.heard {
		if !known(e) {
			delete(m.heard, e)
			delete(m.condemned, e)
			delete(m.cleared, e)
		}
	}
	for e := range m.told {
		if !known(e) {
			delete(m.told, e)
		}
	}
	for e, at := range m.lost {
		if !known(e) && now.Sub(at) > lostTime {
			delete(m.lost, e)
		}
	}
}
