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

// View is a snapshot decoded for the request path. It does not change once built: a request keeps the view that it
// was admitted under until it ends.
type View struct {
	Epoch    int64
	Models   map[string]Model
	Services map[string]Service
	// Teams is keyed by name.
	Teams map[string]Team
	// Credentials maps the SHA-256 of a bearer token, in lower-case hexadecimal, to the name of its team.
	Credentials map[string]string
	// Endpoints is keyed by the kind of accelerator.
	Endpoints map[string]Endpoint
	Fleet     Fleet
}

// ErrSchema means that a record is not of the current schema.
var ErrSchema = merry.New("record is not of the current schema")

// DefaultFleet holds the limits of a fleet without a record of KindFleet.
var DefaultFleet = Fleet{Queue: 256, Retention: 86400, Writes: 200, Budget: 10}

// NewView decodes a snapshot whose records are all of the current schema. The error is ErrSchema for a record of
// another schema or kind, or that of decoding a body.
func NewView(s Snapshot) (View, error) {
	empty := View{
		Models:      map[string]Model{},
		Services:    map[string]Service{},
		Teams:       map[string]Team{},
		Credentials: map[string]string{},
		Endpoints:   map[string]Endpoint{},
		Fleet:       DefaultFleet,
	}
	return empty.With(s.Epoch, s.Records, nil)
}

// With returns the view of an epoch in which the records put replace those of the same reference and those dropped are
// gone. The view itself stays as it is. The errors are those of NewView.
func (v View) With(epoch int64, put []Record, drop []Ref) (View, error) {
	next := View{
		Epoch:       epoch,
		Models:      maps.Clone(v.Models),
		Services:    maps.Clone(v.Services),
		Teams:       maps.Clone(v.Teams),
		Credentials: maps.Clone(v.Credentials),
		Endpoints:   maps.Clone(v.Endpoints),
		Fleet:       v.Fleet,
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

// remove takes one record out of the view.
func (v *View) remove(ref Ref) {
	switch ref.Kind {
	case KindModel:
		delete(v.Models, ref.Name)
	case KindService:
		delete(v.Services, ref.Name)
	case KindEndpoint:
		delete(v.Endpoints, ref.Name)
	case KindTeam:
		v.forget(ref.Name)
		delete(v.Teams, ref.Name)
	case KindFleet:
		v.Fleet = DefaultFleet
	}
}

// forget removes the credential of a team, unless another team has it by now.
func (v *View) forget(team string) {
	hash := strings.ToLower(v.Teams[team].Credential)
	if v.Credentials[hash] == team {
		delete(v.Credentials, hash)
	}
}

// add decodes one record into the view.
func (v *View) add(r Record) error {
	if r.Schema != Current(r.Kind) || r.Schema == 0 {
		return merry.Prependf(ErrSchema, "schema %d", r.Schema)
	}
	switch r.Kind {
	case KindModel:
		return decode(r, v.Models)
	case KindService:
		return decode(r, v.Services)
	case KindEndpoint:
		return decode(r, v.Endpoints)
	case KindTeam:
		v.forget(r.Name)
		if err := decode(r, v.Teams); err != nil {
			return err
		}
		v.Credentials[strings.ToLower(v.Teams[r.Name].Credential)] = r.Name
		return nil
	default:
		v.Fleet = Fleet{}
		return json.Unmarshal(r.Body, &v.Fleet)
	}
}

// decode decodes the record's body into the map under the record's name.
func decode[T any](r Record, into map[string]T) error {
	var body T
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return err
	}
	into[r.Name] = body
	return nil
}

// Version returns the version of a model that serves the requests with the given key, and whether the model exists.
// The same key gets the same version as long as the shares stay. With two versions, raising the share of one moves
// keys only to it, and only as many as the share grew by. The choice is weighted rendezvous hashing (Schindelhauer
// and Schomaker, "Weighted distributed hash tables", 2005).
func (v View) Version(model, key string) (string, bool) {
	m, found := v.Models[model]
	if !found {
		return "", false
	}
	name, best := "", 0.0
	for _, version := range m.Versions {
		if version.Share <= 0 {
			continue
		}
		score := float64(version.Share) / -math.Log(unit(model, version.Name, key))
		if name == "" || score > best {
			name, best = version.Name, score
		}
	}
	return name, name != ""
}

// unit hashes its parts to a number between 0 and 1, both excluded.
func unit(parts ...string) float64 {
	const bits = 53
	sum := xxhash.Sum64String(strings.Join(parts, "\x00"))
	return (float64(sum>>(64-bits)) + 0.5) / (1 << bits)
}

// Adapter reports whether callers may name the adapter with a version of a model.
func (v View) Adapter(model, version, adapter string) bool {
	for _, a := range v.Models[model].Adapters {
		if a.Name == adapter {
			return len(a.Versions) == 0 || slices.Contains(a.Versions, version)
		}
	}
	return false
}

// Team returns the name and the record of the team with a credential, given as the SHA-256 of its bearer token in
// hexadecimal, and whether there is one.
func (v View) Team(credential string) (string, Team, bool) {
	name, found := v.Credentials[strings.ToLower(credential)]
	return name, v.Teams[name], found
}

// AllowsModel reports whether a team may use a model.
func (v View) AllowsModel(team, model string) bool {
	t, found := v.Teams[team]
	return found && allows(t.Models, model)
}

// AllowsService reports whether a team may use a service.
func (v View) AllowsService(team, service string) bool {
	t, found := v.Teams[team]
	return found && allows(t.Services, service)
}

// allows reports whether a list that is empty for all holds a name.
func allows(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

// Call returns the call that matches a method and a decoded path, the longest path prefix first, and whether there is
// one. A prefix matches whole path segments.
func (s Service) Call(method, path string) (Call, bool) {
	var best Call
	found := false
	for _, c := range s.Calls {
		if c.Method != method || !covers(c.Path, path) {
			continue
		}
		if !found || len(c.Path) > len(best.Path) {
			best, found = c, true
		}
	}
	return best, found
}

// covers reports whether a path lies at or below a prefix.
func covers(prefix, path string) bool {
	rest, found := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return found && (rest == "" || rest[0] == '/')
}
