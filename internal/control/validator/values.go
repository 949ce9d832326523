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

// Limits of values, in the units of the body types.
const (
	maxLayers      = 10_000
	maxMillis      = 3_600_000
	maxTokens      = 10_000_000
	maxRetries     = 10
	maxShare       = 1_000_000
	minRate        = 0.001
	maxRate        = 1e9
	maxQueue       = 1_000_000
	maxSeconds     = 366 * 86_400
	maxPriority    = 1_000
	hundredPercent = 100
)

// credentialPattern matches a SHA-256 in hexadecimal.
var credentialPattern = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)

// callMethods lists the HTTP methods that calls may have.
var callMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

// checkValues checks the values of a body whose shape was checked before.
func (w *walker) checkValues(r recorder.Record) {
	switch r.Kind {
	case recorder.KindModel:
		decodeAndCheck(r, w.checkModel)
	case recorder.KindService:
		decodeAndCheck(r, w.checkService)
	case recorder.KindTeam:
		decodeAndCheck(r, w.checkTeam)
	case recorder.KindEndpoint:
		decodeAndCheck(r, w.checkEndpoint)
	case recorder.KindFleet:
		decodeAndCheck(r, w.checkFleet)
	}
}

// decodeAndCheck decodes a body whose shape was checked before and calls check with it.
func decodeAndCheck[T any](r recorder.Record, check func(T)) {
	var body T
	if err := json.Unmarshal(r.Body, &body); err != nil {
		panic(fmt.Sprintf("%s: body of the right shape does not decode: %v", r.Ref(), err))
	}
	check(body)
}

// checkRequired checks that a required number is present and lies from low to high.
func checkRequired[N cmp.Ordered](w *walker, path string, value, low, high N, unit string) {
	if !w.givenPaths[path] {
		w.addFault(path, "is missing; wants %v to %v %s", low, high, unit)
		return
	}
	if value < low || value > high {
		w.addFault(path, "is %v; wants %v to %v %s", value, low, high, unit)
	}
}

// checkOptional checks that a number lies from low to high if it is present.
func checkOptional[N cmp.Ordered](w *walker, path string, value, low, high N, unit string) {
	if w.givenPaths[path] {
		checkRequired(w, path, value, low, high, unit)
	}
}

// checkName checks that a string is a valid name.
func (w *walker) checkName(path, value string) {
	if !namePattern.MatchString(value) {
		w.addFault(path, "%q is not a name", value)
	}
}

// checkModel checks the body of a model.
func (w *walker) checkModel(m recorder.Model) {
	checkRequired(w, "body.layers", m.Layers, 1, maxLayers, "layers")
	checkRequired(w, "body.tokens", m.MaxAnswerTokens, 1, maxTokens, "tokens")
	checkRequired(w, "body.first", m.FirstTokenMillis, 1, maxMillis, "milliseconds")
	checkRequired(w, "body.between", m.TokenIntervalMillis, 1, maxMillis, "milliseconds")
	w.checkVersions(m.Versions)
	w.checkAdapters(m)
	ranges := make([]layerRange, 0, len(m.Stages))
	for i, s := range m.Stages {
		path := fmt.Sprintf("body.stages[%d]", i)
		checkRequired(w, path+".replicas", s.Replicas, 1, maxLayers, "endpoints")
		ranges = append(ranges, layerRange{record: w.record, path: path, from: s.From, to: s.To})
	}
	w.faults = append(w.faults, checkCoverage(ranges, m.Layers)...)
}

// checkVersions checks the names of a model's versions and that their shares add up to 100 percent.
func (w *walker) checkVersions(versions []recorder.Version) {
	if len(versions) == 0 {
		w.addFault("body.versions", "is missing; wants at least one version")
		return
	}
	sum := 0
	seen := map[string]bool{}
	for i, v := range versions {
		path := fmt.Sprintf("body.versions[%d]", i)
		w.checkName(path+".name", v.Name)
		if seen[v.Name] {
			w.addFault(path+".name", "%q is given twice", v.Name)
		}
		seen[v.Name] = true
		checkRequired(w, path+".share", v.SharePercent, 0, hundredPercent, "percent")
		sum += v.SharePercent
	}
	if sum != hundredPercent {
		w.addFault("body.versions", "has shares that add up to %d percent; wants 100", sum)
	}
}

// checkAdapters checks the names of a model's adapters and that they refer to its versions.
func (w *walker) checkAdapters(m recorder.Model) {
	seen := map[string]bool{}
	for i, a := range m.Adapters {
		path := fmt.Sprintf("body.adapters[%d]", i)
		w.checkName(path+".name", a.Name)
		if seen[a.Name] {
			w.addFault(path+".name", "%q is given twice", a.Name)
		}
		seen[a.Name] = true
		for j, v := range a.Versions {
			same := func(version recorder.Version) bool { return version.Name == v }
			if !slices.ContainsFunc(m.Versions, same) {
				w.addFault(fmt.Sprintf("%s.versions[%d]", path, j), "refers to version %q, which the model has not", v)
			}
		}
	}
}

// checkService checks the body of a service.
func (w *walker) checkService(s recorder.Service) {
	if len(s.Calls) == 0 {
		w.addFault("body.calls", "is missing; wants at least one call")
	}
	seen := map[string]bool{}
	for i, c := range s.Calls {
		path := fmt.Sprintf("body.calls[%d]", i)
		if !slices.Contains(callMethods, c.Method) {
			w.addFault(path+".method", "is %q; wants one of %s", c.Method, strings.Join(callMethods, ", "))
		}
		if !strings.HasPrefix(c.PathPrefix, "/") {
			w.addFault(path+".path", "is %q; wants a path that begins with /", c.PathPrefix)
		}
		if seen[c.Method+" "+c.PathPrefix] {
			w.addFault(path, "%s %s is given twice", c.Method, c.PathPrefix)
		}
		seen[c.Method+" "+c.PathPrefix] = true
		checkRequired(w, path+".deadline", c.DeadlineMillis, 1, maxMillis, "milliseconds")
		checkOptional(w, path+".retries", c.MaxRetries, 0, maxRetries, "repeats")
		if c.MaxRetries > 0 && !c.Idempotent {
			w.addFault(path+".retries", "is %d for a call that is not idempotent; wants 0", c.MaxRetries)
		}
		if c.LookupPath != "" && (!strings.HasPrefix(c.LookupPath, "/") || !strings.Contains(c.LookupPath, "{key}")) {
			w.addFault(path+".lookup", "is %q; wants a path that begins with / and has {key} in it", c.LookupPath)
		}
	}
}

// checkTeam checks the body of a team.
func (w *walker) checkTeam(t recorder.Team) {
	if !credentialPattern.MatchString(t.CredentialHash) {
		w.addFault("body.credential", "is not the SHA-256 of a bearer token in 64 hexadecimal digits")
	}
	checkRequired(w, "body.share", t.QueueWeight, 1, maxShare, "parts")
	checkOptional(w, "body.requests", t.RequestsPerSecond, minRate, maxRate, "requests a second, or nothing for no bound")
	checkOptional(w, "body.tokens", t.TokensPerSecond, minRate, maxRate, "tokens a second, or nothing for no bound")
	checkOptional(w, "body.priority", t.Priority, -maxPriority, maxPriority, "")
}

// checkEndpoint checks the body of an endpoint policy.
func (w *walker) checkEndpoint(e recorder.Endpoint) {
	checkRequired(w, "body.batch", e.MaxBatch, 1, maxQueue, "requests")
	checkRequired(w, "body.progress", e.ProgressTimeoutMillis, 1, maxMillis, "milliseconds")
	for i, r := range e.Ranges {
		w.checkName(fmt.Sprintf("body.ranges[%d].model", i), r.Model)
	}
}

// checkFleet checks the body of the fleet's limits.
func (w *walker) checkFleet(f recorder.Fleet) {
	checkRequired(w, "body.queue", f.MaxQueued, 1, maxQueue, "requests")
	checkRequired(w, "body.retention", f.KeyRetentionSeconds, 1, maxSeconds, "seconds")
	checkRequired(w, "body.writes", f.WritesPerSecond, 1, maxQueue, "transactions a second")
	checkRequired(w, "body.budget", f.RetryBudgetPercent, 1, hundredPercent, "percent")
}
