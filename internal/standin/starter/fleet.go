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

// Fleet describes the stand-ins to start. A part that is absent is not started. An empty address means a free port of
// 127.0.0.1.
type Fleet struct {
	// Seed is the seed of all random choices.
	Seed uint64 `json:"seed,omitempty"`
	// ControlAddress is the address of the listener that crashes, restores and sets faults on all stand-ins.
	ControlAddress string   `json:"control,omitempty"`
	Tables         *Tables  `json:"tables,omitempty"`
	Objects        *Objects `json:"objects,omitempty"`
	Instances      *List    `json:"instances,omitempty"`
	Weights        *Weights `json:"weights,omitempty"`
	// Kinds describes the kinds of accelerators, by name.
	Kinds    map[string]Kind    `json:"kinds,omitempty"`
	Engines  []Engine           `json:"engines,omitempty"`
	Links    []Link             `json:"links,omitempty"`
	Services map[string]Service `json:"services,omitempty"`
	Servers  []Server           `json:"servers,omitempty"`
	// Entries are the instances of heatherrock that are in the instance list from the start.
	Entries []lister.Instance `json:"entries,omitempty"`
}

// Tables describes the table service. WritesPerSecond limits its commits and ReadsPerSecond its reads; 0 means no
// limit.
type Tables struct {
	Address         string  `json:"address,omitempty"`
	WritesPerSecond float64 `json:"writes,omitempty"`
	ReadsPerSecond  float64 `json:"reads,omitempty"`
}

// Objects describes the object store. WritesPerSecond and ReadsPerSecond limit its calls; 0 means no limit.
type Objects struct {
	Address         string  `json:"address,omitempty"`
	WritesPerSecond float64 `json:"writes,omitempty"`
	ReadsPerSecond  float64 `json:"reads,omitempty"`
}

// List describes the instance list. Lag is the delay after which a change appears in it.
type List struct {
	Address string   `json:"address,omitempty"`
	Lag     Duration `json:"lag,omitempty"`
}

// Weights describes the weight store. A BytesPerSecond of 0 means no limit. LayerBytes is the size of one layer; 0
// means the default of the weight store.
type Weights struct {
	Address        string  `json:"address,omitempty"`
	BytesPerSecond float64 `json:"rate,omitempty"`
	LayerBytes     int64   `json:"layer,omitempty"`
}

// Kind describes a kind of accelerator.
type Kind struct {
	// LayerTime is the time that a batch takes per layer, and PrefillTime the time per layer and position of an
	// uncached prefix.
	LayerTime   Duration `json:"layer,omitempty"`
	PrefillTime Duration `json:"prefill,omitempty"`
	// MaxBatch is the maximum number of steps in a batch; 0 means the decoder's default.
	MaxBatch int `json:"batch,omitempty"`
	// CacheSize is the maximum number of cached prompt prefixes; 0 means the decoder's default.
	CacheSize int `json:"cache,omitempty"`
	// PingInterval is the time between pings on a stream that waits for a token; 0 means the decoder's default.
	PingInterval Duration `json:"ping,omitempty"`
	// StageTimeout is how long the engine of the last stage but one waits for that of the last; the engine before it
	// waits twice as long, and so on. 0 means that an engine waits until the caller disconnects.
	StageTimeout Duration `json:"timeout,omitempty"`
	// Lag is the maximum age of a load report and the delay of cache events. One cache event in LostEventInterval is
	// lost; 0 means none.
	Lag               Duration `json:"lag,omitempty"`
	LostEventInterval int      `json:"gap,omitempty"`
	// ChecksFencing reports whether the engines reject orders with an old fencing token.
	ChecksFencing bool `json:"fenced,omitempty"`
	// PoisonMarker is a text that crashes the engines that run a prompt containing it; an empty one crashes none. A
	// crashed engine restarts after RestartDelay; 0 means that it does not restart by itself.
	PoisonMarker string   `json:"poison,omitempty"`
	RestartDelay Duration `json:"restart,omitempty"`
}

// Engine describes one model engine.
type Engine struct {
	ID         string                `json:"id"`
	Address    string                `json:"address,omitempty"`
	DataCentre string                `json:"datacentre,omitempty"`
	Region     string                `json:"region,omitempty"`
	Kind       string                `json:"kind"`
	Held       []streamer.LayerRange `json:"held,omitempty"`
	Adapters   []string              `json:"adapters,omitempty"`
}

// Link describes the network link from one engine to another. From and To are each an engine's id or a data centre, or
// empty for any. The first link that matches applies. It delays a step by Delay plus PositionDelay for each position
// that the step carries.
type Link struct {
	From          string   `json:"from,omitempty"`
	To            string   `json:"to,omitempty"`
	Delay         Duration `json:"delay,omitempty"`
	PositionDelay Duration `json:"position,omitempty"`
}

// Service describes a plain service. EffectPath is the path of the call that is not idempotent.
type Service struct {
	EffectPath string `json:"effect"`
	// HasLookup reports whether the service has a call that looks up the result of an idempotency key.
	HasLookup bool `json:"lookup,omitempty"`
	// Stock is the initial quantity of each item.
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

// Duration is a duration that is written with its unit, as in "20ms". It is not negative.
type Duration time.Duration

// UnmarshalText parses a duration with its unit. It returns an error if the duration is negative.
func (d *Duration) UnmarshalText(text []byte) error {
	n, err := time.ParseDuration(string(text))
	if err == nil && n < 0 {
		err = merry.Errorf("duration %s is negative", text)
	}
	*d = Duration(n)
	return err
}

// MarshalText formats the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// ParseFleet parses a description in JSON with comments and validates it. Unknown fields are errors.
func ParseFleet(content []byte) (Fleet, error) {
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
	return f, f.validate()
}

// validate returns an error if a kind or service is unknown or an id is empty or used twice, else nil.
func (f Fleet) validate() error {
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
