package assigner

import (
	"encoding/binary"
	"math/bits"
	"time"

	"github.com/ansel1/merry/v2"
)

// Load is the load of an endpoint as reported to other instances: counts of requests, quantised.
type Load struct {
	Running int
	Waiting int
	// Rate is the capacity in layer steps a second, quantised.
	Rate int
}

// ErrMalformedLoad is the error of DecodeLoad for bytes that are not an encoded load.
var ErrMalformedLoad = merry.Sentinel("malformed load")

// stepBits is the number of significant bits that a quantised count keeps, so that a reported count is less than a
// quarter too low.
const stepBits = 3

// Quantise returns a count rounded down to three significant bits, so that small counts are exact.
func Quantise(count int) int {
	if count <= 0 {
		return 0
	}
	drop := max(0, bits.Len(uint(count))-stepBits)
	return count >> drop << drop
}

// Quantised returns the load as reported to other instances.
func (l Load) Quantised() Load {
	return Load{Running: Quantise(l.Running), Waiting: Quantise(l.Waiting), Rate: Quantise(l.Rate)}
}

// Encode returns the load as three unsigned varints.
func (l Load) Encode() []byte {
	var b []byte
	b = binary.AppendUvarint(b, uint64(l.Running))
	b = binary.AppendUvarint(b, uint64(l.Waiting))
	return binary.AppendUvarint(b, uint64(l.Rate))
}

// DecodeLoad decodes a load from Encode. The error is ErrMalformedLoad.
func DecodeLoad(b []byte) (Load, error) {
	var fields [3]int
	for i := range fields {
		value, n := binary.Uvarint(b)
		if n <= 0 || value > 1<<40 {
			return Load{}, ErrMalformedLoad
		}
		fields[i], b = int(value), b[n:]
	}
	return Load{Running: fields[0], Waiting: fields[1], Rate: fields[2]}, nil
}

// LoadReporter decides when a load is reported again. Its zero value has reported nothing.
type LoadReporter struct {
	Reported   Load
	ReportedAt time.Time
}

// RecordIfDue reports whether a load is due to be reported at now, and if so records it as reported. The first load is
// due. A later one is due once a quantised part differs by more than one step and the last report is at least
// minInterval ago, or once the last report is refresh ago.
func (r *LoadReporter) RecordIfDue(now time.Time, l Load, minInterval, refresh time.Duration) bool {
	since := now.Sub(r.ReportedAt)
	changed := differsByTwoSteps(r.Reported.Running, l.Running) || differsByTwoSteps(r.Reported.Waiting, l.Waiting) || differsByTwoSteps(r.Reported.Rate, l.Rate)
	if !r.ReportedAt.IsZero() && since < refresh && (!changed || since < minInterval) {
		return false
	}
	r.Reported, r.ReportedAt = l.Quantised(), now
	return true
}

// differsByTwoSteps reports whether a count has left the step that was reported and the two steps next to it.
func differsByTwoSteps(reported, count int) bool {
	return count < previousStep(reported) || count >= nextStep(nextStep(reported))
}

// nextStep returns the first count of the step after that of a quantised count.
func nextStep(quantised int) int {
	return quantised + 1<<max(0, bits.Len(uint(quantised))-stepBits)
}

// previousStep returns the first count of the step before that of a quantised count.
func previousStep(quantised int) int {
	return Quantise(quantised - 1)
}
