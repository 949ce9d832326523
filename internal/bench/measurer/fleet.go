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

// messageBytes is what a message costs on the wire besides its content, in bytes: the headers of IP, TCP and TLS, an
// acknowledgement, and the header of net/rpc.
const messageBytes = 40 + 22 + 40 + 28

// shape is a fleet's size. Its instances and endpoints are spread evenly over regions and data centres.
type shape struct {
	instances int
	regions   int
	centres   int
	// endpoints counts the endpoints of the whole fleet.
	endpoints int
	// loads is the number of loads told a second for each endpoint, and changes that of fleet-wide entries of size
	// bytes for the whole fleet.
	loads   float64
	changes float64
	size    int
}

// fleet is a set of instances in one process, whose clock the measurement moves on. Messages are encoded and decoded as
// on a connection that stays open.
type fleet struct {
	shape shape
	now   time.Time
	r     *rand.Rand
	nodes []*gossiper.Gossiper
	// last and next are the times of each instance's last round and of the next.
	last  []time.Time
	next  []time.Time
	index map[string]*gossiper.Gossiper
	wire  *wire
	bytes int
	calls int
	// down names the instances that are gone, and cut tells whether two cannot reach each other, unless it is nil.
	down map[string]bool
	cut  func(a, b gossiper.Peer) bool
	// arrivals holds for each key when it was shared and when each instance had it.
	arrivals map[string]*arrival
}

// arrival is the spread of one entry: when it was shared, and after what time the last instance had it.
type arrival struct {
	shared time.Time
	last   time.Duration
	count  int
}

// wire encodes and decodes messages.
type wire struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
	decoder *gob.Decoder
}

// newWire returns a wire over which the types have been sent.
func newWire() *wire {
	w := &wire{}
	w.encoder, w.decoder = gob.NewEncoder(&w.buffer), gob.NewDecoder(&w.buffer)
	w.pass(gossiper.Message{})
	return w
}

// pass returns a message as the other end reads it, and its size in bytes.
func (w *wire) pass(m gossiper.Message) (gossiper.Message, int) {
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

// newFleet returns a fleet whose instances know each other.
func newFleet(seed uint64, s shape) *fleet {
	f := &fleet{
		shape: s, now: time.UnixMilli(1_700_000_000_000), r: rand.New(rand.NewPCG(seed, 7)),
		index: map[string]*gossiper.Gossiper{}, wire: newWire(), down: map[string]bool{}, arrivals: map[string]*arrival{},
	}
	var peers []gossiper.Peer
	for i := range s.instances {
		centre := i % s.centres
		peers = append(peers, gossiper.Peer{
			ID:         fmt.Sprintf("entry-%03d", i),
			Address:    fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			DataCentre: fmt.Sprintf("centre-%d", centre),
			Region:     fmt.Sprintf("region-%d", centre%s.regions),
		})
	}
	for _, p := range peers {
		born := f.now.Add(-time.Duration(f.r.IntN(int(bornBefore))))
		g := gossiper.New(born, p)
		g.Seed(peers)
		f.nodes, f.index[p.ID] = append(f.nodes, g), g
		f.last = append(f.last, f.now)
		f.next = append(f.next, f.now.Add(time.Duration(f.r.IntN(int(time.Second/step)))*step))
	}
	return f
}

// bornBefore is the time within which instances started, so that their slow heartbeats do not fall together.
const bornBefore = time.Minute

// step is the time between looks at which instances begin a round.
const step = 200 * time.Millisecond

// run lets a number of seconds pass. Instances begin a round a second, and sooner with urgent news.
func (f *fleet) run(seconds int) {
	for range seconds * int(time.Second/step) {
		for i, g := range f.nodes {
			if f.now.Before(f.next[i]) || f.down[g.Self.ID] {
				continue
			}
			f.tell(g, f.now.Sub(f.last[i]))
			f.round(g)
			f.last[i] = f.now
			f.next[i] = f.now.Add(g.RoundInterval(time.Second))
		}
		f.now = f.now.Add(step)
	}
}

// round lets one instance begin a round.
func (f *fleet) round(g *gossiper.Gossiper) {
	f.learn(g.BeginRound(f.now))
	for _, p := range g.PickPeers(f.now, f.r) {
		f.exchange(g, p)
	}
}

// tell shares what changed at an instance in a time: loads of its part of the endpoints, and fleet-wide entries.
func (f *fleet) tell(g *gossiper.Gossiper, past time.Duration) {
	mine := float64(f.shape.endpoints) / float64(f.shape.instances)
	for range f.draw(mine * f.shape.loads * past.Seconds()) {
		key := fmt.Sprintf("%s-e%d", g.Self.ID, f.r.IntN(max(1, int(mine))))
		load := assigner.Load{Running: f.r.IntN(64), Waiting: f.r.IntN(8), Rate: 4096}
		g.Put(f.now, gossiper.TopicLoad, key, load.Quantised().Encode(), time.Minute)
	}
	for range f.draw(f.shape.changes / float64(f.shape.instances) * past.Seconds()) {
		key := fmt.Sprint("c", len(f.arrivals))
		g.Put(f.now, gossiper.TopicHead, key, make([]byte, f.shape.size), 2*time.Minute)
		f.arrivals[key] = &arrival{shared: f.now}
	}
}

// draw returns a whole number with the given mean.
func (f *fleet) draw(mean float64) int {
	whole := int(mean)
	if f.r.Float64() < mean-float64(whole) {
		whole++
	}
	return whole
}

// exchange carries an exchange of two instances out.
func (f *fleet) exchange(g *gossiper.Gossiper, p gossiper.Peer) {
	if f.down[p.ID] || f.cut != nil && f.cut(g.Self, p) {
		g.RecordFailure(f.now, p.ID)
		return
	}
	ends := [2]*gossiper.Gossiper{f.index[p.ID], g}
	m := g.Open(f.now, p)
	for turn := 0; !m.IsEmpty(); turn++ {
		read, size := f.wire.pass(m)
		f.bytes += size + messageBytes
		f.calls++
		var entries []gossiper.Entry
		m, entries = ends[turn%2].Handle(f.now, read)
		f.learn(entries)
	}
}

// learn notes the arrival of fleet-wide entries.
func (f *fleet) learn(entries []gossiper.Entry) {
	for _, e := range entries {
		a := f.arrivals[e.Key]
		if e.Topic != gossiper.TopicHead || e.Deleted || a == nil {
			continue
		}
		a.count++
		a.last = max(a.last, f.now.Sub(a.shared))
	}
}

// spread returns the longest time in which an entry shared before a time reached all instances, and how many did not.
func (f *fleet) spread(before time.Time) (time.Duration, int) {
	var longest time.Duration
	missing := 0
	for _, a := range f.arrivals {
		if !a.shared.Before(before) {
			continue
		}
		longest = max(longest, a.last)
		if a.count < len(f.nodes)-1 {
			missing++
		}
	}
	return longest, missing
}
