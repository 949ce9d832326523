package forwarder

import (
	"context"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/reserver"
)

// maxDenials is the number of endpoints that may deny a stream before it is refused.
const maxDenials = 4

// Granter keeps the requests of the fleet to endpoints within the limits that these state.
type Granter interface {
	// RecordStatement records what an endpoint stated in a response.
	RecordStatement(endpoint string, isLimited bool, perSecond float64)
	// Take reports whether a request may be sent to an endpoint, and if not, the time after which to ask again.
	Take(ctx context.Context, endpoint string) (granted bool, retryAfter time.Duration)
	// Forget drops all that is known of an endpoint.
	Forget(endpoint string)
}

// WithGranter sets the granter. Without one, limits that endpoints state are ignored.
func WithGranter(g Granter) Option { return func(f *Forwarder) { f.granter = g } }

// takeGrant reports whether the request may be sent to an endpoint, and if not, the time after which to ask again.
func (k *call) takeGrant(endpoint string) (granted bool, retryAfter time.Duration) {
	if k.forwarder.granter == nil {
		return true, 0
	}
	granted, retryAfter = k.forwarder.granter.Take(k.ctx, endpoint)
	if !granted {
		k.denials++
		k.addToTrail("endpoint", endpoint, "at its limit for", retryAfter.Round(time.Millisecond).String())
	}
	return granted, retryAfter
}

// takePathGrant reports whether the stream may be sent along a path. If not, no path begins at its first endpoint for a time.
func (s *streamCall) takePathGrant(path reserver.Path) bool {
	first := path.Stages[0].Endpoint.ID
	granted, retryAfter := s.takeGrant(first)
	if !granted {
		s.allocator.Hold(s.forwarder.clock(), first, retryAfter)
	}
	return granted
}

// hold keeps requests to a service away from an endpoint for a time.
func (f *Forwarder) hold(now time.Time, service, endpoint string, d time.Duration) {
	f.mu.Lock()
	f.plainSelector.Hold(now, now.Add(d), endpoint)
	a := f.allocators[service]
	f.mu.Unlock()
	if a != nil {
		a.Hold(now, endpoint, d)
	}
}

// plainHeldFor returns how long no endpoint of a plain service accepts a call, and false if one does or there is none.
func (f *Forwarder) plainHeldFor(now time.Time, service string) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plainSelector.HeldFor(now, service)
}

// Hold lets no path begin at an endpoint for a time.
func (a *Allocator) Hold(now time.Time, endpoint string, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserver.Hold(now, now.Add(d), endpoint)
}

// ReleaseHold ends the hold of an endpoint.
func (a *Allocator) ReleaseHold(endpoint string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.reserver.HeldUntil, endpoint)
}

// HeldFor returns how long no path for a request may begin at any endpoint, and false if one may begin now.
func (a *Allocator) HeldFor(now time.Time, r reserver.PathRequest) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reserver.HeldFor(now, r)
}
