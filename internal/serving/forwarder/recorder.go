package forwarder

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/heatherrock/heatherrock/internal/routing/reserver"
	"github.com/heatherrock/heatherrock/internal/routing/selector"
)

// maxRouteLabels bounds the routes that have a metric label of their own; further ones are counted together.
const maxRouteLabels = 256

// bytesPerMB converts megabytes to bytes, and callReason is the metric label of crossings of plain calls.
const (
	bytesPerMB = 1e6
	callReason = "call"
)

// otherRoutesLabel is the label of the routes beyond maxRouteLabels.
const otherRoutesLabel = "others"

// recorder records the metrics of requests. The label sets are bounded: routes and services come from the
// configuration.
type recorder struct {
	scope tally.Scope

	mu          sync.Mutex
	routeLabels map[string]bool
	histograms  map[histogramsKey]requestHistograms
}

// histogramsKey identifies the histograms of one kind of request to one service.
type histogramsKey struct {
	kind    string
	service string
}

// requestHistograms holds the histograms of one kind of request to one service.
type requestHistograms struct {
	timeToFirstByte tally.Histogram
	duration        tally.Histogram
	longestGap      tally.Histogram
	wait            tally.Histogram
}

// newRecorder returns a recorder that records in a scope.
func newRecorder(scope tally.Scope) *recorder {
	return &recorder{scope: scope, routeLabels: map[string]bool{}, histograms: map[histogramsKey]requestHistograms{}}
}

// routeLabel returns the metric label of a route.
func (r *recorder) routeLabel(route string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.routeLabels[route] {
		if len(r.routeLabels) >= maxRouteLabels {
			return otherRoutesLabel
		}
		r.routeLabels[route] = true
	}
	return route
}

// histogramsFor returns the histograms of one kind of request to one service.
func (r *recorder) histogramsFor(kind, service string) requestHistograms {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := histogramsKey{kind, service}
	set, ok := r.histograms[key]
	if !ok {
		s := r.scope.Tagged(map[string]string{"kind": kind, "service": service})
		set = requestHistograms{
			timeToFirstByte: s.Histogram("first", latencyBuckets), duration: s.Histogram("took", latencyBuckets),
			longestGap: s.Histogram("pause", latencyBuckets), wait: s.Histogram("wait", latencyBuckets),
		}
		r.histograms[key] = set
	}
	return set
}

// recordCrossings counts the hops of a path between data centres and what they carry.
func (r *recorder) recordCrossings(service string, p reserver.Path) {
	for _, c := range p.Crossings {
		r.countCrossings(service, c.To, string(p.CrossingReason), 1, c.MB())
	}
}

// countCrossings counts hops into another data centre and what they carry.
func (r *recorder) countCrossings(service, to, reason string, n int64, mb float64) {
	s := r.scope.Tagged(map[string]string{"service": service, "to": to, "reason": reason})
	s.Counter("crossings").Inc(n)
	s.Counter("crossed_bytes").Inc(int64(mb * bytesPerMB))
}

// recordPlainCrossing counts a call that was sent to an endpoint of another data centre.
func (r *recorder) recordPlainCrossing(service, centre string, e selector.Server, isSent bool, mb float64) {
	if isSent && e.DataCentre != "" && e.DataCentre != centre {
		r.countCrossings(service, e.DataCentre, callReason, 1, mb)
	}
}

// recordRefusal counts a response of the instance itself.
func (r *recorder) recordRefusal(reason string) {
	r.scope.Tagged(map[string]string{"reason": reason}).Counter("refusals").Inc(1)
}

// recordEnd records a request that ended at now.
func (r *recorder) recordEnd(now time.Time, k *call) {
	kind := k.route.Kind.String()
	r.scope.Tagged(map[string]string{
		"class": r.routeLabel(k.route.Name), "kind": kind, "service": k.service, "status": strconv.Itoa(k.status),
	}).Counter("requests").Inc(1)
	service := r.scope.Tagged(map[string]string{"service": k.service})
	service.Counter("sends").Inc(int64(k.attempts))
	service.Counter("repeats").Inc(int64(max(0, k.attempts-1)))
	service.Counter("denials").Inc(int64(k.denials))
	returned := int64(0)
	if k.isReturned {
		returned = 1
	}
	service.Counter("returned").Inc(returned)
	set := r.histogramsFor(kind, k.service)
	set.duration.RecordDuration(now.Sub(k.startedAt))
	set.wait.RecordDuration(k.waitTime)
	if k.timeToFirstByte > 0 {
		set.timeToFirstByte.RecordDuration(k.timeToFirstByte)
	}
	if k.longestGap > 0 {
		set.longestGap.RecordDuration(k.longestGap)
	}
}
