package detector

import "time"

// The bounds for the detection of pauses of this process.
const (
	// TickInterval is the time between ticks: short compared with the shortest timeout that is corrected for pauses, a
	// silence of some hundred milliseconds.
	TickInterval = 20 * time.Millisecond
	// tickTolerance is how late a tick may come on a machine with a free processor.
	tickTolerance = 10 * time.Millisecond
	// pauseRetention is how long a pause is kept: longer than any timeout that is corrected for it.
	pauseRetention = time.Minute
)

// PauseMeter measures how long this process was paused: stopped, or waiting for a processor. Data that arrives during a
// pause waits unread, so that the time of a pause says nothing about the endpoints whose data is awaited.
type PauseMeter struct {
	lastTickAt time.Time
	pauses     []pause
}

// pause is a span of time in which the process was paused.
type pause struct {
	from, to time.Time
}

// RecordTick records that the process runs. It is to be called every TickInterval.
func (m *PauseMeter) RecordTick(now time.Time) {
	if due := m.lastTickAt.Add(TickInterval); !m.lastTickAt.IsZero() && now.Sub(due) > tickTolerance {
		m.pauses = append(m.pauses, pause{from: due, to: now})
	}
	m.lastTickAt = now
	expired := 0
	for expired < len(m.pauses) && now.Sub(m.pauses[expired].to) > pauseRetention {
		expired++
	}
	m.pauses = m.pauses[expired:]
}

// PausedFor returns how much of the time from since until now the process was paused.
func (m *PauseMeter) PausedFor(now, since time.Time) time.Duration {
	sum := time.Duration(0)
	for _, p := range m.pauses {
		sum += p.lengthAfter(since)
	}
	if due := m.lastTickAt.Add(TickInterval); !m.lastTickAt.IsZero() && now.Sub(due) > tickTolerance {
		sum += pause{from: due, to: now}.lengthAfter(since)
	}
	return sum
}

// lengthAfter returns the length of the part of p that follows the time since.
func (p pause) lengthAfter(since time.Time) time.Duration {
	if since.After(p.from) {
		return max(0, p.to.Sub(since))
	}
	return p.to.Sub(p.from)
}
