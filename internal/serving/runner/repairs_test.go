package runner

import (
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/control/leaser"
	"github.com/heatherrock/heatherrock/internal/control/repairer"
	"github.com/heatherrock/heatherrock/internal/serving/configurer"
	"github.com/heatherrock/heatherrock/internal/standin/decoder"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
	standin "github.com/heatherrock/heatherrock/internal/standin/lister"
	"github.com/heatherrock/heatherrock/internal/standin/storer"
	"github.com/heatherrock/heatherrock/internal/standin/tabler"
)

// TestSpareLoadsWhatIsLost takes away the only engine of a range, beside one that holds nothing, before two instances.
// The spare is told to load the range once, and answers are whole again.
func TestSpareLoadsWhatIsLost(t *testing.T) {
	list := standin.New(nil)
	platform := Platform{Table: tabler.New(), Objects: storer.New(faulter.NewFaults(1)), List: list}
	engines := map[string]*decoder.Decoder{}
	servers := map[string]*httptest.Server{}
	for i, id := range []string{"e0", "e1", "e2", "spare"} {
		options := []decoder.Option{decoder.WithEndpoint(id), decoder.WithKind("large")}
		if id != "spare" {
			held := streamer.Held{Model: "oak", Version: "v1", From: i * layers / 3, To: (i + 1) * layers / 3}
			options = append(options, decoder.WithHeld(held))
		}
		engines[id] = decoder.New(options...)
		servers[id] = httptest.NewServer(engines[id])
		t.Cleanup(servers[id].Close)
		t.Cleanup(engines[id].Close)
		list.Put(lister.Instance{ID: id, Role: lister.RoleEngine, Address: servers[id].Listener.Addr().String(),
			DataCentre: "scot-central-a", Region: "scot-central", Kind: "large"})
	}
	var instances []*Runner
	for _, id := range []string{"entry-1", "entry-2"} {
		s := settings()
		s.ID = id
		r := New(s, platform, WithLog(slog.New(slog.DiscardHandler)))
		if err := r.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		instances = append(instances, r)
	}
	for _, r := range instances {
		for len(r.Router().State(time.Now()).Picker.Endpoints) < len(engines) {
			time.Sleep(time.Millisecond)
		}
	}
	accept(t, instances[0], records(t))
	_, want := decoder.Answer("oak", "v1", "", "user: a sill\n", layers, 20)
	whole := func() bool {
		text, err := stream(client(instances[0], token), "a sill", func() {})
		return err == nil && text == want
	}
	for !whole() {
		time.Sleep(10 * time.Millisecond)
	}

	list.Remove("e1")
	servers["e1"].CloseClientConnections()
	servers["e1"].Config.Close()
	for !whole() || len(events(instances)) < 2 {
		time.Sleep(10 * time.Millisecond)
	}
	lost := repairer.Range{Model: "oak", Version: "v1", From: layers / 3, To: 2 * layers / 3}
	var got []string
	for _, d := range events(instances) {
		if d.Range != lost || d.Endpoint != "spare" || d.Why == "" {
			t.Errorf("event is %+v", d)
		}
		got = append(got, d.What)
	}
	if diff := cmp.Diff([]string{repairer.EventOrdered, repairer.EventLoaded}, got); diff != "" {
		t.Errorf("events mismatch (-want +got):\n%s", diff)
	}
}

// events returns what the instances did about missing ranges.
func events(instances []*Runner) []repairer.Event {
	var all []repairer.Event
	for _, r := range instances {
		all = append(all, r.orders.State().Events...)
	}
	return all
}

// TestRepairsTakeTheirSettings checks what the settings allow the repairs.
func TestRepairsTakeTheirSettings(t *testing.T) {
	r := &Runner{settings: configurer.Settings{Repairs: configurer.Repairs{
		Layers: 9, Loads: 2, Grace: time.Second, Window: 3 * time.Second,
	}}}
	bounds, terms := r.bounds()
	want := []any{9.0, 2, time.Second, 3 * time.Second}
	if diff := cmp.Diff(want, []any{bounds.LayersPerSecond, bounds.MaxParallelLoads, bounds.GracePeriod, terms.OrderWindow}); diff != "" {
		t.Errorf("bounds mismatch (-want +got):\n%s", diff)
	}
	defaults := configurer.Default().Repairs
	set := configurer.Repairs{Layers: int(repairer.DefaultSettings().LayersPerSecond), Loads: repairer.DefaultSettings().MaxParallelLoads,
		Grace: repairer.DefaultSettings().GracePeriod, Window: leaser.DefaultTerms().OrderWindow}
	if diff := cmp.Diff(set, defaults); diff != "" {
		t.Errorf("defaults mismatch (-want +got):\n%s", diff)
	}
}
