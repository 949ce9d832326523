package forwarder

import (
	"errors"
	"log/slog"
	"sync"
)

// statements holds what endpoints have last stated of themselves. Its methods may be called from any goroutine.
type statements struct {
	mu         sync.Mutex
	byEndpoint map[string]Statement
}

// newStatements returns statements of no endpoint.
func newStatements() *statements { return &statements{byEndpoint: map[string]Statement{}} }

// record records what an endpoint stated in a response, and returns what it had stated before and what holds now. A limit that
// could not be read leaves the one before in force.
func (s *statements) record(endpoint string, head ResponseHead) (before, after Statement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, after = s.byEndpoint[endpoint], head.Statement
	after.RetryAfter = 0 // It is of one response.
	if head.LimitError != nil {
		after.IsLimited, after.RequestsPerSecond = before.IsLimited, before.RequestsPerSecond
	}
	if after == (Statement{}) {
		delete(s.byEndpoint, endpoint)
	} else {
		s.byEndpoint[endpoint] = after
	}
	return before, after
}

// forget drops what an endpoint has stated.
func (s *statements) forget(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byEndpoint, endpoint)
}

// retain drops the endpoints that are not listed.
func (s *statements) retain(listed map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for endpoint := range s.byEndpoint {
		if !listed[endpoint] {
			delete(s.byEndpoint, endpoint)
		}
	}
}

// count returns how many endpoints state a limit, and how many state that they are leaving.
func (s *statements) count() (limited, leaving int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stated := range s.byEndpoint {
		if stated.IsLimited {
			limited++
		}
		if stated.IsLeaving {
			leaving++
		}
	}
	return limited, leaving
}

// recordStatement records what an endpoint states in a response to the request, and logs what has changed.
func (k *call) recordStatement(endpoint string, head ResponseHead) {
	stated := head.Statement
	if err := errors.Join(head.LimitError, head.RetryAfterError); err != nil {
		k.forwarder.log.Warn("part of endpoint's statement not read", "endpoint", endpoint, "request", k.request.ID, "error", err)
	}
	if stated.RetryAfter > 0 {
		k.addToTrail("endpoint", endpoint, "accepts nothing for", stated.RetryAfter.String())
		k.forwarder.hold(k.forwarder.clock(), k.service, endpoint, stated.RetryAfter)
	}
	if !head.IsIdentified {
		return // It may not be from the endpoint's program.
	}
	if k.forwarder.granter != nil && head.LimitError == nil {
		k.forwarder.granter.RecordStatement(endpoint, stated.IsLimited, stated.RequestsPerSecond)
	}
	if stated.IsLeaving && k.forwarder.handleLeaving != nil {
		k.forwarder.handleLeaving(endpoint)
	}
	before, after := k.forwarder.statements.record(endpoint, head)
	if after == before {
		return
	}
	k.forwarder.log.LogAttrs(k.ctx, slog.LevelInfo, "endpoint states", slog.String("endpoint", endpoint), slog.String("service", k.service),
		slog.String("request", k.request.ID), slog.Bool("limited", after.IsLimited), slog.Float64("limit", after.RequestsPerSecond),
		slog.Bool("waslimited", before.IsLimited), slog.Float64("before", before.RequestsPerSecond), slog.Bool("leaving", after.IsLeaving))
}

// ResetEndpoint drops what an endpoint has stated: another process has its id.
func (f *Forwarder) ResetEndpoint(endpoint string) {
	f.statements.forget(endpoint)
	if f.granter != nil {
		f.granter.Forget(endpoint)
	}
	f.mu.Lock()
	f.plainSelector.Reset(endpoint)
	f.mu.Unlock()
	for _, a := range f.Allocators() {
		a.ReleaseHold(endpoint)
	}
}

// StatedCounts returns how many endpoints state a limit to this instance, and how many state that they are leaving.
func (f *Forwarder) StatedCounts() (limited, leaving int) { return f.statements.count() }
