package validator

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/tailscale/hujson"

	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

// MaxFile is the largest file of records, in bytes.
const MaxFile = 4 << 20

// Parse reads a file of records: JSON with comments, one record or a list of them. The faults name what cannot be
// read, by the file's name, line and column or by the record's place in the list.
func Parse(file string, content []byte) ([]recorder.Record, []Fault) {
	fault := func(path, format string, args ...any) []Fault {
		return []Fault{{Record: file, Path: path, Reason: fmt.Sprintf(format, args...)}}
	}
	if len(content) > MaxFile {
		return nil, fault("file", "has %d bytes; at most %d are allowed", len(content), MaxFile)
	}
	plain, err := hujson.Standardize(bytes.Clone(content))
	if err != nil {
		return nil, fault("file", "%v", err)
	}
	var items []json.RawMessage
	if err := json.Unmarshal(plain, &items); err != nil {
		items = []json.RawMessage{plain}
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

// File returns the faults and notes of a file of records, checked as a whole configuration: references are looked up
// in the file alone.
func File(file string, content []byte) (faults, notes []Fault) {
	records, faults := Parse(file, content)
	if len(faults) > 0 {
		return faults, nil
	}
	for _, r := range records {
		notes = append(notes, Notes(r)...)
	}
	return Check(recorder.Snapshot{}, records, nil), notes
}
