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
	// LoadGap is the shortest time between two loads told of an endpoint, RefreshTime the longest.
	LoadGap     = time.Second
	RefreshTime = 3 * time.Minute
	// loadTTL is how long a load told stands without another.
	loadTTL = 2*RefreshTime + 10*time.Second
	// leavingTTL and listedTTL are how long signs are shared.
	leavingTTL = 10 * time.Minute
	listedTTL  = 2 * time.Minute
)

// told is what peers tell of an endpoint: what it holds, its load, and who told the load.
type told struct {
	description Description
	owner       string
	load        assigner.Load
}

// Sign is the value of a TopicLeaving entry.
type Sign struct {
	Address string `json:"address"`
	Source  string `json:"source"`
	// Stamp is the time of the sign in milliseconds of the Unix epoch.
	Stamp int64 `json:"stamp"`
}

// Description is the value of a TopicEndpoint entry: what changes seldom of an endpoint.
type Description struct {
	Kind     string          `json:"kind,omitempty"`
	Held     []streamer.Held `json:"held,omitempty"`
	Adapters []string        `json:"adapters,omitempty"`
}

// share tells peers of a load, if they have no direct view and it has changed enough. The lock is held.
func (w *Watcher) share(now time.Time, e *endpoint, l streamer.Load) {
	if w.regional <= w.options.direct {
		return
	}
	value := encode(Description{Kind: l.Kind, Held: l.Held, Adapters: l.Adapters})
	if e.shared != string(value) {
		e.shared = string(value)
		w.exchange.Publish(gossiper.TopicEndpoint, e.instance.ID, value, 0)
	}
	load := assigner.Load{Running: l.Running, Waiting: l.Waiting, Rate: int(l.Rate)}
	if e.own.RecordIfDue(now, load, LoadGap, RefreshTime) {
		w.exchange.Publish(gossiper.TopicLoad, e.instance.ID, load.Quantised().Encode(), loadTTL)
	}
}

// unshare takes back what was told of an endpoint's load.
func (w *Watcher) unshare(e *endpoint) {
	if e.shared != "" {
		w.exchange.Withdraw(gossiper.TopicEndpoint, e.instance.ID)
		w.exchange.Withdraw(gossiper.TopicLoad, e.instance.ID)
	}
	e.shared, e.own = "", assigner.LoadReporter{}
}

// withdraw takes back the sign that an endpoint is leaving.
func (w *Watcher) withdraw(e *endpoint) {
	w.exchange.Withdraw(gossiper.TopicLeaving, e.instance.ID)
}

// publishLeaving shares the sign that an endpoint is leaving.
func (w *Watcher) publishLeaving(e *endpoint, source string, stamp time.Time) {
	value := encode(Sign{Address: e.instance.Address, Source: source, Stamp: stamp.UnixMilli()})
	w.exchange.Publish(gossiper.TopicLeaving, e.instance.ID, value, leavingTTL)
}

// publishListed shares an endpoint that the list shows anew.
func (w *Watcher) publishListed(i lister.Instance) {
	w.exchange.Publish(gossiper.TopicListed, i.ID, encode(i), listedTTL)
}

// encode returns a value as shared.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // The types shared here always have an encoding.
	}
	return b
}

// hearEndpoint takes in what a peer tells of what an endpoint holds.
func (w *Watcher) hearEndpoint(entry gossiper.Entry) {
	var d Description
	if entry.Deleted || !w.readable(entry, &d) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.told[entry.Key]
	t.description = d
	w.told[entry.Key] = t
}

// hearLoad takes in what a peer tells of an endpoint's load.
func (w *Watcher) hearLoad(entry gossiper.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.told[entry.Key]
	if entry.Deleted {
		if t.owner == entry.Owner {
			delete(w.told, entry.Key)
		}
		return
	}
	load, err := assigner.DecodeLoad(entry.Value)
	if err != nil {
		w.options.logger.Warn("load of a peer not readable", "owner", entry.Owner, "error", err)
		return
	}
	t.owner, t.load = entry.Owner, load
	w.told[entry.Key] = t
	if e, ok := w.endpoints[entry.Key]; ok && e.watch == nil {
		w.pass(w.options.clock(), e, w.options.clock())
	}
}

// hearLeaving takes in a peer's sign that an endpoint is leaving.
func (w *Watcher) hearLeaving(entry gossiper.Entry) {
	var s Sign
	if entry.Deleted || !w.readable(entry, &s) {
		return
	}
	now := w.options.clock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.departer.MarkLeaving(departer.Key{ID: entry.Key, Address: s.Address}, s.Source, time.UnixMilli(s.Stamp))
	if e, ok := w.endpoints[entry.Key]; ok && e.instance.Address == s.Address {
		w.retire(now, e)
	}
}

// hearListed takes in an endpoint that a peer's list shows.
func (w *Watcher) hearListed(entry gossiper.Entry) {
	var i lister.Instance
	if entry.Deleted || !w.readable(entry, &i) || i.Role == lister.RoleEntry || i.Leaving {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.endpoints[i.ID]; ok {
		return
	}
	w.add(w.options.clock(), i).heard = true
}

// readable reads an entry's value.
func (w *Watcher) readable(entry gossiper.Entry, v any) bool {
	if err := json.Unmarshal(entry.Value, v); err != nil {
		w.options.logger.Warn("entry of a peer not readable", "topic", entry.Topic, "owner", entry.Owner, "error", err)
		return false
	}
	return true
}

// pass hands on what a peer told of an endpoint. A load told stands while its teller lives, so it counts as seen at
// the time given.
func (w *Watcher) pass(now time.Time, e *endpoint, at time.Time) {
	t := w.told[e.instance.ID]
	if !t.whole() {
		return
	}
	p := describe(e.instance, streamer.Load{
		Kind: t.description.Kind, Held: t.description.Held, Adapters: t.description.Adapters, Rate: float64(t.load.Rate),
	})
	w.answered(now, e)
	w.observe(now, e, p, picker.Report{Running: t.load.Running, Waiting: t.load.Waiting, Rate: p.Rate, At: at})
}

// whole reports whether both the load and what the endpoint holds are told.
func (t told) whole() bool {
	return t.owner != "" && len(t.description.Held) > 0
}
