// Package converter converts records between neighbouring schema versions and keeps the fields that it does not know.
package converter

import (
	"encoding/json"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

// The errors of a conversion.
var (
	// ErrUnreadable means that the record's schema is newer than the reader.
	ErrUnreadable = merry.New("schema is newer than this reader")
	// ErrUnknown means that there is no such kind or schema.
	ErrUnknown = merry.New("no such kind or schema")
	// ErrLoss means that an older schema cannot hold what the record says.
	ErrLoss = merry.New("the older schema cannot hold this")
)

// fields holds the members of a JSON object. Members that no step knows pass through it.
type fields map[string]json.RawMessage

// step converts a body to the next schema version and back.
type step struct {
	up   func(fields) error
	down func(fields) error
}

// steps holds the steps of each kind: steps[kind][n-1] converts between the schema versions n and n+1.
var steps = map[string][]step{
	recorder.KindModel: {{up: raiseModel, down: lowerModel}},
}

// Reader reads records up to the highest schema version that it knows of each kind.
type Reader struct {
	Highest map[string]int `json:"highest"`
}

// NewReader returns the reader of this release.
func NewReader() Reader {
	r := Reader{Highest: map[string]int{}}
	for _, kind := range recorder.Kinds() {
		r.Highest[kind] = recorder.Current(kind)
	}
	return r
}

// Reads reports whether the reader can read a record of the kind and schema version.
func (r Reader) Reads(kind string, schema int) bool {
	return schema >= 1 && schema <= r.Highest[kind]
}

// Raise returns the record in the highest schema version that the reader knows. The error is ErrUnknown,
// ErrUnreadable or that of decoding the body.
func (r Reader) Raise(record recorder.Record) (recorder.Record, error) {
	highest := r.Highest[record.Kind]
	if record.Schema > highest && highest > 0 {
		err := merry.Prependf(ErrUnreadable, "%s: schema %d, highest known %d", record.Ref(), record.Schema, highest)
		return recorder.Record{}, err
	}
	return Convert(record, highest)
}

// RaiseAll returns the snapshot with each record raised. The error names the first record that cannot be.
func (r Reader) RaiseAll(s recorder.Snapshot) (recorder.Snapshot, error) {
	raised := recorder.Snapshot{Epoch: s.Epoch, Records: make([]recorder.Record, 0, len(s.Records))}
	for _, record := range s.Records {
		next, err := r.Raise(record)
		if err != nil {
			return recorder.Snapshot{}, err
		}
		raised.Records = append(raised.Records, next)
	}
	return raised, nil
}

// Convert returns the record in a schema version, step by step. The error is ErrUnknown, ErrLoss or that of decoding
// the body.
func Convert(record recorder.Record, schema int) (recorder.Record, error) {
	highest := len(steps[record.Kind]) + 1
	if recorder.Current(record.Kind) == 0 || min(schema, record.Schema) < 1 || max(schema, record.Schema) > highest {
		err := merry.Prependf(ErrUnknown, "%s: schema %d to %d", record.Ref(), record.Schema, schema)
		return recorder.Record{}, err
	}
	if record.Schema == schema {
		return record, nil
	}
	body := fields{}
	if err := json.Unmarshal(record.Body, &body); err != nil {
		return recorder.Record{}, merry.Prependf(err, "%s", record.Ref())
	}
	for record.Schema != schema {
		if err := walk(&record, body, schema); err != nil {
			return recorder.Record{}, merry.Prependf(err, "%s", record.Ref())
		}
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return recorder.Record{}, merry.Prependf(err, "%s", record.Ref())
	}
	record.Body = encoded
	return record, nil
}

// walk converts the body by one step towards the schema version.
func walk(record *recorder.Record, body fields, schema int) error {
	if schema > record.Schema {
		record.Schema++
		return steps[record.Kind][record.Schema-2].up(body)
	}
	record.Schema--
	return steps[record.Kind][record.Schema-1].down(body)
}
