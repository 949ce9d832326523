package recorder

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
)

// Delta is the change of the configuration by one accept or retire. It leads from the preceding epoch to its own.
type Delta struct {
	Epoch int64 `json:"epoch"`
	// Put holds the accepted records in full. Drop identifies the retired records.
	Put  []Record `json:"put,omitempty"`
	Drop []Ref    `json:"drop,omitempty"`
	// Sum is the checksum of the snapshot after the change, as returned by Snapshot.Checksum.
	Sum string `json:"sum"`
	// Mutation is the ID of the mutation, Operator the operator who made it, and Stamp its time, in milliseconds of the
	// Unix epoch.
	Mutation string `json:"mutation"`
	Operator string `json:"operator"`
	Stamp    int64  `json:"stamp"`
}

// Errors of Snapshot.Advance.
var (
	// ErrGap means that the delta does not follow the snapshot's epoch.
	ErrGap = merry.New("delta does not follow the snapshot")
	// ErrChecksum means that the delta leads to a configuration other than the accepted one.
	ErrChecksum = merry.New("checksum differs from the one accepted")
)

// Find returns the record with the given reference and whether it exists in the snapshot.
func (s Snapshot) Find(ref Ref) (Record, bool) {
	i, found := s.search(ref)
	if !found {
		return Record{}, false
	}
	return s.Records[i], true
}

// search returns the position of a reference in the sorted records, or where it would be inserted, and whether it was
// found.
func (s Snapshot) search(ref Ref) (int, bool) {
	return slices.BinarySearchFunc(s.Records, ref, func(r Record, ref Ref) int {
		return compareRefs(r.Ref(), ref)
	})
}

// compareRefs compares references by kind, then by name.
func compareRefs(a, b Ref) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// With returns a copy of the snapshot in which the records in put are added, or replace those of the same reference, and
// then the records in drop are removed. The epoch stays the same.
func (s Snapshot) With(put []Record, drop []Ref) Snapshot {
	next := Snapshot{Epoch: s.Epoch, Records: slices.Clone(s.Records)}
	for _, r := range put {
		i, found := next.search(r.Ref())
		if found {
			next.Records[i] = r
			continue
		}
		next.Records = slices.Insert(next.Records, i, r)
	}
	for _, ref := range drop {
		i, found := next.search(ref)
		if found {
			next.Records = slices.Delete(next.Records, i, i+1)
		}
	}
	return next
}

// Advance returns the snapshot after the delta. The error is ErrGap or ErrChecksum.
func (s Snapshot) Advance(d Delta) (Snapshot, error) {
	if d.Epoch != s.Epoch+1 {
		return s, merry.Prependf(ErrGap, "epoch %d after %d", d.Epoch, s.Epoch)
	}
	next := s.With(d.Put, d.Drop)
	next.Epoch = d.Epoch
	if sum := next.Checksum(); sum != d.Sum {
		return s, merry.Prependf(ErrChecksum, "epoch %d: %s in place of %s", d.Epoch, sum, d.Sum)
	}
	return next, nil
}

// Checksum returns a checksum of the records, as 16 hexadecimal digits. It does not cover the epoch.
func (s Snapshot) Checksum() string {
	digest := xxhash.New()
	for _, r := range s.Records {
		digest.WriteString(r.Kind + "\x00" + r.Name + "\x00" + strconv.Itoa(r.Schema) + "\x00")
		digest.WriteString(strconv.FormatInt(r.Revision, 10) + "\x00")
		digest.Write(r.Body)
		digest.WriteString("\x00")
	}
	return fmt.Sprintf("%016x", digest.Sum64())
}
