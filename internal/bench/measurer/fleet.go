package measurer

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/assigner"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
)

// messageOverheadBytes is the size of a message on the wire besides its content: the headers of IP, TCP and TLS, an
// acknowledgement, and the header of net/rpc.
const messageOverheadBytes = 40 + 22 + 40 + 28

// shape is the size of a fleet. Its instances and endpoints are spread evenly over regions and data centres.
type shape struct {
	instances   int
	regions     int
	dataCentres int
	// endpoints is the number of endpoints of the whole fleet.
	endpoints int
	// loadsPerSecond is the rate of load reports for each endpoint, and changesPerSecond that of fleet-wide entries of
	// entryBytes for the whole fleet.
	loadsPerSecond   float64
	changesPerSecond float64
	entryBytes       int
}

// fleet is a set of instances in one process under a simulated clock. Messages are encoded and decoded as on a
// connection that stays open.
type fleet struct {
	shape shape
	now   time.Time
	r     *rand.Rand
	nodes []*gossiper.Gossiper
	// lastRound and nextRound are the times of each instance's last and next round.
	lastRound        []time.Time
	nextRound        []time.Time
	byID             map[string]*gossiper.Gossiper
	wire             *wire
	transferredBytes int
	messageCount     int
	// down holds the IDs of stopped instances. unreachable, unless nil, reports whether two instances cannot reach each
	// other.
	down        map[string]bool
	unreachable func(a, b gossiper.Peer) bool
	// entrySpreads holds the spread of each entry by key.
	entrySpreads map[string]*entrySpread
}

// entrySpread is when an entry was shared, the longest delay until an instance received it, and how many have received it.
type entrySpread struct {
	sharedAt     time.Time
	longestDelay time.Duration
	arrivalCount int
}

// wire encodes and decodes messages like an open connection.
type wire struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
	decoder *gob.Decoder
}

// newWire returns a wire that has already transmitted the type descriptions.
func newWire() *wire {
	w := &wire{}
	w.encoder, w.decoder = gob.NewEncoder(&w.buffer), gob.NewDecoder(&w.buffer)
	w.transfer(gossiper.Message{})
	return w
}

// transfer returns a message as decoded at the other end, and its encoded size in bytes.
func (w *wire) transfer(m gossiper.Message) (gossiper.Message, int) {
	if err := w.encoder.Encode(m); err != nil {
		panic(err)
	}
	size := w.buffer.Len()
	var out gossiper.Message
	if err := w.decoder.Decode(&out); err != nil {
		panic(err)
	}
	return out, size
}

// newFleet returns a fleet whose instances all have each other as peers.
func newFleet(seed uint64, s shape) *fleet {
	f := &fleet{
		shape: s, now: time.UnixMilli(1_700_000_000_000), r: rand.New(rand.NewPCG(seed, 7)),
		byID: map[string]*gossiper.Gossiper{}, wire: newWire(), down: map[string]bool{}, entrySpreads: map[string]*entrySpread{},
	}
	var peers []gossiper.Peer
	for i := range s.instances {
		dataCentre := i % s.dataCentres
		peers = append(peers, gossiper.Peer{
			ID:         fmt.Sprintf("entry-%03d", i),
			Address:    fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			DataCentre: fmt.Sprintf("centre-%d", dataCentre),
			Region:     fmt.Sprintf("region-%d", dataCentre%s.regions),
		})
	}
	for _, p := range peers {
		startedAt := f.now.Add(-time.Duration(f.r.IntN(int(maxInstanceAge))))
		g := gossiper.New(startedAt, p)
		g.Seed(peers)
		f.nodes, f.byID[p.ID] = append(f.nodes, g), g
		f.lastRound = append(f.lastRound, f.now)
		f.nextRound = append(f.nextRound, f.now.Add(time.Duration(f.r.IntN(int(time.Second/tickInterval)))*tickInterval))
	}
	return f
}

// maxInstanceAge bounds how long ago instances started, so that their slow heartbeats do not coincide.
const maxInstanceAge = time.Minute

// tickInterval is the time between checks of which instances begin a round.
const tickInterval = 200 * time.Millisecond

// run advances time by a number of seconds. Instances begin a round each second, and sooner with urgent entries.
func (f *fleet) run(seconds int) {
	for range seconds * int(time.Second/tickInterval) {
		for i, g := range f.nodes {
			if f.now.Before(f.nextRound[i]) || f.down[g.Self.ID] {
				continue
			}
			f.shareChanges(g, f.now.Sub(f.lastRound[i]))
			f.runRound(g)
			f.lastRound[i] = f.now
			f.nextRound[i] = f.now.Add(g.RoundInterval(time.Second))
		}
		f.now = f.now.Add(tickInterval)
	}
}

// runRound runs one round of an instance.
func (f *fleet) runRound(g *gossiper.Gossiper) {
	f.recordArrivals(g.BeginRound(f.now))
	for _, p := range g.PickPeers(f.now, f.r) {
		f.runExchange(g, p)
	}
}

// shareChanges shares an instance's changes of a period: load reports of its share of the endpoints, and fleet-wide
// entries.
func (f *fleet) shareChanges(g *gossiper.Gossiper, elapsed time.Duration) {
	ownEndpoints := float64(f.shape.endpoints) / float64(f.shape.instances)
	for range f.drawCount(ownEndpoints * f.shape.loadsPerSecond * elapsed.Seconds()) {
		key := fmt.Sprintf("%s-e%d", g.Self.ID, f.r.IntN(max(1, int(ownEndpoints))))
		load := assigner.Load{Running: f.r.IntN(64), Waiting: f.r.IntN(8), Rate: 4096}
		g.Put(f.now, gossiper.TopicLoad, key, load.Quantised().Encode(), time.Minute)
	}
	for range f.drawCount(f.shape.changesPerSecond / float64(f.shape.instances) * elapsed.Seconds()) {
		key := fmt.Sprint("c", len(f.entrySpreads))
		g.Put(f.now, gossiper.TopicHead, key, make([]byte, f.shape.entryBytes), 2*time.Minute)
		f.entrySpreads[key] = &entrySpread{sharedAt: f.now}
	}
}

// drawCount returns a random whole number with the given mean.
func (f *fleet) drawCount(mean float64) int {
	whole := int(mean)
	if f.r.Float64() < mean-float64(whole) {
		whole++
	}
	return whole
}

// runExchange runs the exchange of an instance with a peer.
func (f *fleet) runExchange(g *gossiper.Gossiper, p gossiper.Peer) {
	if f.down[p.ID] || f.unreachable != nil && f.unreachable(g.Self, p) {
		g.RecordFailure(f.now, p.ID)
		return
	}
	ends := [2]*gossiper.Gossiper{f.byID[p.ID], g}
	m := g.Open(f.now, p)
	for turn := 0; !m.IsEmpty(); turn++ {
		received, size := f.wire.transfer(m)
		f.transferredBytes += size + messageOverheadBytes
		f.messageCount++
		var entries []gossiper.Entry
		m, entries = ends[turn%2].Handle(f.now, received)
		f.recordArrivals(entries)
	}
}

// recordArrivals records the arrival of fleet-wide entries.
func (f *fleet) recordArrivals(entries []gossiper.Entry) {
	for _, e := range entries {
		a := f.entrySpreads[e.Key]
		if e.Topic != gossiper.TopicHead || e.Deleted || a == nil {
			continue
		}
		a.arrivalCount++
		a.longestDelay = max(a.longestDelay, f.now.Sub(a.sharedAt))
	}
}

// spreadBefore returns the longest time in which an entry shared before a time reached an instance, and the number of
// entries that did not reach all.
func (f *fleet) spreadBefore(before time.Time) (time.Duration, int) {
	var longest time.Duration
	missing := 0
	for _, a := range f.entrySpreads {
		if !a.sharedAt.Before(before) {
			continue
		}
		longest = max(longest, a.longestDelay)
		if a.arrivalCount < len(f.nodes)-1 {
			missing++
		}
	}
	return longest, missing
}
