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

// walker collects the faults of one record.
type walker struct {
	record string
	faults []Fault
	notes  []Fault
	// given holds the paths of the members that the record gives.
	given map[string]bool
}

// fault notes a fault at a path.
func (w *walker) fault(path, format string, args ...any) {
	w.faults = append(w.faults, Fault{Record: w.record, Path: path, Reason: fmt.Sprintf(format, args...)})
}

// bodies holds an empty body of each kind.
var bodies = map[string]reflect.Type{
	recorder.KindModel:    reflect.TypeFor[recorder.Model](),
	recorder.KindService:  reflect.TypeFor[recorder.Service](),
	recorder.KindTeam:     reflect.TypeFor[recorder.Team](),
	recorder.KindEndpoint: reflect.TypeFor[recorder.Endpoint](),
	recorder.KindFleet:    reflect.TypeFor[recorder.Fleet](),
}

// body checks the body of a record: its shape, then its values.
func (w *walker) body(r recorder.Record) {
	if w.members(r.Body); len(w.faults) > 0 {
		return
	}
	raised, err := converter.NewReader().Raise(r)
	if err != nil {
		w.fault("body", "cannot be read in schema %d: %v", r.Schema, err)
		return
	}
	w.shape(raised)
	if len(w.faults) > 0 {
		return
	}
	w.values(raised)
}

// shape compares a body of the current schema with the type of its kind.
func (w *walker) shape(r recorder.Record) {
	decoder := json.NewDecoder(bytes.NewReader(r.Body))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		w.fault("body", "is not JSON")
		return
	}
	w.given = map[string]bool{}
	w.walk("body", value, bodies[r.Kind], "")
}

// walk compares a value with a type. The unit is that of a number.
func (w *walker) walk(path string, value any, kind reflect.Type, unit string) {
	w.given[path] = true
	switch kind.Kind() {
	case reflect.Struct:
		w.object(path, value, kind)
	case reflect.Slice:
		w.list(path, value, kind)
	case reflect.Bool:
		if _, ok := value.(bool); !ok {
			w.fault(path, "is %s; wants true or false", describe(value))
		}
	case reflect.String:
		if _, ok := value.(string); !ok {
			w.fault(path, "is %s; wants a text", describe(value))
		}
	default:
		w.number(path, value, kind, unit)
	}
}

// object compares a value with a struct type.
func (w *walker) object(path string, value any, kind reflect.Type) {
	members, ok := value.(map[string]any)
	if !ok {
		w.fault(path, "is %s; wants an object", describe(value))
		return
	}
	known := map[string]string{}
	for i := range kind.NumField() {
		field := kind.Field(i)
		label, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		known[fold(label)] = label
		if member, found := members[label]; found {
			w.walk(path+"."+label, member, field.Type, field.Tag.Get("unit"))
		}
	}
	for _, label := range slices.Sorted(maps.Keys(members)) {
		meant, found := known[fold(label)]
		switch {
		case found && meant != label:
			w.fault(path+"."+label, "is unknown; the member is written %q", meant)
		case !found:
			w.notes = append(w.notes, Fault{Record: w.record, Path: path + "." + label, Reason: "is unknown, and kept"})
		}
	}
	slices.SortFunc(w.notes, func(a, b Fault) int { return strings.Compare(a.Path, b.Path) })
}

// list compares a value with a slice type.
func (w *walker) list(path string, value any, kind reflect.Type) {
	items, ok := value.([]any)
	if !ok {
		w.fault(path, "is %s; wants a list", describe(value))
		return
	}
	for i, item := range items {
		w.walk(fmt.Sprintf("%s[%d]", path, i), item, kind.Elem(), "")
	}
}

// number compares a value with a number type.
func (w *walker) number(path string, value any, kind reflect.Type, unit string) {
	wants := "a number"
	if kind.Kind() == reflect.Int {
		wants = "a whole number"
	}
	if unit != "" {
		wants += " of " + unit
	}
	n, ok := value.(json.Number)
	if !ok {
		w.fault(path, "is %s; wants %s", describe(value), wants)
		return
	}
	target := reflect.New(kind)
	if err := json.Unmarshal([]byte(n), target.Interface()); err != nil {
		w.fault(path, "is %s; wants %s", n, wants)
	}
}

// describe names a JSON value in a fault.
func describe(value any) string {
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
