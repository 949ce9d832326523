// Package recorder holds the versioned records by which operators configure the fleet.
package recorder

import (
	"encoding/json"

	"github.com/ansel1/merry/v2"
)

// The kinds of records.
const (
	KindModel    = "model"
	KindService  = "service"
	KindTeam     = "team"
	KindEndpoint = "endpoint"
	KindFleet    = "fleet"
)

// The states of a record.
const (
	StateSubmitted = "submitted"
	StateAccepted  = "accepted"
	StateRetired   = "retired"
)

// Record is one configuration record. Kind and Name identify it; Revision counts its submissions from 1; Schema is
// the version of the layout of Body.
type Record struct {
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Schema   int             `json:"schema"`
	Revision int64           `json:"revision"`
	State    string          `json:"state,omitempty"`
	Body     json.RawMessage `json:"body"`
}

// FleetName is the name of the one record of KindFleet.
const FleetName = "fleet"

// Ref names a record.
type Ref struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// String returns the reference as KIND/NAME.
func (r Ref) String() string {
	return r.Kind + "/" + r.Name
}

// Ref returns the reference to the record.
func (r Record) Ref() Ref {
	return Ref{Kind: r.Kind, Name: r.Name}
}

// NewRecord returns a record of the current schema with the given body, which is one of the body types of this
// package. The error is that of encoding the body.
func NewRecord(kind, name string, body any) (Record, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return Record{}, merry.Prependf(err, "%s/%s", kind, name)
	}
	return Record{Kind: kind, Name: name, Schema: Current(kind), Revision: 1, Body: b}, nil
}

// current holds the schema version of each kind that this package's body types describe.
var current = map[string]int{
	KindModel:    2,
	KindService:  1,
	KindTeam:     1,
	KindEndpoint: 1,
	KindFleet:    1,
}

// Current returns the schema version that the body type of a kind describes, or 0 for an unknown kind.
func Current(kind string) int {
	return current[kind]
}

// Kinds returns the kinds of records, in order.
func Kinds() []string {
	return []string{KindEndpoint, KindFleet, KindModel, KindService, KindTeam}
}

// Snapshot is the configuration in force at an epoch: the accepted records, ordered by kind and name. A higher epoch
// replaces a lower one as a whole.
type Snapshot struct {
	Epoch   int64    `json:"epoch"`
	Records []Record `json:"records"`
}

// Model is the body of a record of KindModel: one model and the versions that serve it.
type Model struct {
	// Layers counts the model's layers.
	Layers int `json:"layers"`
	// Versions divides the model's traffic. The shares add up to 100.
	Versions []Version `json:"versions"`
	// Adapters lists the adapters that callers may name.
	Adapters []Adapter `json:"adapters,omitempty"`
	// Stages holds the policy of each range of layers. If any is given, the ranges cover every layer once.
	Stages []Stage `json:"stages,omitempty"`
	// Tokens bounds the length of an answer, in tokens.
	Tokens int `json:"tokens" unit:"tokens"`
	// First and Between are the targets for the first token and between tokens, in milliseconds.
	First   int `json:"first" unit:"milliseconds"`
	Between int `json:"between" unit:"milliseconds"`
}

// Version is a version of a model with its share of the traffic, in percent.
type Version struct {
	Name  string `json:"name"`
	Share int    `json:"share" unit:"percent"`
}

// Adapter is an adapter of a model. It fits the versions named, or every version if none is named.
type Adapter struct {
	Name     string   `json:"name"`
	Versions []string `json:"versions,omitempty"`
}

// Stage is the policy of the layers From up to, not including, To.
type Stage struct {
	From int `json:"from"`
	To   int `json:"to"`
	// Replicas is the number of live endpoints of a region below which a spare is told to load the range.
	Replicas int `json:"replicas"`
}

// Service is the body of a record of KindService: one plain service behind the fleet.
type Service struct {
	Calls []Call `json:"calls"`
}

// Call is one call of a plain service, by method and path prefix.
type Call struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Idempotent is set if the call may be repeated.
	Idempotent bool `json:"idempotent,omitempty"`
	// Deadline bounds the call, in milliseconds.
	Deadline int `json:"deadline" unit:"milliseconds"`
	// Retries bounds the repeats of an idempotent call.
	Retries int `json:"retries,omitempty"`
	// Lookup is the path at which the service tells what became of an idempotency key, with {key} in its place. It is
	// empty if the service cannot be asked.
	Lookup string `json:"lookup,omitempty"`
}

// Team is the body of a record of KindTeam: one group of callers that shares a credential and limits.
type Team struct {
	// Credential is the SHA-256 of the team's bearer token, in hexadecimal.
	Credential string `json:"credential"`
	// Share is the team's weight in the queue.
	Share int `json:"share"`
	// Requests bounds the team's requests a second over the fleet; 0 means no bound.
	Requests float64 `json:"requests,omitempty" unit:"requests a second"`
	// Tokens bounds the team's tokens a second over the fleet; 0 means no bound.
	Tokens float64 `json:"tokens,omitempty" unit:"tokens a second"`
	// Priority orders the team's requests against those of others; higher goes first.
	Priority int `json:"priority,omitempty"`
	// Models and Services name what the team may use. An empty list allows all.
	Models   []string `json:"models,omitempty"`
	Services []string `json:"services,omitempty"`
}

// Endpoint is the body of a record of KindEndpoint: how the endpoints of one accelerator kind are treated.
type Endpoint struct {
	// Fenced is set if the endpoints refuse an order with an old fencing number. It is for operators to see: orders are
	// given as if no endpoint checked, so that a wrong record does no harm.
	Fenced bool `json:"fenced,omitempty"`
	// Batch bounds the requests that run together on an endpoint.
	Batch int `json:"batch"`
	// Progress is the longest wait for a step before the attempt is given up, in milliseconds.
	Progress int `json:"progress" unit:"milliseconds"`
	// Ranges lists the layers that spares of this kind are told to load. Over all endpoint records, each layer of a
	// model that is named at all is named once.
	Ranges []Range `json:"ranges,omitempty"`
}

// Range is the layers of a model from From up to, not including, To.
type Range struct {
	Model string `json:"model"`
	From  int    `json:"from"`
	To    int    `json:"to"`
}

// Fleet is the body of a record of KindFleet: limits of the whole fleet.
type Fleet struct {
	// Queue bounds the requests that wait on one instance.
	Queue int `json:"queue"`
	// Retention is how long idempotency keys are kept, in seconds.
	Retention int `json:"retention" unit:"seconds"`
	// Writes bounds the fleet's writes to the table service, in transactions a second.
	Writes int `json:"writes" unit:"transactions a second"`
	// Budget is the share of requests that may be retries, in percent.
	Budget int `json:"budget" unit:"percent"`
}
