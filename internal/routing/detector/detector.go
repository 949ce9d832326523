// Package detector judges the health of connections and of endpoints, each apart: a connection that has gone silent is
// replaced, and only an endpoint that fails on new connections too is ejected for a time.
package detector

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Detector holds what is believed of connections, endpoints and links.
type Detector struct {
	progress    time.Duration
	failures    int
	eject       time.Duration
	connections map[string]*connection
	endpoints   map[string]*endpoint
	parts       comparer
	lag         Lag
}

// connection is one open connection.
type connection struct {
	endpoint string
	// awaited counts the streams on which a step is due.
	awaited int
	heard   time.Time
	pinged  time.Time
}

// endpoint is one endpoint's health.
type endpoint struct {
	group string
	// failed counts the failures since the last success.
	failed int
	// heard is when something last arrived from it on any connection.
	heard   time.Time
	ejected time.Time
	// ejections counts ejections without a success between them.
	ejections int
	suspect   bool
	// missed is set while an ejection or suspicion comes from reads of the load.
	missed bool
	reason string
}

// The kinds of an Action.
const (
	// ActionPing asks for a ping on a connection that is quiet though a step is due.
	ActionPing = "ping"
	// ActionReplace asks for a new connection in place of a silent one. The attempts on it move; its late answers are to
	// be dropped.
	ActionReplace = "replace"
	// ActionEject tells that an endpoint is not to be picked for a time.
	ActionEject = "eject"
	// ActionReturn tells that an ejected endpoint may be picked again.
	ActionReturn = "return"
)

// Action is what the plumbing has to do, or to note.
type Action struct {
	Kind       string
	Connection string
	Endpoint   string
	Reason     string
}

// Option changes a Detector under construction.
type Option func(*Detector)

const (
	// defaultProgress is the longest wait for a step on a connection.
	defaultProgress = 2 * time.Second
	// defaultFailures is the number of failures in a row that eject an endpoint.
	defaultFailures = 3
	// defaultEject is the length of a first ejection; it doubles with each one that follows without a success.
	defaultEject = 2 * time.Second
	// maxDoublings bounds the doublings of the length of an ejection.
	maxDoublings = 4
	// pingPart is the part of the progress deadline after which a quiet connection is pinged.
	pingPart = 0.5
	// maxEjected is the largest share of a group that is ejected at once.
	maxEjected = 0.5
	// suspectShare is the share of its rate that an endpoint is trusted with that would be ejected but for the bound.
	suspectShare = 0.1
)

// WithProgress sets the longest wait for a step on a connection.
func WithProgress(progress time.Duration) Option {
	return func(d *Detector) { d.progress = progress }
}

// WithFailures sets the number of failures in a row that eject an endpoint.
func WithFailures(failures int) Option {
	return func(d *Detector) { d.failures = failures }
}

// WithEject sets the length of a first ejection.
func WithEject(eject time.Duration) Option {
	return func(d *Detector) { d.eject = eject }
}

// New returns a detector that believes every endpoint healthy.
func New(options ...Option) *Detector {
	d := &Detector{
		progress: defaultProgress, failures: defaultFailures, eject: defaultEject,
		connections: map[string]*connection{}, endpoints: map[string]*endpoint{}, parts: newComparer(),
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// Join names the group of an endpoint, such as the range of layers that it holds. The bound on ejections holds for
// each group.
func (d *Detector) Join(_ time.Time, id, group string) {
	d.endpoint(id).group = group
}

// Remove forgets an endpoint and its connections.
func (d *Detector) Remove(_ time.Time, id string) {
	delete(d.endpoints, id)
	d.parts.remove(id)
	maps.DeleteFunc(d.connections, func(_ string, c *connection) bool { return c.endpoint == id })
}

// Opened notes a new connection.
func (d *Detector) Opened(now time.Time, id, to string) {
	d.connections[id] = &connection{endpoint: to, heard: now}
}

// Closed forgets a connection.
func (d *Detector) Closed(_ time.Time, id string) {
	delete(d.connections, id)
}

// Await notes that a step is due on a connection. The wait for it starts now if none was due.
func (d *Detector) Await(now time.Time, id string) {
	c := d.connections[id]
	if c == nil {
		return
	}
	if c.awaited == 0 {
		c.heard = now
	}
	c.awaited++
}

// Settled notes that a step is no longer due on a connection.
func (d *Detector) Settled(_ time.Time, id string) {
	if c := d.connections[id]; c != nil && c.awaited > 0 {
		c.awaited--
	}
}

// Progress notes that a step or the answer to a ping arrived on a connection.
func (d *Detector) Progress(now time.Time, id string) {
	c := d.connections[id]
	if c == nil {
		return
	}
	c.heard, c.pinged = now, time.Time{}
	e := d.endpoint(c.endpoint)
	e.heard = now
	e.failed = 0
	e.ejections = 0
	e.suspect = false
	e.missed = false
}

// Failed notes that an endpoint refused a connection, broke one off or answered with a fault of its own. A silent
// connection is not a failure of the endpoint; Check counts it only if the endpoint is silent on all connections.
func (d *Detector) Failed(now time.Time, id, reason string) []Action {
	e := d.endpoint(id)
	e.failed++
	e.reason = reason
	if e.failed < d.failures || d.out(now, e) {
		return nil
	}
	return d.ejectEndpoint(now, id, e)
}

// Beat takes in that the process runs, as Lag.Beat does.
func (d *Detector) Beat(now time.Time) {
	d.lag.Beat(now)
}

// Held returns how much of the time from since until now the process was held up.
func (d *Detector) Held(now, since time.Time) time.Duration {
	return d.lag.Held(now, since)
}

// quiet returns for how long nothing was heard while the process could have heard it.
func (d *Detector) quiet(now, heard time.Time) time.Duration {
	return now.Sub(heard) - d.lag.Held(now, heard)
}

// Check returns what is due: pings, connections to replace, and endpoints that come back.
func (d *Detector) Check(now time.Time) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(d.connections)) {
		actions = append(actions, d.checkConnection(now, id, d.connections[id])...)
	}
	for _, id := range slices.Sorted(maps.Keys(d.endpoints)) {
		e := d.endpoints[id]
		if e.ejected.IsZero() || d.out(now, e) {
			continue
		}
		e.ejected = time.Time{}
		e.failed = d.failures - 1
		actions = append(actions, Action{Kind: ActionReturn, Endpoint: id})
	}
	return actions
}

// checkConnection returns what is due on one connection.
func (d *Detector) checkConnection(now time.Time, id string, c *connection) []Action {
	quiet := d.quiet(now, c.heard)
	if c.awaited == 0 || quiet < time.Duration(pingPart*float64(d.progress)) {
		return nil
	}
	if quiet < d.progress {
		if !c.pinged.IsZero() {
			return nil
		}
		c.pinged = now
		return []Action{{Kind: ActionPing, Connection: id, Endpoint: c.endpoint}}
	}
	delete(d.connections, id)
	actions := []Action{{Kind: ActionReplace, Connection: id, Endpoint: c.endpoint, Reason: "silent"}}
	if e := d.endpoint(c.endpoint); d.quiet(now, e.heard) >= d.progress {
		return append(actions, d.Failed(now, c.endpoint, "silent on all connections")...)
	}
	return actions
}

// ejectEndpoint ejects an endpoint, or only suspects it if too many of its group are out already.
func (d *Detector) ejectEndpoint(now time.Time, id string, e *endpoint) []Action {
	size, out := 0, 1
	for _, peer := range d.endpoints {
		if peer.group != e.group {
			continue
		}
		size++
		if d.out(now, peer) {
			out++
		}
	}
	if float64(out) > maxEjected*float64(size) {
		e.suspect = true
		return nil
	}
	e.ejected = now
	e.ejections++
	return []Action{{Kind: ActionEject, Endpoint: id, Reason: e.reason}}
}

// out reports whether an endpoint is ejected at now.
func (d *Detector) out(now time.Time, e *endpoint) bool {
	if e.ejected.IsZero() {
		return false
	}
	length := d.eject << min(max(0, e.ejections-1), maxDoublings)
	return now.Sub(e.ejected) < length
}

// Share returns the share of its rate that an endpoint or link is believed to give: 1 if it is healthy, 0 if it is
// ejected. An endpoint with share 0 is still to be used where no other holds a layer.
func (d *Detector) Share(now time.Time, id string) float64 {
	share := d.parts.share(now, id)
	e := d.endpoints[id]
	if e == nil {
		return share
	}
	if d.out(now, e) {
		return 0
	}
	if e.suspect {
		return min(share, suspectShare)
	}
	return share
}

// Compare takes in how long a step took over parts in a row, each with the time that is expected of it.
func (d *Detector) Compare(now time.Time, parts []Part, took time.Duration) {
	d.parts.compare(now, parts, took)
}

// endpoint returns the health of an endpoint, healthy if it was not known.
func (d *Detector) endpoint(id string) *endpoint {
	e := d.endpoints[id]
	if e == nil {
		e = &endpoint{}
		d.endpoints[id] = e
	}
	return e
}

// State is the detector as printed in the state dump.
type State struct {
	Endpoints   []EndpointState
	Connections []ConnectionState
	// Slow lists the endpoints and links that are believed to be slower than their peers.
	Slow []PartState
}

// EndpointState is what is believed of one endpoint, and why.
type EndpointState struct {
	ID     string
	Group  string
	Share  float64
	Failed int
	// Ejected is set while the endpoint is not picked.
	Ejected bool
	// Suspect is set if it would be ejected but for the bound on ejections in its group.
	Suspect bool
	Reason  string
}

// ConnectionState is what is believed of one connection.
type ConnectionState struct {
	ID       string
	Endpoint string
	Awaited  int
	Quiet    time.Duration
}

// State returns the detector's state.
func (d *Detector) State(now time.Time) State {
	var s State
	for id, e := range d.endpoints {
		s.Endpoints = append(s.Endpoints, EndpointState{
			ID: id, Group: e.group, Share: d.Share(now, id), Failed: e.failed,
			Ejected: d.out(now, e), Suspect: e.suspect, Reason: e.reason,
		})
	}
	for id, c := range d.connections {
		s.Connections = append(s.Connections, ConnectionState{
			ID: id, Endpoint: c.endpoint, Awaited: c.awaited, Quiet: now.Sub(c.heard),
		})
	}
	slices.SortFunc(s.Endpoints, func(a, b EndpointState) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(s.Connections, func(a, b ConnectionState) int { return cmp.Compare(a.ID, b.ID) })
	s.Slow = d.parts.state(now)
	return s
}
