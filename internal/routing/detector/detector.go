// Package detector determines the health of connections and of endpoints separately: a silent connection is replaced,
// and only an endpoint that also fails on new connections is ejected for a time.
package detector

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Detector holds the health of connections, endpoints and links. It is not safe for concurrent use.
type Detector struct {
	progressTimeout time.Duration
	failureLimit    int
	ejectionTime    time.Duration
	connections     map[string]*connection
	endpoints       map[string]*endpoint
	parts           comparer
	pauseMeter      PauseMeter
}

// connection is one open connection.
type connection struct {
	endpoint string
	// pendingSteps is the number of streams of the connection that wait for a step.
	pendingSteps   int
	lastReceivedAt time.Time
	pingedAt       time.Time
}

// endpoint is one endpoint's health.
type endpoint struct {
	group string
	// consecutiveFailures is the number of failures since the last success.
	consecutiveFailures int
	// lastReceivedAt is when data last arrived from it on any connection.
	lastReceivedAt time.Time
	ejectedAt      time.Time
	// ejectionCount is the number of ejections since the last success.
	ejectionCount int
	// suspect is true if the endpoint would be ejected but for the bound on ejections in its group.
	suspect bool
	// loadReadFailed is true while the ejection or suspicion comes from failed reads of the endpoint's load.
	loadReadFailed bool
	reason         string
}

// The kinds of an Action.
const (
	// ActionPing requests a ping on a connection that is silent although a step is pending.
	ActionPing = "ping"
	// ActionReplace requests a new connection in place of a silent one. The attempts on it move; its late answers are to
	// be dropped.
	ActionReplace = "replace"
	// ActionEject reports that an endpoint is not to be picked for a time.
	ActionEject = "eject"
	// ActionReadmit reports that an ejected endpoint may be picked again.
	ActionReadmit = "return"
)

// Action is what the caller has to do or to record.
type Action struct {
	Kind       string
	Connection string
	Endpoint   string
	Reason     string
}

// Option configures a Detector in New.
type Option func(*Detector)

const (
	// defaultProgressTimeout is the longest silence of a connection on which a step is pending.
	defaultProgressTimeout = 2 * time.Second
	// defaultFailureLimit is the number of consecutive failures after which an endpoint is ejected.
	defaultFailureLimit = 3
	// defaultEjectionTime is the duration of a first ejection; it doubles with each further one without a success between.
	defaultEjectionTime = 2 * time.Second
	// maxDoublings bounds how often the duration of an ejection doubles.
	maxDoublings = 4
	// pingFraction is the fraction of the progress timeout after which a silent connection is pinged.
	pingFraction = 0.5
	// maxEjectedShare is the largest share of a group that is ejected at once.
	maxEjectedShare = 0.5
	// suspectShare bounds the share of its rate given to an endpoint that would be ejected but for that bound.
	suspectShare = 0.1
)

// WithProgressTimeout sets the longest silence of a connection on which a step is pending.
func WithProgressTimeout(timeout time.Duration) Option {
	return func(d *Detector) { d.progressTimeout = timeout }
}

// WithFailureLimit sets the number of consecutive failures after which an endpoint is ejected.
func WithFailureLimit(limit int) Option {
	return func(d *Detector) { d.failureLimit = limit }
}

// WithEjectionTime sets the duration of a first ejection.
func WithEjectionTime(duration time.Duration) Option {
	return func(d *Detector) { d.ejectionTime = duration }
}

// New returns a detector in which every endpoint is healthy.
func New(options ...Option) *Detector {
	d := &Detector{
		progressTimeout: defaultProgressTimeout, failureLimit: defaultFailureLimit, ejectionTime: defaultEjectionTime,
		connections: map[string]*connection{}, endpoints: map[string]*endpoint{}, parts: newComparer(),
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// SetGroup adds an endpoint and sets its group, such as the range of layers that it holds. The bound on ejections
// applies to each group.
func (d *Detector) SetGroup(_ time.Time, id, group string) {
	d.endpoint(id).group = group
}

// Remove removes an endpoint and its connections.
func (d *Detector) Remove(_ time.Time, id string) {
	delete(d.endpoints, id)
	d.parts.remove(id)
	maps.DeleteFunc(d.connections, func(_ string, c *connection) bool { return c.endpoint == id })
}

// AddConnection records a new connection to the endpoint to.
func (d *Detector) AddConnection(now time.Time, id, to string) {
	d.connections[id] = &connection{endpoint: to, lastReceivedAt: now}
}

// RemoveConnection removes a connection that was closed.
func (d *Detector) RemoveConnection(_ time.Time, id string) {
	delete(d.connections, id)
}

// AddPendingStep records that a step is expected on a connection. Its silence is measured from now if none was pending.
func (d *Detector) AddPendingStep(now time.Time, id string) {
	c := d.connections[id]
	if c == nil {
		return
	}
	if c.pendingSteps == 0 {
		c.lastReceivedAt = now
	}
	c.pendingSteps++
}

// RemovePendingStep records that a step is no longer expected on a connection.
func (d *Detector) RemovePendingStep(_ time.Time, id string) {
	if c := d.connections[id]; c != nil && c.pendingSteps > 0 {
		c.pendingSteps--
	}
}

// RecordProgress records that a step or the answer to a ping arrived on a connection.
func (d *Detector) RecordProgress(now time.Time, id string) {
	c := d.connections[id]
	if c == nil {
		return
	}
	c.lastReceivedAt, c.pingedAt = now, time.Time{}
	e := d.endpoint(c.endpoint)
	e.lastReceivedAt = now
	e.consecutiveFailures = 0
	e.ejectionCount = 0
	e.suspect = false
	e.loadReadFailed = false
}

// RecordFailure records that an endpoint refused a connection, closed one early or answered with a fault of its own. A
// silent connection is not a failure of the endpoint; Check counts it only if the endpoint is silent on all connections.
func (d *Detector) RecordFailure(now time.Time, id, reason string) []Action {
	e := d.endpoint(id)
	e.consecutiveFailures++
	e.reason = reason
	if e.consecutiveFailures < d.failureLimit || d.isEjected(now, e) {
		return nil
	}
	return d.ejectEndpoint(now, id, e)
}

// RecordTick records that the process runs, as PauseMeter.RecordTick does.
func (d *Detector) RecordTick(now time.Time) {
	d.pauseMeter.RecordTick(now)
}

// PausedFor returns how much of the time from since until now this process was paused.
func (d *Detector) PausedFor(now, since time.Time) time.Duration {
	return d.pauseMeter.PausedFor(now, since)
}

// silentFor returns the time since data last arrived, less the time for which this process was paused and could not read.
func (d *Detector) silentFor(now, receivedAt time.Time) time.Duration {
	return now.Sub(receivedAt) - d.pauseMeter.PausedFor(now, receivedAt)
}

// Check returns the actions that are due: pings, connections to replace, endpoints to eject and endpoints to readmit.
func (d *Detector) Check(now time.Time) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(d.connections)) {
		actions = append(actions, d.checkConnection(now, id, d.connections[id])...)
	}
	for _, id := range slices.Sorted(maps.Keys(d.endpoints)) {
		e := d.endpoints[id]
		if e.ejectedAt.IsZero() || d.isEjected(now, e) {
			continue
		}
		e.ejectedAt = time.Time{}
		e.consecutiveFailures = d.failureLimit - 1
		actions = append(actions, Action{Kind: ActionReadmit, Endpoint: id})
	}
	return actions
}

// checkConnection returns the actions that are due for one connection.
func (d *Detector) checkConnection(now time.Time, id string, c *connection) []Action {
	silence := d.silentFor(now, c.lastReceivedAt)
	if c.pendingSteps == 0 || silence < time.Duration(pingFraction*float64(d.progressTimeout)) {
		return nil
	}
	if silence < d.progressTimeout {
		if !c.pingedAt.IsZero() {
			return nil
		}
		c.pingedAt = now
		return []Action{{Kind: ActionPing, Connection: id, Endpoint: c.endpoint}}
	}
	delete(d.connections, id)
	actions := []Action{{Kind: ActionReplace, Connection: id, Endpoint: c.endpoint, Reason: "silent"}}
	if e := d.endpoint(c.endpoint); d.silentFor(now, e.lastReceivedAt) >= d.progressTimeout {
		return append(actions, d.RecordFailure(now, c.endpoint, "silent on all connections")...)
	}
	return actions
}

// ejectEndpoint ejects an endpoint, or only marks it as suspect if too many of its group are ejected already.
func (d *Detector) ejectEndpoint(now time.Time, id string, e *endpoint) []Action {
	size, ejectedInGroup := 0, 1
	for _, peer := range d.endpoints {
		if peer.group != e.group {
			continue
		}
		size++
		if d.isEjected(now, peer) {
			ejectedInGroup++
		}
	}
	if float64(ejectedInGroup) > maxEjectedShare*float64(size) {
		e.suspect = true
		return nil
	}
	e.ejectedAt = now
	e.ejectionCount++
	return []Action{{Kind: ActionEject, Endpoint: id, Reason: e.reason}}
}

// isEjected reports whether an endpoint is ejected at now.
func (d *Detector) isEjected(now time.Time, e *endpoint) bool {
	if e.ejectedAt.IsZero() {
		return false
	}
	duration := d.ejectionTime << min(max(0, e.ejectionCount-1), maxDoublings)
	return now.Sub(e.ejectedAt) < duration
}

// Share returns the estimated share of its nominal rate that an endpoint or link delivers: 1 if it is healthy, 0 if it
// is ejected. An endpoint with share 0 is still to be used where no other holds a layer.
func (d *Detector) Share(now time.Time, id string) float64 {
	share := d.parts.share(now, id)
	e := d.endpoints[id]
	if e == nil {
		return share
	}
	if d.isEjected(now, e) {
		return 0
	}
	if e.suspect {
		return min(share, suspectShare)
	}
	return share
}

// Compare records how long a step took over a sequence of parts, each with the time expected of it.
func (d *Detector) Compare(now time.Time, parts []Part, took time.Duration) {
	d.parts.compare(now, parts, took)
}

// endpoint returns the health of an endpoint. A new endpoint is healthy.
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
	// Slow lists the endpoints and links that are slower than their peers.
	Slow []PartState
}

// EndpointState is the health of one endpoint and the reason of its last failure.
type EndpointState struct {
	ID     string
	Group  string
	Share  float64
	Failed int
	// Ejected is true while the endpoint is not picked.
	Ejected bool
	// Suspect is true if the endpoint would be ejected but for the bound on ejections in its group.
	Suspect bool
	Reason  string
}

// ConnectionState is the health of one connection.
type ConnectionState struct {
	ID       string
	Endpoint string
	// Awaited is the number of steps that are pending on it.
	Awaited int
	// Quiet is the time since data last arrived on it.
	Quiet time.Duration
}

// State returns the detector's state.
func (d *Detector) State(now time.Time) State {
	var s State
	for id, e := range d.endpoints {
		s.Endpoints = append(s.Endpoints, EndpointState{
			ID: id, Group: e.group, Share: d.Share(now, id), Failed: e.consecutiveFailures,
			Ejected: d.isEjected(now, e), Suspect: e.suspect, Reason: e.reason,
		})
	}
	for id, c := range d.connections {
		s.Connections = append(s.Connections, ConnectionState{
			ID: id, Endpoint: c.endpoint, Awaited: c.pendingSteps, Quiet: now.Sub(c.lastReceivedAt),
		})
	}
	slices.SortFunc(s.Endpoints, func(a, b EndpointState) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(s.Connections, func(a, b ConnectionState) int { return cmp.Compare(a.ID, b.ID) })
	s.Slow = d.parts.state(now)
	return s
}
