package placer

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestSearchRestoresCapacity removes endpoints at random and compares the capacity after a plan with that after planning
// anew, and with -v also after single moves. With -v it prints the table of docs/design/layout.md.
func TestSearchRestoresCapacity(t *testing.T) {
	for name, fleet := range map[string]func() (*Engine, []Holder){"scarce": scarceFleet, "uneven": unevenFleet} {
		e, holders := fleet()
		g, placed := divide(e, holders)
		t.Logf("%s: %d blocks, %.0f/s", name, g.BlockCount(), Capacity(e, placed))
		for _, lost := range []int{7, 14, 20} {
			draws := 5
			if testing.Verbose() || name == "scarce" && lost == 20 {
				draws = 20
			}
			n := float64(draws)
			var before, today, planned, anew float64
			moves, mostMoves, anewLoads := 0, 0, 0
			for seed := range uint64(draws) {
				left := without(placed, lost, seed)
				plan, _ := search(e, g, left)
				before += plan.Before / n
				planned += plan.After / n
				moves += len(plan.Moves)
				mostMoves = max(mostMoves, len(plan.Moves))
				after := assign(left, plan.Moves)
				if capacity := Capacity(e, after); capacity < plan.After*0.999 || plan.After < plan.Before {
					t.Errorf("%s, %d lost, draw %d: capacity %.1f, planned %.1f, before %.1f", name, lost, seed, capacity, plan.After, plan.Before)
				}
				fresh := assign(emptied(left), Plan(e, g, emptied(left)))
				anew += Capacity(e, fresh) / n
				if !testing.Verbose() {
					continue
				}
				anewLoads += changed(left, fresh)
				for a, ok := singleMove(e, g, left); ok; a, ok = singleMove(e, g, left) {
					left = assign(left, []Assignment{a})
				}
				today += Capacity(e, left) / n
			}
			t.Logf("| %s | %d | %.0f | %.0f | %.0f | %.0f | %.1f (%d) | %.0f |",
				name, lost, before, today, planned, anew, float64(moves)/n, mostMoves, float64(anewLoads)/n)
			if planned < 0.98*anew || planned < 1.02*before || mostMoves > maxMoves {
				t.Errorf("%s, %d lost: %.1f after %d moves at most; anew %.1f, today %.1f", name, lost, planned, mostMoves, anew, today)
			}
		}
	}
}

// changed returns how many endpoints have to load to make one layout the other, if equal endpoints change places as needed.
func changed(before, after []Holder) int {
	counts := map[Holder]int{}
	for i := range after {
		counts[Holder{DataCentre: before[i].DataCentre, Card: before[i].Card, Held: before[i].Held}]--
		counts[Holder{DataCentre: after[i].DataCentre, Card: after[i].Card, Held: after[i].Held}]++
	}
	n := 0
	for _, c := range counts {
		n += max(0, c)
	}
	return n
}

// TestSearchLeavesACompleteLayout guards against loads without need: a layout without losses has no moves.
func TestSearchLeavesACompleteLayout(t *testing.T) {
	for name, fleet := range map[string]func() (*Engine, []Holder){"scarce": scarceFleet, "uneven": unevenFleet, "mixed": mixedFleet} {
		e, holders := fleet()
		g, placed := divide(e, holders)
		if plan, _ := search(e, g, placed); len(plan.Moves) > 0 {
			t.Errorf("%s: %+v", name, plan)
		}
	}
}

// TestRecoverAfterMoves guards against a successor that divides the layers otherwise, also where they were placed in the largest blocks, as
// an earlier release does.
func TestRecoverAfterMoves(t *testing.T) {
	for name, fleet := range map[string]func() (*Engine, []Holder){"scarce": scarceFleet, "uneven": unevenFleet} {
		e, holders := fleet()
		chosen, _ := divide(e, holders)
		for _, g := range []Grid{chosen, e.newGrid(100000, e.largestBlock(100000, holders))} {
			placed := assign(holders, Plan(e, g, holders))
			for seed := range uint64(5) {
				left := without(placed, 25, seed)
				plan, _ := search(e, g, left)
				got, ok := RecoverGrid(e, assign(left, plan.Moves))
				if diff := cmp.Diff(g, got); !ok || diff != "" {
					t.Errorf("%s, draw %d: recovered %v (-want +got):\n%s", name, seed, ok, diff)
				}
			}
		}
	}
}

// TestSmallerBlocksServeMore checks the gain of blocks that are smaller than what the smallest card holds.
func TestSmallerBlocksServeMore(t *testing.T) {
	e, holders := scarceFleet()
	g, placed := divide(e, holders)
	largest := assign(holders, Plan(e, e.newGrid(100000, 6), holders))
	if was, is := Capacity(e, largest), Capacity(e, placed); is < 1.04*was || g.BlockCount() > maxBlocks {
		t.Errorf("%d blocks serve %.1f/s, the largest %.1f/s", g.BlockCount(), is, was)
	}
}

// TestSearchIsTheSameOnEachInstance guards against a successor that carries out another plan: instances know the endpoints in another
// order.
func TestSearchIsTheSameOnEachInstance(t *testing.T) {
	e, holders := scarceFleet()
	g, placed := divide(e, holders)
	left := without(placed, 20, 1)
	want, _ := search(e, g, left)
	got, _ := search(e, g, without(left, 0, 7))
	if diff := cmp.Diff(want.Moves, got.Moves); diff != "" || len(want.Moves) == 0 {
		t.Errorf("moves differ (-want +got):\n%s", diff)
	}
}

// TestMovesAreSafe carries out plans, several moves at a time, and guards against a layer that is left with too little while endpoints
// load, and against a plan that stops because none of its moves is safe.
func TestMovesAreSafe(t *testing.T) {
	e, holders := scarceFleet()
	g, placed := divide(e, holders)
	for seed := range uint64(10) {
		left := without(placed, 23, seed)
		plan, _ := search(e, g, left)
		scarcest, holders := ScarcestLayer(e, left).Tokens, MinHolders(e, left)
		for rounds := 0; len(plan.Moves) > 0; rounds++ {
			begun := plan.SafeMoves(e, left, e.MaxParallelLoads)
			if len(begun) == 0 || len(begun) > e.MaxParallelLoads || rounds > maxMoves {
				t.Fatalf("draw %d: %d moves begin, %d left", seed, len(begun), len(plan.Moves))
			}
			during := left
			for _, m := range begun {
				during = assign(during, []Assignment{{ID: m.ID}})
			}
			if tokens, n := ScarcestLayer(e, during).Tokens, MinHolders(e, during); tokens < scarcest || n < min(holders, MinServing) {
				t.Errorf("draw %d: during loads a layer has %d holders and %.0f tokens, before %d and %.0f", seed, n, tokens, holders, scarcest)
			}
			left, plan = assign(left, begun), plan.Without(begun)
		}
		if after := Capacity(e, left); after < plan.After*0.999 {
			t.Errorf("draw %d: capacity %.1f, planned %.1f", seed, after, plan.After)
		}
	}
}

// TestSearchCoversEmptyLayers guards against a search that ends before the last of many layers without a holder has one again.
func TestSearchCoversEmptyLayers(t *testing.T) {
	e, holders := scarceFleet()
	g, placed := divide(e, holders)
	left := slices.DeleteFunc(placed, func(h Holder) bool { return h.Held.From < 30 || h.Card == "a100" })
	if plan, _ := search(e, g, left); plan.Before > 0 || plan.After <= 0 || !plan.Pays(30*time.Second) {
		t.Errorf("%d of 93 endpoints are left: %+v", len(left), plan)
	}
}

// TestLastHolderIsNotMoved guards against a move that takes the last serving holder of a layer.
func TestLastHolderIsNotMoved(t *testing.T) {
	e, _ := scarceFleet()
	half := func(id string, r Range) Holder { return Holder{ID: id, Card: "a100", Held: r} }
	serving := []Holder{half("a", Range{0, 40}), half("b", Range{0, 40}), half("c", Range{})}
	moves := []Assignment{{"a", Range{40, 80}}, {"b", Range{40, 80}}}
	if diff := cmp.Diff(moves[:1], MovePlan{Moves: moves, floor: floor{holders: 1}}.SafeMoves(e, serving, 5)); diff != "" {
		t.Errorf("moves that begin (-want +got):\n%s", diff)
	}
}

// TestPlanPaysForItsLoads checks the price of a plan in requests.
func TestPlanPaysForItsLoads(t *testing.T) {
	p := MovePlan{Moves: []Assignment{{}}, Before: 100, After: 110, Duration: 10 * time.Second, LostRequests: 150}
	if p.Pays(20*time.Second) || !p.Pays(30*time.Second) {
		t.Errorf("pays within 20 s: %v, within 30 s: %v", p.Pays(20*time.Second), p.Pays(30*time.Second))
	}
}

// largeFleet returns the engine and the empty endpoints of the largest fleet that a model is planned for.
func largeFleet() (*Engine, []Holder) {
	e, _ := scarceFleet()
	return e, holdersOf([]string{"a100", "v100", "l4"}, [][]int{{5, 25, 20}, {5, 25, 20}, {5, 25, 20}})
}

// BenchmarkStep measures one step of a search, which is not divided further.
func BenchmarkStep(b *testing.B) {
	e, holders := largeFleet()
	g, placed := divide(e, holders)
	left := without(placed, 35, 1)
	steps := 0
	for b.Loop() {
		_, n := search(e, g, left)
		steps += n
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(steps), "us/step")
}

// BenchmarkDivision measures the first division and its steps.
func BenchmarkDivision(b *testing.B) {
	e, holders := largeFleet()
	steps := 0
	for b.Loop() {
		for d := NewDivision(e, holders); !d.Done(); steps++ {
			d.Step()
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(steps), "us/step")
}

// BenchmarkRecoverGrid measures what a successor does at once.
func BenchmarkRecoverGrid(b *testing.B) {
	e, holders := largeFleet()
	_, placed := divide(e, holders)
	for b.Loop() {
		RecoverGrid(e, placed)
	}
}
