package forwarder

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// maxClasses bounds the routes that have metrics of their own; those beyond are counted together.
const maxClasses = 256

// otherClasses is the class of the routes beyond the bound.
const otherClasses = "others"

// recorder counts requests. The sets of labels are bounded: routes and services come from the configuration.
type recorder struct {
	scope tally.Scope

	mu      sync.Mutex
	classes map[string]bool
	times   map[timesKey]times
}

// timesKey names the histograms of one kind of request to one service.
type timesKey struct {
	kind    string
	service string
}

// times holds the histograms of a kind of request to a service.
type times struct {
	first tally.Histogram
	took  tally.Histogram
	pause tally.Histogram
	wait  tally.Histogram
}

// newRecorder returns a recorder that counts in a scope.
func newRecorder(scope tally.Scope) *recorder {
	return &recorder{scope: scope, classes: map[string]bool{}, times: map[timesKey]times{}}
}

// class returns the label of a route.
func (r *recorder) class(route string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.classes[route] {
		if len(r.classes) >= maxClasses {
			return otherClasses
		}
		r.classes[route] = true
	}
	return route
}

// histograms returns the histograms of a kind of request to a service.
func (r *recorder) histograms(kind, service string) times {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := timesKey{kind, service}
	t, ok := r.times[key]
	if !ok {
		s := r.scope.Tagged(map[string]string{"kind": kind, "service": service})
		t = times{
			first: s.Histogram("first", latencies), took: s.Histogram("took", latencies),
			pause: s.Histogram("pause", latencies), wait: s.Histogram("wait", latencies),
		}
		r.times[key] = t
	}
	return t
}

// refused counts an answer of the instance's own.
func (r *recorder) refused(reason string) {
	r.scope.Tagged(map[string]string{"reason": reason}).Counter("refusals").Inc(1)
}

// ended counts a request that ended at now.
func (r *recorder) ended(now time.Time, k *call) {
	kind := k.route.Kind.String()
	r.scope.Tagged(map[string]string{
		"class": r.class(k.route.Name), "kind": kind, "service": k.service, "status": strconv.Itoa(k.status),
	}).Counter("requests").Inc(1)
	service := r.scope.Tagged(map[string]string{"service": k.service})
	service.Counter("sends").Inc(int64(k.attempts))
	service.Counter("repeats").Inc(int64(max(0, k.attempts-1)))
	t := r.histograms(kind, k.service)
	t.took.RecordDuration(now.Sub(k.began))
	t.wait.RecordDuration(k.waited)
	if k.first > 0 {
		t.first.RecordDuration(k.first)
	}
	if k.pause > 0 {
		t.pause.RecordDuration(k.pause)
	}
}
