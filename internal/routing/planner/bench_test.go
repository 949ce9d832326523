package planner

import (
	"fmt"
	"testing"
)

// largeGraph returns a graph of the data centres of one region, each with halves, thirds and quarters of 48 layers.
func largeGraph(centres int) *Graph {
	var endpoints []Endpoint
	for centre := range centres {
		for _, width := range []int{24, 16, 12} {
			for from := 0; from < 48; from += width {
				id := fmt.Sprintf("%d-%d-%d", centre, width, from)
				endpoints = append(endpoints, holder(id, fmt.Sprint(centre), from, from+width, float64(1000+10*from)))
			}
		}
	}
	return NewGraph("m", "1", 48, endpoints, nil)
}

// BenchmarkGraph measures the bound with its limits, as in a state dump, and the spread behind the weights of a pick.
func BenchmarkGraph(b *testing.B) {
	for _, centres := range []int{3, 10} {
		g := largeGraph(centres)
		b.Run(fmt.Sprintf("bound/%d", centres), func(b *testing.B) {
			for b.Loop() {
				g.Bound()
			}
		})
		b.Run(fmt.Sprintf("weights/%d", centres), func(b *testing.B) {
			for b.Loop() {
				g.BalancedSpread()
			}
		})
	}
}
