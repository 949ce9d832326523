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

// TestSpareLoadsLostRange removes the only engine that holds a range while two instances run repairs. The spare engine,
// which holds nothing, must be ordered once to load the range, after which answers are complete again.
func TestSpareLoadsLostRange(t *testing.T) {
	list := standin.New(nil)
	platform := Platform{Table: tabler.New(), Objects: storer.New(faulter.NewFaults(1)), List: list}
	engines := map[string]*decoder.Decoder{}
	servers := map[string]*httptest.Server{}
	for i, id := range []string{"e0", "e1", "e2", "spare"} {
		options := []decoder.Option{decoder.WithEndpoint(id), decoder.WithKind("large")}
		if id != "spare" {
			held := streamer.LayerRange{Model: "oak", Version: "v1", From: i * layers / 3, To: (i + 1) * layers / 3}
			options = append(options, decoder.WithLayerRanges(held))
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
	acceptRecords(t, instances[0], records(t))
	_, want := decoder.ExpectedAnswer("oak", "v1", "", "user: a sill\n", layers, 20)
	answersComplete := func() bool {
		text, err := streamAnswer(client(instances[0], token), "a sill", func() {})
		return err == nil && text == want
	}
	for !answersComplete() {
		time.Sleep(10 * time.Millisecond)
	}

	list.Remove("e1")
	servers["e1"].CloseClientConnections()
	servers["e1"].Config.Close()
	for !answersComplete() || len(repairEvents(instances)) < 2 {
		time.Sleep(10 * time.Millisecond)
	}
	lostRange := repairer.Range{Model: "oak", Version: "v1", From: layers / 3, To: 2 * layers / 3}
	var got []string
	for _, e := range repairEvents(instances) {
		if e.Range != lostRange || e.Endpoint != "spare" || e.Why == "" {
			t.Errorf("event is %+v", e)
		}
		got = append(got, e.What)
	}
	if diff := cmp.Diff([]string{repairer.EventOrdered, repairer.EventLoaded}, got); diff != "" {
		t.Errorf("events mismatch (-want +got):\n%s", diff)
	}
}

// repairEvents returns the repair events of all instances.
func repairEvents(instances []*Runner) []repairer.Event {
	var all []repairer.Event
	for _, r := range instances {
		all = append(all, r.repairOrderer.State().Events...)
	}
	return all
}

// TestRepairSettings checks the limits and lease durations taken from the settings, and that the defaults of the settings
// equal those of the packages.
func TestRepairSettings(t *testing.T) {
	r := &Runner{settings: configurer.Settings{Repairs: configurer.Repairs{
		LayersPerSecond: 9, ConcurrentLoads: 2, GracePeriod: time.Second, OrderWindow: 3 * time.Second,
	}}}
	limits, terms := r.repairSettings()
	want := []any{9.0, 2, time.Second, 3 * time.Second}
	if diff := cmp.Diff(want, []any{limits.LayersPerSecond, limits.MaxParallelLoads, limits.GracePeriod, terms.OrderWindow}); diff != "" {
		t.Errorf("limits mismatch (-want +got):\n%s", diff)
	}
	defaults := configurer.Default().Repairs
	set := configurer.Repairs{LayersPerSecond: int(repairer.DefaultSettings().LayersPerSecond), ConcurrentLoads: repairer.DefaultSettings().MaxParallelLoads,
		GracePeriod: repairer.DefaultSettings().GracePeriod, OrderWindow: leaser.DefaultTerms().OrderWindow}
	if diff := cmp.Diff(set, defaults); diff != "" {
		t.Errorf("defaults mismatch (-want +got):\n%s", diff)
	}
}
