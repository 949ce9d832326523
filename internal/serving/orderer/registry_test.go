package orderer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/control/repairer"
	"github.com/heatherrock/heatherrock/internal/routing/picker"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

// discardRouter ignores all calls.
type discardRouter struct{}

func (discardRouter) Observe(time.Time, planner.Endpoint, picker.Report) {}

func (discardRouter) RecordLoadReadFailure(time.Time, string) {}

func (discardRouter) RecordLoadReadSuccess(time.Time, string) {}

func (discardRouter) MarkLeaving(time.Time, string) {}

func (discardRouter) Remove(time.Time, string) {}

// TestRegistryTakesRecords checks the needs and endpoints that the registry derives from the records in force.
func TestRegistryTakesRecords(t *testing.T) {
	view := recorder.View{
		Models: map[string]recorder.Model{"oak": {
			Layers:   30,
			Versions: []recorder.Version{{Name: "v1", SharePercent: 100}, {Name: "v2"}},
			Stages:   []recorder.Stage{{From: 0, To: 30, Replicas: 2}},
		}},
		Endpoints: map[string]recorder.Endpoint{"large": {Ranges: []recorder.Range{{Model: "oak", From: 0, To: 20}}}},
	}
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	g := NewRegistry("wales", time.Second, func() recorder.View { return view }, func() time.Time { return now }, discardRouter{})
	g.Observe(now, planner.Endpoint{ID: "e1", Kind: "large", Region: "wales"}, picker.Report{})
	g.Observe(now, planner.Endpoint{ID: "e2", Kind: "small", Region: "wales"}, picker.Report{})
	g.Observe(now, planner.Endpoint{ID: "e3", Kind: "large", Region: "elsewhere"}, picker.Report{})
	needs := []repairer.Need{{Model: "oak", Version: "v1", Layers: 30, Stages: []repairer.Stage{{From: 0, To: 30, Replicas: 2}}}}
	if diff := cmp.Diff(needs, g.Needs()); diff != "" {
		t.Errorf("needs mismatch (-want +got):\n%s", diff)
	}
	endpoints := []Endpoint{
		{Endpoint: repairer.Endpoint{ID: "e1", Kind: "large", Allowed: []repairer.Range{{Model: "oak", From: 0, To: 20}}}},
		{Endpoint: repairer.Endpoint{ID: "e2", Kind: "small"}},
	}
	if diff := cmp.Diff(endpoints, g.Endpoints()); diff != "" {
		t.Errorf("endpoints mismatch (-want +got):\n%s", diff)
	}
}
