// Package departer decides which endpoints are leaving, from signals that arrive late, repeat and contradict each other.
package departer

import "time"

// Sources of a signal that an endpoint is leaving.
const (
	// SourceList is the platform's instance list.
	SourceList = "list"
	// SourceReport is the endpoint's own load report.
	SourceReport = "report"
)

// Key identifies an incarnation of an endpoint: the same ID at another address is another incarnation.
type Key struct {
	ID      string
	Address string
}

// Mark is the state of an endpoint that is leaving.
type Mark struct {
	Source string
	// At is the time of the last signal; for SourceReport, the time of the report.
	At time.Time
	// Absent is the time since which the list has not contained the endpoint, or zero if it contains it.
	Absent time.Time
	// Live is the time since which the list has shown the endpoint as live without interruption, or zero if it does not.
	Live time.Time
}

// Departer tracks the endpoints that are leaving. An incarnation that is marked as leaving stays marked, even if late
// signals show it as live. A mark from the endpoint's own report is removed by a newer report. Any mark is removed when
// the list shows the endpoint as live after it was absent from the list, or shown as live, without interruption for
// longer than the list's lag.
type Departer struct {
	Marks map[Key]Mark
	// MaxListLag is the longest time by which the list is outdated.
	MaxListLag time.Duration
	// Retention is how long a mark is kept after the endpoint disappeared from the list.
	Retention time.Duration
}

// New returns a Departer without marks, for a list that is outdated by at most maxListLag.
func New(maxListLag, retention time.Duration) *Departer {
	return &Departer{Marks: map[Key]Mark{}, MaxListLag: maxListLag, Retention: retention}
}

// MarkLeaving records a signal that an endpoint is leaving and reports whether the endpoint was not marked before. A
// signal of the list overrides the endpoint's own reports.
func (d *Departer) MarkLeaving(k Key, source string, at time.Time) bool {
	m, ok := d.Marks[k]
	switch {
	case !ok:
		d.Marks[k] = Mark{Source: source, At: at}
		return true
	case source == SourceList:
		d.Marks[k] = Mark{Source: source, At: at}
	case m.Source == SourceReport && at.After(m.At):
		m.At = at
		d.Marks[k] = m
	}
	return false
}

// RecordListed records that the list shows an endpoint as live. It reports whether this removed the endpoint's mark.
func (d *Departer) RecordListed(now time.Time, k Key) bool {
	m, ok := d.Marks[k]
	if !ok {
		return false
	}
	if d.exceedsLag(now, m.Absent) || d.exceedsLag(now, m.Live) {
		delete(d.Marks, k)
		return true
	}
	m.Absent = time.Time{}
	if m.Live.IsZero() {
		m.Live = now
	}
	d.Marks[k] = m
	return false
}

// exceedsLag reports whether the list has shown the same state since a time for longer than its lag. A zero time does
// not count.
func (d *Departer) exceedsLag(now, since time.Time) bool {
	return !since.IsZero() && now.Sub(since) > d.MaxListLag
}

// RecordMissing records that the list does not contain an endpoint.
func (d *Departer) RecordMissing(now time.Time, k Key) {
	if m, ok := d.Marks[k]; ok && m.Absent.IsZero() {
		m.Absent, m.Live = now, time.Time{}
		d.Marks[k] = m
	}
}

// RecordReport records an endpoint's own report that it is not leaving. It reports whether this removed the endpoint's
// mark.
func (d *Departer) RecordReport(k Key, reportedAt time.Time) bool {
	m, ok := d.Marks[k]
	if !ok || m.Source != SourceReport || !reportedAt.After(m.At) {
		return false
	}
	delete(d.Marks, k)
	return true
}

// IsLeaving reports whether an endpoint is leaving.
func (d *Departer) IsLeaving(k Key) bool {
	_, ok := d.Marks[k]
	return ok
}

// ExpireMarks removes the marks of endpoints that have been absent from the list for longer than Retention.
func (d *Departer) ExpireMarks(now time.Time) {
	for k, m := range d.Marks {
		if !m.Absent.IsZero() && now.Sub(m.Absent) > d.Retention {
			delete(d.Marks, k)
		}
	}
}
