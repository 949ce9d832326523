// Package bounder bounds what the clients of a listener may send before anything is parsed: the bytes and lines of a head and of
// trailers, the time for a head, the number of connections, and the memory for heads over all connections. It also resets connections on which a
// response of HTTP/1.0 breaks off.
package bounder

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Limits bounds each connection.
type Limits struct {
	// HeadBytes and HeadLines bound a request line and the header lines together, and with these the trailers.
	HeadBytes, HeadLines int
	// HeadTimeout bounds the time from the first byte of a head, or from the start of the connection, to its end. IdleTimeout bounds
	// the time from the end of a request to the next.
	HeadTimeout, IdleTimeout time.Duration
	// BodyTimeout bounds the time from the end of a head to that of the body, whoever reads it: the server itself reads what a handler
	// leaves. Zero means no bound.
	BodyTimeout time.Duration
}

// The defaults and bounds of Limits.
const (
	// MaxHeadBytes is the largest head, whatever a configuration allows.
	MaxHeadBytes = 64 << 10
	// DefaultHeadLines is more than a head of MaxHeadBytes can have: a line has at least three bytes.
	DefaultHeadLines = 22_000
	// serverHeadBytes is the limit of the server behind, which no head reaches.
	serverHeadBytes    = 2 << 20
	DefaultHeadTimeout = 5 * time.Second
	DefaultIdleTimeout = 2 * time.Minute
)

// Complete returns the limits with defaults for those that are 0, and with MaxHeadBytes for a higher limit of a configuration.
func (l Limits) Complete() Limits {
	if l.HeadBytes <= 0 || l.HeadBytes > MaxHeadBytes {
		l.HeadBytes = MaxHeadBytes
	}
	if l.HeadLines <= 0 {
		l.HeadLines = DefaultHeadLines
	}
	if l.HeadTimeout <= 0 {
		l.HeadTimeout = DefaultHeadTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
	return l
}

// reason is why a connection was refused or closed.
type reason string

// The reasons, as metrics and log lines have them.
const (
	reasonHeadBytes   reason = "head-bytes"
	reasonHeadLines   reason = "head-lines"
	reasonBudget      reason = "budget"
	reasonHeadSlow    reason = "head-slow"
	reasonBodySlow    reason = "body-slow"
	reasonFraming     reason = "framing"
	reasonConnections reason = "connections"
)

// reasons are all reasons, whose counters are exported from the start.
var reasons = []reason{reasonHeadBytes, reasonHeadLines, reasonBudget, reasonHeadSlow, reasonBodySlow, reasonFraming, reasonConnections}

const (
	// metricRefused is the counter of the connections that were refused or closed.
	metricRefused = "clients_refused"
	// minWaitBeforeEviction is how long a connection must have waited for a request before it is closed for a new one.
	minWaitBeforeEviction = time.Second
	// logInterval is the least time between two log lines of one reason.
	logInterval = time.Second
)

// Bounder bounds the connections of one listener. Its methods may be called from any goroutine.
type Bounder struct {
	name           string
	budget         *Budget
	maxConnections int
	limits         func() Limits
	clock          func() time.Time
	log            *slog.Logger
	scope          tally.Scope

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// notes holds what was logged of each reason.
	notes map[reason]*note
}

// note is what was logged of a reason, and how many connections were not.
type note struct {
	at   time.Time
	left int
}

// Option changes a Bounder under construction.
type Option func(*Bounder)

// WithClock sets the source of the present time.
func WithClock(clock func() time.Time) Option { return func(b *Bounder) { b.clock = clock } }

// New returns a bounder of the listener with a name. The function limits returns the limits in force, which Complete has completed.
func New(name string, b *Budget, maxConnections int, limits func() Limits, log *slog.Logger, scope tally.Scope, options ...Option) *Bounder {
	for _, r := range reasons {
		scope.Tagged(map[string]string{"listener": name, "reason": string(r)}).Counter(metricRefused).Inc(0)
	}
	out := &Bounder{
		name: name, budget: b, maxConnections: maxConnections, limits: limits, clock: time.Now, log: log, scope: scope,
		conns: map[*Conn]struct{}{}, notes: map[reason]*note{},
	}
	for _, o := range options {
		o(out)
	}
	return out
}

// Serve bounds the connections that a server accepts from a listener, which it returns wrapped. It wraps the server's handler, so that a response of
// HTTP/1.0 that breaks off does not end like a whole one.
func (b *Bounder) Serve(s *http.Server, l net.Listener) net.Listener {
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = 0, 0, serverHeadBytes
	s.ConnState, s.ConnContext = b.handleState, withConn
	s.Handler = endHandler{s.Handler}
	return &listener{l, b}
}

// Rearm applies the limits in force to the connections that wait for a head.
func (b *Bounder) Rearm() {
	for _, c := range b.all() {
		if c.isEvictable() {
			c.setHeadDeadline(true)
		}
	}
}

// Open returns the number of open connections.
func (b *Bounder) Open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

// handleState records the end of a request.
func (b *Bounder) handleState(raw net.Conn, s http.ConnState) {
	if c, ok := raw.(*Conn); ok && s == http.StateIdle {
		c.markIdle()
	}
}

// listener accepts the connections of a bounder.
type listener struct {
	net.Listener
	bounder *Bounder
}

// Accept returns the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.bounder.add(raw); ok {
			return c, nil
		}
		_ = raw.Close() // Nothing was sent on it.
	}
}

// add adds a connection. If there are too many, the one that has waited longest for a request is closed, those first on which no
// request has come yet. If none has waited, the new one is not added.
func (b *Bounder) add(raw net.Conn) (*Conn, bool) {
	now := b.clock()
	c := newConn(raw, b, now)
	b.mu.Lock()
	isFull := len(b.conns) >= b.maxConnections
	var victim *Conn
	if isFull {
		victim = b.longestWaiting(now)
	}
	if isFull && (victim == nil || !victim.evict(evictedIdle)) {
		b.mu.Unlock()
		b.count(reasonConnections, c)
		return nil, false
	}
	if victim != nil {
		delete(b.conns, victim)
	}
	b.conns[c] = struct{}{}
	b.mu.Unlock()
	if victim != nil {
		b.count(reasonConnections, victim)
	}
	return c, true
}

// longestWaiting returns the connection to be closed for a new one, or nil. The lock is held.
func (b *Bounder) longestWaiting(now time.Time) *Conn {
	var out *Conn
	latest := now.Add(-minWaitBeforeEviction).UnixNano()
	for c := range b.conns {
		since := c.waitingSince.Load()
		if since == 0 || since > latest {
			continue
		}
		if out == nil || c.wasServed.Load() == out.wasServed.Load() && since < out.waitingSince.Load() ||
			!c.wasServed.Load() && out.wasServed.Load() {
			out = c
		}
	}
	return out
}

// remove removes a connection that is closed.
func (b *Bounder) remove(c *Conn) {
	b.budget.release(c)
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, c)
}

// all returns the open connections.
func (b *Bounder) all() []*Conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]*Conn, 0, len(b.conns))
	for c := range b.conns {
		out = append(out, c)
	}
	return out
}

// count counts a connection that was refused or closed, and logs one of each reason in a logInterval.
func (b *Bounder) count(r reason, c *Conn) {
	b.scope.Tagged(map[string]string{"listener": b.name, "reason": string(r)}).Counter(metricRefused).Inc(1)
	now := b.clock()
	b.mu.Lock()
	n, ok := b.notes[r]
	if !ok {
		n = &note{}
		b.notes[r] = n
	}
	if now.Sub(n.at) < logInterval {
		n.left++
		b.mu.Unlock()
		return
	}
	left := n.left
	n.at, n.left = now, 0
	b.mu.Unlock()
	b.log.Warn("client refused", "listener", b.name, "reason", string(r), "address", c.RemoteAddr().String(), "left", left)
}
