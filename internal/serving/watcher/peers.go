package watcher

import (
	"encoding/json"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/control/assigner"
	"github.com/heatherrock/heatherrock/internal/control/departer"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/routing/picker"
)

const (
	// MinLoadInterval and MaxLoadInterval are the minimum and maximum times between two published loads of an endpoint.
	MinLoadInterval = time.Second
	MaxLoadInterval = 3 * time.Minute
	// loadTTL is how long a published load stays valid if no other follows.
	loadTTL = 2*MaxLoadInterval + 10*time.Second
	// leavingTTL and listedTTL are how long leaving notices and newly listed endpoints stay published.
	leavingTTL = 10 * time.Minute
	listedTTL  = 2 * time.Minute
)

// peerReport is what peers have reported of an endpoint: its description, its load, and the instance that published the
// load.
type peerReport struct {
	description Description
	owner       string
	load        assigner.Load
}

// LeavingNotice is the value of a TopicLeaving entry.
type LeavingNotice struct {
	Address string `json:"address"`
	Source  string `json:"source"`
	// ObservedAtMillis is the time at which the endpoint was seen to be leaving, in milliseconds since the Unix epoch.
	ObservedAtMillis int64 `json:"stamp"`
}

// Description is the value of a TopicEndpoint entry: the properties of an endpoint that rarely change.
type Description struct {
	Kind     string                `json:"kind,omitempty"`
	Held     []streamer.LayerRange `json:"held,omitempty"`
	Adapters []string              `json:"adapters,omitempty"`
}

// shareLoad publishes a load to peers if they don't all watch the endpoint themselves and the load has changed enough. The
// caller holds the lock.
func (w *Watcher) shareLoad(now time.Time, e *endpoint, l streamer.Load) {
	if w.regionalCount <= w.options.maxDirect {
		return
	}
	value := encode(Description{Kind: l.Kind, Held: l.Held, Adapters: l.Adapters})
	if e.sharedDescription != string(value) {
		e.sharedDescription = string(value)
		w.exchange.Publish(gossiper.TopicEndpoint, e.instance.ID, value, 0)
	}
	load := assigner.Load{Running: l.RunningRequests, Waiting: l.WaitingRequests, Rate: int(l.LayerStepsPerSecond)}
	if e.loadReporter.RecordIfDue(now, load, MinLoadInterval, MaxLoadInterval) {
		w.exchange.Publish(gossiper.TopicLoad, e.instance.ID, load.Quantised().Encode(), loadTTL)
	}
}

// withdrawLoad withdraws the published description and load of an endpoint.
func (w *Watcher) withdrawLoad(e *endpoint) {
	if e.sharedDescription != "" {
		w.exchange.Withdraw(gossiper.TopicEndpoint, e.instance.ID)
		w.exchange.Withdraw(gossiper.TopicLoad, e.instance.ID)
	}
	e.sharedDescription, e.loadReporter = "", assigner.LoadReporter{}
}

// withdrawLeaving withdraws the notice that an endpoint is leaving.
func (w *Watcher) withdrawLeaving(e *endpoint) {
	w.exchange.Withdraw(gossiper.TopicLeaving, e.instance.ID)
}

// publishLeaving publishes a notice that an endpoint is leaving.
func (w *Watcher) publishLeaving(e *endpoint, source string, at time.Time) {
	value := encode(LeavingNotice{Address: e.instance.Address, Source: source, ObservedAtMillis: at.UnixMilli()})
	w.exchange.Publish(gossiper.TopicLeaving, e.instance.ID, value, leavingTTL)
}

// publishListed publishes an endpoint that is new in the list.
func (w *Watcher) publishListed(i lister.Instance) {
	w.exchange.Publish(gossiper.TopicListed, i.ID, encode(i), listedTTL)
}

// encode returns the JSON of a value to be published.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // The types published here can always be encoded.
	}
	return b
}

// handleEndpointEntry records the description of an endpoint that a peer published.
func (w *Watcher) handleEndpointEntry(entry gossiper.Entry) {
	var d Description
	if entry.Deleted || !w.decodeEntry(entry, &d) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.peerReports[entry.Key]
	r.description = d
	w.peerReports[entry.Key] = r
}

// handleLoadEntry records the load of an endpoint that a peer published or withdrew, and forwards it to the router unless
// this instance watches the endpoint.
func (w *Watcher) handleLoadEntry(entry gossiper.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.peerReports[entry.Key]
	if entry.Deleted {
		if r.owner == entry.Owner {
			delete(w.peerReports, entry.Key)
		}
		return
	}
	load, err := assigner.DecodeLoad(entry.Value)
	if err != nil {
		w.options.logger.Warn("load of a peer not readable", "owner", entry.Owner, "error", err)
		return
	}
	r.owner, r.load = entry.Owner, load
	w.peerReports[entry.Key] = r
	if e, ok := w.endpoints[entry.Key]; ok && e.watch == nil {
		w.forwardPeerReport(w.options.clock(), e, w.options.clock())
	}
}

// handleLeavingEntry marks an endpoint as leaving after a peer's notice.
func (w *Watcher) handleLeavingEntry(entry gossiper.Entry) {
	var n LeavingNotice
	if entry.Deleted || !w.decodeEntry(entry, &n) {
		return
	}
	now := w.options.clock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.departer.MarkLeaving(departer.Key{ID: entry.Key, Address: n.Address}, n.Source, time.UnixMilli(n.ObservedAtMillis))
	if e, ok := w.endpoints[entry.Key]; ok && e.instance.Address == n.Address {
		w.forwardLeaving(now, e)
	}
}

// handleListedEntry adds an endpoint that a peer found in the list, unless it is known already.
func (w *Watcher) handleListedEntry(entry gossiper.Entry) {
	var i lister.Instance
	if entry.Deleted || !w.decodeEntry(entry, &i) || i.Role == lister.RoleEntry || i.Leaving {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.endpoints[i.ID]; ok {
		return
	}
	w.ensureEndpoint(w.options.clock(), i).onlyFromPeer = true
}

// decodeEntry decodes an entry's value into v. It logs a failure and returns false.
func (w *Watcher) decodeEntry(entry gossiper.Entry, v any) bool {
	if err := json.Unmarshal(entry.Value, v); err != nil {
		w.options.logger.Warn("entry of a peer not readable", "topic", entry.Topic, "owner", entry.Owner, "error", err)
		return false
	}
	return true
}

// forwardPeerReport passes a peer's report of an endpoint on to the router, with the time at. A published load stays valid
// while its publisher is alive, so at need not be when the load was read.
func (w *Watcher) forwardPeerReport(now time.Time, e *endpoint, at time.Time) {
	r := w.peerReports[e.instance.ID]
	if !r.isComplete() {
		return
	}
	p := describe(e.instance, streamer.Load{
		Kind: r.description.Kind, Held: r.description.Held, Adapters: r.description.Adapters, LayerStepsPerSecond: float64(r.load.Rate),
	})
	w.clearUnresponsive(now, e)
	w.forwardReport(now, e, p, picker.Report{Running: r.load.Running, Waiting: r.load.Waiting, Rate: p.Rate, At: at})
}

// isComplete reports whether both the load and the held layers of the endpoint are known.
func (r peerReport) isComplete() bool {
	return r.owner != "" && len(r.description.Held) > 0
}
