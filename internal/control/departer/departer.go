// Package departer decides which endpoints are leaving, from signs that lag, repeat and contradict each other.
package departer

import "time"

// The sources of a sign.
const (
	// SourceList is the platform's instance list.
	SourceList = "list"
	// SourceReport is the endpoint's own load report.
	SourceReport = "report"
)

// Key identifies an endpoint: the same ID at another address is another incarnation.
type Key struct {
	ID      string
	Address string
}

// Mark is what is held of a leaving endpoint.
type Mark struct {
	Source string
	// At is the time of the sign, which is that of the report for SourceReport.
	At time.Time
	// Absent is since when the list has not shown the endpoint. It is zero while it does.
	Absent time.Time
	// Live is since when the list has shown the endpoint as live, uninterrupted. It is zero while it does not.
	Live time.Time
}

// Departer holds the endpoints that are leaving. An endpoint marked stays so for its incarnation, whatever live signs
// arrive late: only its own newer report ends a mark of its own report. A mark of the list ends once the list has shown
// the endpoint as absent, or as live, without interruption for longer than its lag.
type Departer struct {
	Marks map[Key]Mark
	// Lag is the longest time by which the list is behind.
	Lag time.Duration
	// Retention is how long a mark is kept once the list no longer shows the endpoint.
	Retention time.Duration
}

// New returns a Departer without marks, for a list that lags by no more than lag.
func New(lag, retention time.Duration) *Departer {
	return &Departer{Marks: map[Key]Mark{}, Lag: lag, Retention: retention}
}

// Leave takes in a sign that an endpoint is leaving and reports whether that is news. A sign of the list stands above
// the endpoint's own.
func (d *Departer) Leave(k Key, source string, at time.Time) bool {
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

// Listed takes in that the list shows an endpoint as live. It reports whether the endpoint is live again.
func (d *Departer) Listed(now time.Time, k Key) bool {
	m, ok := d.Marks[k]
	if !ok {
		return false
	}
	if d.lasted(now, m.Absent) || d.lasted(now, m.Live) {
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

// lasted reports whether what the list has shown since a time cannot be its lag.
func (d *Departer) lasted(now, since time.Time) bool {
	return !since.IsZero() && now.Sub(since) > d.Lag
}

// Missing takes in that the list does not show an endpoint.
func (d *Departer) Missing(now time.Time, k Key) {
	if m, ok := d.Marks[k]; ok && m.Absent.IsZero() {
		m.Absent, m.Live = now, time.Time{}
		d.Marks[k] = m
	}
}

// Reported takes in an endpoint's own report that it is not leaving. It reports whether the endpoint is live again.
func (d *Departer) Reported(k Key, stamp time.Time) bool {
	m, ok := d.Marks[k]
	if !ok || m.Source != SourceReport || !stamp.After(m.At) {
		return false
	}
	delete(d.Marks, k)
	return true
}

// Leaving reports whether an endpoint is leaving.
func (d *Departer) Leaving(k Key) bool {
	_, ok := d.Marks[k]
	return ok
}

// Expire drops the marks of endpoints that the list has long ceased to show.
func (d *Departer) Expire(now time.Time) {
	for k, m := range d.Marks {
		if !m.Absent.IsZero() && now.Sub(m.Absent) > d.Retention {
			delete(d.Marks, k)
		}
	}
}
