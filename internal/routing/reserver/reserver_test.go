package reserver

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/routing/placer"
)

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

// newReserver returns a reserver in data centre a, with endpoints in a and b that hold the halves of a model of 8 layers.
// Each has room for 5,000 tokens.
func newReserver(seed uint64) *Reserver {
	e := &placer.Engine{
		Layers: 8, LayerMB: 1000, TokenMB: 1.6, Tokens: 5000, Step: time.Millisecond, Sequence: 10 * time.Microsecond,
		ReadRate: 100000, ActivationMB: 0.05, PipeMB: 1000, Prompt: 800, Answer: 200,
		Cards: map[string]placer.Card{"card": {Name: "card", MemoryMB: 8000, Pace: 1, Read: 1}},
	}
	r := New("a", rand.New(rand.NewPCG(seed, seed)))
	var list []Endpoint
	for _, centre := range []string{"a", "b"} {
		for i := range 2 {
			list = append(list, Endpoint{
				ID: fmt.Sprint(centre, i), Address: fmt.Sprint(centre, i, ":1"), DataCentre: centre, Card: "card",
				Held: placer.Range{From: 4 * i, To: 4*i + 4},
			})
		}
	}
	r.Update(start, e, list)
	return r
}

// names returns the endpoints of a path.
func names(p Path) []string {
	var out []string
	for _, part := range p.Parts {
		out = append(out, part.Endpoint.ID)
	}
	return out
}

// usual is a usual request.
var usual = Ask{Prompt: 800, Answer: 200}

func TestReserveStaysInTheDataCentre(t *testing.T) {
	for seed := range uint64(50) {
		r := newReserver(seed)
		for range 3 {
			p, refusal := r.Reserve(start, usual)
			if diff := cmp.Diff([]string{"a0", "a1"}, names(p)); refusal != Granted || diff != "" {
				t.Fatalf("seed %d: refusal %q (-want +got):\n%s", seed, refusal, diff)
			}
		}
	}
}

func TestReserveNeverOverfills(t *testing.T) {
	r := newReserver(1)
	var paths []Path
	for {
		p, refusal := r.Reserve(start, usual)
		if refusal != Granted {
			if refusal != Full {
				t.Errorf("refusal %q, want %q", refusal, Full)
			}
			break
		}
		paths = append(paths, p)
	}
	for id := range r.Endpoints {
		if used := r.Used(id); used > fillLimit {
			t.Errorf("%s is filled to %.2f", id, used)
		}
	}
	// Each data centre has room for four requests of 1,008 tokens in 92 of 100 parts of 5,000.
	if len(paths) != 8 {
		t.Errorf("%d requests have a path, want 8", len(paths))
	}
	for _, p := range paths {
		r.Release(p)
	}
	if len(r.Own) != 0 {
		t.Errorf("after all releases %v is reserved", r.Own)
	}
}

func TestReserveCountsPeers(t *testing.T) {
	r := newReserver(1)
	r.Merge(start, "peer", Usage{"a0": 20000, "a1": 20000, "b0": 20000, "b1": 20000})
	if _, refusal := r.Reserve(start, usual); refusal != Full {
		t.Errorf("beside a peer that has all memory: %q", refusal)
	}
	r.Forget(start, "peer")
	if _, refusal := r.Reserve(start, usual); refusal != Granted {
		t.Errorf("after the peer has gone: %q", refusal)
	}
	r.Merge(start, "old", Usage{"a0": 20000, "a1": 20000, "b0": 20000, "b1": 20000})
	r.Merge(start.Add(peerExpiry+time.Second), "other", Usage{})
	if _, refusal := r.Reserve(start, usual); refusal != Granted {
		t.Errorf("after a peer was silent: %q", refusal)
	}
}

func TestReserveCrossesOnlyAsTheLinkAllows(t *testing.T) {
	r := newReserver(1)
	// a0 is gone: paths begin in b and stay there, or end in a over the link.
	delete(r.Endpoints, "a0")
	r.Suspect(start, start.Add(time.Hour), "b1")
	r.Engine.Tokens, r.Engine.Cards["card"] = 1e6, placer.Card{Name: "card", MemoryMB: 8000e3, Pace: 1, Read: 1}
	n := 0
	for ; n < 1000; n++ {
		if _, refusal := r.Reserve(start, usual); refusal != Granted {
			break
		}
	}
	// A request of 1,000 tokens sends 50 MB in 2.4 s, and half of the link's 1,000 MB/s may be reserved.
	if n != 24 {
		t.Errorf("%d requests cross the link, want 24", n)
	}
}

func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		change func(r *Reserver)
		ask    Ask
		want   Refusal
	}{
		"large":   {func(*Reserver) {}, Ask{Prompt: 6000, Answer: 10}, Large},
		"avoided": {func(*Reserver) {}, Ask{Prompt: 10, Answer: 10, Avoid: map[string]bool{"a1": true, "b1": true}}, Uncovered},
		"leaving": {func(r *Reserver) {
			for _, id := range []string{"a0", "b0"} {
				e := r.Endpoints[id]
				e.Leaving = true
				r.Endpoints[id] = e
			}
		}, usual, Uncovered},
		"no engine": {func(r *Reserver) { r.Engine = nil }, usual, Uncovered},
	} {
		r := newReserver(1)
		c.change(r)
		if _, got := r.Reserve(start, c.ask); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

func TestReserveBeginsWhereItMay(t *testing.T) {
	r := newReserver(1)
	p, refusal := r.Reserve(start, Ask{Prompt: 10, Answer: 10, First: map[string]bool{"b0": true}})
	if refusal != Granted || names(p)[0] != "b0" {
		t.Errorf("%v, %q", names(p), refusal)
	}
	if _, refusal = r.Reserve(start, Ask{Prompt: 10, Answer: 10, First: map[string]bool{}}); refusal == Granted {
		t.Error("a path begins where none may")
	}
}

func TestSuspectComesBack(t *testing.T) {
	r := newReserver(1)
	r.Suspect(start, start.Add(time.Second), "a0")
	p, _ := r.Reserve(start, usual)
	if names(p)[0] == "a0" {
		t.Error("a suspected endpoint is used")
	}
	if p, _ = r.Reserve(start.Add(1100*time.Millisecond), usual); names(p)[0] != "a0" {
		t.Errorf("after its time the path is %v", names(p))
	}
}

func TestSuspectLeavesNoLayerToNobody(t *testing.T) {
	r := newReserver(1)
	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		r.Suspect(start, start.Add(time.Minute), id)
	}
	if _, refusal := r.Reserve(start, usual); refusal != Granted {
		t.Errorf("after all endpoints were suspected: %q", refusal)
	}
}

// TestBlindAfterRestart lets instances that have not heard of each other yet take requests: they do not fill the memory more
// than it holds.
func TestBlindAfterRestart(t *testing.T) {
	total := Usage{}
	for seed := range uint64(7) {
		r := newReserver(seed)
		r.Instances = 7
		for range 10 {
			r.Reserve(start, Ask{Prompt: 80, Answer: 20})
		}
		for id, n := range r.Own {
			total[id] += n
		}
	}
	r := newReserver(1)
	for id, n := range total {
		if _, ok := r.Endpoints[id]; ok && n > r.room(r.Endpoints[id]) {
			t.Errorf("%s has room for %.0f and is filled with %.0f", id, r.room(r.Endpoints[id]), n)
		}
	}
}

// TestPathsRunEachLayerOnce lays ranges at random and checks each path.
func TestPathsRunEachLayerOnce(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		r := newReserver(seed)
		var list []Endpoint
		for i := range 3 + random.IntN(12) {
			from := random.IntN(8)
			list = append(list, Endpoint{
				ID: fmt.Sprint("e", i), DataCentre: string(rune('a' + random.IntN(3))), Card: "card",
				Held: placer.Range{From: from, To: from + 1 + random.IntN(8-from)},
			})
		}
		r.Update(start, r.Engine, list)
		p, refusal := r.Reserve(start, Ask{Prompt: 10, Answer: 10})
		if refusal != Granted {
			if placer.Covered(r.Engine, holders(list)) > 0 && refusal == Uncovered {
				t.Errorf("seed %d: covered and refused: %q", seed, refusal)
			}
			continue
		}
		at, seen := 0, map[string]bool{}
		for _, part := range p.Parts {
			if part.Range.From != at || !part.Endpoint.Held.Covers(part.Range) || part.Range.Empty() || seen[part.Endpoint.ID] {
				t.Errorf("seed %d: path %+v", seed, p.Parts)
			}
			at, seen[part.Endpoint.ID] = part.Range.To, true
		}
		if at != r.Engine.Layers {
			t.Errorf("seed %d: the path ends at layer %d", seed, at)
		}
	}
}

// holders returns endpoints as placement sees them.
func holders(list []Endpoint) []placer.Holder {
	var out []placer.Holder
	for _, e := range list {
		out = append(out, placer.Holder{ID: e.ID, DataCentre: e.DataCentre, Card: e.Card, Held: e.Held})
	}
	return out
}

func BenchmarkReserve(b *testing.B) {
	r := newReserver(1)
	var list []Endpoint
	for i := range 33 {
		list = append(list, Endpoint{
			ID: fmt.Sprint("e", i), DataCentre: string(rune('a' + i%3)), Card: "card",
			Held: placer.Range{From: i / 3 % 4 * 2, To: i/3%4*2 + 2},
		})
	}
	r.Update(start, r.Engine, list)
	for b.Loop() {
		p, refusal := r.Reserve(start, usual)
		if refusal != Granted {
			b.Fatal(refusal)
		}
		r.Release(p)
	}
}
