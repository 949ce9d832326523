package runner

import (
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/routing/picker"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
	"github.com/heatherrock/heatherrock/internal/standin/storer"
	"github.com/heatherrock/heatherrock/internal/standin/tabler"
)

// TestReadyOnceEndpointsAreKnown checks that a new instance is not ready before it knows endpoints that cover every
// model, and that a model without endpoints delays it for no longer than maxCoverWait.
func TestReadyOnceEndpointsAreKnown(t *testing.T) {
	r := New(settings(), Platform{Table: tabler.New(), Objects: storer.New(faulter.NewFaults(1))},
		WithLog(slog.New(slog.DiscardHandler)))
	if err := r.Start(); err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	acceptRecords(t, r, records(t))
	observe := func(from, to int) {
		r.Router().Observe(r.startedAt, planner.Endpoint{
			ID: string(rune('a' + from)), Rate: 1, Held: []planner.Held{{Model: "oak", Version: "v1", From: from, To: to}},
		}, picker.Report{At: r.startedAt})
	}
	const unknown = "the endpoints are not known yet"
	soon := r.startedAt.Add(time.Second)
	steps := []struct {
		name string
		do   func()
		at   time.Time
		want string
	}{
		{"no endpoint", func() {}, soon, unknown},
		{"no endpoint after the maximum wait", func() {}, r.startedAt.Add(maxCoverWait), ""},
		{"some layers", func() { observe(0, layers/2) }, soon, unknown},
		{"all layers", func() { observe(layers/2, layers) }, soon, ""},
	}
	for _, s := range steps {
		s.do()
		if diff := cmp.Diff(s.want, r.ready(s.at)); diff != "" {
			t.Errorf("%s: ready mismatch (-want +got):\n%s", s.name, diff)
		}
	}
}
