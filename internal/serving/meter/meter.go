// Package meter records the metrics of a process and exports them to a Prometheus scraper.
package meter

import (
	"io"
	"net/http"
	"time"

	registry "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the time between reports of the scope to the Prometheus registry.
const reportInterval = time.Second

// latencyBuckets are the upper bounds of the buckets of all duration histograms.
var latencyBuckets = tally.DurationBuckets{
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

// New returns a meter whose metrics are labelled with the instance's ID and data centre.
func New(instance, dataCentre string) *Meter {
	r := registry.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: r, Gatherer: r})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "heatherrock",
		Tags:           map[string]string{"instance": instance, "datacentre": dataCentre},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, reportInterval)
	return &Meter{scope: scope, reporter: reporter, closer: closer}
}

// Scope returns the root scope, for packages that define their metrics themselves.
func (m *Meter) Scope() tally.Scope {
	return m.scope
}

// AddCount adds n to the counter name with one tag.
func (m *Meter) AddCount(name, tag, value string, n int64) {
	m.scope.Tagged(map[string]string{tag: value}).Counter(name).Inc(n)
}

// SetGauge sets the gauge name.
func (m *Meter) SetGauge(name string, value float64) {
	m.scope.Gauge(name).Update(value)
}

// ObserveDuration adds a duration to the histogram name with one tag.
func (m *Meter) ObserveDuration(name, tag, value string, d time.Duration) {
	m.scope.Tagged(map[string]string{tag: value}).Histogram(name, latencyBuckets).RecordDuration(d)
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler {
	return m.reporter.HTTPHandler()
}

// Close reports the metrics a last time and stops the reports.
func (m *Meter) Close() error {
	return m.closer.Close()
}
