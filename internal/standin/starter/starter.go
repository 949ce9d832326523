package starter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	platform "github.com/heatherrock/heatherrock/internal/client/fetcher"
	instances "github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/standin/booker"
	"github.com/heatherrock/heatherrock/internal/standin/decoder"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
	"github.com/heatherrock/heatherrock/internal/standin/fetcher"
	"github.com/heatherrock/heatherrock/internal/standin/lister"
	"github.com/heatherrock/heatherrock/internal/standin/storer"
	"github.com/heatherrock/heatherrock/internal/standin/tabler"
)

// The names of the stand-ins for the platform.
const (
	NameTables    = "tables"
	NameObjects   = "objects"
	NameInstances = "instances"
	NameWeights   = "weights"
)

// StandIn is one started stand-in. Its name is one of the Name constants, or the id of an engine or server.
type StandIn struct {
	Name   string
	Server *faulter.Server

	onRestore func()
}

// Starter runs the stand-ins of a fleet.
type Starter struct {
	Fleet Fleet
	// Table, List and Weights are nil if the fleet does not describe them.
	Table   *tabler.Table
	List    *lister.List
	Weights *fetcher.Store
	// Engines is keyed by the engine's id, Ledgers by the service's name.
	Engines map[string]*decoder.Decoder
	Ledgers map[string]*booker.Ledger

	standIns []*StandIn
	control  *faulter.Server

	mu    sync.Mutex
	links []Link
	// locations maps the address of each engine to its id and data centre.
	locations map[string]location
	// timers holds the timer of the latest restart of each stand-in, by name.
	timers map[string]*time.Timer
	closed bool
}

// location is the id and data centre of an engine, as one end of a link.
type location struct{ id, dataCentre string }

// Start starts all stand-ins of a fleet. If it returns an error, none of them runs.
func Start(f Fleet) (*Starter, error) {
	s := &Starter{
		Fleet:     f,
		Engines:   map[string]*decoder.Decoder{},
		Ledgers:   map[string]*booker.Ledger{},
		links:     f.Links,
		locations: map[string]location{},
		timers:    map[string]*time.Timer{},
	}
	for _, start := range []func() error{
		s.startTables, s.startObjects, s.startWeights, s.startEngines, s.startServices, s.startInstances, s.startControl,
	} {
		if err := start(); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

// Close stops all stand-ins.
func (s *Starter) Close() {
	s.mu.Lock()
	s.closed = true
	for _, t := range s.timers {
		t.Stop()
	}
	s.mu.Unlock()
	if s.control != nil {
		s.control.Close()
	}
	for _, p := range s.standIns {
		p.Server.Close()
	}
	for _, e := range s.Engines {
		e.Close()
	}
}

// StandIn returns the stand-in with a name, which is a Name constant or the id of an engine or server, or nil if there
// is none.
func (s *Starter) StandIn(name string) *StandIn {
	for _, p := range s.standIns {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// StandIns returns all stand-ins in the order in which they were started.
func (s *Starter) StandIns() []*StandIn {
	return s.standIns
}

// URL returns the base URL of the stand-in with a name, or an empty string if there is none.
func (s *Starter) URL(name string) string {
	p := s.StandIn(name)
	if p == nil {
		return ""
	}
	return "http://" + p.Server.Address()
}

// ControlURL returns the base URL of the control listener.
func (s *Starter) ControlURL() string {
	return "http://" + s.control.Address()
}

// Crash ends the stand-in's process until Restore.
func (p *StandIn) Crash() {
	p.Server.Crash()
}

// Restore starts the stand-in again after a crash.
func (p *StandIn) Restore() error {
	if p.onRestore != nil {
		p.onRestore()
	}
	return p.Server.Restore()
}

// newFaults returns an empty set of faults for the next stand-in, with a random sequence of its own.
func (s *Starter) newFaults() *faulter.Faults {
	return faulter.NewFaults(s.Fleet.Seed<<16 + uint64(len(s.standIns)))
}

// startStandIn starts the server of a stand-in and adds the stand-in to the list.
func (s *Starter) startStandIn(p *StandIn) error {
	if err := p.Server.Restore(); err != nil {
		return merry.Prepend(err, p.Name)
	}
	s.standIns = append(s.standIns, p)
	return nil
}

// startStateless starts a stand-in that loses no state in a crash.
func (s *Starter) startStateless(name, address string, h http.Handler, f *faulter.Faults) error {
	return s.startStandIn(&StandIn{Name: name, Server: faulter.NewServer(listenAddress(address), h, f, nil)})
}

// listenAddress returns the address to listen on: a free port of 127.0.0.1 if the given one is empty.
func listenAddress(address string) string {
	if address == "" {
		return "127.0.0.1:0"
	}
	return address
}

func (s *Starter) startTables() error {
	c := s.Fleet.Tables
	if c == nil {
		return nil
	}
	faults := s.newFaults()
	s.Table = tabler.New(tabler.WithFaults(faults), tabler.WithRates(c.WritesPerSecond, c.ReadsPerSecond))
	return s.startStateless(NameTables, c.Address, s.Table.Handler(), faults)
}

func (s *Starter) startObjects() error {
	c := s.Fleet.Objects
	if c == nil {
		return nil
	}
	faults := s.newFaults()
	store := storer.New(faults, storer.WithRates(c.WritesPerSecond, c.ReadsPerSecond))
	return s.startStateless(NameObjects, c.Address, store.Handler(), faults)
}

func (s *Starter) startWeights() error {
	c := s.Fleet.Weights
	if c == nil {
		return nil
	}
	faults := s.newFaults()
	options := []fetcher.Option{fetcher.WithFaults(faults)}
	if c.BytesPerSecond > 0 {
		options = append(options, fetcher.WithBytesPerSecond(c.BytesPerSecond))
	}
	if c.LayerBytes > 0 {
		options = append(options, fetcher.WithLayerBytes(c.LayerBytes))
	}
	s.Weights = fetcher.New(options...)
	return s.startStateless(NameWeights, c.Address, s.Weights.Handler(), faults)
}

func (s *Starter) startServices() error {
	for name, c := range s.Fleet.Services {
		s.Ledgers[name] = booker.NewLedger(c.Stock)
	}
	for _, c := range s.Fleet.Servers {
		service := s.Fleet.Services[c.Service]
		h := booker.New(s.Ledgers[c.Service], service.EffectPath, service.HasLookup)
		if err := s.startStateless(c.ID, c.Address, h, s.newFaults()); err != nil {
			return err
		}
	}
	return nil
}

// startInstances starts the instance list. It runs after the engines and servers have started, because their addresses
// are in the list.
func (s *Starter) startInstances() error {
	c := s.Fleet.Instances
	if c == nil {
		return nil
	}
	list := append([]instances.Instance{}, s.Fleet.Entries...)
	for _, e := range s.Fleet.Engines {
		list = append(list, instances.Instance{
			ID: e.ID, Role: instances.RoleEngine, Address: s.StandIn(e.ID).Server.Address(),
			DataCentre: e.DataCentre, Region: e.Region, Kind: e.Kind,
		})
	}
	for _, v := range s.Fleet.Servers {
		list = append(list, instances.Instance{
			ID: v.ID, Role: instances.RoleService, Service: v.Service, Address: s.StandIn(v.ID).Server.Address(),
			DataCentre: v.DataCentre, Region: v.Region,
		})
	}
	faults := s.newFaults()
	s.List = lister.New(list, lister.WithLag(time.Duration(c.Lag)), lister.WithFaults(faults))
	return s.startStateless(NameInstances, c.Address, s.List.Handler(), faults)
}

func (s *Starter) startEngines() error {
	for _, e := range s.Fleet.Engines {
		if err := s.startEngine(e); err != nil {
			return err
		}
	}
	return nil
}

// startEngine starts one engine. A crash of the engine crashes its server, and the other way round.
func (s *Starter) startEngine(e Engine) error {
	kind := s.Fleet.Kinds[e.Kind]
	faults := s.newFaults()
	p := &StandIn{Name: e.ID}
	engine := decoder.New(s.engineOptions(e, kind, p, faults)...)
	s.Engines[e.ID] = engine
	p.onRestore = engine.Restore
	p.Server = faulter.NewServer(listenAddress(e.Address), engine, faults, func() {
		engine.Crash()
		s.scheduleRestart(p, time.Duration(kind.RestartDelay))
	})
	if err := s.startStandIn(p); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.locations[p.Server.Address()] = location{e.ID, e.DataCentre}
	return nil
}

// engineOptions returns the options for the decoder of one engine.
func (s *Starter) engineOptions(e Engine, kind Kind, p *StandIn, faults *faulter.Faults) []decoder.Option {
	options := []decoder.Option{
		decoder.WithEndpoint(e.ID), decoder.WithKind(e.Kind), decoder.WithLayerRanges(e.Held...),
		decoder.WithAdapters(e.Adapters...), decoder.WithPoisonMarker(kind.PoisonMarker), decoder.WithLag(time.Duration(kind.Lag)),
		decoder.WithFaults(faults), decoder.WithStageTimeout(time.Duration(kind.StageTimeout)),
		decoder.WithTiming(decoder.Timing{
			LayerTime: time.Duration(kind.LayerTime), PrefillTime: time.Duration(kind.PrefillTime), MaxBatch: kind.MaxBatch,
		}),
		decoder.WithCrash(func() { p.Server.Crash() }),
		decoder.WithLinkDelay(s.linkDelay(location{e.ID, e.DataCentre})),
	}
	if kind.ChecksFencing {
		options = append(options, decoder.WithFencing())
	}
	if kind.PingInterval > 0 {
		options = append(options, decoder.WithPingInterval(time.Duration(kind.PingInterval)))
	}
	if kind.CacheSize > 0 {
		options = append(options, decoder.WithCacheSize(kind.CacheSize))
	}
	if kind.LostEventInterval > 0 {
		options = append(options, decoder.WithEventLoss(func(n int64) bool { return n%int64(kind.LostEventInterval) == 0 }))
	}
	if s.Weights != nil {
		client := platform.NewClient(s.URL(NameWeights), nil)
		options = append(options, decoder.WithWeights(func(ctx context.Context, name string) error {
			_, err := client.Fetch(ctx, name)
			return err
		}))
	}
	return options
}

// scheduleRestart restarts an engine after a delay, and retries after the same delay if the restart fails, as when the
// address is not free. A delay of 0 leaves the engine down.
func (s *Starter) scheduleRestart(p *StandIn, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if delay == 0 || s.closed {
		return
	}
	s.timers[p.Name] = time.AfterFunc(delay, func() {
		if p.Restore() != nil {
			s.scheduleRestart(p, delay)
		}
	})
}

// linkDelay returns a function that gives the delay of a step from an engine to the engine at an address.
func (s *Starter) linkDelay(from location) func(address string, positions int) time.Duration {
	return func(address string, positions int) time.Duration {
		s.mu.Lock()
		defer s.mu.Unlock()
		to := s.locations[address]
		for _, l := range s.links {
			if from.matches(l.From) && to.matches(l.To) {
				return time.Duration(l.Delay) + time.Duration(l.PositionDelay)*time.Duration(positions)
			}
		}
		return 0
	}
}

// PrependLink adds a link that takes precedence over the existing ones.
func (s *Starter) PrependLink(l Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links = append([]Link{l}, s.links...)
}

// matches reports whether an end of a link, which is an engine's id or a data centre or empty, includes this engine.
func (l location) matches(end string) bool {
	return end == "" || end == l.id || end == l.dataCentre
}
