package validator

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/heatherrock/heatherrock/internal/control/converter"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

// span is a range of layers and where it is given.
type span struct {
	record string
	path   string
	from   int
	to     int
}

// fault returns a fault of the range.
func (s span) fault(format string, args ...any) Fault {
	return Fault{Record: s.record, Path: s.path, Reason: fmt.Sprintf(format, args...)}
}

// cover returns what keeps ranges from covering each of a model's layers once. No ranges at all are fine.
func cover(ranges []span, layers int) []Fault {
	var faults []Fault
	ordered := slices.Clone(ranges)
	slices.SortStableFunc(ordered, func(a, b span) int { return a.from - b.from })
	next := 0
	last := ""
	for _, s := range ordered {
		switch {
		case s.to <= s.from || s.from < 0 || s.to > layers:
			faults = append(faults, s.fault("%d to %d is not a range of the %d layers", s.from, s.to, layers))
			continue
		case s.from < next:
			faults = append(faults, s.fault("gives layers %d to %d, which %s gives too", s.from, min(next, s.to), last))
		case s.from > next:
			faults = append(faults, s.fault("begins at layer %d: layers %d to %d are left out", s.from, next, s.from))
		}
		if s.to > next {
			next, last = s.to, s.record+" "+s.path
		}
	}
	if len(ordered) > 0 && next < layers && len(faults) == 0 {
		s := ordered[len(ordered)-1]
		faults = append(faults, s.fault("ends at layer %d: layers %d to %d are left out", next, next, layers))
	}
	return faults
}

// references returns the references between the records of a snapshot that do not hold.
func references(s recorder.Snapshot) []Fault {
	raised, err := converter.NewReader().RaiseAll(s)
	if err != nil {
		return []Fault{{Record: "snapshot", Path: "schema", Reason: err.Error()}}
	}
	v, err := recorder.NewView(raised)
	if err != nil {
		return []Fault{{Record: "snapshot", Path: "body", Reason: err.Error()}}
	}
	return slices.Concat(teams(v), ranges(v))
}

// teams checks the teams of a view: credentials are theirs alone, and what they may use exists.
func teams(v recorder.View) []Fault {
	var faults []Fault
	owner := map[string]string{}
	for _, n := range slices.Sorted(maps.Keys(v.Teams)) {
		t := v.Teams[n]
		record := recorder.Ref{Kind: recorder.KindTeam, Name: n}.String()
		hash := strings.ToLower(t.Credential)
		if other, found := owner[hash]; found {
			faults = append(faults, Fault{Record: record, Path: "body.credential", Reason: "is that of " + other + " too"})
		}
		owner[hash] = record
		for i, m := range t.Models {
			if _, found := v.Models[m]; !found {
				faults = append(faults, absent(record, fmt.Sprintf("body.models[%d]", i), recorder.KindModel, m))
			}
		}
		for i, s := range t.Services {
			if _, found := v.Services[s]; !found {
				faults = append(faults, absent(record, fmt.Sprintf("body.services[%d]", i), recorder.KindService, s))
			}
		}
	}
	return faults
}

// absent returns the fault of a reference to a record that is not there.
func absent(record, path, kind, target string) Fault {
	ref := recorder.Ref{Kind: kind, Name: target}
	return Fault{Record: record, Path: path, Reason: fmt.Sprintf("refers to %s, which is not in force", ref)}
}

// ranges checks that the endpoint policies of a view name each layer of a model once, or none of its layers.
func ranges(v recorder.View) []Fault {
	var faults []Fault
	given := map[string][]span{}
	for _, n := range slices.Sorted(maps.Keys(v.Endpoints)) {
		record := recorder.Ref{Kind: recorder.KindEndpoint, Name: n}.String()
		for i, r := range v.Endpoints[n].Ranges {
			path := fmt.Sprintf("body.ranges[%d]", i)
			if _, found := v.Models[r.Model]; !found {
				faults = append(faults, absent(record, path+".model", recorder.KindModel, r.Model))
				continue
			}
			given[r.Model] = append(given[r.Model], span{record: record, path: path, from: r.From, to: r.To})
		}
	}
	for _, m := range slices.Sorted(maps.Keys(given)) {
		faults = append(faults, cover(given[m], v.Models[m].Layers)...)
	}
	return faults
}
