package accepter

import (
	"encoding/json"
	"fmt"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

// Table is the name of the table that holds the configuration.
const Table = "config"

// HeadKey is the key of the row that holds the Head.
const HeadKey = "head"

// SnapshotKey is the key of the row that holds the Pointer to the newest whole snapshot.
const SnapshotKey = "snapshot"

// Prefixes of the keys of the other rows.
const (
	EntryPrefix = "record/"
	BodyPrefix  = "body/"
	LogPrefix   = "log/"
	AuditPrefix = "audit/"
)

// Head is the row of the highest epoch. Every accept and retire increases the epoch by one.
type Head struct {
	Epoch int64 `json:"epoch"`
	// Checksum is the checksum of the snapshot at the epoch.
	Checksum string `json:"sum"`
}

// Entry is the row of one record: its revisions and its last change.
type Entry struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// LatestRevision is the highest revision submitted. ActiveRevision is the revision in force, or 0.
	LatestRevision int64 `json:"latest"`
	ActiveRevision int64 `json:"force"`
	// State is the state of the record after the last change.
	State string `json:"state"`
	// Operator, Mutation and Stamp are the operator, the ID and the time, in milliseconds of the Unix epoch, of the last
	// accept or retire, or else of the first submit. Epoch is the epoch that it created, or 0.
	Operator string `json:"operator"`
	Mutation string `json:"mutation"`
	Stamp    int64  `json:"stamp"`
	Epoch    int64  `json:"epoch,omitempty"`
}

// Ref returns the reference to the entry's record.
func (e Entry) Ref() recorder.Ref {
	return recorder.Ref{Kind: e.Kind, Name: e.Name}
}

// Pointer is the row that names the stored object of a whole snapshot.
type Pointer struct {
	Epoch  int64  `json:"epoch"`
	Object string `json:"object"`
}

// Audit is the row that records a mutation. It is written once: by the transaction that applies the mutation, or by the
// one that blocks it. If Blocked is true, the mutation had no effect and never will have one. Stamp is in milliseconds
// of the Unix epoch.
type Audit struct {
	ID       string   `json:"id"`
	Action   string   `json:"action"`
	Operator string   `json:"operator"`
	Note     string   `json:"note,omitempty"`
	Stamp    int64    `json:"stamp"`
	Blocked  bool     `json:"blocked,omitempty"`
	Epoch    int64    `json:"epoch,omitempty"`
	Changes  []Change `json:"changes,omitempty"`
}

// EntryKey returns the key of the Entry of a record.
func EntryKey(ref recorder.Ref) string {
	return EntryPrefix + ref.String()
}

// BodyKey returns the key of a submitted revision of a record.
func BodyKey(ref recorder.Ref, revision int64) string {
	return fmt.Sprintf("%s%s/%012d", BodyPrefix, ref, revision)
}

// LogKey returns the key of the delta of an epoch. The keys sort by epoch.
func LogKey(epoch int64) string {
	return fmt.Sprintf("%s%019d", LogPrefix, epoch)
}

// AuditKey returns the key of a mutation's Audit.
func AuditKey(id string) string {
	return AuditPrefix + id
}

// Decode decodes a row of the table. It returns the zero value for a row that does not exist. The error is that of
// decoding the value.
func Decode[T any](row tabler.Row) (T, error) {
	var value T
	if row.Version == 0 {
		return value, nil
	}
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, merry.Prependf(err, "row %s", row.Key)
	}
	return value, nil
}

// newWrite returns the write of a value to a row. It panics if the value cannot be encoded.
func newWrite(key string, value any) tabler.Write {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("row %s does not encode: %v", key, err))
	}
	return tabler.Write{Table: Table, Key: key, Value: encoded}
}

// ifUnchanged returns the condition that a row still has the version that was read.
func ifUnchanged(key string, version int64) tabler.Condition {
	return tabler.Condition{Table: Table, Key: key, Version: version}
}
