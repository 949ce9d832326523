package recorder

import (
	"encoding/json"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
)

// View is a decoded snapshot for use on the request path. It is immutable: a request uses the view under which it was
// admitted until it ends.
type View struct {
	Epoch    int64
	Models   map[string]Model
	Services map[string]Service
	// Teams is keyed by name.
	Teams map[string]Team
	// TeamByCredential maps the SHA-256 of a bearer token, in lower-case hexadecimal, to the name of its team.
	TeamByCredential map[string]string
	// Endpoints is keyed by the kind of accelerator.
	Endpoints map[string]Endpoint
	Fleet     Fleet
}

// ErrSchema means that a record is not of the current schema.
var ErrSchema = merry.New("record is not of the current schema")

// DefaultFleet holds the limits that apply if there is no record of KindFleet.
var DefaultFleet = Fleet{MaxQueued: 256, KeyRetentionSeconds: 86400, WritesPerSecond: 200, RetryBudgetPercent: 10}

// NewView decodes a snapshot whose records are all of the current schema. The error is ErrSchema for a record of
// another schema or kind, or that of decoding a body.
func NewView(s Snapshot) (View, error) {
	empty := View{
		Models:           map[string]Model{},
		Services:         map[string]Service{},
		Teams:            map[string]Team{},
		TeamByCredential: map[string]string{},
		Endpoints:        map[string]Endpoint{},
		Fleet:            DefaultFleet,
	}
	return empty.With(s.Epoch, s.Records, nil)
}

// With returns the view of an epoch in which first the records in drop are removed and then the records in put are
// added, or replace those of the same reference. The receiver is not changed. The errors are those of NewView.
func (v View) With(epoch int64, put []Record, drop []Ref) (View, error) {
	next := View{
		Epoch:            epoch,
		Models:           maps.Clone(v.Models),
		Services:         maps.Clone(v.Services),
		Teams:            maps.Clone(v.Teams),
		TeamByCredential: maps.Clone(v.TeamByCredential),
		Endpoints:        maps.Clone(v.Endpoints),
		Fleet:            v.Fleet,
	}
	for _, ref := range drop {
		next.remove(ref)
	}
	for _, r := range put {
		if err := next.add(r); err != nil {
			return View{}, merry.Prependf(err, "%s", r.Ref())
		}
	}
	return next, nil
}

// remove removes one record from the view.
func (v *View) remove(ref Ref) {
	switch ref.Kind {
	case KindModel:
		delete(v.Models, ref.Name)
	case KindService:
		delete(v.Services, ref.Name)
	case KindEndpoint:
		delete(v.Endpoints, ref.Name)
	case KindTeam:
		v.removeCredential(ref.Name)
		delete(v.Teams, ref.Name)
	case KindFleet:
		v.Fleet = DefaultFleet
	}
}

// removeCredential removes the credential of a team, unless it belongs to another team by now.
func (v *View) removeCredential(team string) {
	hash := strings.ToLower(v.Teams[team].CredentialHash)
	if v.TeamByCredential[hash] == team {
		delete(v.TeamByCredential, hash)
	}
}

// add decodes one record and adds it to the view.
func (v *View) add(r Record) error {
	if r.Schema != CurrentSchema(r.Kind) || r.Schema == 0 {
		return merry.Prependf(ErrSchema, "schema %d", r.Schema)
	}
	switch r.Kind {
	case KindModel:
		return decodeInto(r, v.Models)
	case KindService:
		return decodeInto(r, v.Services)
	case KindEndpoint:
		return decodeInto(r, v.Endpoints)
	case KindTeam:
		v.removeCredential(r.Name)
		if err := decodeInto(r, v.Teams); err != nil {
			return err
		}
		v.TeamByCredential[strings.ToLower(v.Teams[r.Name].CredentialHash)] = r.Name
		return nil
	default:
		v.Fleet = Fleet{}
		return json.Unmarshal(r.Body, &v.Fleet)
	}
}

// decodeInto decodes a record's body and stores it in the map under the record's name.
func decodeInto[T any](r Record, into map[string]T) error {
	var body T
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return err
	}
	into[r.Name] = body
	return nil
}

// SelectVersion returns the version of a model that serves the requests with the given key, and whether there is one.
// The same key gets the same version as long as the shares stay the same. With two versions, raising the share of one
// moves keys only to that version, and only as many as its share grew by. The algorithm is weighted rendezvous hashing
// (Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005).
func (v View) SelectVersion(model, key string) (string, bool) {
	m, found := v.Models[model]
	if !found {
		return "", false
	}
	name, best := "", 0.0
	for _, version := range m.Versions {
		if version.SharePercent <= 0 {
			continue
		}
		score := float64(version.SharePercent) / -math.Log(hashToUnitInterval(model, version.Name, key))
		if name == "" || score > best {
			name, best = version.Name, score
		}
	}
	return name, name != ""
}

// hashToUnitInterval hashes its parts to a number between 0 and 1, both exclusive.
func hashToUnitInterval(parts ...string) float64 {
	const bits = 53
	sum := xxhash.Sum64String(strings.Join(parts, "\x00"))
	return (float64(sum>>(64-bits)) + 0.5) / (1 << bits)
}

// AllowsAdapter reports whether callers may request the adapter with a version of a model.
func (v View) AllowsAdapter(model, version, adapter string) bool {
	for _, a := range v.Models[model].Adapters {
		if a.Name == adapter {
			return allowsName(a.Versions, version)
		}
	}
	return false
}

// FindTeam returns the name and the record of the team with the given credential, which is the SHA-256 of its bearer
// token in hexadecimal, and whether there is one.
func (v View) FindTeam(credential string) (string, Team, bool) {
	name, found := v.TeamByCredential[strings.ToLower(credential)]
	return name, v.Teams[name], found
}

// AllowsModel reports whether a team may use a model.
func (v View) AllowsModel(team, model string) bool {
	t, found := v.Teams[team]
	return found && allowsName(t.Models, model)
}

// AllowsService reports whether a team may use a service.
func (v View) AllowsService(team, service string) bool {
	t, found := v.Teams[team]
	return found && allowsName(t.Services, service)
}

// allowsName reports whether a list of allowed names permits a name. No list permits all, and an empty one nothing.
func allowsName(names []string, name string) bool {
	return names == nil || slices.Contains(names, name)
}

// FindCall returns the call that matches a method and a decoded path, and whether there is one. The longest matching
// path prefix wins. A prefix matches whole path segments.
func (s Service) FindCall(method, path string) (Call, bool) {
	var best Call
	found := false
	for _, c := range s.Calls {
		if c.Method != method || !isPathPrefix(c.PathPrefix, path) {
			continue
		}
		if !found || len(c.PathPrefix) > len(best.PathPrefix) {
			best, found = c, true
		}
	}
	return best, found
}

// isPathPrefix reports whether a path is equal to a prefix or below it.
func isPathPrefix(prefix, path string) bool {
	rest, found := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return found && (rest == "" || rest[0] == '/')
}
