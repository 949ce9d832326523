// Package matcher determines the route of a request, the service that serves it and the team that sent it.
package matcher

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says whether a request may be sent again, and how it is answered.
type Kind int

// The kinds of request. The zero value is the strictest.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Stream requests are answered by a series of events.
	Stream
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	return [...]string{"unsafe", "safe", "stream"}[k]
}

// Share is a service and its weight in the split of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Route is a rule for the requests of one host whose path begins with a prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time a request is kept without its final answer; zero means no bound.
	Timeout time.Duration
	// FirstByteTarget is the longest time to the first byte of an answer, and MaxGap the longest pause between events,
	// that callers count as on time.
	FirstByteTarget time.Duration
	MaxGap          time.Duration
	// Priority is the priority of the requests; 0 goes first.
	Priority int
	Split    []Share
	// MaxAttempts is the largest number of endpoints that one request is sent to.
	MaxAttempts int
	// Anonymous routes require no credential.
	Anonymous bool
	// Resumable streams may be continued by another endpoint after the last event delivered.
	Resumable bool
}

// Repeatable reports whether a request of the route may be sent again although it may have run already.
func (r Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service returns the service of a request, drawn by weight: always the same one for the same id. It is "" if no service has a
// weight.
func (r Route) Service(id string) string {
	total := 0.0
	for _, s := range r.Split {
		total += max(0, s.Weight)
	}
	// The upper 53 bits of the hash are a fraction of 1.
	point := float64(xxhash.Sum64String(id)>>11) / (1 << 53) * total
	last := ""
	for _, s := range r.Split {
		if s.Weight <= 0 {
			continue
		}
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
		last = s.Service // Rounding may leave a point beyond the last weight.
	}
	return last
}

// Table holds the routes of one configuration.
type Table struct {
	hosts map[string][]Route
}

// New returns a table of routes.
func New(routes []Route) *Table {
	t := &Table{hosts: map[string][]Route{}}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route of a host with the longest prefix of a path. The host may have a port, which is ignored.
func (t *Table) Match(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	n := 0
	for _, list := range t.hosts {
		n += len(list)
	}
	return n
}
