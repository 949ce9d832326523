package placer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// scarceFleet returns the engine and the 93 endpoints of a fleet in three data centres whose smallest card holds a fourteenth of the layers.
func scarceFleet() (*Engine, []Holder) {
	e := &Engine{
		Layers: 80, LayerMB: 1750, TokenMB: 0.492, MaxTokens: 100000, BaseStepTime: 1020 * time.Microsecond,
		RequestStepTime: 4000 * time.Nanosecond, ContextStepTime: 5000 * time.Nanosecond, ReadRate: 196000, LoadTime: 14 * time.Second, MaxParallelLoads: 5,
		UsualPromptTokens: 800, UsualAnswerTokens: 220, Cards: map[string]Card{
			"a100": {Name: "a100", MemoryMB: 72000, StepFactor: 2.4, ReadFactor: 3.2},
			"v100": {Name: "v100", MemoryMB: 14400, StepFactor: 5.3, ReadFactor: 7.9},
			"l4":   {Name: "l4", MemoryMB: 21600, StepFactor: 16, ReadFactor: 8.2},
		},
	}
	return e, holdersOf([]string{"a100", "v100", "l4"}, [][]int{{4, 10, 11}, {3, 14, 16}, {2, 24, 9}})
}

// unevenFleet returns the engine and the 86 endpoints of a fleet with three larger kinds of cards.
func unevenFleet() (*Engine, []Holder) {
	e, _ := scarceFleet()
	e.ReadRate = 164000
	e.Cards = map[string]Card{
		"a100": {Name: "a100", MemoryMB: 72000, StepFactor: 2.4, ReadFactor: 3.2},
		"l40s": {Name: "l40s", MemoryMB: 43000, StepFactor: 5.6, ReadFactor: 2.7},
		"l4":   {Name: "l4", MemoryMB: 22000, StepFactor: 16, ReadFactor: 8.2},
	}
	return e, holdersOf([]string{"a100", "l40s", "l4"}, [][]int{{4, 6, 14}, {2, 9, 22}, {2, 15, 12}})
}

// holdersOf returns empty endpoints: counts holds their number by data centre and card.
func holdersOf(cards []string, counts [][]int) []Holder {
	var out []Holder
	for centre, row := range counts {
		for i, n := range row {
			for k := range n {
				out = append(out, Holder{ID: fmt.Sprintf("%d-%s-%d", centre, cards[i], k), DataCentre: fmt.Sprint(centre), Card: cards[i]})
			}
		}
	}
	return out
}

// without returns the holders that are left after a random loss of n.
func without(holders []Holder, n int, seed uint64) []Holder {
	random := rand.New(rand.NewPCG(seed, uint64(n)))
	out := slices.Clone(holders)
	random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[n:]
}

// emptied returns the holders without layers.
func emptied(holders []Holder) []Holder {
	out := slices.Clone(holders)
	for i := range out {
		out[i].Held = Range{}
	}
	return out
}

// search returns the plan for a layout, and the number of steps that it took.
func search(e *Engine, g Grid, holders []Holder) (MovePlan, int) {
	s, steps := NewSearch(e, g, holders), 0
	for ; !s.Done(); steps++ {
		s.Step()
	}
	return s.Plan(), steps
}

func BenchmarkCapacity(b *testing.B) {
	e, holders := scarceFleet()
	placed := assign(holders, Plan(e, NewGrid(e, holders), holders))
	for b.Loop() {
		Capacity(e, placed)
	}
}
