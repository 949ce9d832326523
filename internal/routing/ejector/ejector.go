// Package ejector decides which endpoints are not to be used because they fail requests. Such an endpoint may be healthy
// by its own report, and as it fails at once it is always free, so that each instance of a large fleet would send it
// requests until it has learned of the failures by itself.
package ejector

import (
	"time"
)

// The limits of an ejection.
const (
	// minEjection is the duration of an ejection after one failure. It doubles with each further failure in a row, up to
	// maxEjection.
	minEjection = time.Second
	maxEjection = 8 * time.Second
	// minReporters is the number of other instances that must have ejected an endpoint for this one to do so as well: the
	// failure of a single request may be due to that request.
	minReporters = 2
	// reportTTL is how long an endpoint is ejected because of others. Their reports come more often.
	reportTTL = 600 * time.Millisecond
	// maxEjectedShare is the share of the endpoints that are ejected because of others. If more of them fail, the cause is
	// in the requests, or there is no better endpoint to use.
	maxEjectedShare = 0.3
)

// Ejector is what one instance knows of failing endpoints of a service. It is not safe for concurrent use.
type Ejector struct {
	// Ejected holds the endpoints that have failed requests of this instance and none since.
	Ejected map[string]Ejection
}

// Ejection is the state of an endpoint that has failed requests.
type Ejection struct {
	// Failures is the number of failures in a row, and LastRequest the request that failed last.
	Failures    int
	LastRequest string
	Until       time.Time
}

// New returns an ejector that knows of no failure.
func New() *Ejector { return &Ejector{Ejected: map[string]Ejection{}} }

// RecordFailure records that an endpoint has failed a request, and returns until when it is not to be used. Failures of
// the same request count once.
func (e *Ejector) RecordFailure(now time.Time, endpoint, request string) time.Time {
	ejection := e.Ejected[endpoint]
	if ejection.Failures == 0 || ejection.LastRequest != request {
		ejection.Failures++
	}
	ejection.LastRequest = request
	duration := min(maxEjection, minEjection<<min(ejection.Failures-1, 10))
	ejection.Until = now.Add(duration)
	e.Ejected[endpoint] = ejection
	return ejection.Until
}

// RecordSuccess records that an endpoint has served a request.
func (e *Ejector) RecordSuccess(endpoint string) { delete(e.Ejected, endpoint) }

// Retain drops the endpoints that are no longer listed.
func (e *Ejector) Retain(isListed func(endpoint string) bool) {
	for endpoint := range e.Ejected {
		if !isListed(endpoint) {
			delete(e.Ejected, endpoint)
		}
	}
}

// Report returns the endpoints that this instance does not use at now because of failures.
func (e *Ejector) Report(now time.Time) []string {
	var out []string
	for endpoint, ejection := range e.Ejected {
		if now.Before(ejection.Until) {
			out = append(out, endpoint)
		}
	}
	return out
}

// EjectedByOthers returns the endpoints that are not to be used for reportTTL because of other instances. Reporters holds
// the number of those that have ejected each endpoint, and endpoints is the number of endpoints of the service.
func (e *Ejector) EjectedByOthers(reporters map[string]int, endpoints int) (out []string, ttl time.Duration) {
	for endpoint, n := range reporters {
		if n >= minReporters {
			out = append(out, endpoint)
		}
	}
	if float64(len(out)) > maxEjectedShare*float64(endpoints) {
		return nil, 0
	}
	return out, reportTTL
}
