package assigner

import (
	"encoding/binary"
	"math/bits"
	"time"

	"github.com/ansel1/merry/v2"
)

// Load is an endpoint's load as told to other instances: counts of requests, quantised.
type Load struct {
	Running int
	Waiting int
	// Rate is the capacity in layer steps a second, quantised.
	Rate int
}

// ErrLoad is the error of an encoded load that cannot be read.
var ErrLoad = merry.Sentinel("malformed load")

// stepBits is the number of significant bits that a quantised count keeps: a count told is less than a quarter too low.
const stepBits = 3

// Quantise returns a count rounded down to three significant bits, so that small counts are exact.
func Quantise(count int) int {
	if count <= 0 {
		return 0
	}
	drop := max(0, bits.Len(uint(count))-stepBits)
	return count >> drop << drop
}

// Quantised returns the load as told to others.
func (l Load) Quantised() Load {
	return Load{Running: Quantise(l.Running), Waiting: Quantise(l.Waiting), Rate: Quantise(l.Rate)}
}

// Encode returns the load as bytes.
func (l Load) Encode() []byte {
	var b []byte
	b = binary.AppendUvarint(b, uint64(l.Running))
	b = binary.AppendUvarint(b, uint64(l.Waiting))
	return binary.AppendUvarint(b, uint64(l.Rate))
}

// DecodeLoad reads an encoded load. The error is ErrLoad.
func DecodeLoad(b []byte) (Load, error) {
	var fields [3]int
	for i := range fields {
		value, n := binary.Uvarint(b)
		if n <= 0 || value > 1<<40 {
			return Load{}, ErrLoad
		}
		fields[i], b = int(value), b[n:]
	}
	return Load{Running: fields[0], Waiting: fields[1], Rate: fields[2]}, nil
}

// Teller decides when a load is told again. Its zero value has told nothing.
type Teller struct {
	Told Load
	At   time.Time
}

// Due reports whether a load is to be told at now, and records that it is: at the first load, once a quantised part
// differs by more than one step and the last telling is at least gap ago, and else after refresh.
func (t *Teller) Due(now time.Time, l Load, gap, refresh time.Duration) bool {
	since := now.Sub(t.At)
	changed := far(t.Told.Running, l.Running) || far(t.Told.Waiting, l.Waiting) || far(t.Told.Rate, l.Rate)
	if !t.At.IsZero() && since < refresh && (!changed || since < gap) {
		return false
	}
	t.Told, t.At = l.Quantised(), now
	return true
}

// far reports whether a count has left the step that was told and the steps next to it.
func far(told, count int) bool {
	return count < below(told) || count >= above(above(told))
}

// above returns the first count of the step after that of a quantised count.
func above(quantised int) int {
	return quantised + 1<<max(0, bits.Len(uint(quantised))-stepBits)
}

// below returns the first count of the step before that of a quantised count.
func below(quantised int) int {
	return Quantise(quantised - 1)
}
