// Package observer keeps an instance's picture of the endpoints: it reads the platform's list and each engine's load.
package observer

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/platform/lister"
	"github.com/heatherrock/heatherrock/internal/platform/streamer"
	"github.com/heatherrock/heatherrock/internal/routing/picker"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

// Engines reads what engines tell of themselves.
type Engines interface {
	Load(ctx context.Context, address string) (streamer.Load, error)
}

// Router takes in what is known of engines.
type Router interface {
	Observe(now time.Time, e planner.Endpoint, r picker.Report)
	Leave(now time.Time, id string)
	Remove(now time.Time, id string)
}

// Services takes in what is known of the endpoints of plain services.
type Services interface {
	ObserveService(now time.Time, id, address, service string)
	LeaveService(now time.Time, id string)
	RemoveService(now time.Time, id string)
}

// Observer polls the list and the engines.
type Observer struct {
	list     lister.Lister
	engines  Engines
	router   Router
	services Services
	clock    func() time.Time
	log      *slog.Logger
	every    time.Duration
	report   time.Duration
	done     chan struct{}
	wait     sync.WaitGroup

	mu     sync.Mutex
	known  map[string]lister.Instance
	ending map[string]chan struct{}
}

// New returns an observer that reads the list and each engine's load at the given intervals once started.
func New(l lister.Lister, e Engines, r Router, s Services, every, report time.Duration, clock func() time.Time, log *slog.Logger) *Observer {
	return &Observer{
		list: l, engines: e, router: r, services: s, clock: clock, log: log, every: every, report: report,
		done: make(chan struct{}), known: map[string]lister.Instance{}, ending: map[string]chan struct{}{},
	}
}

// Start begins to read.
func (o *Observer) Start() {
	o.wait.Add(1)
	go o.loopList()
}

// Close ends the reads.
func (o *Observer) Close() {
	close(o.done)
	o.wait.Wait()
}

// loopList reads the list until done is closed.
func (o *Observer) loopList() {
	defer o.wait.Done()
	t := time.NewTicker(o.every)
	defer t.Stop()
	for {
		o.read()
		select {
		case <-o.done:
			return
		case <-t.C:
		}
	}
}

// read reads the list once.
func (o *Observer) read() {
	ctx, cancel := context.WithTimeout(context.Background(), o.every+time.Second)
	defer cancel()
	list, err := o.list.List(ctx)
	if err != nil {
		o.log.Debug("instance list not read", "error", err)
		return
	}
	o.take(o.clock(), list)
}

// take takes in a list.
func (o *Observer) take(now time.Time, list []lister.Instance) {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := map[string]bool{}
	for _, i := range list {
		seen[i.ID] = true
		o.listed(now, i)
	}
	for id, i := range o.known {
		if !seen[id] {
			o.gone(now, i)
		}
	}
}

// listed takes in one listed instance.
func (o *Observer) listed(now time.Time, i lister.Instance) {
	_, old := o.known[i.ID]
	o.known[i.ID] = i
	switch i.Role {
	case lister.RoleService:
		o.services.ObserveService(now, i.ID, i.Address, i.Service)
		if i.Leaving {
			o.services.LeaveService(now, i.ID)
		}
	case lister.RoleEngine:
		if i.Leaving {
			o.router.Leave(now, i.ID)
		}
		if !old {
			w := &engineWatch{observer: o, instance: i, done: make(chan struct{})}
			o.ending[i.ID] = w.done
			o.wait.Add(1)
			go w.loop()
		}
	}
}

// gone forgets an instance that is no longer listed.
func (o *Observer) gone(now time.Time, i lister.Instance) {
	delete(o.known, i.ID)
	switch i.Role {
	case lister.RoleService:
		o.services.RemoveService(now, i.ID)
	case lister.RoleEngine:
		close(o.ending[i.ID])
		delete(o.ending, i.ID)
		o.router.Remove(now, i.ID)
	}
}

// engineWatch reads the load of one engine.
type engineWatch struct {
	observer *Observer
	instance lister.Instance
	done     chan struct{}
}

// loop reads the engine's load until it is no longer listed or the observer ends.
func (w *engineWatch) loop() {
	defer w.observer.wait.Done()
	t := time.NewTicker(w.observer.report)
	defer t.Stop()
	for {
		w.read()
		select {
		case <-w.done:
			return
		case <-w.observer.done:
			return
		case <-t.C:
		}
	}
}

// read reads the load once.
func (w *engineWatch) read() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	l, err := w.observer.engines.Load(ctx, w.instance.Address)
	if err != nil {
		return
	}
	now := w.observer.clock()
	e := planner.Endpoint{
		ID: w.instance.ID, Address: w.instance.Address, Kind: l.Kind, DataCentre: w.instance.DataCentre,
		Region: w.instance.Region, Adapters: l.Adapters, Rate: l.Rate,
	}
	for _, h := range l.Held {
		e.Held = append(e.Held, planner.Held(h))
	}
	select {
	case <-w.done:
		return
	default:
	}
	w.observer.router.Observe(now, e, picker.Report{Running: l.Running, Waiting: l.Waiting, Rate: l.Rate, At: time.UnixMilli(l.Stamp)})
	if l.Leaving {
		w.observer.router.Leave(now, w.instance.ID)
	}
}
