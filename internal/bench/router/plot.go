package router

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
)

// offeredLoads are the loads of the throughput chart, as shares of the bound.
var offeredLoads = []float64{0.25, 0.5, 0.75, 0.9, 1, 1.15, 1.3}

// plotDuration is how long a trial for a chart is measured.
const plotDuration = 3 * time.Second

// plotFlow measures throughput against offered load for each policy.
func plotFlow(seed uint64) (reporter.Chart, error) {
	chart := reporter.Chart{
		Title: "Throughput against offered load", X: "offered load (share of the bound)", Y: "throughput (share of the bound)",
	}
	bound := newFleet(newClock()).bound()
	for _, p := range policies() {
		line := reporter.Line{Name: p.name}
		for _, offered := range offeredLoads {
			t := newTrial(seed, p.newPolicy, []load{steadyLoad("team", offered, bound)})
			t.clock.run(warmupTime + plotDuration)
			line.Points = append(line.Points, reporter.Point{X: offered, Y: t.throughput(warmupTime, warmupTime+plotDuration) / bound})
		}
		chart.Lines = append(chart.Lines, line)
	}
	return chart, nil
}

// plotFault measures the throughput before and after a fault for each policy, and draws the new bound as a line.
func plotFault(title string, seed uint64, slowDown func(*fleet)) (reporter.Chart, error) {
	chart := reporter.Chart{Title: title, X: "time (s)", Y: "throughput (tokens/s)"}
	f := newFleet(newClock())
	before := f.bound()
	slowDown(f)
	end := faultAt + recoveryLimit + faultMeasureTime
	for _, p := range policies() {
		t := faultTrial(seed, p, before, slowDown)
		line := reporter.Line{Name: p.name}
		for at := time.Duration(0); at+recoveryWindow <= end; at += binWidth {
			point := reporter.Point{X: (at + recoveryWindow).Seconds(), Y: t.throughput(at, at+recoveryWindow)}
			line.Points = append(line.Points, point)
		}
		chart.Lines = append(chart.Lines, line)
	}
	bound := reporter.Line{Name: "bound", Points: []reporter.Point{
		{X: faultAt.Seconds(), Y: f.bound()}, {X: end.Seconds(), Y: f.bound()},
	}}
	chart.Lines = append(chart.Lines, bound)
	return chart, nil
}

// plotKind draws the timeline of slowkind.
func plotKind(seed uint64) (reporter.Chart, error) {
	return plotFault("One kind slows to a third at 5 s", seed, slowMedium)
}

// plotLink draws the timeline of link.
func plotLink(seed uint64) (reporter.Chart, error) {
	return plotFault("One link becomes a hundred times slower at 5 s", seed, slowOneLink)
}
