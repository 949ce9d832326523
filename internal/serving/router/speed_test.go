package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/detector"
	"github.com/heatherrock/heatherrock/internal/routing/picker"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
	"github.com/heatherrock/heatherrock/internal/serving/generator"
)

// BenchmarkRecordToken records tokens of many concurrent answers with a router.
func BenchmarkRecordToken(b *testing.B) {
	const ranges, replicas, layers, answers = 3, 10, 12, 256
	start := time.Unix(1000, 0)
	r := New("a", detector.New(), nil, WithSeed(1))
	for i := range ranges {
		for j := range replicas {
			held := planner.Held{Model: "m", Version: "v", From: i * layers / ranges, To: (i + 1) * layers / ranges}
			e := planner.Endpoint{ID: fmt.Sprintf("e-%d-%d", i, j), DataCentre: "a", Region: "r", Rate: 1e5, Held: []planner.Held{held}}
			r.Observe(start, e, picker.Report{At: start, Rate: 1e5})
		}
	}
	jobs := make([]generator.Job, answers)
	plans := make([]planner.Plan, answers)
	for i := range jobs {
		jobs[i] = generator.Job{Request: fmt.Sprintf("r-%d", i), Team: "t", Model: "m", Version: "v", Layers: layers, MaxTokens: 1 << 20}
		route := r.Route(start, jobs[i], generator.RouteRequest{})
		if !route.OK {
			b.Fatal(route.Reason)
		}
		plans[i] = route.Plan
		r.RecordStart(start, jobs[i], route.Plan)
	}
	now := start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(100 * time.Microsecond)
		r.RecordToken(now, jobs[i%answers], plans[i%answers])
	}
}
