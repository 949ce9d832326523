package assembler

import (
	"fmt"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/standin/booker"
	"github.com/heatherrock/heatherrock/internal/standin/starter"
)

// The model and the service of a mixed fleet.
const (
	// Model is the model's name, and Layers the number of its layers.
	Model  = "oak"
	Layers = 24
	// Service is the name of the plain service, and StockItem the item that it stocks.
	Service   = "stores"
	StockItem = "seasoned-oak"
	// PoisonMarker is the marker of a prompt that crashes the engines which run it.
	PoisonMarker = "POISON"
)

// MixedFleet describes a fleet of three kinds of accelerators whose ranges are cut at different layers, with some
// engines for each range, and three servers of a plain service. layerTime is the time of a layer on the large kind; the
// medium kind takes twice and the small kind three times as long.
func MixedFleet(replicas int, layerTime time.Duration) starter.Fleet {
	f := starter.Fleet{
		Seed:      1,
		Tables:    &starter.Tables{},
		Objects:   &starter.Objects{},
		Instances: &starter.List{},
		Weights:   &starter.Weights{},
		Kinds: map[string]starter.Kind{
			"large":  {LayerTime: starter.Duration(layerTime), MaxBatch: 32, PoisonMarker: PoisonMarker},
			"medium": {LayerTime: starter.Duration(2 * layerTime), MaxBatch: 32, PoisonMarker: PoisonMarker},
			"small":  {LayerTime: starter.Duration(3 * layerTime), MaxBatch: 32, PoisonMarker: PoisonMarker},
		},
		Services: map[string]starter.Service{
			Service: {EffectPath: booker.PathHolds, HasLookup: true, Stock: map[string]int{StockItem: 1000}},
		},
	}
	ranges := []struct {
		kind string
		from int
		to   int
	}{{"large", 0, 12}, {"medium", 12, 18}, {"medium", 12, 18}, {"small", 18, 24}}
	for i := range replicas {
		for j, c := range ranges {
			f.Engines = append(f.Engines, starter.Engine{
				ID: fmt.Sprintf("%s-%d-%d", c.kind, j, i+1), Kind: c.kind, DataCentre: "a", Region: "r",
				Held: []streamer.LayerRange{{Model: Model, Version: "v1", From: c.from, To: c.to}},
			})
		}
	}
	for i := range 3 {
		f.Servers = append(f.Servers, starter.Server{
			ID: fmt.Sprintf("%s-%d", Service, i+1), Service: Service, DataCentre: "a", Region: "r",
		})
	}
	return f
}

// MixedRecords returns the records of a mixed fleet: its model, its service, and teams whose bearer tokens are their
// names.
func MixedRecords(teams ...string) []recorder.Record {
	records := []recorder.Record{
		NewModelRecord(Model, Layers, 256),
		newRecord(recorder.KindService, Service, recorder.Service{Calls: []recorder.Call{
			{Method: "POST", PathPrefix: booker.PathHolds, DeadlineMillis: 5000, LookupPath: booker.PathHolds + "/{key}"},
			{Method: "GET", PathPrefix: booker.PathCatalogue, Idempotent: true, DeadlineMillis: 1000, MaxRetries: 3},
		}}),
	}
	for _, t := range teams {
		records = append(records, NewTeamRecord(t, 1))
	}
	return records
}
