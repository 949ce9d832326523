// Package starter starts stand-ins from a description of a fleet, all in one process.
package starter

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/tailscale/hujson"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/client/streamer"
)

// Fleet describes stand-ins. A part that is absent is not started. An empty address is a free port of 127.0.0.1.
type Fleet struct {
	// Seed is that of every random choice.
	Seed uint64 `json:"seed,omitempty"`
	// Control is the address of the listener that crashes, restores and sets faults on all parts.
	Control   string   `json:"control,omitempty"`
	Tables    *Tables  `json:"tables,omitempty"`
	Objects   *Objects `json:"objects,omitempty"`
	Instances *List    `json:"instances,omitempty"`
	Weights   *Weights `json:"weights,omitempty"`
	// Kinds describes the kinds of accelerators, by name.
	Kinds    map[string]Kind    `json:"kinds,omitempty"`
	Engines  []Engine           `json:"engines,omitempty"`
	Links    []Link             `json:"links,omitempty"`
	Services map[string]Service `json:"services,omitempty"`
	Servers  []Server           `json:"servers,omitempty"`
	// Entries are instances of heatherrock that the instance list holds from the start.
	Entries []lister.Instance `json:"entries,omitempty"`
}

// Tables describes the table service. Writes and Reads bound its commits and reads a second; 0 means no bound.
type Tables struct {
	Address string  `json:"address,omitempty"`
	Writes  float64 `json:"writes,omitempty"`
	Reads   float64 `json:"reads,omitempty"`
}

// Objects describes the object store. Writes and Reads bound its calls a second; 0 means no bound.
type Objects struct {
	Address string  `json:"address,omitempty"`
	Writes  float64 `json:"writes,omitempty"`
	Reads   float64 `json:"reads,omitempty"`
}

// List describes the instance list. Lag is how late a change shows.
type List struct {
	Address string   `json:"address,omitempty"`
	Lag     Duration `json:"lag,omitempty"`
}

// Weights describes the weight store. Rate is in bytes a second, 0 without a bound; Layer is the size of a layer in
// bytes.
type Weights struct {
	Address string  `json:"address,omitempty"`
	Rate    float64 `json:"rate,omitempty"`
	Layer   int64   `json:"layer,omitempty"`
}

// Kind describes a kind of accelerator.
type Kind struct {
	// Layer is the time that a batch takes for a layer, and Prefill that for a layer and position of a new prefix.
	Layer   Duration `json:"layer,omitempty"`
	Prefill Duration `json:"prefill,omitempty"`
	// Batch bounds the steps that run together.
	Batch int `json:"batch,omitempty"`
	// Cache bounds the cached prompt prefixes.
	Cache int `json:"cache,omitempty"`
	// Ping is the longest time without a line on a stream; 0 means that of the decoder.
	Ping Duration `json:"ping,omitempty"`
	// Timeout is how long an engine waits for that of the last stage, and twice for that before it, and so on; 0 means
	// that it waits until the caller leaves.
	Timeout Duration `json:"timeout,omitempty"`
	// Lag is how old a load report or a cache event may be. One event in Gap is lost; 0 means none.
	Lag Duration `json:"lag,omitempty"`
	Gap int      `json:"gap,omitempty"`
	// Fenced is set if the engines refuse orders with an old fencing number.
	Fenced bool `json:"fenced,omitempty"`
	// Poison is a marker: a prompt that contains it crashes the engines that run it. An engine that crashed starts
	// again after Restart; 0 means not by itself.
	Poison  string   `json:"poison,omitempty"`
	Restart Duration `json:"restart,omitempty"`
}

// Engine describes one model engine.
type Engine struct {
	ID         string          `json:"id"`
	Address    string          `json:"address,omitempty"`
	DataCentre string          `json:"datacentre,omitempty"`
	Region     string          `json:"region,omitempty"`
	Kind       string          `json:"kind"`
	Held       []streamer.Held `json:"held,omitempty"`
	Adapters   []string        `json:"adapters,omitempty"`
}

// Link describes the way from one engine to another. From and To are each an engine's id or a data centre, or empty
// for all. The first link that fits counts. A step takes Delay and Position for each position that it carries.
type Link struct {
	From     string   `json:"from,omitempty"`
	To       string   `json:"to,omitempty"`
	Delay    Duration `json:"delay,omitempty"`
	Position Duration `json:"position,omitempty"`
}

// Service describes a plain service. Effect is the path of the call that is not idempotent.
type Service struct {
	Effect string `json:"effect"`
	// Lookup is set if the service tells what became of an idempotency key.
	Lookup bool `json:"lookup,omitempty"`
	// Stock is how much there is of each item.
	Stock map[string]int `json:"stock,omitempty"`
}

// Server describes one server of a plain service.
type Server struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address,omitempty"`
	DataCentre string `json:"datacentre,omitempty"`
	Region     string `json:"region,omitempty"`
}

// Duration is a time that is written with its unit, as in "20ms".
type Duration time.Duration

// UnmarshalText reads a time with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	n, err := time.ParseDuration(string(text))
	if err == nil && n < 0 {
		err = merry.Errorf("duration %s is negative", text)
	}
	*d = Duration(n)
	return err
}

// MarshalText writes a time with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Read reads a description in JSON with comments and checks it.
func Read(content []byte) (Fleet, error) {
	plain, err := hujson.Standardize(bytes.Clone(content))
	if err != nil {
		return Fleet{}, err
	}
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	var f Fleet
	if err := d.Decode(&f); err != nil {
		return Fleet{}, err
	}
	return f, f.check()
}

// check returns what is wrong with a description, or nil.
func (f Fleet) check() error {
	seen := map[string]bool{}
	for _, e := range f.Engines {
		if _, ok := f.Kinds[e.Kind]; !ok {
			return merry.Errorf("engine %s: unknown kind %q", e.ID, e.Kind)
		}
		if e.ID == "" || seen[e.ID] {
			return merry.Errorf("engine %q: its id is empty or not its own", e.ID)
		}
		seen[e.ID] = true
	}
	for _, s := range f.Servers {
		if _, ok := f.Services[s.Service]; !ok {
			return merry.Errorf("server %s: unknown service %q", s.ID, s.Service)
		}
		if s.ID == "" || seen[s.ID] {
			return merry.Errorf("server %q: its id is empty or not its own", s.ID)
		}
		seen[s.ID] = true
	}
	return nil
}
