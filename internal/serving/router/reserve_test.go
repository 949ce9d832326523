package router

import (
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/routing/detector"
	"github.com/heatherrock/heatherrock/internal/routing/picker"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
	"github.com/heatherrock/heatherrock/internal/serving/generator"
)

// newRouter returns a router with one engine of kind small, which may run one request at a time.
func newRouter(now time.Time) *Router {
	r := New("a", detector.New(), nil, WithSeed(1), WithLog(slog.New(slog.DiscardHandler)))
	r.Observe(now, planner.Endpoint{
		ID: "e1", Kind: "small", Rate: 1e6, Held: []planner.Held{{Model: "m", Version: "v", From: 0, To: 4}},
	}, picker.Report{At: now})
	r.Configure(now, recorder.View{Epoch: 1, Endpoints: map[string]recorder.Endpoint{"small": {MaxBatch: 1}}})
	return r
}

// job returns a job for a model.
func job(request, model string) generator.Job {
	return generator.Job{Request: request, Model: model, Version: "v", Layers: 4, MaxTokens: 10}
}

func TestReserve(t *testing.T) {
	now := time.Unix(1000, 0)
	later := now.Add(time.Minute)
	plan := planner.Plan{Model: "m", Version: "v", Stages: []planner.Stage{{Endpoint: "e1", From: 0, To: 4}}}
	cases := []struct {
		name  string
		steps func(r *Router)
		model string
		want  bool
	}{
		{"free capacity", func(*Router) {}, "m", true},
		{"reserved capacity", func(r *Router) { r.Reserve(later, job("first", "m")) }, "m", false},
		{"capacity in use", func(r *Router) {
			r.Reserve(later, job("first", "m"))
			r.RecordStart(later, job("first", "m"), plan)
			r.Release(later, job("first", "m"))
		}, "m", false},
		{"a reservation that was released unused", func(r *Router) {
			r.Reserve(later, job("first", "m"))
			r.Release(later, job("first", "m"))
		}, "m", true},
		{"a reservation whose attempt has ended", func(r *Router) {
			r.Reserve(later, job("first", "m"))
			r.RecordStart(later, job("first", "m"), plan)
			r.RecordEnd(later, job("first", "m"), generator.Attempt{Plan: plan})
		}, "m", true},
		{"a model without endpoints has nothing to wait for", func(*Router) {}, "other", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(now)
			c.steps(r)
			if diff := cmp.Diff(c.want, r.Reserve(later, job("asked", c.model))); diff != "" {
				t.Errorf("Reserve mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRouteUsesReservation checks that a reservation is used by the first attempt alone, and only if none of its
// endpoints is to be avoided.
func TestRouteUsesReservation(t *testing.T) {
	now := time.Unix(1000, 0)
	later := now.Add(time.Minute)
	cases := []struct {
		name    string
		request generator.RouteRequest
		want    bool
	}{
		{"the first attempt", generator.RouteRequest{}, true},
		{"an endpoint to avoid", generator.RouteRequest{Avoid: []string{"e1"}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(now)
			j := job("r1", "m")
			r.Reserve(later, j)
			route := r.Route(later, j, c.request)
			if diff := cmp.Diff(c.want, route.OK); diff != "" {
				t.Errorf("Route mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(!c.want, r.Reserve(later, job("r2", "m"))); diff != "" {
				t.Errorf("second reservation mismatch (-want +got):\n%s", diff)
			}
		})
	}
}
