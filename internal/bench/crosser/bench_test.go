package crosser

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPolicies replays loads on the two fleets with each policy, and reports the worth and the bytes.
func BenchmarkPolicies(b *testing.B) {
	for name, fleet := range map[string]*Fleet{"first": &FirstFleet, "second": &SecondFleet} {
		for _, loads := range [][]float64{{0.5, 0.5, 0.5}, {0.8, 0.8, 0.8}, {1.5, 0.5, 0.5}, {2, 0.3, 0.3}, {1.2, 1.2, 1.2}, {3, 0.8, 0.8}} {
			for _, p := range Policies {
				b.Run(fmt.Sprint(name, loads, p), func(b *testing.B) {
					for b.Loop() {
						worth, mb := runs(Scenario{Demand: demand(loads...), Duration: 14 * time.Second, Policy: p, Fleet: fleet}, 2)
						b.ReportMetric(worth, "worth")
						b.ReportMetric(mb/1000, "GB")
					}
				})
			}
		}
	}
}
