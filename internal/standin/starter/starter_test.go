package starter

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/standin/decoder"
)

// smallFleet is a fleet of two engines and one server.
const smallFleet = `{
	"tables": {"writes": 400, "reads": 2000}, "objects": {}, "instances": {}, "weights": {"layer": 1024},
	"kinds": {"k": {"layer": "1us", "batch": 4, "fenced": true, "poison": "POISON"}},
	"engines": [
		{"id": "e1", "kind": "k", "datacentre": "a", "held": [{"model": "m", "version": "v", "from": 0, "to": 4}]},
		{"id": "e2", "kind": "k", "datacentre": "b"}, // a spare
	],
	"links": [{"from": "a", "to": "e2", "delay": "2ms", "position": "1ms"}],
	"services": {"stock": {"effect": "/holds", "lookup": true, "stock": {"oak": 5}}},
	"servers": [{"id": "s1", "service": "stock", "datacentre": "a"}],
	"entries": [{"id": "n1", "role": "entry", "address": "127.0.0.1:9"}],
}`

func start(t *testing.T) *Starter {
	t.Helper()
	f, err := ParseFleet([]byte(smallFleet))
	if err != nil {
		t.Fatal(err)
	}
	s, err := Start(f)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// post sends a body and returns the status, or 0 if no response arrived.
func post(t *testing.T, url, body string) int {
	t.Helper()
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func TestRead(t *testing.T) {
	cases := []struct{ name, content, want string }{
		{"unknown field", `{"engine": []}`, `json: unknown field "engine"`},
		{"unknown kind", `{"engines": [{"id": "e", "kind": "k"}]}`, `engine e: unknown kind "k"`},
		{"unknown service", `{"servers": [{"id": "s", "service": "x"}]}`, `server s: unknown service "x"`},
		{
			"one id twice", `{"kinds": {"k": {}}, "engines": [{"id": "e", "kind": "k"}, {"id": "e", "kind": "k"}]}`,
			`engine "e": its id is empty or not its own`,
		},
		{"negative time", `{"links": [{"delay": "-1s"}]}`, "duration -1s is negative"},
		{"whole", smallFleet, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := ""
			if _, err := ParseFleet([]byte(c.content)); err != nil {
				got = err.Error()
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("error mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

func TestStart(t *testing.T) {
	s := start(t)
	list, err := lister.NewClient(s.URL(NameInstances)).List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	want := []lister.Instance{
		{ID: "n1", Role: "entry", Address: "127.0.0.1:9"},
		{ID: "e1", Role: "engine", Address: s.StandIn("e1").Server.Address(), DataCentre: "a", Kind: "k"},
		{ID: "e2", Role: "engine", Address: s.StandIn("e2").Server.Address(), DataCentre: "b", Kind: "k"},
		{ID: "s1", Role: "service", Service: "stock", Address: s.StandIn("s1").Server.Address(), DataCentre: "a"},
	}
	if diff := cmp.Diff(want, list); diff != "" {
		t.Errorf("instances mismatch (-want +got):\n%s", diff)
	}
	table := tabler.NewClient(s.URL(NameTables))
	r, err := table.Commit(t.Context(), tabler.Txn{Writes: []tabler.Write{{Table: "t", Key: "k"}}})
	if !r.Applied || err != nil {
		t.Errorf("commit: %+v, error %v", r, err)
	}
	if status := post(t, s.URL("s1")+"/holds", `{"item": "oak", "quantity": 1}`); status != http.StatusCreated {
		t.Errorf("hold: status %d", status)
	}
	link := s.linkDelay(location{"e1", "a"})
	delays := []time.Duration{link(s.StandIn("e2").Server.Address(), 3), link(s.StandIn("e1").Server.Address(), 3)}
	if diff := cmp.Diff([]time.Duration{5 * time.Millisecond, 0}, delays); diff != "" {
		t.Errorf("delays mismatch (-want +got):\n%s", diff)
	}
}

func TestSpare(t *testing.T) {
	s := start(t)
	order, err := json.Marshal(streamer.Order{
		ID: "o1", FencingToken: 1, Action: streamer.OrderLoad, Held: streamer.LayerRange{Model: "m", Version: "v", To: 2},
	})
	if err != nil {
		t.Fatal(err)
	}
	if status := post(t, s.URL("e2")+"/engine/orders", string(order)); status != http.StatusAccepted {
		t.Fatalf("order: status %d", status)
	}
	for len(s.Engines["e2"].Load().Held) == 0 {
		time.Sleep(time.Millisecond)
	}
	if diff := cmp.Diff(1, s.Weights.FetchCount("m.v.0-2")); diff != "" {
		t.Errorf("fetches mismatch (-want +got):\n%s", diff)
	}
}

func TestControl(t *testing.T) {
	s := start(t)
	request, err := json.Marshal(streamer.Request{
		Request: "r", Attempt: 1, Model: "m", Version: "v", Prompt: "hello POISON", MaxTokens: 2,
		Stages: []streamer.Stage{{Endpoint: "e1", Address: s.StandIn("e1").Server.Address(), To: 4}},
	})
	if err != nil {
		t.Fatal(err)
	}
	healthy := bytes.ReplaceAll(request, []byte("POISON"), []byte("world"))
	stream := s.URL("e1") + "/engine/streams"
	engine := s.ControlURL() + "/standins/e1"
	steps := []struct {
		name, url, body string
		status          int
	}{
		{"a poison request", stream, string(request), 0},
		{"the engine is down", stream, string(healthy), 0},
		{"restore", engine + "/restore", "", 204},
		{"the engine is up", stream, string(healthy), 200},
		{"crash", engine + "/crash", "", 204},
		{"down again", stream, string(healthy), 0},
		{"restore again", engine + "/restore", "", 204},
		{"set a fault", engine + "/faults", `{"call": "POST /engine/streams", "kind": "refuse"}`, 204},
		{"refused", stream, string(healthy), 503},
		{"unknown part", s.ControlURL() + "/standins/none/crash", "", 404},
		{"a link", s.ControlURL() + "/links", `{"to": "e1", "delay": "1s"}`, 204},
		{"not a link", s.ControlURL() + "/links", `{"delay": "1"}`, 400},
	}
	for _, n := range steps {
		if diff := cmp.Diff(n.status, post(t, n.url, n.body)); diff != "" {
			t.Errorf("%s: status mismatch (-want +got):\n%s", n.name, diff)
		}
	}
	if delay := s.linkDelay(location{"e2", "b"})(s.StandIn("e1").Server.Address(), 1); delay != time.Second {
		t.Errorf("link takes %v", delay)
	}
	resp, err := http.Get(s.ControlURL() + "/standins")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var parts []Status
	if err := json.NewDecoder(resp.Body).Decode(&parts); err != nil {
		t.Fatal(err)
	}
	up := map[string]bool{}
	for _, n := range parts {
		up[n.Name] = n.Up
	}
	want := map[string]bool{
		"tables": true, "objects": true, "weights": true, "e1": true, "e2": true, "s1": true, "instances": true,
	}
	if diff := cmp.Diff(want, up); diff != "" {
		t.Errorf("parts mismatch (-want +got):\n%s", diff)
	}
}

// TestRestart checks that a crashed engine restarts by itself after RestartDelay and then serves a request.
func TestRestart(t *testing.T) {
	f, err := ParseFleet([]byte(strings.ReplaceAll(smallFleet, `"poison": "POISON"`, `"restart": "1ms"`)))
	if err != nil {
		t.Fatal(err)
	}
	s, err := Start(f)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.StandIn("e1").Crash()
	for !s.StandIn("e1").Server.Up() {
		time.Sleep(time.Millisecond)
	}
	q := streamer.Request{
		Request: "r", Attempt: 1, Model: "m", Version: "v", Prompt: "hello", MaxTokens: 5,
		Stages: []streamer.Stage{{Endpoint: "e1", Address: s.StandIn("e1").Server.Address(), To: 4}},
	}
	body, err := json.Marshal(q)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post(s.URL("e1")+"/engine/streams", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var got string
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		var n streamer.Step
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
			t.Fatal(err)
		}
		got += n.Text
	}
	if _, want := decoder.ExpectedAnswer("m", "v", "", "hello", 4, 5); want != got {
		t.Errorf("answer %q, want %q", got, want)
	}
}
