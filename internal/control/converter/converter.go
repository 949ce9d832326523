// Package converter converts records between schema versions, one version at a time, and keeps unknown members.
package converter

import (
	"encoding/json"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

// Errors of a conversion.
var (
	// ErrUnreadable means that the record's schema is newer than the newest one that the reader supports.
	ErrUnreadable = merry.New("schema is newer than this reader")
	// ErrUnknownSchema means that the kind or the schema version does not exist.
	ErrUnknownSchema = merry.New("no such kind or schema")
	// ErrLossy means that the older schema cannot represent the content of the record.
	ErrLossy = merry.New("the older schema cannot hold this")
)

// jsonObject holds the members of a JSON object. Members that a migration does not know are kept unchanged.
type jsonObject map[string]json.RawMessage

// migration converts a body to the next schema version and back.
type migration struct {
	upgrade   func(jsonObject) error
	downgrade func(jsonObject) error
}

// migrations holds the migrations of each kind: migrations[kind][n-1] converts between the schema versions n and n+1.
var migrations = map[string][]migration{
	recorder.KindModel: {{upgrade: upgradeModel, downgrade: downgradeModel}},
}

// Reader reads records up to a highest schema version of each kind. HighestSchema maps each kind to that version.
type Reader struct {
	HighestSchema map[string]int `json:"highest"`
}

// NewReader returns the Reader for the schema versions of this release.
func NewReader() Reader {
	r := Reader{HighestSchema: map[string]int{}}
	for _, kind := range recorder.Kinds() {
		r.HighestSchema[kind] = recorder.CurrentSchema(kind)
	}
	return r
}

// CanRead reports whether the reader can read records of a kind and schema version.
func (r Reader) CanRead(kind string, schema int) bool {
	return schema >= 1 && schema <= r.HighestSchema[kind]
}

// Upgrade returns the record converted to the highest schema version that the reader can read. The error is
// ErrUnknownSchema, ErrUnreadable or that of decoding the body.
func (r Reader) Upgrade(record recorder.Record) (recorder.Record, error) {
	highest := r.HighestSchema[record.Kind]
	if record.Schema > highest && highest > 0 {
		err := merry.Prependf(ErrUnreadable, "%s: schema %d, highest known %d", record.Ref(), record.Schema, highest)
		return recorder.Record{}, err
	}
	return Convert(record, highest)
}

// UpgradeAll returns the snapshot with each record upgraded. The error names the first record that cannot be upgraded.
func (r Reader) UpgradeAll(s recorder.Snapshot) (recorder.Snapshot, error) {
	upgraded := recorder.Snapshot{Epoch: s.Epoch, Records: make([]recorder.Record, 0, len(s.Records))}
	for _, record := range s.Records {
		next, err := r.Upgrade(record)
		if err != nil {
			return recorder.Snapshot{}, err
		}
		upgraded.Records = append(upgraded.Records, next)
	}
	return upgraded, nil
}

// Convert returns the record converted to a schema version. The error is ErrUnknownSchema, ErrLossy or that of decoding
// the body.
func Convert(record recorder.Record, schema int) (recorder.Record, error) {
	highest := len(migrations[record.Kind]) + 1
	if recorder.CurrentSchema(record.Kind) == 0 || min(schema, record.Schema) < 1 || max(schema, record.Schema) > highest {
		err := merry.Prependf(ErrUnknownSchema, "%s: schema %d to %d", record.Ref(), record.Schema, schema)
		return recorder.Record{}, err
	}
	if record.Schema == schema {
		return record, nil
	}
	body := jsonObject{}
	if err := json.Unmarshal(record.Body, &body); err != nil {
		return recorder.Record{}, merry.Prependf(err, "%s", record.Ref())
	}
	for record.Schema != schema {
		if err := convertStep(&record, body, schema); err != nil {
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

// convertStep converts the record's schema and the body by one version towards the given schema version.
func convertStep(record *recorder.Record, body jsonObject, schema int) error {
	if schema > record.Schema {
		record.Schema++
		return migrations[record.Kind][record.Schema-2].upgrade(body)
	}
	record.Schema--
	return migrations[record.Kind][record.Schema-1].downgrade(body)
}
