package validator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

// The bounds of values, in the units of the body types.
const (
	maxLayers   = 10_000
	maxMillis   = 3_600_000
	maxTokens   = 10_000_000
	maxRetries  = 10
	maxShare    = 1_000_000
	minRate     = 0.001
	maxRate     = 1e9
	maxQueue    = 1_000_000
	maxSeconds  = 366 * 86_400
	maxPriority = 1_000
	percent     = 100
)

// credential is the form of a SHA-256 in hexadecimal.
var credential = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)

// methods lists the methods of calls.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

// values checks the values of a body whose shape is right.
func (w *walker) values(r recorder.Record) {
	switch r.Kind {
	case recorder.KindModel:
		check(r, w.model)
	case recorder.KindService:
		check(r, w.service)
	case recorder.KindTeam:
		check(r, w.team)
	case recorder.KindEndpoint:
		check(r, w.endpoint)
	case recorder.KindFleet:
		check(r, w.fleet)
	}
}

// check decodes a body whose shape is right and checks it.
func check[T any](r recorder.Record, f func(T)) {
	var body T
	if err := json.Unmarshal(r.Body, &body); err != nil {
		panic(fmt.Sprintf("%s: body of the right shape does not decode: %v", r.Ref(), err))
	}
	f(body)
}

// within checks that a number that must be given lies within bounds.
func within[N cmp.Ordered](w *walker, path string, value, low, high N, unit string) {
	if !w.given[path] {
		w.fault(path, "is missing; wants %v to %v %s", low, high, unit)
		return
	}
	if value < low || value > high {
		w.fault(path, "is %v; wants %v to %v %s", value, low, high, unit)
	}
}

// optional checks that a number lies within bounds if it is given.
func optional[N cmp.Ordered](w *walker, path string, value, low, high N, unit string) {
	if w.given[path] {
		within(w, path, value, low, high, unit)
	}
}

// named checks that a text is a name.
func (w *walker) named(path, value string) {
	if !name.MatchString(value) {
		w.fault(path, "%q is not a name", value)
	}
}

// model checks the body of a model.
func (w *walker) model(m recorder.Model) {
	within(w, "body.layers", m.Layers, 1, maxLayers, "layers")
	within(w, "body.tokens", m.Tokens, 1, maxTokens, "tokens")
	within(w, "body.first", m.First, 1, maxMillis, "milliseconds")
	within(w, "body.between", m.Between, 1, maxMillis, "milliseconds")
	w.versions(m.Versions)
	w.adapters(m)
	ranges := make([]span, 0, len(m.Stages))
	for i, s := range m.Stages {
		path := fmt.Sprintf("body.stages[%d]", i)
		within(w, path+".replicas", s.Replicas, 1, maxLayers, "endpoints")
		ranges = append(ranges, span{record: w.record, path: path, from: s.From, to: s.To})
	}
	w.faults = append(w.faults, cover(ranges, m.Layers)...)
}

// versions checks that the shares of a model's versions add up.
func (w *walker) versions(versions []recorder.Version) {
	if len(versions) == 0 {
		w.fault("body.versions", "is missing; wants at least one version")
		return
	}
	sum := 0
	seen := map[string]bool{}
	for i, v := range versions {
		path := fmt.Sprintf("body.versions[%d]", i)
		w.named(path+".name", v.Name)
		if seen[v.Name] {
			w.fault(path+".name", "%q is given twice", v.Name)
		}
		seen[v.Name] = true
		within(w, path+".share", v.Share, 0, percent, "percent")
		sum += v.Share
	}
	if sum != percent {
		w.fault("body.versions", "has shares that add up to %d percent; wants 100", sum)
	}
}

// adapters checks that a model's adapters refer to its versions.
func (w *walker) adapters(m recorder.Model) {
	seen := map[string]bool{}
	for i, a := range m.Adapters {
		path := fmt.Sprintf("body.adapters[%d]", i)
		w.named(path+".name", a.Name)
		if seen[a.Name] {
			w.fault(path+".name", "%q is given twice", a.Name)
		}
		seen[a.Name] = true
		for j, v := range a.Versions {
			same := func(version recorder.Version) bool { return version.Name == v }
			if !slices.ContainsFunc(m.Versions, same) {
				w.fault(fmt.Sprintf("%s.versions[%d]", path, j), "refers to version %q, which the model has not", v)
			}
		}
	}
}

// service checks the body of a service.
func (w *walker) service(s recorder.Service) {
	if len(s.Calls) == 0 {
		w.fault("body.calls", "is missing; wants at least one call")
	}
	seen := map[string]bool{}
	for i, c := range s.Calls {
		path := fmt.Sprintf("body.calls[%d]", i)
		if !slices.Contains(methods, c.Method) {
			w.fault(path+".method", "is %q; wants one of %s", c.Method, strings.Join(methods, ", "))
		}
		if !strings.HasPrefix(c.Path, "/") {
			w.fault(path+".path", "is %q; wants a path that begins with /", c.Path)
		}
		if seen[c.Method+" "+c.Path] {
			w.fault(path, "%s %s is given twice", c.Method, c.Path)
		}
		seen[c.Method+" "+c.Path] = true
		within(w, path+".deadline", c.Deadline, 1, maxMillis, "milliseconds")
		optional(w, path+".retries", c.Retries, 0, maxRetries, "repeats")
		if c.Retries > 0 && !c.Idempotent {
			w.fault(path+".retries", "is %d for a call that is not idempotent; wants 0", c.Retries)
		}
		if c.Lookup != "" && (!strings.HasPrefix(c.Lookup, "/") || !strings.Contains(c.Lookup, "{key}")) {
			w.fault(path+".lookup", "is %q; wants a path that begins with / and has {key} in it", c.Lookup)
		}
	}
}

// team checks the body of a team.
func (w *walker) team(t recorder.Team) {
	if !credential.MatchString(t.Credential) {
		w.fault("body.credential", "is not the SHA-256 of a bearer token in 64 hexadecimal digits")
	}
	within(w, "body.share", t.Share, 1, maxShare, "parts")
	optional(w, "body.requests", t.Requests, minRate, maxRate, "requests a second, or nothing for no bound")
	optional(w, "body.tokens", t.Tokens, minRate, maxRate, "tokens a second, or nothing for no bound")
	optional(w, "body.priority", t.Priority, -maxPriority, maxPriority, "")
}

// endpoint checks the body of an endpoint policy.
func (w *walker) endpoint(e recorder.Endpoint) {
	within(w, "body.batch", e.Batch, 1, maxQueue, "requests")
	within(w, "body.progress", e.Progress, 1, maxMillis, "milliseconds")
	for i, r := range e.Ranges {
		w.named(fmt.Sprintf("body.ranges[%d].model", i), r.Model)
	}
}

// fleet checks the body of the fleet's limits.
func (w *walker) fleet(f recorder.Fleet) {
	within(w, "body.queue", f.Queue, 1, maxQueue, "requests")
	within(w, "body.retention", f.Retention, 1, maxSeconds, "seconds")
	within(w, "body.writes", f.Writes, 1, maxQueue, "transactions a second")
	within(w, "body.budget", f.Budget, 1, percent, "percent")
}
