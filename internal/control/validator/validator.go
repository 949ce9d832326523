// Package validator checks records before they are stored or accepted and explains each fault by its path.
package validator

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"

	"github.com/heatherrock/heatherrock/internal/control/converter"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

// MaxBody is the largest body of a record, in bytes.
const MaxBody = 64 << 10

// Fault is one reason why a record is refused. Path leads to the member at fault, as in body.versions[1].share.
type Fault struct {
	Record string `json:"record"`
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Record, f.Path, f.Reason)
}

// name is the form of a record's name.
var name = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,126}$`)

// Check returns what is wrong with putting some records and dropping others from a snapshot: faults of the records
// put, and references that the outcome would break. The records may be of any schema that this release reads.
func Check(base recorder.Snapshot, put []recorder.Record, drop []recorder.Ref) []Fault {
	var faults []Fault
	for i, r := range put {
		faults = append(faults, Record(r)...)
		same := func(other recorder.Record) bool { return other.Ref() == r.Ref() }
		if slices.ContainsFunc(put[:i], same) {
			faults = append(faults, Fault{Record: r.Ref().String(), Path: "name", Reason: "is given twice"})
		}
	}
	for _, ref := range drop {
		if _, found := base.Find(ref); !found {
			faults = append(faults, Fault{Record: ref.String(), Path: "name", Reason: "no such record is in force"})
		}
	}
	if len(faults) > 0 {
		return faults
	}
	return references(base.With(put, drop))
}

// Record returns what is wrong with one record by itself.
func Record(r recorder.Record) []Fault {
	w := walker{record: r.Ref().String()}
	switch {
	case recorder.Current(r.Kind) == 0:
		w.fault("kind", "%q is unknown; the kinds are %v", r.Kind, recorder.Kinds())
	case !name.MatchString(r.Name):
		w.fault("name", "%q is not a letter or digit followed by up to 126 letters, digits, dots, colons, dashes or "+
			"underscores", r.Name)
	case r.Kind == recorder.KindFleet && r.Name != recorder.FleetName:
		w.fault("name", "is %q; the one record of this kind is named %q", r.Name, recorder.FleetName)
	case !converter.NewReader().Reads(r.Kind, r.Schema):
		w.fault("schema", "is %d; this release reads 1 to %d", r.Schema, recorder.Current(r.Kind))
	case len(r.Body) > MaxBody:
		w.fault("body", "has %d bytes; at most %d are allowed", len(r.Body), MaxBody)
	case !json.Valid(r.Body):
		w.fault("body", "is not JSON")
	default:
		w.body(r)
	}
	return w.faults
}

// Notes returns what is unusual in a record but allowed: members that this release does not know, which are kept.
func Notes(r recorder.Record) []Fault {
	w := walker{record: r.Ref().String()}
	raised, err := converter.NewReader().Raise(r)
	if err != nil {
		return nil
	}
	w.shape(raised)
	return w.notes
}
