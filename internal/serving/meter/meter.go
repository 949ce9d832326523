// Package meter counts what a process does, and shows it to a Prometheus scraper.
package meter

import (
	"io"
	"net/http"
	"time"

	registry "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// interval is the time between reports of the scope to the scraper's registry.
const interval = time.Second

// latencies are the upper bounds of the buckets of times.
var latencies = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	43 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
	1900 * time.Millisecond, 5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute, 2 * time.Minute,
}

// Meter holds the metrics of one process.
type Meter struct {
	scope    tally.Scope
	reporter prometheus.Reporter
	closer   io.Closer
}

// New returns a meter whose metrics carry the instance's id and data centre.
func New(instance, datacentre string) *Meter {
	r := registry.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: r, Gatherer: r})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "heatherrock",
		Tags:           map[string]string{"instance": instance, "datacentre": datacentre},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, interval)
	return &Meter{scope: scope, reporter: reporter, closer: closer}
}

// Scope returns the scope, for parts that name their metrics themselves.
func (m *Meter) Scope() tally.Scope {
	return m.scope
}

// Count adds to a counter with one tag.
func (m *Meter) Count(name, tag, value string, n int64) {
	m.scope.Tagged(map[string]string{tag: value}).Counter(name).Inc(n)
}

// Gauge sets a gauge.
func (m *Meter) Gauge(name string, value float64) {
	m.scope.Gauge(name).Update(value)
}

// Time adds a time to a histogram with one tag.
func (m *Meter) Time(name, tag, value string, d time.Duration) {
	m.scope.Tagged(map[string]string{tag: value}).Histogram(name, latencies).RecordDuration(d)
}

// Handler shows the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler {
	return m.reporter.HTTPHandler()
}

// Close reports what is left and ends the meter.
func (m *Meter) Close() error {
	return m.closer.Close()
}
