// Package reserver decides which endpoints run a request, layer by layer, and accounts for the memory that it will need
// there. An endpoint whose memory runs out preempts a request in the middle of its answer, so a request is given a path
// only if each endpoint on it has room for the whole answer.
package reserver

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/placer"
)

// Endpoint is an endpoint that holds layers.
type Endpoint struct {
	ID         string
	Address    string
	DataCentre string
	Card       string
	Held       placer.Range
	// Leaving endpoints take no new request.
	Leaving bool
}

// Part is a stage of a path.
type Part struct {
	Endpoint Endpoint
	Range    placer.Range
}

// Path is a way through all layers of a model, with what is reserved for one request.
type Path struct {
	Parts []Part
	// Tokens is the number of tokens reserved on each part.
	Tokens int
	// First is the expected time to the first token, and Step the expected time of each token after it.
	First time.Duration
	Step  time.Duration
	// Prompt is the number of tokens that are read on each part before the first event.
	Prompt int
	// Rate is what the request sends over each link between data centres on its path, in MB a second.
	Rate float64
}

// Ask is a request for a path.
type Ask struct {
	// Prompt is the number of tokens that are read, and Answer the number expected to be written.
	Prompt int
	Answer int
	// Avoid holds the endpoints that the path must not use.
	Avoid map[string]bool
	// Late is set if the time to the first event no longer counts: fast paths are left to others.
	Late bool
	// First holds the endpoints that the path may begin at; nil allows each.
	First map[string]bool
}

// Refusal says why there is no path.
type Refusal string

// The refusals.
const (
	// Granted means that there is a path.
	Granted Refusal = ""
	// Uncovered means that some layers are held by no endpoint that may be used.
	Uncovered Refusal = "no endpoint for some layers"
	// Full means that the endpoints have no memory left.
	Full Refusal = "endpoints full"
	// Large means that the request is larger than what any endpoint holds.
	Large Refusal = "request larger than the endpoints' memory"
)

// The weights of a choice.
const (
	// fillLimit is the part of an endpoint's memory that may be reserved; answers are often longer than expected.
	fillLimit = 0.92
	// block is the number of tokens in which endpoints hand out memory.
	block = 16
	// noise spreads the choices of instances that do not see each other's latest ones.
	noise = 0.15
	// crossCost is the extra cost of a hop to another data centre while its link is idle: all requests share the
	// link, and it is what is left when endpoints fail.
	crossCost = 300 * time.Millisecond
	// linkLimit is the part of a link that may be reserved. Prompts cross it at once, and beyond half of its rate they
	// wait for each other longer than an answer may take to begin.
	linkLimit = 0.5
	// usualStep is the usual time of a token under load, for the rate at which a request uses a link.
	usualStep = 12 * time.Millisecond
	// hopDelay is the delay between two endpoints of a data centre.
	hopDelay = 200 * time.Microsecond
	// firstWeight is how much more the time to the first event counts than the time after it: an answer that begins
	// late counts as late as a whole.
	firstWeight = 8
	// crossDelay is the delay between two data centres.
	crossDelay = 500 * time.Microsecond
	// peerExpiry is how long a peer's usage counts after it was last told.
	peerExpiry = 3 * time.Second
	// maxParts bounds the parts of a path.
	maxParts = 32
)

// Usage is the memory reserved at endpoints, in tokens times layers, by endpoint, and the rate reserved on links between
// data centres, in MB a second, by the link's name.
type Usage map[string]float64

// linkName returns the name of the link between two data centres, either way.
func linkName(a, b string) string {
	if b < a {
		a, b = b, a
	}
	return "link " + a + " " + b
}

// peer is what another instance has reserved.
type peer struct {
	usage Usage
	seen  time.Time
}

// Reserver chooses paths. It is not safe for concurrent use.
type Reserver struct {
	// Engine describes the model.
	Engine *placer.Engine
	// DataCentre is that of this instance.
	DataCentre string
	// Endpoints holds the endpoints by ID.
	Endpoints map[string]Endpoint
	// Own is what this instance has reserved.
	Own Usage
	// Suspects holds the endpoints that are not used until a time.
	Suspects map[string]time.Time
	// Reading holds the prompt tokens that this instance has sent to endpoints and for which no event has come yet.
	Reading map[string]float64
	// Factors holds how many times longer than expected endpoints take, if they were found slow.
	Factors map[string]float64

	// Instances is the number of instances of the fleet, this one included.
	Instances int

	peers  map[string]peer
	others Usage
	cuts   []int
	random *rand.Rand
}

// New returns a reserver for an instance in a data centre.
func New(centre string, random *rand.Rand) *Reserver {
	return &Reserver{
		DataCentre: centre,
		Endpoints:  map[string]Endpoint{},
		Own:        Usage{},
		Suspects:   map[string]time.Time{},
		Factors:    map[string]float64{},
		Reading:    map[string]float64{},
		peers:      map[string]peer{},
		others:     Usage{},
		random:     random,
	}
}

// Update takes in the engine and its endpoints.
func (r *Reserver) Update(_ time.Time, e *placer.Engine, endpoints []Endpoint) {
	r.Engine = e
	old := r.Endpoints
	r.Endpoints = map[string]Endpoint{}
	cuts := map[int]bool{0: true, e.Layers: true}
	for _, p := range endpoints {
		r.Endpoints[p.ID] = p
		if !p.Held.Empty() {
			cuts[p.Held.From], cuts[p.Held.To] = true, true
		}
		if before, ok := old[p.ID]; ok && before.Held.Empty() && !p.Held.Empty() {
			delete(r.Suspects, p.ID)
		}
	}
	for id := range r.Factors {
		if _, ok := r.Endpoints[id]; !ok {
			delete(r.Factors, id)
		}
	}
	r.cuts = r.cuts[:0]
	for c := range cuts {
		if c >= 0 && c <= e.Layers {
			r.cuts = append(r.cuts, c)
		}
	}
	slices.Sort(r.cuts)
}

// Merge takes in what another instance has reserved.
func (r *Reserver) Merge(now time.Time, name string, u Usage) {
	r.peers[name] = peer{u, now}
	r.sum(now)
}

// Forget drops what another instance had reserved.
func (r *Reserver) Forget(now time.Time, name string) {
	delete(r.peers, name)
	r.sum(now)
}

// sum adds up what other instances have reserved.
func (r *Reserver) sum(now time.Time) {
	r.others = Usage{}
	for name, p := range r.peers {
		if now.Sub(p.seen) > peerExpiry {
			delete(r.peers, name)
			continue
		}
		for id, n := range p.usage {
			r.others[id] += n
		}
	}
}

// Suspect keeps an endpoint out of use until a time. It does nothing if one of the endpoint's layers would be left to no
// other endpoint: a slow path is better than none.
func (r *Reserver) Suspect(now, until time.Time, id string) {
	e := r.Endpoints[id]
	for l := e.Held.From; l < e.Held.To; l++ {
		if !r.held(now, l, id) {
			return
		}
	}
	if until.After(r.Suspects[id]) {
		r.Suspects[id] = until
	}
}

// held reports whether a layer is held by a usable endpoint other than one.
func (r *Reserver) held(now time.Time, layer int, but string) bool {
	for _, e := range r.Endpoints {
		if e.ID != but && e.Held.From <= layer && layer < e.Held.To && r.usable(now, e, nil) {
			return true
		}
	}
	return false
}

// Used returns the part of an endpoint's memory that is reserved.
func (r *Reserver) Used(id string) float64 {
	e := r.Endpoints[id]
	room := r.room(e)
	if room <= 0 {
		return 1
	}
	return r.used(id) / room
}

// used returns what is reserved under a name. While nothing has been heard of the other instances, as after a restart of all
// of them, each is taken to reserve as much as this one.
func (r *Reserver) used(name string) float64 {
	if len(r.peers) == 0 {
		return r.Own[name] * float64(max(1, r.Instances))
	}
	return r.Own[name] + r.others[name]
}

// room returns the memory of an endpoint, in tokens times layers.
func (r *Reserver) room(e Endpoint) float64 {
	n := e.Held.Len()
	return float64(r.Engine.Room(r.Engine.Cards[e.Card], n) * n)
}

// Reserve returns the path with the least expected time, and reserves memory on it.
func (r *Reserver) Reserve(now time.Time, a Ask) (Path, Refusal) {
	if r.Engine == nil || len(r.cuts) < 2 {
		return Path{}, Uncovered
	}
	tokens := (a.Prompt + a.Answer + block - 1) / block * block
	s := newSearch(r, now, a, tokens)
	parts, ok := s.run()
	if !ok {
		return Path{}, r.refuse(now, a, tokens)
	}
	p := Path{Parts: parts, Tokens: tokens, Rate: s.rate(), Prompt: a.Prompt}
	for _, name := range p.links() {
		r.Own[name] += p.Rate
	}
	for _, part := range parts {
		r.Own[part.Endpoint.ID] += float64(tokens * part.Range.Len())
		r.Reading[part.Endpoint.ID] += float64(a.Prompt)
		read, step := s.times(part.Endpoint, part.Range)
		p.First += read + step + s.queue(part.Endpoint, part.Range)
		p.Step += step + hopDelay
	}
	return p, Granted
}

// refuse returns why there is no path.
func (r *Reserver) refuse(now time.Time, a Ask, tokens int) Refusal {
	most := 0
	covered := make([]bool, r.Engine.Layers)
	for _, e := range r.Endpoints {
		if !r.usable(now, e, a.Avoid) {
			continue
		}
		most = max(most, int(fillLimit*float64(r.Engine.Room(r.Engine.Cards[e.Card], e.Held.Len()))))
		for l := e.Held.From; l < min(e.Held.To, len(covered)); l++ {
			covered[l] = true
		}
	}
	if slices.Contains(covered, false) {
		return Uncovered
	}
	if tokens > most {
		return Large
	}
	return Full
}

// usable reports whether an endpoint may be used.
func (r *Reserver) usable(now time.Time, e Endpoint, avoid map[string]bool) bool {
	return !e.Leaving && !e.Held.Empty() && e.Held.From >= 0 && !avoid[e.ID] && now.After(r.Suspects[e.ID])
}

// links returns the links between data centres that a path passes, once for each time.
func (p Path) links() []string {
	var out []string
	for i := 1; i < len(p.Parts); i++ {
		if a, b := p.Parts[i-1].Endpoint.DataCentre, p.Parts[i].Endpoint.DataCentre; a != b {
			out = append(out, linkName(a, b))
		}
	}
	return out
}

// Read takes in that the prompt has been read on a path. It must be called once for each path, before its release.
func (r *Reserver) Read(p Path) {
	for _, part := range p.Parts {
		id := part.Endpoint.ID
		if r.Reading[id] -= float64(p.Prompt); r.Reading[id] <= 0 {
			delete(r.Reading, id)
		}
	}
}

// Release gives back what was reserved on a path.
func (r *Reserver) Release(p Path) {
	for _, part := range p.Parts {
		r.lower(part.Endpoint.ID, float64(p.Tokens*part.Range.Len()))
	}
	for _, name := range p.links() {
		r.lower(name, p.Rate)
	}
}

// lower gives back part of what this instance has reserved. Rounding errors do not stay.
func (r *Reserver) lower(name string, n float64) {
	if r.Own[name] -= n; r.Own[name] < 1e-6 {
		delete(r.Own, name)
	}
}

// Load returns the part of the memory of all usable endpoints that is reserved.
func (r *Reserver) Load(now time.Time) float64 {
	if r.Engine == nil {
		return 1
	}
	room, used := 0.0, 0.0
	for _, e := range r.Endpoints {
		if r.usable(now, e, nil) {
			room += r.room(e)
			used += r.used(e.ID)
		}
	}
	if room <= 0 {
		return 1
	}
	return math.Min(1, used/room)
}

// Covered reports whether each layer is held by an endpoint that may be used.
func (r *Reserver) Covered(now time.Time) bool {
	if r.Engine == nil {
		return false
	}
	return r.refuse(now, Ask{}, 0) != Uncovered
}

// compareNodes orders nodes by their cost.
func compareNodes(a, b *node) int { return cmp.Compare(a.cost, b.cost) }

// Strait is the layer with the least memory left over all endpoints that hold it.
type Strait struct {
	Layer   int
	Holders int
	// Room is the tokens that its holders have room for, and Used those that are reserved, both counted for this one
	// layer.
	Room float64
	Used float64
}

// Strait returns the layer that limits the fleet at now.
func (r *Reserver) Strait(now time.Time) Strait {
	var best Strait
	if r.Engine == nil {
		return best
	}
	for i := range len(r.cuts) - 1 {
		s := Strait{Layer: r.cuts[i]}
		for _, e := range r.Endpoints {
			if !r.usable(now, e, nil) || e.Held.From > s.Layer || e.Held.To <= s.Layer {
				continue
			}
			n := float64(e.Held.Len())
			s.Holders++
			s.Room += r.room(e) / n
			s.Used += r.used(e.ID) / n
		}
		if i == 0 || s.Room-s.Used < best.Room-best.Used {
			best = s
		}
	}
	return best
}
