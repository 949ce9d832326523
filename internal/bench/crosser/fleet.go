package crosser

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/placer"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
)

// Fleet is the size of a fleet.
type Fleet struct {
	// cards holds the number of endpoints by data centre and card, and instances the instances of each data centre.
	cards           []map[string]int
	instances       int
	maxTokens       int
	requestStepTime time.Duration
	readRate        float64
	linkMBPerSecond float64
	l4MB            float64
}

// The fleets. The first and the second are those of the requirements; what a running request adds to a step is not stated there.
var (
	SmallFleet = Fleet{
		cards:     []map[string]int{{"a100": 1, "l40s": 5}, {"a100": 1, "l40s": 5}, {"a100": 1, "l40s": 5}},
		instances: 4, maxTokens: 20000, requestStepTime: 60 * time.Microsecond, readRate: 164000, linkMBPerSecond: 1375, l4MB: 22000,
	}
	FirstFleet = Fleet{
		cards: []map[string]int{
			{"a100": 4, "v100": 10, "l4": 11}, {"a100": 3, "v100": 14, "l4": 16}, {"a100": 2, "v100": 24, "l4": 9},
		},
		instances: 30, maxTokens: 100000, requestStepTime: 12 * time.Microsecond, readRate: 196000, linkMBPerSecond: 830, l4MB: 21600,
	}
	SecondFleet = Fleet{
		cards: []map[string]int{
			{"a100": 4, "l40s": 6, "l4": 14}, {"a100": 2, "l40s": 9, "l4": 22}, {"a100": 2, "l40s": 15, "l4": 12},
		},
		instances: 37, maxTokens: 100000, requestStepTime: 12 * time.Microsecond, readRate: 164000, linkMBPerSecond: 1375, l4MB: 22000,
	}
)

// newFleet returns a fleet with placed layers on which no request runs.
func newFleet(s Scenario) *fleet {
	f := &fleet{
		scenario: s, random: rand.New(rand.NewPCG(s.Seed, 1)), used: map[string]float64{}, running: map[string]float64{},
		readUntil: map[string]time.Duration{}, linkUntil: map[[2]string]time.Duration{},
	}
	if s.Fleet == nil {
		f.scenario.Fleet = &SmallFleet
	}
	size := f.scenario.Fleet
	f.engine = &placer.Engine{
		Layers: 80, LayerMB: 1750, TokenMB: 0.492, MaxTokens: size.maxTokens, TokensPerEvent: 5, BaseStepTime: 1020 * time.Microsecond,
		RequestStepTime: size.requestStepTime, ReadRate: size.readRate, ActivationMB: 0.0246, LinkMBPerSecond: size.linkMBPerSecond,
		UsualPromptTokens: 800, UsualAnswerTokens: 220, CentreDelays: map[[2]string]time.Duration{},
		Cards: map[string]placer.Card{
			"a100": {Name: "a100", MemoryMB: 72000, StepFactor: 2.4, ReadFactor: 3.2},
			"l40s": {Name: "l40s", MemoryMB: 43000, StepFactor: 5.6, ReadFactor: 2.7},
			"v100": {Name: "v100", MemoryMB: 14400, StepFactor: 5.3, ReadFactor: 7.9},
			"l4":   {Name: "l4", MemoryMB: size.l4MB, StepFactor: 16, ReadFactor: 8.2},
		},
	}
	f.place(size.cards)
	f.result.Centres = make([]Outcome, len(size.cards))
	for centre := range size.cards {
		f.addInstances(centre, size.instances)
	}
	return f
}

// centreName returns the name of a data centre.
func centreName(centre int) string { return string(rune('a' + centre)) }

// place adds endpoints by data centre and card, and places the layers on them.
func (f *fleet) place(cards []map[string]int) {
	var holders []placer.Holder
	for centre, counts := range cards {
		for _, card := range []string{"a100", "l40s", "v100", "l4"} {
			for i := range counts[card] {
				holders = append(holders, placer.Holder{ID: fmt.Sprint(centreName(centre), card, i), DataCentre: centreName(centre), Card: card})
			}
		}
		for other := range centre {
			f.engine.CentreDelays[[2]string{centreName(other), centreName(centre)}] = 300 * time.Microsecond
		}
	}
	for _, a := range placer.Plan(f.engine, placer.NewGrid(f.engine, holders), holders) {
		for i := range holders {
			if holders[i].ID == a.ID {
				holders[i].Held = a.Range
			}
		}
	}
	for centre := range cards {
		var own []placer.Holder
		for _, h := range holders {
			if h.DataCentre == centreName(centre) {
				own = append(own, h)
			}
		}
		f.capacity = append(f.capacity, placer.Capacity(f.engine, own))
	}
	for _, h := range holders {
		if f.scenario.Lost[h.ID] {
			continue
		}
		f.endpoints = append(f.endpoints, reserver.Endpoint{
			ID: h.ID, Address: h.ID + ":1", DataCentre: h.DataCentre, Card: h.Card, Held: h.Held,
		})
	}
}

// addInstances adds instances of a data centre.
func (f *fleet) addInstances(centre, n int) {
	for range n {
		r := reserver.New(centreName(centre), rand.New(rand.NewPCG(f.random.Uint64(), 2)))
		r.InstanceCount = n
		r.Spiller.Links.CostPerMB = 4 * time.Millisecond
		r.UpdateEndpoints(start, f.engine, f.endpoints)
		f.scenario.Policy.apply(r.Spiller)
		f.instances = append(f.instances, &instance{centre, r})
	}
}

// memory returns the memory of an endpoint, in tokens times layers.
func (f *fleet) memory(e reserver.Endpoint) float64 {
	n := e.Held.Len()
	return float64(f.engine.TokenCapacity(f.engine.Cards[e.Card], n) * n)
}
