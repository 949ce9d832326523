package validator

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/heatherrock/heatherrock/internal/control/converter"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

// layerRange is a range of layers of a model, with the record and path that contain it.
type layerRange struct {
	record string
	path   string
	from   int
	to     int
}

// newFault returns a fault at the range's path.
func (r layerRange) newFault(format string, args ...any) Fault {
	return Fault{Record: r.record, Path: r.path, Reason: fmt.Sprintf(format, args...)}
}

// checkCoverage returns the faults of ranges that do not cover each of a model's layers exactly once. An empty list has
// no faults.
func checkCoverage(ranges []layerRange, layers int) []Fault {
	var faults []Fault
	ordered := slices.Clone(ranges)
	slices.SortStableFunc(ordered, func(a, b layerRange) int { return a.from - b.from })
	next := 0
	last := ""
	for _, r := range ordered {
		switch {
		case r.to <= r.from || r.from < 0 || r.to > layers:
			faults = append(faults, r.newFault("%d to %d is not a range of the %d layers", r.from, r.to, layers))
			continue
		case r.from < next:
			faults = append(faults, r.newFault("gives layers %d to %d, which %s gives too", r.from, min(next, r.to), last))
		case r.from > next:
			faults = append(faults, r.newFault("begins at layer %d: layers %d to %d are left out", r.from, next, r.from))
		}
		if r.to > next {
			next, last = r.to, r.record+" "+r.path
		}
	}
	if len(ordered) > 0 && next < layers && len(faults) == 0 {
		r := ordered[len(ordered)-1]
		faults = append(faults, r.newFault("ends at layer %d: layers %d to %d are left out", next, next, layers))
	}
	return faults
}

// checkReferences returns the faults of the references between the records of a snapshot.
func checkReferences(s recorder.Snapshot) []Fault {
	upgraded, err := converter.NewReader().UpgradeAll(s)
	if err != nil {
		return []Fault{{Record: "snapshot", Path: "schema", Reason: err.Error()}}
	}
	v, err := recorder.NewView(upgraded)
	if err != nil {
		return []Fault{{Record: "snapshot", Path: "body", Reason: err.Error()}}
	}
	return slices.Concat(checkTeams(v), checkRanges(v))
}

// checkTeams checks that no two teams of a view have the same credential, and that the models and services that they may
// use exist.
func checkTeams(v recorder.View) []Fault {
	var faults []Fault
	owner := map[string]string{}
	for _, n := range slices.Sorted(maps.Keys(v.Teams)) {
		t := v.Teams[n]
		record := recorder.Ref{Kind: recorder.KindTeam, Name: n}.String()
		hash := strings.ToLower(t.CredentialHash)
		if other, found := owner[hash]; found {
			faults = append(faults, Fault{Record: record, Path: "body.credential", Reason: "is that of " + other + " too"})
		}
		owner[hash] = record
		for i, m := range t.Models {
			if _, found := v.Models[m]; !found {
				faults = append(faults, missingReference(record, fmt.Sprintf("body.models[%d]", i), recorder.KindModel, m))
			}
		}
		for i, s := range t.Services {
			if _, found := v.Services[s]; !found {
				faults = append(faults, missingReference(record, fmt.Sprintf("body.services[%d]", i), recorder.KindService, s))
			}
		}
	}
	return faults
}

// missingReference returns the fault of a reference to a record that does not exist.
func missingReference(record, path, kind, target string) Fault {
	ref := recorder.Ref{Kind: kind, Name: target}
	return Fault{Record: record, Path: path, Reason: fmt.Sprintf("refers to %s, which is not in force", ref)}
}

// checkRanges checks that the endpoint policies of a view contain each layer of a model exactly once, or none of its
// layers.
func checkRanges(v recorder.View) []Fault {
	var faults []Fault
	given := map[string][]layerRange{}
	for _, n := range slices.Sorted(maps.Keys(v.Endpoints)) {
		record := recorder.Ref{Kind: recorder.KindEndpoint, Name: n}.String()
		for i, r := range v.Endpoints[n].Ranges {
			path := fmt.Sprintf("body.ranges[%d]", i)
			if _, found := v.Models[r.Model]; !found {
				faults = append(faults, missingReference(record, path+".model", recorder.KindModel, r.Model))
				continue
			}
			given[r.Model] = append(given[r.Model], layerRange{record: record, path: path, from: r.From, to: r.To})
		}
	}
	for _, m := range slices.Sorted(maps.Keys(given)) {
		faults = append(faults, checkCoverage(given[m], v.Models[m].Layers)...)
	}
	return faults
}
