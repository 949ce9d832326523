package picker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkPick measures a pick, with the graph checked as often as in service: four times a second at 80 picks a
// second.
func BenchmarkPick(b *testing.B) {
	for _, size := range []int{30, 300, 1500} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			p := New()
			for i := range size {
				from := i % 4 * 10
				centre := []string{"x", "y", "z"}[i/4%3]
				p.Observe(startTime, holder(fmt.Sprint(i), centre, from, from+10), Report{At: startTime})
			}
			q := baseQuery
			q.Layers = 40
			r := rand.New(rand.NewPCG(1, 1))
			now := startTime
			for b.Loop() {
				now = now.Add(time.Second / 80)
				if _, refusal := p.Pick(now, q, r); refusal.Refused() {
					b.Fatal(refusal)
				}
			}
		})
	}
}
