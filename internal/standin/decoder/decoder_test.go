package decoder

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
)

const (
	modelLayers  = 12
	poisonMarker = "POISON"
)

// fleet is a set of engines by endpoint.
type fleet struct {
	engines map[string]*Decoder
	servers map[string]*httptest.Server
}

// newFleet starts engines a to e with the layers a 0-4, b 4-9, c 9-12, d 4-9 and e 0-12.
func newFleet(t *testing.T, options ...Option) *fleet {
	t.Helper()
	f := &fleet{map[string]*Decoder{}, map[string]*httptest.Server{}}
	for id, bounds := range map[string][2]int{"a": {0, 4}, "b": {4, 9}, "c": {9, 12}, "d": {4, 9}, "e": {0, 12}} {
		held := streamer.LayerRange{Model: "m", Version: "v", From: bounds[0], To: bounds[1]}
		own := []Option{WithEndpoint(id), WithLayerRanges(held), WithAdapters("lora"), WithPoisonMarker(poisonMarker)}
		f.engines[id] = New(append(own, options...)...)
		f.servers[id] = httptest.NewServer(f.engines[id])
		t.Cleanup(f.servers[id].Close)
		t.Cleanup(f.engines[id].Close)
	}
	return f
}

// stages returns a plan from entries like "a 0 4".
func (f *fleet) stages(plan ...string) []streamer.Stage {
	var stages []streamer.Stage
	for _, p := range plan {
		var s streamer.Stage
		if _, err := fmt.Sscan(p, &s.Endpoint, &s.From, &s.To); err != nil {
			panic(err)
		}
		s.Address = f.servers[s.Endpoint].Listener.Addr().String()
		stages = append(stages, s)
	}
	return stages
}

// open sends a request to the engine of its first stage.
func (f *fleet) open(t *testing.T, q streamer.Request) *http.Response {
	t.Helper()
	body, err := json.Marshal(q)
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.Post("http://"+q.Stages[0].Address+"/engine/streams", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Body.Close() })
	return r
}

// collect reads a stream to its end and returns its steps without the pings.
func collect(t *testing.T, r *http.Response) []streamer.Step {
	t.Helper()
	var steps []streamer.Step
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		var s streamer.Step
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
			t.Fatal(err)
		}
		if s.Kind != streamer.KindPing {
			steps = append(steps, s)
		}
	}
	return steps
}

func textOf(steps []streamer.Step) string {
	var text strings.Builder
	for _, s := range steps {
		text.WriteString(s.Text)
	}
	return text.String()
}

func request(f *fleet, plan ...string) streamer.Request {
	return streamer.Request{
		Request: "r", Attempt: 1, Model: "m", Version: "v", Prompt: "which latch fits a 1956 till drawer",
		MaxTokens: 20, Stages: f.stages(plan...),
	}
}

func TestAnswer(t *testing.T) {
	f := newFleet(t)
	cases := []struct {
		name    string
		plan    []string
		adapter string
		same    bool
	}{
		{"one stage", []string{"e 0 12"}, "", true},
		{"three stages", []string{"a 0 4", "b 4 9", "c 9 12"}, "", true},
		{"three stages with an adapter", []string{"a 0 4", "b 4 9", "c 9 12"}, "lora", true},
		{"stages within ranges", []string{"e 0 2", "a 2 4", "b 4 7", "d 7 9", "e 9 12"}, "", true},
		{"a layer skipped", []string{"a 0 4", "b 4 8", "c 9 12"}, "", false},
		{"a layer run twice", []string{"a 0 4", "e 3 9", "c 9 12"}, "", false},
		{"another order", []string{"b 4 9", "a 0 4", "c 9 12"}, "", false},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := request(f, c.plan...)
			q.Request = fmt.Sprint("r", i)
			q.Adapter = c.adapter
			steps := collect(t, f.open(t, q))
			tokens, text := ExpectedAnswer("m", "v", c.adapter, q.Prompt, modelLayers, q.MaxTokens)
			if got := textOf(steps); (got == text) != c.same {
				t.Errorf("answer %q, reference %q, want same %v", got, text, c.same)
			}
			if !c.same {
				return
			}
			last := steps[len(steps)-1]
			reason := streamer.ReasonStop
			if len(tokens) == q.MaxTokens {
				reason = streamer.ReasonLength
			}
			want := streamer.Step{
				Kind: streamer.KindEnd, Request: q.Request, Attempt: 1, Position: len(tokens), Reason: reason, PromptTokens: 7,
			}
			if diff := cmp.Diff(want, last); diff != "" {
				t.Errorf("end mismatch (-want +got):\n%s", diff)
			}
			for n, s := range steps[:len(steps)-1] {
				if diff := cmp.Diff(q.Stages, s.ExecutedStages); diff != "" || s.Position != n || s.Token != tokens[n] {
					t.Errorf("token %d is %+v; ran mismatch (-want +got):\n%s", n, s, diff)
				}
			}
		})
	}
}

func TestAnswerEnds(t *testing.T) {
	ends := map[string]bool{}
	for i := range 100 {
		tokens, _ := ExpectedAnswer("m", "v", "", fmt.Sprint("prompt ", i), modelLayers, 60)
		ends[fmt.Sprint(len(tokens) == 60)] = true
	}
	if diff := cmp.Diff(map[string]bool{"true": true, "false": true}, ends); diff != "" {
		t.Errorf("ends by length (-want +got):\n%s", diff)
	}
}

func TestRefusal(t *testing.T) {
	f := newFleet(t)
	collect(t, f.open(t, request(f, "e 0 12")))
	cases := []struct {
		name   string
		change func(*streamer.Request)
		status int
	}{
		{"repeated attempt", func(*streamer.Request) {}, http.StatusConflict},
		{"older attempt", func(q *streamer.Request) { q.Attempt = 0 }, http.StatusConflict},
		{"layers not held", func(q *streamer.Request) { q.Stages[0].To = 13 }, http.StatusNotFound},
		{"another version", func(q *streamer.Request) { q.Version = "w" }, http.StatusNotFound},
		{"adapter not loaded", func(q *streamer.Request) { q.Adapter = "none" }, http.StatusNotFound},
		{"a newer attempt", func(q *streamer.Request) { q.Attempt = 2 }, http.StatusOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := request(f, "e 0 12")
			c.change(&q)
			if r := f.open(t, q); r.StatusCode != c.status {
				t.Errorf("status %d, want %d", r.StatusCode, c.status)
			}
		})
	}
}

func TestStageLoss(t *testing.T) {
	f := newFleet(t)
	q := request(f, "a 0 4", "b 4 9", "c 9 12")
	tokens, want := ExpectedAnswer("m", "v", "", q.Prompt, modelLayers, q.MaxTokens)
	f.engines["b"].Crash()
	steps := collect(t, f.open(t, q))
	ignore := cmpopts.IgnoreFields(streamer.Step{}, "Reason")
	fault := []streamer.Step{{Kind: streamer.KindFault, Request: "r", Attempt: 1, Endpoint: "b"}}
	if diff := cmp.Diff(fault, steps, ignore); diff != "" {
		t.Fatalf("steps mismatch (-want +got):\n%s", diff)
	}
	q = request(f, "a 0 4", "d 4 9", "c 9 12")
	q.Attempt = 2
	q.Delivered = tokens[:2]
	steps = collect(t, f.open(t, q))
	if steps[0].Position != 2 {
		t.Errorf("first position %d, want 2", steps[0].Position)
	}
	if diff := cmp.Diff(want, tokenText(0, tokens[0])+tokenText(1, tokens[1])+textOf(steps)); diff != "" {
		t.Errorf("text mismatch (-want +got):\n%s", diff)
	}
}

// TestSilentStage guards against a fault that names the wrong endpoint: if the engine of the last stage does not
// respond, those of all earlier stages wait as well, but the fault has to name the last.
func TestSilentStage(t *testing.T) {
	f := newFleet(t, WithStageTimeout(50*time.Millisecond))
	silent := faulter.NewFaults(1)
	if err := silent.AddFaults(faulter.Fault{Kind: faulter.Hang}); err != nil {
		t.Fatal(err)
	}
	f.servers["c"] = httptest.NewServer(faulter.Wrap(silent, f.engines["c"]))
	t.Cleanup(f.servers["c"].Close)
	steps := collect(t, f.open(t, request(f, "a 0 4", "b 4 9", "c 9 12")))
	ignore := cmpopts.IgnoreFields(streamer.Step{}, "Reason")
	want := []streamer.Step{{Kind: streamer.KindFault, Request: "r", Attempt: 1, Endpoint: "c"}}
	if diff := cmp.Diff(want, steps, ignore); diff != "" {
		t.Errorf("steps mismatch (-want +got):\n%s", diff)
	}
}

// TestRetention checks that an engine drops ended requests beyond its bound, whatever its stage, and keeps running
// ones.
func TestRetention(t *testing.T) {
	f := newFleet(t)
	running := sessionKey{Request: "running", Attempt: 1}
	f.engines["c"].sessions.admit("running", 1)
	f.engines["c"].sessions.open(running, Cache{})
	for i := range maxEndedRequests + 10 {
		q := request(f, "a 0 4", "b 4 9", "c 9 12")
		q.Request, q.MaxTokens = fmt.Sprint(i), 1
		collect(t, f.open(t, q))
	}
	for _, id := range []string{"a", "b", "c"} {
		s := f.engines[id].sessions
		want := maxEndedRequests
		if s.find(running) != nil {
			want++
		}
		if diff := cmp.Diff(want, len(s.stages)); diff != "" {
			t.Errorf("%s: requests held mismatch (-want +got):\n%s", id, diff)
		}
	}
	if f.engines["c"].sessions.find(running) == nil {
		t.Error("a running request was dropped")
	}
}

func TestSkip(t *testing.T) {
	faults := faulter.NewFaults(1)
	if err := faults.AddFaults(faulter.Fault{CallPrefix: CallStep, Kind: faulter.SkipLayer, SkipCalls: 4, MaxHits: 1}); err != nil {
		t.Fatal(err)
	}
	f := newFleet(t, WithFaults(faults))
	q := request(f, "a 0 4", "b 4 9", "c 9 12")
	steps := collect(t, f.open(t, q))
	wrong := q.Stages[1]
	wrong.To--
	want := []streamer.Stage{q.Stages[0], wrong, q.Stages[2]}
	if diff := cmp.Diff(want, steps[1].ExecutedStages); diff != "" {
		t.Errorf("ran mismatch (-want +got):\n%s", diff)
	}
	if _, text := ExpectedAnswer("m", "v", "", q.Prompt, modelLayers, q.MaxTokens); text == textOf(steps) {
		t.Errorf("answer %q is unchanged although a layer was skipped", text)
	}
}

func TestPoison(t *testing.T) {
	f := newFleet(t)
	q := request(f, "a 0 4", "b 4 9")
	q.Prompt += " " + poisonMarker
	body, err := json.Marshal(q)
	if err != nil {
		t.Fatal(err)
	}
	_, err = http.Post("http://"+q.Stages[0].Address+"/engine/streams", "application/json", bytes.NewReader(body))
	if err == nil || !f.engines["a"].isDown() || f.engines["b"].isDown() {
		t.Errorf("error %v, a down %v, b down %v", err, f.engines["a"].isDown(), f.engines["b"].isDown())
	}
	f.engines["a"].Restore()
	if r := f.open(t, request(f, "a 0 4")); r.StatusCode != http.StatusOK {
		t.Errorf("status %d after Restore", r.StatusCode)
	}
}

func TestCancel(t *testing.T) {
	f := newFleet(t, WithTiming(Timing{LayerTime: time.Hour, MaxBatch: 1}), WithPingInterval(time.Millisecond))
	for _, way := range []string{"delete", "disconnect"} {
		t.Run(way, func(t *testing.T) {
			q := request(f, "e 0 12")
			q.Request = way
			r := f.open(t, q)
			for f.engines["e"].Load().RunningRequests == 0 {
				time.Sleep(time.Millisecond)
			}
			if way == "delete" {
				u := "http://" + q.Stages[0].Address + "/engine/streams/delete/1"
				d, err := http.NewRequestWithContext(context.Background(), http.MethodDelete, u, nil)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := http.DefaultClient.Do(d); err != nil {
					t.Fatal(err)
				}
				steps := collect(t, r)
				if len(steps) != 1 || steps[0].Reason != "cancelled" {
					t.Errorf("steps %+v after a cancel", steps)
				}
			} else {
				r.Body.Close()
			}
			for f.engines["e"].Load().RunningRequests > 0 {
				time.Sleep(time.Millisecond)
			}
		})
	}
}

func TestImport(t *testing.T) {
	f := newFleet(t)
	q := request(f, "a 0 4", "b 4 9", "c 9 12")
	tokens, want := ExpectedAnswer("m", "v", "", q.Prompt, modelLayers, q.MaxTokens)
	collect(t, f.open(t, q))
	positions := 1 + 7 + len(tokens)
	if len(tokens) == q.MaxTokens {
		positions--
	}
	cache, _ := f.engines["b"].findCache("r", "4")
	if diff := cmp.Diff(positions, len(cache.Inputs)); diff != "" {
		t.Errorf("exported positions mismatch (-want +got):\n%s", diff)
	}
	body, err := json.Marshal(cache)
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.Post(f.servers["d"].URL+"/engine/caches/copy", "application/json", bytes.NewReader(body))
	if err != nil || r.StatusCode != http.StatusNoContent {
		t.Fatalf("import: %v %v", r, err)
	}
	q = request(f, "a 0 4", "d 4 9", "c 9 12")
	q.Attempt, q.Delivered, q.Imports = 2, tokens[:3], []string{"copy", "r"}
	text := textOf(collect(t, f.open(t, q)))
	if diff := cmp.Diff(want, tokenText(0, tokens[0])+tokenText(1, tokens[1])+tokenText(2, tokens[2])+text); diff != "" {
		t.Errorf("text mismatch (-want +got):\n%s", diff)
	}
}

func TestOrders(t *testing.T) {
	load := func(id string, fence int64) streamer.Order {
		return streamer.Order{ID: id, FencingToken: fence, Action: streamer.OrderLoad, Held: streamer.LayerRange{Model: id, To: 1}}
	}
	for _, fenced := range []bool{false, true} {
		t.Run(fmt.Sprint("fenced ", fenced), func(t *testing.T) {
			var options []Option
			want := []string{"x", "y", "w"}
			if fenced {
				options = append(options, WithFencing())
				want = []string{"x", "y"}
			}
			d := New(options...)
			defer d.Close()
			for _, o := range []streamer.Order{load("x", 1), load("y", 3), load("y", 3), load("w", 2)} {
				d.acceptOrder(o)
			}
			var got []string
			for _, o := range d.Orders() {
				got = append(got, o.ID)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("orders run (-want +got):\n%s", diff)
			}
			for len(d.Load().Held) < len(want) {
				time.Sleep(time.Millisecond)
			}
		})
	}
}

func TestEvents(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New(WithCacheSize(2), WithLag(time.Second), WithClock(func() time.Time { return now }),
		WithEventLoss(func(sequence int64) bool { return sequence == 2 }))
	defer d.Close()
	q := streamer.Request{Model: "m", Prompt: strings.Repeat("word ", 3*streamer.BlockTokens)}
	d.prefixes.markUsed(now, q, streamer.Stage{}, 3*streamer.BlockTokens)
	get := func() []streamer.CacheEvent {
		w := httptest.NewRecorder()
		d.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/engine/events?after=0", nil))
		var events []streamer.CacheEvent
		if err := json.Unmarshal(w.Body.Bytes(), &events); err != nil {
			t.Fatal(err)
		}
		return events
	}
	if diff := cmp.Diff([]streamer.CacheEvent{}, get()); diff != "" {
		t.Errorf("early events (-want +got):\n%s", diff)
	}
	now = now.Add(time.Second)
	blocks := streamer.PrefixHashes("m", "", "", q.Prompt)
	want := []streamer.CacheEvent{
		{Sequence: 1, Endpoint: "engine", Prefix: blocks[0]},
		{Sequence: 3, Endpoint: "engine", Prefix: blocks[2]},
		{Sequence: 4, Endpoint: "engine", Prefix: blocks[0], Evicted: true},
	}
	if diff := cmp.Diff(want, get()); diff != "" {
		t.Errorf("events mismatch (-want +got):\n%s", diff)
	}
}

func TestBatcherOrder(t *testing.T) {
	b := &batcher{timing: Timing{LayerTime: time.Millisecond, MaxBatch: 2}, wake: make(chan struct{}, 1)}
	for i, priority := range []int{0, 1, 0, 2} {
		b.push(work{layers: i + 1, priority: priority})
	}
	var got [][]int
	for batch := b.nextBatch(); len(batch) > 0; batch = b.nextBatch() {
		var l []int
		for _, n := range batch {
			l = append(l, n.layers)
		}
		got = append(got, l)
	}
	if diff := cmp.Diff([][]int{{4, 2}, {1, 3}}, got); diff != "" {
		t.Errorf("batches mismatch (-want +got):\n%s", diff)
	}
}
