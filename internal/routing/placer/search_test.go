package placer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestSearchRestoresCapacity removes endpoints at random and compares the capacity after a plan with that after today's single moves and
// after planning anew. With -v it prints the table of docs/design/layout.md.
func TestSearchRestoresCapacity(t *testing.T) {
	const draws = 20
	for name, fleet := range map[string]func() (*Engine, []Holder){"scarce": scarceFleet, "uneven": unevenFleet} {
		e, holders := fleet()
		g := NewGrid(e, holders)
		placed := assign(holders, PlanAnew(e, g, holders))
		t.Logf("%s: %d blocks, %.0f/s", name, g.BlockCount(), Capacity(e, placed))
		for _, lost := range []int{7, 14, 20} {
			var before, today, planned, anew float64
			moves, mostMoves, anewLoads := 0, 0, 0
			for seed := range uint64(draws) {
				left := without(placed, lost, seed)
				plan, _ := search(e, g, left)
				before += plan.Before / draws
				planned += plan.After / draws
				moves += len(plan.Moves)
				mostMoves = max(mostMoves, len(plan.Moves))
				after := assign(left, plan.Moves)
				if capacity := Capacity(e, after); capacity < plan.After*0.999 || plan.After < plan.Before {
					t.Errorf("%s, %d lost, draw %d: capacity %.1f, planned %.1f, before %.1f", name, lost, seed, capacity, plan.After, plan.Before)
				}
				fresh := assign(emptied(left), Plan(e, g, emptied(left)))
				anew += Capacity(e, fresh) / draws
				anewLoads += changed(left, fresh)
				for a, ok := BestMove(e, g, left); ok; a, ok = BestMove(e, g, left) {
					left = assign(left, []Assignment{a})
				}
				today += Capacity(e, left) / draws
			}
			t.Logf("| %s | %d | %.0f | %.0f | %.0f | %.0f | %.1f (%d) | %.0f |",
				name, lost, before, today, planned, anew, float64(moves)/draws, mostMoves, float64(anewLoads)/draws)
			if planned < 0.98*anew || planned < today || mostMoves > maxMoves {
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
		g := NewGrid(e, holders)
		if plan, _ := search(e, g, assign(holders, PlanAnew(e, g, holders))); len(plan.Moves) > 0 {
			t.Errorf("%s: %+v", name, plan)
		}
	}
}

// TestSearchIsTheSameOnEachInstance guards against a successor that carries out another plan: instances know the endpoints in another
// order.
func TestSearchIsTheSameOnEachInstance(t *testing.T) {
	e, holders := scarceFleet()
	g := NewGrid(e, holders)
	left := without(assign(holders, PlanAnew(e, g, holders)), 20, 1)
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
	g := NewGrid(e, holders)
	placed := assign(holders, PlanAnew(e, g, holders))
	for seed := range uint64(20) {
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

// largeFleet returns the design size of one model: 150 endpoints, and a grid that is finer than usual.
func largeFleet() (*Engine, []Holder, Grid) {
	e, _ := scarceFleet()
	holders := holdersOf([]string{"a100", "v100", "l4"}, [][]int{{5, 25, 20}, {5, 25, 20}, {5, 25, 20}})
	g, _ := e.gridWithRoom(100000, holders)
	return e, assign(holders, PlanAnew(e, g, holders)), g
}

// BenchmarkStep measures one step of a search, which is not divided.
func BenchmarkStep(b *testing.B) {
	e, holders, g := largeFleet()
	left := without(holders, 35, 1)
	steps := 0
	for b.Loop() {
		_, n := search(e, g, left)
		steps += n
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(steps), "us/step")
}
