package measurer

import (
	"math"
	"runtime"

	"gonum.org/v1/gonum/stat"

	"github.com/heatherrock/heatherrock/internal/bench/counter"
)

// linearFit is a linear fit of costs over sizes.
type linearFit struct {
	// Base is the cost at size 0, and Slope the cost of each further unit.
	Base  float64
	Slope float64
	// Error is the standard error of the slope.
	Error float64
}

// fitLine returns the least-squares line through measured costs at three sizes or more.
func fitLine(sizes, costs []float64) linearFit {
	base, slope := stat.LinearRegression(sizes, costs, nil, false)
	mean := stat.Mean(sizes, nil)
	var residual, spread float64
	for i, x := range sizes {
		d := costs[i] - base - slope*x
		residual += d * d
		spread += (x - mean) * (x - mean)
	}
	return linearFit{base, slope, math.Sqrt(residual / float64(len(sizes)-2) / spread)}
}

// costAt returns the fitted cost at a size. A negative base is an artefact of the fit and counts as 0.
func (l linearFit) costAt(size float64) float64 {
	return max(0, l.Base) + l.Slope*size
}

// processorSeconds returns the processor time that f uses, in seconds.
func processorSeconds(f func()) float64 {
	runtime.GC()
	before := counter.ProcessorTime()
	f()
	return (counter.ProcessorTime() - before).Seconds()
}

// liveHeapBytes returns the size of the live objects.
func liveHeapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// heapGrowth returns the number of bytes by which f grows the heap through the objects that it returns.
func heapGrowth(f func() any) float64 {
	before := liveHeapBytes()
	kept := f()
	after := liveHeapBytes()
	runtime.KeepAlive(kept)
	return max(0, after-before)
}
