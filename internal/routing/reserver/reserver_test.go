package reserver

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/routing/placer"
)

// startTime is the time at which the tests begin.
var startTime = time.Unix(1000, 0)

// newReserver returns a reserver in data centre a, with endpoints in a and b that hold the halves of a model of 8 layers.
// Each has room for 5,000 tokens.
func newReserver(seed uint64) *Reserver {
	e := &placer.Engine{
		Layers: 8, LayerMB: 1000, TokenMB: 1.6, MaxTokens: 5000, BaseStepTime: time.Millisecond, RequestStepTime: 10 * time.Microsecond,
		ReadRate: 100000, ActivationMB: 0.05, LinkMBPerSecond: 1000, UsualPromptTokens: 800, UsualAnswerTokens: 200,
		Cards: map[string]placer.Card{"card": {Name: "card", MemoryMB: 8000, StepFactor: 1, ReadFactor: 1}},
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
	r.UpdateEndpoints(startTime, e, list)
	return r
}

// endpointIDs returns the endpoints of a path, in order.
func endpointIDs(p Path) []string {
	var out []string
	for _, stage := range p.Stages {
		out = append(out, stage.Endpoint.ID)
	}
	return out
}

// usualRequest is a request of the usual size.
var usualRequest = PathRequest{PromptTokens: 800, AnswerTokens: 200}

func TestReserveStaysInTheDataCentre(t *testing.T) {
	for seed := range uint64(50) {
		r := newReserver(seed)
		for range 3 {
			p, refusal := r.Reserve(startTime, usualRequest)
			if diff := cmp.Diff([]string{"a0", "a1"}, endpointIDs(p)); refusal != Granted || diff != "" {
				t.Fatalf("seed %d: refusal %q (-want +got):\n%s", seed, refusal, diff)
			}
		}
	}
}

func TestReserveNeverOverfills(t *testing.T) {
	r := newReserver(1)
	var paths []Path
	for {
		p, refusal := r.Reserve(startTime, usualRequest)
		if refusal != Granted {
			if refusal != Full {
				t.Errorf("refusal %q, want %q", refusal, Full)
			}
			break
		}
		paths = append(paths, p)
	}
	for id := range r.Endpoints {
		if used := r.UsedShare(id); used > MaxMemoryShare {
			t.Errorf("%s is filled to %.2f", id, used)
		}
	}
	// Each data centre has memory for five requests of 1,008 tokens: 105 % of 5,000 tokens may be reserved.
	if len(paths) != 10 {
		t.Errorf("%d requests have a path, want 10", len(paths))
	}
	for _, p := range paths {
		r.Release(p)
	}
	if len(r.OwnUsage) != 0 {
		t.Errorf("after all releases %v is still reserved", r.OwnUsage)
	}
}

func TestReserveCountsPeers(t *testing.T) {
	r := newReserver(1)
	r.SetPeerUsage(startTime, "peer", Usage{"a0": 20000, "a1": 20000, "b0": 20000, "b1": 20000})
	if _, refusal := r.Reserve(startTime, usualRequest); refusal != Full {
		t.Errorf("while a peer has reserved all memory: %q", refusal)
	}
	r.RemovePeer(startTime, "peer")
	if _, refusal := r.Reserve(startTime, usualRequest); refusal != Granted {
		t.Errorf("after the peer was removed: %q", refusal)
	}
	r.SetPeerUsage(startTime, "old", Usage{"a0": 20000, "a1": 20000, "b0": 20000, "b1": 20000})
	r.SetPeerUsage(startTime.Add(peerExpiry+time.Second), "other", Usage{})
	if _, refusal := r.Reserve(startTime, usualRequest); refusal != Granted {
		t.Errorf("after the usage of a peer expired: %q", refusal)
	}
}

func TestReserveKeepsToTheLinkShare(t *testing.T) {
	r := newReserver(1)
	// Without a0, paths begin in b and stay there, or end in a over the link.
	delete(r.Endpoints, "a0")
	r.Suspect(startTime, startTime.Add(time.Hour), "b1")
	r.Engine.MaxTokens, r.Engine.Cards["card"] = 1e6, placer.Card{Name: "card", MemoryMB: 8000e3, StepFactor: 1, ReadFactor: 1}
	n := 0
	for ; n < 1000; n++ {
		if _, refusal := r.Reserve(startTime, usualRequest); refusal != Granted {
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
		change  func(r *Reserver)
		request PathRequest
		want    Refusal
	}{
		"large":   {func(*Reserver) {}, PathRequest{PromptTokens: 6000, AnswerTokens: 10}, TooLarge},
		"avoided": {func(*Reserver) {}, PathRequest{PromptTokens: 10, AnswerTokens: 10, Avoid: map[string]bool{"a1": true, "b1": true}}, Uncovered},
		"leaving": {func(r *Reserver) {
			for _, id := range []string{"a0", "b0"} {
				e := r.Endpoints[id]
				e.Leaving = true
				r.Endpoints[id] = e
			}
		}, usualRequest, Uncovered},
		"no engine": {func(r *Reserver) { r.Engine = nil }, usualRequest, Uncovered},
	} {
		r := newReserver(1)
		c.change(r)
		if _, got := r.Reserve(startTime, c.request); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

func TestReserveFirstEndpoints(t *testing.T) {
	r := newReserver(1)
	p, refusal := r.Reserve(startTime, PathRequest{PromptTokens: 10, AnswerTokens: 10, FirstEndpoints: map[string]bool{"b0": true}})
	if refusal != Granted || endpointIDs(p)[0] != "b0" {
		t.Errorf("%v, %q", endpointIDs(p), refusal)
	}
	if _, refusal = r.Reserve(startTime, PathRequest{PromptTokens: 10, AnswerTokens: 10, FirstEndpoints: map[string]bool{}}); refusal == Granted {
		t.Error("got a path although no endpoint may be the first")
	}
}

func TestSuspectedEndpointIsUsedAgain(t *testing.T) {
	r := newReserver(1)
	r.Suspect(startTime, startTime.Add(time.Second), "a0")
	p, _ := r.Reserve(startTime, usualRequest)
	if endpointIDs(p)[0] == "a0" {
		t.Error("a suspected endpoint is used")
	}
	if p, _ = r.Reserve(startTime.Add(1100*time.Millisecond), usualRequest); endpointIDs(p)[0] != "a0" {
		t.Errorf("after the suspicion the path is %v", endpointIDs(p))
	}
}

func TestSuspectKeepsTheLastHolder(t *testing.T) {
	r := newReserver(1)
	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		r.Suspect(startTime, startTime.Add(time.Minute), id)
	}
	if _, refusal := r.Reserve(startTime, usualRequest); refusal != Granted {
		t.Errorf("with all endpoints suspected: %q", refusal)
	}
}

// TestRefusingEndpointIsBetterThanNone guards against requests that are refused although an endpoint serves a part of them: it
// has just refused or failed one, and the others are away or at their limits.
func TestRefusingEndpointIsBetterThanNone(t *testing.T) {
	until := startTime.Add(time.Second)
	for _, c := range []struct {
		name   string
		change func(r *Reserver)
		want   []string
	}{
		{"others accept requests", func(*Reserver) {}, []string{"b0", "b1"}},
		{"no path may begin at the others", func(r *Reserver) { r.Hold(startTime, until, "b0") }, []string{"a0", "a1"}},
		{"the others are suspected", func(r *Reserver) { r.Suspect(startTime, until, "b1") }, []string{"a0", "a1"}},
		{"all have refused a request", func(r *Reserver) {
			r.BackOff(startTime, until, "b0")
			r.BackOff(startTime, until, "b1")
		}, []string{"a0", "a1"}},
		{"no path may begin there either", func(r *Reserver) {
			r.Hold(startTime, until, "a0")
			r.Hold(startTime, until, "b0")
		}, nil},
	} {
		r := newReserver(1)
		r.BackOff(startTime, until, "a0")
		r.BackOff(startTime, until, "a1")
		c.change(r)
		p, _ := r.Reserve(startTime, usualRequest)
		if diff := cmp.Diff(c.want, endpointIDs(p)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestRestartOfAllInstances guards against memory reserved twice after a restart of all instances: while an instance
// knows nothing of the others, all together must not reserve more than the share of an endpoint's memory that may be reserved.
func TestRestartOfAllInstances(t *testing.T) {
	total := Usage{}
	for seed := range uint64(7) {
		r := newReserver(seed)
		r.InstanceCount = 7
		for range 10 {
			r.Reserve(startTime, PathRequest{PromptTokens: 80, AnswerTokens: 20})
		}
		for id, n := range r.OwnUsage {
			total[id] += n
		}
	}
	r := newReserver(1)
	for id, n := range total {
		if _, ok := r.Endpoints[id]; ok && n > MaxMemoryShare*r.memory(r.Endpoints[id]) {
			t.Errorf("%s has memory for %.0f and %.0f is reserved", id, r.memory(r.Endpoints[id]), n)
		}
	}
}

// TestPathsRunEachLayerOnce places random ranges and checks that each path runs every layer once, in order.
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
		r.UpdateEndpoints(startTime, r.Engine, list)
		p, refusal := r.Reserve(startTime, PathRequest{PromptTokens: 10, AnswerTokens: 10})
		if refusal != Granted {
			if placer.MinHolders(r.Engine, holders(list)) > 0 && refusal == Uncovered {
				t.Errorf("seed %d: refused although all layers are covered: %q", seed, refusal)
			}
			continue
		}
		next, seen := 0, map[string]bool{}
		for _, stage := range p.Stages {
			if stage.Range.From != next || !stage.Endpoint.Held.Covers(stage.Range) || stage.Range.Empty() || seen[stage.Endpoint.ID] {
				t.Errorf("seed %d: path %+v", seed, p.Stages)
			}
			next, seen[stage.Endpoint.ID] = stage.Range.To, true
		}
		if next != r.Engine.Layers {
			t.Errorf("seed %d: the path ends at layer %d", seed, next)
		}
	}
}

// holders returns endpoints as the placer takes them.
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
	r.UpdateEndpoints(startTime, r.Engine, list)
	for b.Loop() {
		p, refusal := r.Reserve(startTime, usualRequest)
		if refusal != Granted {
			b.Fatal(refusal)
		}
		r.Release(p)
	}
}

// TestRequestLargerThanTheMemoryIsRefused guards against a request that is sent to endpoints whose memory it cannot fit, as more than
// all of it may be reserved.
func TestRequestLargerThanTheMemoryIsRefused(t *testing.T) {
	r := newReserver(1)
	for _, c := range []struct {
		tokens int
		want   Refusal
	}{{5000 / blockTokens * blockTokens, Granted}, {5000 + blockTokens, TooLarge}} {
		if p, refusal := r.Reserve(startTime, PathRequest{PromptTokens: c.tokens}); refusal != c.want {
			t.Errorf("%d tokens: refusal %q, want %q", c.tokens, refusal, c.want)
		} else if refusal == Granted {
			r.Release(p)
		}
	}
}
