// Package tabler is the client of the platform's transactional table service.
package tabler

import (
	"context"

	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// Row is one row of a table. Every write of the row raises Version; it is 0 if the row does not exist.
type Row struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version"`
}

// Condition requires a row to have the given version at the time of the commit. Version 0 requires that the row does
// not exist.
type Condition struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write sets the value of a row, or removes the row.
type Write struct {
	Table  string `json:"table"`
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction: its writes are applied atomically if all conditions hold. ID identifies the mutation in logs
// and audits; the service does not use it for deduplication.
type Txn struct {
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// Result is the result of a commit. With Outcome Completed and Applied, the writes took effect. With Completed and
// not Applied, a condition failed and nothing was written: Conflicts holds the current rows. With NotSent or Refused
// nothing was written. With Unknown the writes may have taken effect, or may still take effect later.
type Result struct {
	Outcome   classifier.Outcome
	Applied   bool
	Conflicts []Row
	// Versions holds the new version of each written row, in the order of the writes. It is empty unless Applied.
	Versions []int64
}

// Table is the transactional table service. Reads return an error when the service cannot be reached; its state is
// then unknown. Keys are ordered by bytes.
type Table interface {
	// Get returns a row and whether it exists.
	Get(ctx context.Context, table, key string) (Row, bool, error)
	// Scan returns at most limit rows, in key order, whose keys begin with prefix and are greater than after.
	Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction. The error explains an outcome other than Completed.
	Commit(ctx context.Context, t Txn) (Result, error)
}
