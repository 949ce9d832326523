// Package accountant keeps the instances of a fleet informed of what all of them have reserved, and of how far the
// platform's tables have been read.
//
// Each data centre has a home, one of its instances. The others tell it what they have reserved and are told what the rest
// of the fleet has; homes tell each other the sums of their data centres. The traffic of an instance does not grow with
// the number of instances. Nothing rests on the home: without an answer of it, an instance turns to the next one and to the
// store itself.
package accountant

import (
	"context"
	"log/slog"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/routing/limiter"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
	"github.com/heatherrock/heatherrock/internal/serving/exchanger"
)

// Holding is what instances hold of one service, and what they have sent to it.
type Holding struct {
	// Memory is what is reserved of the endpoints.
	Memory reserver.Usage
	// Sent counts the requests and those sent again over the window of the budget for retries.
	Sent limiter.Tally
	// Dead holds endpoints that did not answer an instance of late, and Alive those that passed an event to one nonetheless.
	Dead  []string
	Alive []string
}

// Usages are the holdings by service.
type Usages map[string]Holding

// Report is what an instance or a home tells a home.
type Report struct {
	Owner  string
	Centre string
	// Home is set if the report is the sum of a data centre.
	Home   bool
	Usages Usages
}

// Reply is what a home answers.
type Reply struct {
	// Usages is what the rest of the fleet has reserved, for an instance, or what the data centre has, for a home.
	Usages Usages
	// Heads is how far the home has read each table of the store, and Fresh is set if it reads them from the store.
	Heads map[string]int64
	Fresh bool
}

// Tables tells how far tables have been read, and is told how far a peer has and whether the store need not be asked.
type Tables interface {
	Heads() (heads map[string]int64, fresh bool)
	Follow(now time.Time, peer gossiper.Peer, heads map[string]int64, rest bool)
}

// The intervals of an Accountant.
const (
	// interval is the time between reports: a twentieth of the time that a usual answer takes.
	interval = 120 * time.Millisecond
	// callTime bounds a report. An answer within a region takes a few milliseconds.
	callTime = 400 * time.Millisecond
	// shunTime is how long a peer that did not answer is not turned to.
	shunTime = 2 * time.Second
	// expiry is how long a report counts.
	expiry = 2 * time.Second
	// readers is the number of instances in each data centre that read the store themselves. One that is cut off from the
	// store without a sign goes on as if nothing changed; that all of them are at once is left to gossip.
	readers = 3
)

// Accountant is one instance's part in the accounts.
type Accountant struct {
	self     gossiper.Peer
	exchange *exchanger.Exchanger
	tables   Tables
	log      *slog.Logger
	clock    func() time.Time
	// own returns what this instance has reserved, and told is called with what the others have.
	own  func() Usages
	told func(now time.Time, others Usages)

	done chan struct{}
	wait sync.WaitGroup

	mu      sync.Mutex
	members map[string]account
	centres map[string]account
	shunned map[string]time.Time
	home    string
}

// account is what one owner reported.
type account struct {
	usages Usages
	seen   time.Time
}

// New returns the accountant of an instance. Own returns what it has reserved; told takes what the others have.
func New(self gossiper.Peer, x *exchanger.Exchanger, t Tables, own func() Usages, told func(time.Time, Usages),
	log *slog.Logger, clock func() time.Time,
) *Accountant {
	a := &Accountant{
		self: self, exchange: x, tables: t, own: own, told: told, log: log, clock: clock, done: make(chan struct{}),
		members: map[string]account{}, centres: map[string]account{}, shunned: map[string]time.Time{},
	}
	if err := x.Register("Accounts", &Accounts{a}); err != nil {
		panic(err) // The methods have the form that net/rpc asks for.
	}
	return a
}

// Start begins to report.
func (a *Accountant) Start() {
	a.wait.Add(1)
	go a.loop()
}

// Close ends the reports.
func (a *Accountant) Close() {
	close(a.done)
	a.wait.Wait()
}

// loop reports until done is closed.
func (a *Accountant) loop() {
	defer a.wait.Done()
	t := time.NewTicker(interval)
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

// report tells the home of the data centre, or the other homes if this instance is the home.
func (a *Accountant) report() {
	now := a.clock()
	peers := a.exchange.Peers()
	a.mu.Lock()
	for id, until := range a.shunned {
		if now.After(until) {
			delete(a.shunned, id)
		}
	}
	homes := Homes(a.self, peers, func(id string) bool { return now.Before(a.shunned[id]) })
	home := homes[a.self.DataCentre]
	if home.ID != a.home {
		a.log.Info("home of the accounts", "centre", a.self.DataCentre, "home", home.ID, "before", a.home)
		a.home = home.ID
	}
	a.mu.Unlock()
	if home.ID != a.self.ID {
		a.tell(now, home, Report{Owner: a.self.ID, Centre: a.self.DataCentre, Usages: a.own()}, Rank(a.self, peers) >= readers)
		return
	}
	sum := a.sum(now, "", false)
	var wait sync.WaitGroup
	for centre, peer := range homes {
		if centre == a.self.DataCentre {
			continue
		}
		wait.Add(1)
		go a.run(&wait, now, peer, Report{Owner: a.self.ID, Centre: a.self.DataCentre, Home: true, Usages: sum})
	}
	wait.Wait()
	a.told(a.clock(), a.sum(a.clock(), a.self.ID, true))
}

// run tells one other home.
func (a *Accountant) run(wait *sync.WaitGroup, now time.Time, peer gossiper.Peer, r Report) {
	defer wait.Done()
	a.tell(now, peer, r, false)
}

// tell makes one report and takes the answer in. If the peer reads the store, this instance may rest its own reading.
func (a *Accountant) tell(now time.Time, peer gossiper.Peer, r Report, rest bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	var reply Reply
	if err := a.exchange.Call(ctx, peer, "Accounts.Report", r, &reply); err != nil {
		a.log.Debug("home did not answer", "home", peer.ID, "error", err)
		a.mu.Lock()
		a.shunned[peer.ID] = now.Add(shunTime)
		a.mu.Unlock()
		return
	}
	if !r.Home {
		a.tables.Follow(a.clock(), peer, reply.Heads, reply.Fresh && rest)
		a.told(a.clock(), reply.Usages)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.centres[peer.DataCentre] = account{reply.Usages, now}
}

// sum returns what is reserved in the data centre by all but one owner, and with others also in the other data centres.
// Sums are rounded to whole numbers, which take few bytes.
func (a *Accountant) sum(now time.Time, but string, others bool) Usages {
	own := a.own()
	a.mu.Lock()
	defer a.mu.Unlock()
	out := Usages{}
	if but != a.self.ID {
		out.add(own)
	}
	for id, m := range a.members {
		if now.Sub(m.seen) > expiry {
			delete(a.members, id)
		} else if id != but {
			out.add(m.usages)
		}
	}
	if others {
		for name, c := range a.centres {
			if now.Sub(c.seen) > expiry {
				delete(a.centres, name)
			} else {
				out.add(c.usages)
			}
		}
	}
	return out
}

// add adds usages.
func (u Usages) add(o Usages) {
	for service, other := range o {
		h := u[service]
		if h.Memory == nil {
			h.Memory = make(reserver.Usage, len(other.Memory))
		}
		for name, n := range other.Memory {
			h.Memory[name] += math.Round(n)
		}
		h.Sent.Requests += other.Sent.Requests
		h.Sent.Repeats += other.Sent.Repeats
		h.Sent.Age = max(h.Sent.Age, other.Sent.Age)
		h.Sent.Instances += other.Sent.Instances
		h.Dead, h.Alive = union(h.Dead, other.Dead), union(h.Alive, other.Alive)
		u[service] = h
	}
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

// Homes returns the home of each data centre: the living instance with the lowest id that is not shunned. An instance that
// shuns all others of its data centre is its own home.
func Homes(self gossiper.Peer, peers []gossiper.Peer, shunned func(id string) bool) map[string]gossiper.Peer {
	out := map[string]gossiper.Peer{self.DataCentre: self}
	for _, p := range peers {
		if p.Leaving || p.Region != self.Region || shunned(p.ID) {
			continue
		}
		if h, ok := out[p.DataCentre]; !ok || p.ID < h.ID {
			out[p.DataCentre] = p
		}
	}
	return out
}

// Rank returns how many living instances of its data centre come before an instance.
func Rank(self gossiper.Peer, peers []gossiper.Peer) int {
	n := 0
	for _, p := range peers {
		if !p.Leaving && p.DataCentre == self.DataCentre && p.Region == self.Region && p.ID < self.ID {
			n++
		}
	}
	return n
}

// Accounts holds the methods that peers call.
type Accounts struct {
	a *Accountant
}

// Report takes in what an instance or another data centre has reserved, and answers with what the others have.
func (s *Accounts) Report(r Report, reply *Reply) error {
	a := s.a
	now := a.clock()
	a.mu.Lock()
	if r.Home {
		a.centres[r.Centre] = account{r.Usages, now}
	} else {
		a.members[r.Owner] = account{r.Usages, now}
	}
	a.mu.Unlock()
	if r.Home {
		reply.Usages = a.sum(now, "", false)
		return nil
	}
	reply.Usages = a.sum(now, r.Owner, true)
	heads, fresh := a.tables.Heads()
	reply.Heads, reply.Fresh = maps.Clone(heads), fresh
	return nil
}
