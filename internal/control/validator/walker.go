package validator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/heatherrock/heatherrock/internal/control/converter"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

// walker traverses one record and collects its faults and notes.
type walker struct {
	record string
	faults []Fault
	notes  []Fault
	// givenPaths holds the paths of the members that the record contains.
	givenPaths map[string]bool
}

// addFault adds a fault at a path.
func (w *walker) addFault(path, format string, args ...any) {
	w.faults = append(w.faults, Fault{Record: w.record, Path: path, Reason: fmt.Sprintf(format, args...)})
}

// bodyTypes holds the body type of each kind.
var bodyTypes = map[string]reflect.Type{
	recorder.KindModel:    reflect.TypeFor[recorder.Model](),
	recorder.KindService:  reflect.TypeFor[recorder.Service](),
	recorder.KindTeam:     reflect.TypeFor[recorder.Team](),
	recorder.KindEndpoint: reflect.TypeFor[recorder.Endpoint](),
	recorder.KindFleet:    reflect.TypeFor[recorder.Fleet](),
}

// checkBody checks the body of a record: first that no member is repeated, then its shape, then its values. It stops at
// the first of these checks that finds faults.
func (w *walker) checkBody(r recorder.Record) {
	if w.checkUniqueMembers(r.Body); len(w.faults) > 0 {
		return
	}
	upgraded, err := converter.NewReader().Upgrade(r)
	if err != nil {
		w.addFault("body", "cannot be read in schema %d: %v", r.Schema, err)
		return
	}
	w.checkShape(upgraded)
	if len(w.faults) > 0 {
		return
	}
	w.checkValues(upgraded)
}

// checkShape checks a body of the current schema against the body type of its kind.
func (w *walker) checkShape(r recorder.Record) {
	decoder := json.NewDecoder(bytes.NewReader(r.Body))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		w.addFault("body", "is not JSON")
		return
	}
	w.givenPaths = map[string]bool{}
	w.checkType("body", value, bodyTypes[r.Kind], "")
}

// checkType checks a JSON value against a Go type. The unit is that of a number, or empty.
func (w *walker) checkType(path string, value any, goType reflect.Type, unit string) {
	w.givenPaths[path] = true
	switch goType.Kind() {
	case reflect.Struct:
		w.checkObject(path, value, goType)
	case reflect.Slice:
		w.checkList(path, value, goType)
	case reflect.Bool:
		if _, ok := value.(bool); !ok {
			w.addFault(path, "is %s; wants true or false", describeValue(value))
		}
	case reflect.String:
		if _, ok := value.(string); !ok {
			w.addFault(path, "is %s; wants a text", describeValue(value))
		}
	default:
		w.checkNumber(path, value, goType, unit)
	}
}

// checkObject checks a JSON value against a struct type. Unknown members are noted.
func (w *walker) checkObject(path string, value any, goType reflect.Type) {
	members, ok := value.(map[string]any)
	if !ok {
		w.addFault(path, "is %s; wants an object", describeValue(value))
		return
	}
	known := map[string]string{}
	for i := range goType.NumField() {
		field := goType.Field(i)
		label, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		known[foldCase(label)] = label
		if member, found := members[label]; found {
			w.checkType(path+"."+label, member, field.Type, field.Tag.Get("unit"))
		}
	}
	for _, label := range slices.Sorted(maps.Keys(members)) {
		canonical, found := known[foldCase(label)]
		switch {
		case found && canonical != label:
			w.addFault(path+"."+label, "is unknown; the member is written %q", canonical)
		case !found:
			w.notes = append(w.notes, Fault{Record: w.record, Path: path + "." + label, Reason: "is unknown, and kept"})
		}
	}
	slices.SortFunc(w.notes, func(a, b Fault) int { return strings.Compare(a.Path, b.Path) })
}

// checkList checks a JSON value against a slice type.
func (w *walker) checkList(path string, value any, goType reflect.Type) {
	items, ok := value.([]any)
	if !ok {
		w.addFault(path, "is %s; wants a list", describeValue(value))
		return
	}
	for i, item := range items {
		w.checkType(fmt.Sprintf("%s[%d]", path, i), item, goType.Elem(), "")
	}
}

// checkNumber checks a JSON value against a number type.
func (w *walker) checkNumber(path string, value any, goType reflect.Type, unit string) {
	wants := "a number"
	if goType.Kind() == reflect.Int {
		wants = "a whole number"
	}
	if unit != "" {
		wants += " of " + unit
	}
	n, ok := value.(json.Number)
	if !ok {
		w.addFault(path, "is %s; wants %s", describeValue(value), wants)
		return
	}
	target := reflect.New(goType)
	if err := json.Unmarshal([]byte(n), target.Interface()); err != nil {
		w.addFault(path, "is %s; wants %s", n, wants)
	}
}

// describeValue describes a JSON value for the reason of a fault.
func describeValue(value any) string {
	switch v := value.(type) {
	case nil:
		return "null"
	case string:
		return fmt.Sprintf("the text %.40q", v)
	case json.Number:
		return "the number " + v.String()
	case bool:
		return fmt.Sprint(v)
	case []any:
		return "a list"
	default:
		return "an object"
	}
}
