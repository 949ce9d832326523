package crosser

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/placer"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
)

// newFleet returns a fleet with placed layers on which no request runs.
func newFleet(s Scenario) *fleet {
	f := &fleet{
		scenario: s, random: rand.New(rand.NewPCG(s.Seed, 1)), used: map[string]float64{}, running: map[string]float64{},
		readUntil: map[string]time.Duration{}, linkUntil: map[[2]string]time.Duration{},
	}
	f.engine = &placer.Engine{
		Layers: 80, LayerMB: 1750, TokenMB: 0.492, MaxTokens: 100000, TokensPerEvent: 5, BaseStepTime: 1020 * time.Microsecond,
		RequestStepTime: 12 * time.Microsecond, ReadRate: 164000, ActivationMB: 0.0246, LinkMBPerSecond: 1375, UsualPromptTokens: 800,
		UsualAnswerTokens: 220, CentreDelays: map[[2]string]time.Duration{},
		Cards: map[string]placer.Card{
			"a100": {Name: "a100", MemoryMB: 72000, StepFactor: 2.4, ReadFactor: 3.2},
			"l40s": {Name: "l40s", MemoryMB: 43000, StepFactor: 5.6, ReadFactor: 2.7},
			"l4":   {Name: "l4", MemoryMB: 22000, StepFactor: 16, ReadFactor: 8.2},
		},
	}
	cards := []map[string]int{{"a100": 1, "l40s": 5}, {"a100": 1, "l40s": 5}, {"a100": 1, "l40s": 5}}
	instances := 4
	if s.Large {
		cards = []map[string]int{{"a100": 4, "l40s": 6, "l4": 14}, {"a100": 2, "l40s": 9, "l4": 22}, {"a100": 2, "l40s": 15, "l4": 12}}
		instances = 112 / 3
	} else {
		// A tenth of the memory: each data centre serves a tenth of the requests at the same loads.
		f.engine.MaxTokens = 20000
		f.engine.RequestStepTime *= 5
		f.engine.ReadRate /= 1
	}
	f.place(cards)
	f.result.Centres = make([]Outcome, len(cards))
	for centre := range cards {
		f.addInstances(centre, instances)
	}
	return f
}

// centreName returns the name of a data centre.
func centreName(centre int) string { return string(rune('a' + centre)) }

// place adds endpoints by data centre and card, and places the layers on them.
func (f *fleet) place(cards []map[string]int) {
	var holders []placer.Holder
	for centre, counts := range cards {
		for _, card := range []string{"a100", "l40s", "l4"} {
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
