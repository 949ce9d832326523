// Package accountant shares among the instances of a fleet what all of them have reserved, and up to which version the
// platform's tables have been read.
//
// In each data centre, one instance is the home, which aggregates the reports of the others. An instance reports its
// reservations to the home and receives the sum of the rest of the fleet; homes exchange the sums of their data centres.
// The traffic of an instance does not grow with the number of instances. No home is required: if it does not respond,
// an instance fails over to the next one and reads the store itself.
package accountant

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/control/replicator"
	"github.com/heatherrock/heatherrock/internal/routing/limiter"
	"github.com/heatherrock/heatherrock/internal/routing/prioritizer"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
	"github.com/heatherrock/heatherrock/internal/serving/exchanger"
)

// Holding is what instances have reserved of one service, and how many requests they have sent to it.
type Holding struct {
	// Memory is the reserved memory of each endpoint.
	Memory reserver.Usage
	// Sent counts the requests and the retries within the window of the retry budget.
	Sent limiter.Tally
	// Dead holds the endpoints that recently failed to respond to an instance, and Alive those that nonetheless passed
	// an event to one.
	Dead  []string
	Alive []string
	// Failing holds the endpoints that instances do not use because of failures, with the number of these instances.
	Failing map[string]int
	// Refused holds the hashes of the requests refused last for want of memory.
	Refused []uint32
	// Demand holds the requests of the last second, by priority; an earlier release omits it.
	Demand prioritizer.Sums
}

// Usages holds what is reserved, by service.
type Usages map[string]Holding

// Report is what an instance or another home reports to a home.
type Report struct {
	Owner  string
	Centre string
	// Home reports whether the sender is a home and the report the sum of its data centre.
	Home   bool
	Usages Usages
}

// Reply is a home's response to a Report.
type Reply struct {
	// Usages is what the rest of the fleet has reserved if an instance reported, and what the data centre of the
	// responding home has reserved if a home reported.
	Usages Usages
	// Heads is the version up to which the home has read each table of the store, and Eras its era; an earlier release states
	// no eras. Fresh reports whether the home reads them from the store itself.
	Heads map[string]int64
	Eras  map[string]int64
	Fresh bool
}

// setHeads states the heads of the tables, and whether they are read from the store.
func (r *Reply) setHeads(heads map[string]replicator.Head, fresh bool) {
	r.Heads, r.Eras, r.Fresh = make(map[string]int64, len(heads)), make(map[string]int64, len(heads)), fresh
	for table, h := range heads {
		r.Heads[table], r.Eras[table] = h.Version, h.Era
	}
}

// heads returns the heads of the tables, and whether the home tells of all changes. A home that states no eras does not: its
// versions cannot be compared.
func (r *Reply) heads() (heads map[string]replicator.Head, fresh bool) {
	heads = make(map[string]replicator.Head, len(r.Eras))
	for table, era := range r.Eras {
		heads[table] = replicator.Head{Version: r.Heads[table], Era: era}
	}
	return heads, r.Fresh && len(r.Eras) > 0
}

// Tables tracks up to which version this instance has read the tables of the store.
type Tables interface {
	// Heads returns the head of each table, and whether all are read from the store.
	Heads() (heads map[string]replicator.Head, fresh bool)
	// RecordPeerHeads records up to which version a peer has read the tables, whether it reads them from the store, and whether
	// this instance shall pause its own reads of the store meanwhile.
	RecordPeerHeads(now time.Time, peer gossiper.Peer, heads map[string]replicator.Head, fresh, pauseReads bool)
	// SetReader states whether this instance is one of those that read the store in any case.
	SetReader(isReader bool)
}

// The intervals of an Accountant.
const (
	// reportInterval is the time between reports: a twentieth of the duration of a typical generated answer.
	reportInterval = 120 * time.Millisecond
	// idleReportInterval is the time between reports while neither this instance nor the rest of the fleet has reserved
	// anything. It is less than the time for which a home's response pauses reads of the store.
	idleReportInterval = 360 * time.Millisecond
	// callTimeout bounds the call that sends a report. A call within a region takes a few milliseconds.
	callTimeout = 400 * time.Millisecond
	// peerCooldown is how long a peer that did not respond is not chosen as a home.
	peerCooldown = 2 * time.Second
	// reportExpiry is the time after which a report no longer counts.
	reportExpiry = 2 * time.Second
	// storeReaders is the number of instances in each data centre that read the store themselves. One whose reads hang
	// without an error continues as if nothing had changed. If all of them hang at once, changes still spread by gossip.
	storeReaders = 3
	// spareReaders is the number of further instances in each data centre that read the store while the home does not reach
	// it. The others wait for changes from peers: if all of a large fleet asked an unreachable store, the calls would cost
	// more than they could bring.
	spareReaders = 3
	// discoveryTime is how long after its start an instance may not have heard of all that started with it. Until then,
	// listed instances count as live for the choice of readers: otherwise all would follow the store while a fleet starts.
	discoveryTime = 4 * time.Second
)

// Accountant exchanges the reservations of one instance with those of the fleet.
type Accountant struct {
	self     gossiper.Peer
	exchange *exchanger.Exchanger
	tables   Tables
	log      *slog.Logger
	clock    func() time.Time
	// ownUsages returns what this instance has reserved. onUpdate is called with what the others have reserved.
	ownUsages func() Usages
	onUpdate  func(now time.Time, others Usages)

	done chan struct{}
	wait sync.WaitGroup
	// sentAt is when the last report was sent, and othersIdle whether its response stated that the others have reserved
	// nothing. Only loop uses them.
	sentAt     time.Time
	othersIdle bool

	mu sync.Mutex
	// members holds the reports of the instances of this data centre, this one included, and centres those of the other
	// data centres.
	members   *ledger
	centres   *ledger
	cooldowns map[string]time.Time
	home      string
	startedAt time.Time
	// refreshedAt is when the report of this instance was last recorded in members.
	refreshedAt time.Time
}

// New returns the accountant of an instance. The function ownUsages returns what the instance has reserved, and onUpdate
// is called with what the others have reserved.
func New(self gossiper.Peer, x *exchanger.Exchanger, t Tables, ownUsages func() Usages, onUpdate func(time.Time, Usages),
	log *slog.Logger, clock func() time.Time,
) *Accountant {
	a := &Accountant{
		self: self, exchange: x, tables: t, ownUsages: ownUsages, onUpdate: onUpdate, log: log, clock: clock, done: make(chan struct{}),
		members: newLedger(), centres: newLedger(), cooldowns: map[string]time.Time{},
	}
	if err := x.Register("Accounts", &Accounts{a}); err != nil {
		panic(err) // The methods have the form that net/rpc requires.
	}
	return a
}

// Start starts sending reports.
func (a *Accountant) Start() {
	a.startedAt = a.clock()
	a.wait.Add(1)
	go a.loop()
}

// Close stops sending reports and waits for the current one.
func (a *Accountant) Close() {
	close(a.done)
	a.wait.Wait()
}

// loop sends a report at each interval until done is closed.
func (a *Accountant) loop() {
	defer a.wait.Done()
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		select {
		case <-a.done:
			return
		case <-t.C:
			a.report()
		}
	}
}

// report sends a report to the home of the data centre, or to the other homes if this instance is the home.
func (a *Accountant) report() {
	now := a.clock()
	peers := a.exchange.LivePeers()
	homes := a.chooseHomes(now, peers)
	if now.Sub(a.startedAt) < discoveryTime {
		peers = a.exchange.KnownPeers()
	}
	rank := Rank(a.self, peers)
	a.tables.SetReader(rank < storeReaders)
	if home := homes[a.self.DataCentre]; home.ID != a.self.ID {
		a.reportToHome(now, home, rank)
		return
	}
	delete(homes, a.self.DataCentre)
	a.reportToHomes(now, homes)
}

// chooseHomes returns the home of each data centre, and logs a change of this instance's home.
func (a *Accountant) chooseHomes(now time.Time, peers []gossiper.Peer) map[string]gossiper.Peer {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, until := range a.cooldowns {
		if now.After(until) {
			delete(a.cooldowns, id)
		}
	}
	homes := Homes(a.self, peers, func(id string) bool { return now.Before(a.cooldowns[id]) })
	if home := homes[a.self.DataCentre]; home.ID != a.home {
		a.log.Info("data centre has a new home", "centre", a.self.DataCentre, "home", home.ID, "before", a.home)
		a.home = home.ID
	}
	return homes
}

// reportToHome sends a report to the home of the data centre, less often while nothing is reserved.
func (a *Accountant) reportToHome(now time.Time, home gossiper.Peer, rank int) {
	own := a.ownUsages()
	if own.isIdle() && a.othersIdle && now.Sub(a.sentAt) < idleReportInterval-reportInterval/2 {
		return
	}
	a.sentAt = now
	a.sendReport(now, home, Report{Owner: a.self.ID, Centre: a.self.DataCentre, Usages: own}, rank)
}

// reportToHomes sends the sum of this data centre to the homes of the others.
func (a *Accountant) reportToHomes(now time.Time, homes map[string]gossiper.Peer) {
	a.refresh(now)
	sum := a.sumOfCentre()
	var wait sync.WaitGroup
	for _, peer := range homes {
		wait.Add(1)
		go a.run(&wait, now, peer, Report{Owner: a.self.ID, Centre: a.self.DataCentre, Home: true, Usages: sum})
	}
	wait.Wait()
	a.onUpdate(a.clock(), a.sumOfOthers(a.self.ID))
}

// run sends a report to one other home.
func (a *Accountant) run(wait *sync.WaitGroup, now time.Time, peer gossiper.Peer, r Report) {
	defer wait.Done()
	a.sendReport(now, peer, r, 0)
}

// sendReport sends a report to a home and records the reply, which may pause this instance's own reads of the store,
// depending on its rank.
func (a *Accountant) sendReport(now time.Time, peer gossiper.Peer, r Report, rank int) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var reply Reply
	if err := a.exchange.Call(ctx, peer, "Accounts.Report", r, &reply); err != nil {
		a.log.Debug("report to home failed", "home", peer.ID, "error", err)
		a.mu.Lock()
		a.cooldowns[peer.ID] = now.Add(peerCooldown)
		a.mu.Unlock()
		return
	}
	if !r.Home {
		a.othersIdle = reply.Usages.isIdle()
		heads, fresh := reply.heads()
		a.tables.RecordPeerHeads(a.clock(), peer, heads, fresh, pausesReads(rank, fresh))
		a.onUpdate(a.clock(), reply.Usages)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.centres.record(now, peer.DataCentre, reply.Usages)
}

// refresh records what this instance has reserved and drops expired reports. It does nothing if it did so within
// half of reportInterval.
func (a *Accountant) refresh(now time.Time) {
	a.mu.Lock()
	due := now.Sub(a.refreshedAt) >= reportInterval/2
	a.mu.Unlock()
	if !due {
		return
	}
	own := a.ownUsages()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshedAt = now
	a.members.record(now, a.self.ID, own)
	a.members.expire(now)
	a.centres.expire(now)
}

// sumOfCentre returns what all instances of this data centre have reserved.
func (a *Accountant) sumOfCentre() Usages {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.members.sum("")
}

// sumOfOthers returns what all instances of the fleet but one of this data centre have reserved.
func (a *Accountant) sumOfOthers(except string) Usages {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.members.sum(except)
	out.merge(a.centres.sum(""))
	return out
}

// isIdle reports whether nothing is reserved, has been sent within the window of the retry budget or was found out about
// endpoints.
func (u Usages) isIdle() bool {
	for _, h := range u {
		if len(h.Memory) > 0 || h.Sent.Requests > 0 || h.Sent.Repeats > 0 || len(h.Dead) > 0 || len(h.Alive) > 0 || len(h.Failing) > 0 ||
			len(h.Refused) > 0 || len(h.Demand) > 0 {
			return false
		}
	}
	return true
}

// union returns the names of both lists, each once.
func union(a, b []string) []string {
	for _, name := range b {
		if !slices.Contains(a, name) {
			a = append(a, name)
		}
	}
	return a
}

// Homes returns the home of each data centre: the live instance with the lowest id that is not in its cooldown. An
// instance whose peers of its data centre are all in their cooldown is its own home.
func Homes(self gossiper.Peer, peers []gossiper.Peer, inCooldown func(id string) bool) map[string]gossiper.Peer {
	out := map[string]gossiper.Peer{self.DataCentre: self}
	for _, p := range peers {
		if p.Leaving || p.Region != self.Region || inCooldown(p.ID) {
			continue
		}
		if h, ok := out[p.DataCentre]; !ok || p.ID < h.ID {
			out[p.DataCentre] = p
		}
	}
	return out
}

// Rank returns how many live instances of the data centre of self have a lower id.
func Rank(self gossiper.Peer, peers []gossiper.Peer) int {
	n := 0
	for _, p := range peers {
		if !p.Leaving && p.DataCentre == self.DataCentre && p.Region == self.Region && p.ID < self.ID {
			n++
		}
	}
	return n
}

// pausesReads reports whether an instance with a rank pauses its reads of the store after a reply of its home. Fresh states
// whether the home reads the store itself.
func pausesReads(rank int, fresh bool) bool {
	return rank >= storeReaders+spareReaders || rank >= storeReaders && fresh
}

// Accounts holds the methods that peers call over net/rpc.
type Accounts struct {
	a *Accountant
}

// Report records what an instance or another data centre has reserved, and replies with what the others have reserved.
func (s *Accounts) Report(r Report, reply *Reply) error {
	a := s.a
	now := a.clock()
	a.refresh(now)
	a.mu.Lock()
	if r.Home {
		a.centres.record(now, r.Centre, r.Usages)
	} else {
		a.members.record(now, r.Owner, r.Usages)
	}
	a.mu.Unlock()
	if r.Home {
		reply.Usages = a.sumOfCentre()
		return nil
	}
	reply.Usages = a.sumOfOthers(r.Owner)
	reply.setHeads(a.tables.Heads())
	return nil
}
