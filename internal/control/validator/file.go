package validator

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/tailscale/hujson"

	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

// MaxFileBytes is the largest size of a file of records.
const MaxFileBytes = 4 << 20

// ParseFile parses a file of records: JSON with comments that holds one record or a list of records. The faults identify
// what cannot be parsed by the file's name, and by line and column or by the record's index in the list.
func ParseFile(file string, content []byte) ([]recorder.Record, []Fault) {
	fault := func(path, format string, args ...any) []Fault {
		return []Fault{{Record: file, Path: path, Reason: fmt.Sprintf(format, args...)}}
	}
	if len(content) > MaxFileBytes {
		return nil, fault("file", "has %d bytes; at most %d are allowed", len(content), MaxFileBytes)
	}
	standard, err := hujson.Standardize(bytes.Clone(content))
	if err != nil {
		return nil, fault("file", "%v", err)
	}
	var items []json.RawMessage
	if err := json.Unmarshal(standard, &items); err != nil {
		items = []json.RawMessage{standard}
	}
	var records []recorder.Record
	var faults []Fault
	for i, item := range items {
		var r recorder.Record
		decoder := json.NewDecoder(bytes.NewReader(item))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&r); err != nil {
			faults = append(faults, fault(fmt.Sprintf("records[%d]", i), "%v", err)...)
			continue
		}
		r.Revision, r.State = 0, ""
		records = append(records, r)
	}
	if len(items) == 0 {
		faults = fault("file", "holds no record")
	}
	return records, faults
}

// CheckFile returns the faults and notes of a file of records, checked as a complete configuration: references must be
// to records in the same file.
func CheckFile(file string, content []byte) (faults, notes []Fault) {
	records, faults := ParseFile(file, content)
	if len(faults) > 0 {
		return faults, nil
	}
	for _, r := range records {
		notes = append(notes, Notes(r)...)
	}
	return Check(recorder.Snapshot{}, records, nil), notes
}
