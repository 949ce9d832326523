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

// The names of the platform's parts.
const (
	NameTables    = "tables"
	NameObjects   = "objects"
	NameInstances = "instances"
	NameWeights   = "weights"
)

// Part is one stand-in that runs.
type Part struct {
	Name   string
	Server *faulter.Server

	restore func()
}

// Starter runs the stand-ins of a fleet.
type Starter struct {
	Fleet Fleet
	// Table, List and Weights are nil if the fleet has none.
	Table   *tabler.Table
	List    *lister.List
	Weights *fetcher.Store
	// Engines and Ledgers are by id of the engine and name of the service.
	Engines map[string]*decoder.Decoder
	Ledgers map[string]*booker.Ledger

	parts   []*Part
	control *faulter.Server

	mu    sync.Mutex
	links []Link
	// places holds the id and the data centre of the engine at each address.
	places map[string]place
	// timers holds the timer of the latest restart of each part.
	timers map[string]*time.Timer
	closed bool
}

// place is an engine's id and data centre.
type place struct{ id, dataCentre string }

// Start starts all parts of a fleet. After an error none of them runs.
func Start(f Fleet) (*Starter, error) {
	s := &Starter{
		Fleet:   f,
		Engines: map[string]*decoder.Decoder{},
		Ledgers: map[string]*booker.Ledger{},
		links:   f.Links,
		places:  map[string]place{},
		timers:  map[string]*time.Timer{},
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

// Close ends all parts.
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
	for _, p := range s.parts {
		p.Server.Close()
	}
	for _, e := range s.Engines {
		e.Close()
	}
}

// Part returns a part by its name: that of a platform service, or the id of an engine or server. It is nil if there is
// none.
func (s *Starter) Part(name string) *Part {
	for _, p := range s.parts {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// Parts returns all parts in the order in which they were started.
func (s *Starter) Parts() []*Part {
	return s.parts
}

// URL returns the base URL of a part, or nothing if there is none of the name.
func (s *Starter) URL(name string) string {
	p := s.Part(name)
	if p == nil {
		return ""
	}
	return "http://" + p.Server.Address()
}

// Control returns the base URL of the control listener.
func (s *Starter) Control() string {
	return "http://" + s.control.Address()
}

// Crash ends the part's process until Restore.
func (p *Part) Crash() {
	p.Server.Crash()
}

// Restore starts the part again after a crash.
func (p *Part) Restore() error {
	if p.restore != nil {
		p.restore()
	}
	return p.Server.Restore()
}

// faults returns a new set of faults. Each part draws from a sequence of its own.
func (s *Starter) faults() *faulter.Faults {
	return faulter.NewFaults(s.Fleet.Seed<<16 + uint64(len(s.parts)))
}

// add starts a part.
func (s *Starter) add(p *Part) error {
	if err := p.Server.Restore(); err != nil {
		return merry.Prepend(err, p.Name)
	}
	s.parts = append(s.parts, p)
	return nil
}

// serve starts a part that loses nothing in a crash.
func (s *Starter) serve(name, address string, h http.Handler, f *faulter.Faults) error {
	return s.add(&Part{Name: name, Server: faulter.NewServer(listen(address), h, f, nil)})
}

// listen returns the address to listen on.
func listen(address string) string {
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
	faults := s.faults()
	s.Table = tabler.New(tabler.WithFaults(faults), tabler.WithRates(c.Writes, c.Reads))
	return s.serve(NameTables, c.Address, s.Table.Handler(), faults)
}

func (s *Starter) startObjects() error {
	c := s.Fleet.Objects
	if c == nil {
		return nil
	}
	faults := s.faults()
	store := storer.New(faults, storer.WithRates(c.Writes, c.Reads))
	return s.serve(NameObjects, c.Address, store.Handler(), faults)
}

func (s *Starter) startWeights() error {
	c := s.Fleet.Weights
	if c == nil {
		return nil
	}
	faults := s.faults()
	options := []fetcher.Option{fetcher.WithFaults(faults)}
	if c.Rate > 0 {
		options = append(options, fetcher.WithRate(c.Rate))
	}
	if c.Layer > 0 {
		options = append(options, fetcher.WithLayer(c.Layer))
	}
	s.Weights = fetcher.New(options...)
	return s.serve(NameWeights, c.Address, s.Weights.Handler(), faults)
}

func (s *Starter) startServices() error {
	for name, c := range s.Fleet.Services {
		s.Ledgers[name] = booker.NewLedger(c.Stock)
	}
	for _, c := range s.Fleet.Servers {
		service := s.Fleet.Services[c.Service]
		h := booker.New(s.Ledgers[c.Service], service.Effect, service.Lookup)
		if err := s.serve(c.ID, c.Address, h, s.faults()); err != nil {
			return err
		}
	}
	return nil
}

// startInstances starts the instance list once the addresses of all others are known.
func (s *Starter) startInstances() error {
	c := s.Fleet.Instances
	if c == nil {
		return nil
	}
	list := append([]instances.Instance{}, s.Fleet.Entries...)
	for _, e := range s.Fleet.Engines {
		list = append(list, instances.Instance{
			ID: e.ID, Role: instances.RoleEngine, Address: s.Part(e.ID).Server.Address(),
			DataCentre: e.DataCentre, Region: e.Region, Kind: e.Kind,
		})
	}
	for _, v := range s.Fleet.Servers {
		list = append(list, instances.Instance{
			ID: v.ID, Role: instances.RoleService, Service: v.Service, Address: s.Part(v.ID).Server.Address(),
			DataCentre: v.DataCentre, Region: v.Region,
		})
	}
	faults := s.faults()
	s.List = lister.New(list, lister.WithLag(time.Duration(c.Lag)), lister.WithFaults(faults))
	return s.serve(NameInstances, c.Address, s.List.Handler(), faults)
}

func (s *Starter) startEngines() error {
	for _, e := range s.Fleet.Engines {
		if err := s.startEngine(e); err != nil {
			return err
		}
	}
	return nil
}

// startEngine starts one engine, whose process ends with its server and the other way round.
func (s *Starter) startEngine(e Engine) error {
	kind := s.Fleet.Kinds[e.Kind]
	faults := s.faults()
	p := &Part{Name: e.ID}
	engine := decoder.New(s.options(e, kind, p, faults)...)
	s.Engines[e.ID] = engine
	p.restore = engine.Restore
	p.Server = faulter.NewServer(listen(e.Address), engine, faults, func() {
		engine.Crash()
		s.restart(p, time.Duration(kind.Restart))
	})
	if err := s.add(p); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.places[p.Server.Address()] = place{e.ID, e.DataCentre}
	return nil
}

// options returns the options of one engine.
func (s *Starter) options(e Engine, kind Kind, p *Part, faults *faulter.Faults) []decoder.Option {
	options := []decoder.Option{
		decoder.WithEndpoint(e.ID), decoder.WithKind(e.Kind), decoder.WithHeld(e.Held...),
		decoder.WithAdapters(e.Adapters...), decoder.WithPoison(kind.Poison), decoder.WithLag(time.Duration(kind.Lag)),
		decoder.WithFaults(faults), decoder.WithTimeout(time.Duration(kind.Timeout)),
		decoder.WithService(decoder.Service{
			Layer: time.Duration(kind.Layer), Prefill: time.Duration(kind.Prefill), Batch: kind.Batch,
		}),
		decoder.WithCrash(func() { p.Server.Crash() }),
		decoder.WithLink(s.link(place{e.ID, e.DataCentre})),
	}
	if kind.Fenced {
		options = append(options, decoder.WithFence())
	}
	if kind.Ping > 0 {
		options = append(options, decoder.WithPing(time.Duration(kind.Ping)))
	}
	if kind.Cache > 0 {
		options = append(options, decoder.WithCache(kind.Cache))
	}
	if kind.Gap > 0 {
		options = append(options, decoder.WithGaps(func(n int64) bool { return n%int64(kind.Gap) == 0 }))
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

// restart starts an engine again some time after a crash, and tries again if its address is not free. A time of 0
// leaves it down.
func (s *Starter) restart(p *Part, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after == 0 || s.closed {
		return
	}
	s.timers[p.Name] = time.AfterFunc(after, func() {
		if p.Restore() != nil {
			s.restart(p, after)
		}
	})
}

// link returns the delay of the links from an engine.
func (s *Starter) link(from place) func(address string, positions int) time.Duration {
	return func(address string, positions int) time.Duration {
		s.mu.Lock()
		defer s.mu.Unlock()
		to := s.places[address]
		for _, l := range s.links {
			if from.fits(l.From) && to.fits(l.To) {
				return time.Duration(l.Delay) + time.Duration(l.Position)*time.Duration(positions)
			}
		}
		return 0
	}
}

// SetLink puts a link before those that there are.
func (s *Starter) SetLink(l Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links = append([]Link{l}, s.links...)
}

// fits reports whether the end of a link is this place.
func (p place) fits(end string) bool {
	return end == "" || end == p.id || end == p.dataCentre
}
