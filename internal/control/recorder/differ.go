package recorder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Diff is one JSON member that differs between two bodies. Before or After is empty if the member is absent there.
type Diff struct {
	Record string          `json:"record"`
	Path   string          `json:"path"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// String returns the difference as one line of text.
func (d Diff) String() string {
	before, after := string(d.Before), string(d.After)
	if before == "" {
		before = "(absent)"
	}
	if after == "" {
		after = "(absent)"
	}
	return fmt.Sprintf("%s: %s: %s -> %s", d.Record, d.Path, before, after)
}

// Compare returns the members that differ between the bodies of two records, sorted by path. A record without a body
// is treated as absent.
func Compare(before, after Record) []Diff {
	record := after.Ref().String()
	if after.Kind == "" {
		record = before.Ref().String()
	}
	var diffs []Diff
	if before.Schema != after.Schema && before.Schema != 0 && after.Schema != 0 {
		diffs = append(diffs, Diff{Record: record, Path: "schema", Before: encodeInt(before.Schema), After: encodeInt(after.Schema)})
	}
	return append(diffs, compareValues(record, "body", before.Body, after.Body)...)
}

// encodeInt encodes an integer as JSON.
func encodeInt(n int) json.RawMessage {
	return json.RawMessage(fmt.Sprint(n))
}

// compareValues returns the differences at and below a path.
func compareValues(record, path string, before, after json.RawMessage) []Diff {
	var b, a map[string]json.RawMessage
	if json.Unmarshal(before, &b) == nil && json.Unmarshal(after, &a) == nil && b != nil && a != nil {
		return compareObjects(record, path, b, a)
	}
	var bs, as []json.RawMessage
	if json.Unmarshal(before, &bs) == nil && json.Unmarshal(after, &as) == nil && bs != nil && as != nil {
		return compareLists(record, path, bs, as)
	}
	if bytes.Equal(compact(before), compact(after)) {
		return nil
	}
	return []Diff{{Record: record, Path: path, Before: compact(before), After: compact(after)}}
}

// compareObjects returns the differences between the members of two objects.
func compareObjects(record, path string, before, after map[string]json.RawMessage) []Diff {
	all := map[string]bool{}
	for label := range before {
		all[label] = true
	}
	for label := range after {
		all[label] = true
	}
	var diffs []Diff
	for _, label := range slices.Sorted(maps.Keys(all)) {
		diffs = append(diffs, compareValues(record, path+"."+label, before[label], after[label])...)
	}
	return diffs
}

// compareLists returns the differences between the items of two lists.
func compareLists(record, path string, before, after []json.RawMessage) []Diff {
	item := func(list []json.RawMessage, i int) json.RawMessage {
		if i >= len(list) {
			return nil
		}
		return list[i]
	}
	var diffs []Diff
	for i := range max(len(before), len(after)) {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		diffs = append(diffs, compareValues(record, itemPath, item(before, i), item(after, i))...)
	}
	return diffs
}

// compact returns a JSON value without white space. A value that is not valid JSON is returned unchanged.
func compact(value json.RawMessage) json.RawMessage {
	var b bytes.Buffer
	if err := json.Compact(&b, value); err != nil {
		return value
	}
	return b.Bytes()
}
