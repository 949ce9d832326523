// Package validator checks records before they are stored or accepted and reports each fault with its path.
package validator

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"

	"github.com/heatherrock/heatherrock/internal/control/converter"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

// MaxBodyBytes is the largest size of the body of a record.
const MaxBodyBytes = 64 << 10

// Fault is one reason why a record is rejected, or a note on a record that is allowed. Path is the path of the faulty
// member, such as body.versions[1].share.
type Fault struct {
	Record string `json:"record"`
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Record, f.Path, f.Reason)
}

// namePattern matches the valid names of records.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,126}$`)

// Check returns the faults of adding or replacing the records in put and removing those in drop from a snapshot: the
// faults of the records themselves or, if there are none, the references that the resulting snapshot would break. The
// records may have any schema version that this release can read.
func Check(base recorder.Snapshot, put []recorder.Record, drop []recorder.Ref) []Fault {
	var faults []Fault
	for i, r := range put {
		faults = append(faults, CheckRecord(r)...)
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
	return checkReferences(base.With(put, drop))
}

// CheckRecord returns the faults of one record, without regard to other records.
func CheckRecord(r recorder.Record) []Fault {
	w := walker{record: r.Ref().String()}
	switch {
	case recorder.CurrentSchema(r.Kind) == 0:
		w.addFault("kind", "%q is unknown; the kinds are %v", r.Kind, recorder.Kinds())
	case !namePattern.MatchString(r.Name):
		w.addFault("name", "%q is not a letter or digit followed by up to 126 letters, digits, dots, colons, dashes or "+
			"underscores", r.Name)
	case r.Kind == recorder.KindFleet && r.Name != recorder.FleetName:
		w.addFault("name", "is %q; the one record of this kind is named %q", r.Name, recorder.FleetName)
	case !converter.NewReader().CanRead(r.Kind, r.Schema):
		w.addFault("schema", "is %d; this release reads 1 to %d", r.Schema, recorder.CurrentSchema(r.Kind))
	case len(r.Body) > MaxBodyBytes:
		w.addFault("body", "has %d bytes; at most %d are allowed", len(r.Body), MaxBodyBytes)
	case !json.Valid(r.Body):
		w.addFault("body", "is not JSON")
	default:
		w.checkBody(r)
	}
	return w.faults
}

// Notes returns notes on what is unusual in a record but allowed: members that this release does not know, which are
// kept.
func Notes(r recorder.Record) []Fault {
	w := walker{record: r.Ref().String()}
	upgraded, err := converter.NewReader().Upgrade(r)
	if err != nil {
		return nil
	}
	w.checkShape(upgraded)
	return w.notes
}
