package detector

import "time"

// The measure of this process's own delay.
const (
	// BeatInterval is the time between beats: short beside the shortest limit that it corrects, a silence of some
	// hundred milliseconds.
	BeatInterval = 20 * time.Millisecond
	// lateBeat is how late a beat may come on a machine with a free processor.
	lateBeat = 10 * time.Millisecond
	// lagKept is how long a hold-up is remembered, longer than any limit that it corrects.
	lagKept = time.Minute
)

// Lag tells how long this process was held up: paused, or waiting for a processor. What arrives meanwhile waits unread,
// so that such a time shows nothing about those that it is to arrive from.
type Lag struct {
	beat  time.Time
	stops []stop
}

// stop is a time in which the process was held up.
type stop struct {
	from, to time.Time
}

// Beat takes in that the process runs. It is to be called every BeatInterval.
func (l *Lag) Beat(now time.Time) {
	if due := l.beat.Add(BeatInterval); !l.beat.IsZero() && now.Sub(due) > lateBeat {
		l.stops = append(l.stops, stop{from: due, to: now})
	}
	l.beat = now
	old := 0
	for old < len(l.stops) && now.Sub(l.stops[old].to) > lagKept {
		old++
	}
	l.stops = l.stops[old:]
}

// Held returns how much of the time from since until now the process was held up.
func (l *Lag) Held(now, since time.Time) time.Duration {
	sum := time.Duration(0)
	for _, s := range l.stops {
		sum += s.after(since)
	}
	if due := l.beat.Add(BeatInterval); !l.beat.IsZero() && now.Sub(due) > lateBeat {
		sum += stop{from: due, to: now}.after(since)
	}
	return sum
}

// after returns the length of the part of a stop that is after a time.
func (s stop) after(since time.Time) time.Duration {
	if since.After(s.from) {
		return max(0, s.to.Sub(since))
	}
	return s.to.Sub(s.from)
}
