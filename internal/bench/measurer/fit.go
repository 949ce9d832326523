package measurer

import (
	"math"
	"runtime"

	"gonum.org/v1/gonum/stat"

	"github.com/heatherrock/heatherrock/internal/bench/counter"
)

// line is a linear fit of a cost over a size.
type line struct {
	// Base is the cost at size 0, and Slope the cost of one more.
	Base  float64
	Slope float64
	// Error is the standard error of the slope.
	Error float64
}

// fit returns the least-squares line through measured costs at three sizes or more.
func fit(sizes, costs []float64) line {
	base, slope := stat.LinearRegression(sizes, costs, nil, false)
	mean := stat.Mean(sizes, nil)
	var residual, spread float64
	for i, x := range sizes {
		d := costs[i] - base - slope*x
		residual += d * d
		spread += (x - mean) * (x - mean)
	}
	return line{base, slope, math.Sqrt(residual / float64(len(sizes)-2) / spread)}
}

// at returns the cost at a size. A negative base is an artefact of the fit and counts as 0.
func (l line) at(size float64) float64 {
	return max(0, l.Base) + l.Slope*size
}

// spent returns the processor time, in seconds, that f uses.
func spent(f func()) float64 {
	runtime.GC()
	before := counter.Processor()
	f()
	return (counter.Processor() - before).Seconds()
}

// heap returns the bytes of live objects.
func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// grown returns the bytes by which f grows the live objects that it returns.
func grown(f func() any) float64 {
	before := heap()
	kept := f()
	after := heap()
	runtime.KeepAlive(kept)
	return max(0, after-before)
}
