// Package reserver chooses the endpoints that run a request, layer by layer, and accounts for the memory that the
// request will need on each. An endpoint whose memory runs out preempts a request in the middle of its answer, so a
// request gets a path only if each endpoint on it has memory for the whole answer.
package reserver

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/placer"
	"github.com/heatherrock/heatherrock/internal/routing/spiller"
)

// Endpoint is an endpoint that holds layers.
type Endpoint struct {
	ID         string
	Address    string
	DataCentre string
	Card       string
	Held       placer.Range
	// Leaving is true if the endpoint accepts no new request.
	Leaving bool
}

// Stage is a range of layers that one endpoint of a path runs.
type Stage struct {
	Endpoint Endpoint
	Range    placer.Range
}

// Path is a sequence of stages that covers all layers of a model, with what is reserved on it for one request.
type Path struct {
	Stages []Stage
	// Tokens is the number of tokens reserved on each stage.
	Tokens int
	// TimeToFirstToken is the expected time to the first token, and TimePerToken the expected time of each token
	// after it.
	TimeToFirstToken time.Duration
	TimePerToken     time.Duration
	// PromptTokens is the number of tokens that each stage reads before the first event.
	PromptTokens int
	// LinkRate is what the request sends over each link between data centres on its path, in MB a second.
	LinkRate float64
	// Crossings holds the hops between data centres, also that to the first stage, and CrossingReason why there are some.
	Crossings      []spiller.Crossing
	CrossingReason CrossingReason
}

// EndpointIDs returns the ids of the endpoints of the stages, in their order.
func (p Path) EndpointIDs() []string {
	ids := make([]string, len(p.Stages))
	for i, stage := range p.Stages {
		ids[i] = stage.Endpoint.ID
	}
	return ids
}

// PathRequest asks for a path.
type PathRequest struct {
	// PromptTokens is the number of tokens to read, and AnswerTokens the number expected to be generated.
	PromptTokens int
	AnswerTokens int
	// Avoid holds the endpoints that the path must not use.
	Avoid map[string]bool
	// IgnoreFirstEventTime is true if the time to the first event no longer counts: fast paths are left to other
	// requests.
	IgnoreFirstEventTime bool
	// FirstEndpoints holds the endpoints that may run the first stage; nil allows all.
	FirstEndpoints map[string]bool
	// InProgress is true for an answer in progress, which may use memory that is shared out to other instances.
	InProgress bool
	// Priority is that of the request, 0 for the most urgent.
	Priority int
	// MemoryShare is the share of each endpoint's memory that the request may fill; zero means MaxMemoryShare.
	MemoryShare float64
	// includeBackedOff is true if the path may use endpoints that have just refused or failed a request.
	includeBackedOff bool
}

// Refusal is the reason why there is no path.
type Refusal string

// The refusals.
const (
	// Granted means that there is a path.
	Granted Refusal = ""
	// Uncovered means that no usable endpoint holds some of the layers.
	Uncovered Refusal = "no endpoint for some layers"
	// Full means that the endpoints have too little memory left.
	Full Refusal = "endpoints full"
	// Held means that no path may begin now at the endpoints that could run the first stage.
	Held Refusal = "endpoints at their limits"
	// TooLarge means that the request needs more memory than any endpoint has.
	TooLarge Refusal = "request larger than the endpoints' memory"
)

// The parameters of a path search.
const (
	// MaxMemoryShare is the share of an endpoint's memory that may be reserved. It is over 1, as a request uses all that is reserved
	// for it only at its end: with a usual prompt and answer, 0.84 of it on average.
	MaxMemoryShare = 1.1
	// LateMemoryShare is the share that requests may fill whose answer is late in any case: what is left over by the others.
	LateMemoryShare = MaxMemoryShare - 0.4
	// blockTokens is the number of tokens in a memory block; endpoints allocate whole blocks.
	blockTokens = 16
	// maxNoise is the greatest relative noise on an endpoint's cost. It spreads the choices of instances, which do
	// not yet know of each other's latest ones.
	maxNoise = 0.15
	// maxLinkShare is the share of a link that may be reserved. Whole prompts cross it at once, and beyond half of
	// its rate they queue for longer than an answer may take to begin.
	maxLinkShare = 0.5
	// usualTokenTime is the usual time per token under load. It gives the rate at which a request uses a link.
	usualTokenTime = 12 * time.Millisecond
	// hopDelay is the delay between two endpoints of a data centre.
	hopDelay = 200 * time.Microsecond
	// firstEventWeight is how much more the time to the first event counts than the time after it.
	firstEventWeight = spiller.FirstEventWeight
	// peerExpiry is how long a peer's usage counts after it was last received.
	peerExpiry = 3 * time.Second
	// maxStages bounds the stages of a path.
	maxStages = 32
)

// Usage holds what is reserved: by endpoint ID the memory, in tokens times layers, and by link name the rate on a
// link between data centres, in MB a second.
type Usage map[string]float64

// linkName returns the name of the link between two data centres, the same in both directions.
func linkName(a, b string) string {
	if b < a {
		a, b = b, a
	}
	return "link " + a + " " + b
}

// peer is what another instance has reserved.
type peer struct {
	usage      Usage
	receivedAt time.Time
}

// Reserver chooses paths and reserves memory and link rate on them. It is not safe for concurrent use.
type Reserver struct {
	// Engine describes the model.
	Engine *placer.Engine
	// DataCentre is the data centre of this instance.
	DataCentre string
	// Endpoints holds the endpoints by ID.
	Endpoints map[string]Endpoint
	// OwnUsage is what this instance has reserved.
	OwnUsage Usage
	// SuspectedUntil holds the suspected endpoints, each with the time until which it is not used.
	SuspectedUntil map[string]time.Time
	// BackedOffUntil holds the endpoints that refused or failed a request or broke it off, each with the time until which
	// others go before it.
	BackedOffUntil map[string]time.Time
	// HeldUntil holds the endpoints at which no path may begin, each with the time until which that is so.
	HeldUntil map[string]time.Time
	// WaitingPromptTokens holds, by endpoint, the prompt tokens that this instance has sent and for which no event
	// has come yet.
	WaitingPromptTokens map[string]float64
	// SlowFactors holds, for each endpoint that was found slow, how many times longer than expected it takes.
	SlowFactors map[string]float64

	// Spiller decides which requests may begin in other data centres, and what crossing costs.
	Spiller *spiller.Spiller
	// loadsAt is when the spiller last received the loads of the data centres.
	loadsAt time.Time

	// InstanceCount is the number of instances of the fleet, this one included.
	InstanceCount int

	peers     map[string]peer
	peerUsage Usage
	// peerDemands holds the requests that the other instances receive, and sharedDemands those by which the last free memory is
	// shared out. acceptedSlots holds the endpoints that accept only some of the slots, with those of each priority, acceptedShares the
	// means by priority, and slot is the one of this instance's requests.
	peerDemands    []Demand
	sharedDemands  []Demand
	acceptedSlots  map[string][]uint32
	acceptedShares []float64
	slot           int
	// requestTime is the mean of the times for which granted requests hold their memory.
	requestTime time.Duration

	boundaries []int
	// endpointIDs holds the ids of Endpoints in order: the same random numbers lead to the same paths.
	endpointIDs []string
	random      *rand.Rand
}

// New returns a reserver for an instance in a data centre.
func New(centre string, random *rand.Rand) *Reserver {
	return &Reserver{
		DataCentre:          centre,
		Spiller:             spiller.New(centre),
		Endpoints:           map[string]Endpoint{},
		OwnUsage:            Usage{},
		SuspectedUntil:      map[string]time.Time{},
		SlowFactors:         map[string]float64{},
		BackedOffUntil:      map[string]time.Time{},
		HeldUntil:           map[string]time.Time{},
		WaitingPromptTokens: map[string]float64{},
		peers:               map[string]peer{},
		peerUsage:           Usage{},
		requestTime:         defaultRequestTime,
		random:              random,
	}
}

// UpdateEndpoints replaces the engine and its endpoints. An endpoint that held no layers and now holds some is no
// longer suspected.
func (r *Reserver) UpdateEndpoints(_ time.Time, e *placer.Engine, endpoints []Endpoint) {
	r.Engine = e
	old := r.Endpoints
	r.Endpoints = map[string]Endpoint{}
	boundaries := map[int]bool{0: true, e.Layers: true}
	for _, endpoint := range endpoints {
		r.Endpoints[endpoint.ID] = endpoint
		if !endpoint.Held.Empty() {
			boundaries[endpoint.Held.From], boundaries[endpoint.Held.To] = true, true
		}
		if previous, ok := old[endpoint.ID]; ok && previous.Held.Empty() && !endpoint.Held.Empty() {
			delete(r.SuspectedUntil, endpoint.ID)
		}
	}
	isGone := func(id string) bool { _, ok := r.Endpoints[id]; return !ok }
	maps.DeleteFunc(r.SlowFactors, func(id string, _ float64) bool { return isGone(id) })
	maps.DeleteFunc(r.BackedOffUntil, func(id string, _ time.Time) bool { return isGone(id) })
	r.boundaries = r.boundaries[:0]
	for boundary := range boundaries {
		if boundary >= 0 && boundary <= e.Layers {
			r.boundaries = append(r.boundaries, boundary)
		}
	}
	slices.Sort(r.boundaries)
	r.endpointIDs = slices.Sorted(maps.Keys(r.Endpoints))
	r.describeLinks()
}

// SetPeerUsage replaces what another instance has reserved.
func (r *Reserver) SetPeerUsage(now time.Time, name string, u Usage) {
	r.peers[name] = peer{u, now}
	r.sumPeerUsage(now)
	r.updateLoads(now)
}

// RemovePeer drops what another instance had reserved.
func (r *Reserver) RemovePeer(now time.Time, name string) {
	delete(r.peers, name)
	r.sumPeerUsage(now)
}

// sumPeerUsage adds up what the other instances have reserved, and drops expired peers.
func (r *Reserver) sumPeerUsage(now time.Time) {
	r.peerUsage = Usage{}
	for name, p := range r.peers {
		if now.Sub(p.receivedAt) > peerExpiry {
			delete(r.peers, name)
			continue
		}
		for id, n := range p.usage {
			r.peerUsage[id] += n
		}
	}
	r.shareRoom(now)
}

// UsedShare returns the share of an endpoint's memory that is reserved.
func (r *Reserver) UsedShare(id string) float64 {
	e := r.Endpoints[id]
	memory := r.memory(e)
	if memory <= 0 {
		return 1
	}
	return r.reservedByAll(id) / memory
}

// reservedByAll returns what all instances have reserved on an endpoint or a link. While the usage of no other
// instance is known, as after a restart of all of them, each is assumed to have reserved as much as this one.
func (r *Reserver) reservedByAll(name string) float64 {
	if len(r.peers) == 0 {
		return r.OwnUsage[name] * float64(max(1, r.InstanceCount))
	}
	return r.OwnUsage[name] + r.peerUsage[name]
}

// memory returns the memory of an endpoint, in tokens times layers.
func (r *Reserver) memory(e Endpoint) float64 {
	n := e.Held.Len()
	return float64(r.Engine.TokenCapacity(r.Engine.Cards[e.Card], n) * n)
}

// Reserve returns the path of least cost, and reserves memory and link rate on it.
func (r *Reserver) Reserve(now time.Time, req PathRequest) (Path, Refusal) {
	p, refusal := r.reserve(now, req)
	if (refusal == Uncovered || refusal == Held) && (r.isAnyBackedOff(now) || r.Spiller.IsAnyClosed(now)) {
		req.includeBackedOff = true
		p, refusal = r.reserve(now, req)
	}
	return p, refusal
}

// reserve is Reserve among the candidates for a request.
func (r *Reserver) reserve(now time.Time, req PathRequest) (Path, Refusal) {
	if r.Engine == nil || len(r.boundaries) < 2 {
		return Path{}, Uncovered
	}
	tokens := (req.PromptTokens + req.AnswerTokens + blockTokens - 1) / blockTokens * blockTokens
	s := newSearch(r, now, req, tokens)
	stages, ok := s.findPath()
	if !ok {
		return Path{}, r.refusalReason(now, req, tokens)
	}
	p := Path{Stages: stages, Tokens: tokens, LinkRate: s.linkRate(), PromptTokens: req.PromptTokens}
	s.addCrossings(&p)
	for _, name := range p.crossedLinks() {
		r.OwnUsage[name] += p.LinkRate
	}
	for _, stage := range stages {
		r.OwnUsage[stage.Endpoint.ID] += float64(tokens * stage.Range.Len())
		r.WaitingPromptTokens[stage.Endpoint.ID] += float64(req.PromptTokens)
		read, step := s.stageTimes(stage.Endpoint, stage.Range)
		p.TimeToFirstToken += read + step + s.queueTime(stage.Endpoint, stage.Range)
		p.TimePerToken += step + hopDelay
	}
	held := p.TimeToFirstToken + time.Duration(req.AnswerTokens)*p.TimePerToken
	r.requestTime += time.Duration(requestTimeWeight * float64(held-r.requestTime))
	return p, Granted
}

// refusalReason returns why there is no path for a request.
func (r *Reserver) refusalReason(now time.Time, req PathRequest, tokens int) Refusal {
	largest := 0
	covered := make([]bool, r.Engine.Layers)
	for _, e := range r.Endpoints {
		if !r.isCandidate(now, req, e) {
			continue
		}
		largest = max(largest, r.Engine.TokenCapacity(r.Engine.Cards[e.Card], e.Held.Len()))
		for l := e.Held.From; l < min(e.Held.To, len(covered)); l++ {
			covered[l] = true
		}
	}
	if slices.Contains(covered, false) {
		return Uncovered
	}
	if _, held := r.heldFor(now, req); held {
		return Held
	}
	if tokens > largest {
		return TooLarge
	}
	return Full
}

// crossedLinks returns the names of the links between data centres on a path, once for each crossing.
func (p Path) crossedLinks() []string {
	var out []string
	for i := 1; i < len(p.Stages); i++ {
		if a, b := p.Stages[i-1].Endpoint.DataCentre, p.Stages[i].Endpoint.DataCentre; a != b {
			out = append(out, linkName(a, b))
		}
	}
	return out
}

// MarkPromptRead records that the prompt has been read on a path, or that the path is given up. It must be called
// once for each path, before Release.
func (r *Reserver) MarkPromptRead(p Path) {
	for _, stage := range p.Stages {
		id := stage.Endpoint.ID
		if r.WaitingPromptTokens[id] -= float64(p.PromptTokens); r.WaitingPromptTokens[id] <= 0 {
			delete(r.WaitingPromptTokens, id)
		}
	}
}

// Release gives back what was reserved on a path.
func (r *Reserver) Release(p Path) {
	for _, stage := range p.Stages {
		r.reduceOwn(stage.Endpoint.ID, float64(p.Tokens*stage.Range.Len()))
	}
	for _, name := range p.crossedLinks() {
		r.reduceOwn(name, p.LinkRate)
	}
}

// reduceOwn subtracts from what this instance has reserved. It drops a remainder that is only a rounding error.
func (r *Reserver) reduceOwn(name string, n float64) {
	if r.OwnUsage[name] -= n; r.OwnUsage[name] < 1e-6 {
		delete(r.OwnUsage, name)
	}
}

// TotalUsedShare returns the share of the memory of all usable endpoints that is reserved.
func (r *Reserver) TotalUsedShare(now time.Time) float64 {
	if r.Engine == nil {
		return 1
	}
	memory, used := 0.0, 0.0
	for _, e := range r.Endpoints {
		if r.isUsable(now, e, nil) {
			memory += r.memory(e)
			used += r.reservedByAll(e.ID)
		}
	}
	if memory <= 0 {
		return 1
	}
	return math.Min(1, used/memory)
}

// compareNodes orders nodes by their cost.
func compareNodes(a, b *node) int { return cmp.Compare(a.cost, b.cost) }
