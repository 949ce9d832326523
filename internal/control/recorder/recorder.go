// Package recorder defines the versioned records with which operators configure the fleet.
package recorder

import (
	"encoding/json"

	"github.com/ansel1/merry/v2"
)

// Kinds of records.
const (
	KindModel    = "model"
	KindService  = "service"
	KindTeam     = "team"
	KindEndpoint = "endpoint"
	KindFleet    = "fleet"
)

// States of a record.
const (
	StateSubmitted = "submitted"
	StateAccepted  = "accepted"
	StateRetired   = "retired"
)

// Record is one configuration record. Kind and Name identify it. Revision is the number of its submissions so far, from
// 1. Schema is the version of the layout of Body.
type Record struct {
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Schema   int             `json:"schema"`
	Revision int64           `json:"revision"`
	State    string          `json:"state,omitempty"`
	Body     json.RawMessage `json:"body"`
}

// FleetName is the name of the only record of KindFleet.
const FleetName = "fleet"

// Ref identifies a record.
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
	return Record{Kind: kind, Name: name, Schema: CurrentSchema(kind), Revision: 1, Body: b}, nil
}

// currentSchemas holds the schema version of each kind that the body types of this package describe.
var currentSchemas = map[string]int{
	KindModel:    2,
	KindService:  1,
	KindTeam:     1,
	KindEndpoint: 1,
	KindFleet:    1,
}

// CurrentSchema returns the schema version that the body type of a kind describes, or 0 for an unknown kind.
func CurrentSchema(kind string) int {
	return currentSchemas[kind]
}

// Kinds returns the kinds of records, sorted.
func Kinds() []string {
	return []string{KindEndpoint, KindFleet, KindModel, KindService, KindTeam}
}

// Snapshot is the configuration that is active at an epoch: the accepted records, sorted by kind and name. A snapshot of
// a higher epoch replaces one of a lower epoch as a whole.
type Snapshot struct {
	Epoch   int64    `json:"epoch"`
	Records []Record `json:"records"`
}

// Model is the body of a record of KindModel: one model and the versions that serve it.
type Model struct {
	// Layers is the number of layers of the model.
	Layers int `json:"layers"`
	// Versions divides the model's traffic between versions. The shares add up to 100.
	Versions []Version `json:"versions"`
	// Adapters lists the adapters that callers may request.
	Adapters []Adapter `json:"adapters,omitempty"`
	// Stages holds the policy of each range of layers. If it is not empty, the ranges cover each layer exactly once.
	Stages []Stage `json:"stages,omitempty"`
	// MaxAnswerTokens is the largest length of an answer, in tokens.
	MaxAnswerTokens int `json:"tokens" unit:"tokens"`
	// FirstTokenMillis and TokenIntervalMillis are the target latencies of the first token and between two tokens, in
	// milliseconds.
	FirstTokenMillis    int `json:"first" unit:"milliseconds"`
	TokenIntervalMillis int `json:"between" unit:"milliseconds"`
}

// Version is a version of a model with its share of the traffic, in percent.
type Version struct {
	Name         string `json:"name"`
	SharePercent int    `json:"share" unit:"percent"`
}

// Adapter is an adapter of a model. It is compatible with the listed versions, or with all if there is no list; with an empty
// list it is compatible with none.
type Adapter struct {
	Name     string   `json:"name"`
	Versions []string `json:"versions,omitzero"`
}

// Stage is the policy of the layers from From up to, but not including, To.
type Stage struct {
	From int `json:"from"`
	To   int `json:"to"`
	// Replicas is the number of live endpoints in a region below which a spare endpoint is ordered to load the range.
	Replicas int `json:"replicas"`
}

// Service is the body of a record of KindService: one plain service behind the fleet.
type Service struct {
	Calls []Call `json:"calls"`
}

// Call is one call of a plain service, by method and path prefix.
type Call struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path"`
	// Idempotent reports whether the call may be repeated.
	Idempotent bool `json:"idempotent,omitempty"`
	// DeadlineMillis is the longest duration of the call, in milliseconds.
	DeadlineMillis int `json:"deadline" unit:"milliseconds"`
	// MaxRetries is the largest number of retries of an idempotent call.
	MaxRetries int `json:"retries,omitempty"`
	// LookupPath is the path at which the service reports the outcome of an idempotency key; {key} is replaced by the
	// key. It is empty if the service has no such path.
	LookupPath string `json:"lookup,omitempty"`
}

// Team is the body of a record of KindTeam: one group of callers that shares a credential and limits.
type Team struct {
	// CredentialHash is the SHA-256 of the team's bearer token, in hexadecimal.
	CredentialHash string `json:"credential"`
	// QueueWeight is the team's weight in the queue.
	QueueWeight int `json:"share"`
	// RequestsPerSecond limits the team's requests a second across the fleet; 0 means no limit.
	RequestsPerSecond float64 `json:"requests,omitempty" unit:"requests a second"`
	// TokensPerSecond limits the team's tokens a second across the fleet; 0 means no limit.
	TokensPerSecond float64 `json:"tokens,omitempty" unit:"tokens a second"`
	// Priority is the priority of the team's requests against those of other teams; the higher one goes first.
	Priority int `json:"priority,omitempty"`
	// Models and Services list the names of what the team may use. No list allows all, and an empty one nothing.
	Models   []string `json:"models,omitzero"`
	Services []string `json:"services,omitzero"`
}

// Endpoint is the body of a record of KindEndpoint: the policy for the endpoints of one kind of accelerator.
type Endpoint struct {
	// ChecksFencing reports whether the endpoints reject orders with an old fencing token. It only informs operators:
	// orders are sent as if no endpoint checked the token, so that a wrong record does no harm.
	ChecksFencing bool `json:"fenced,omitempty"`
	// MaxBatch is the largest number of requests that run concurrently on an endpoint.
	MaxBatch int `json:"batch"`
	// ProgressTimeoutMillis is the longest wait for the next step before the attempt is abandoned, in milliseconds.
	ProgressTimeoutMillis int `json:"progress" unit:"milliseconds"`
	// Ranges lists the layers that spare endpoints of this kind are ordered to load. Over all endpoint records, either
	// each layer of a model is listed exactly once or none of its layers is listed.
	Ranges []Range `json:"ranges,omitempty"`
}

// Range is the layers of a model from From up to, but not including, To.
type Range struct {
	Model string `json:"model"`
	From  int    `json:"from"`
	To    int    `json:"to"`
}

// Fleet is the body of a record of KindFleet: limits of the whole fleet.
type Fleet struct {
	// MaxQueued is the largest number of requests that wait on one instance.
	MaxQueued int `json:"queue"`
	// KeyRetentionSeconds is how long idempotency keys are kept, in seconds.
	KeyRetentionSeconds int `json:"retention" unit:"seconds"`
	// WritesPerSecond limits the fleet's writes to the table service, in transactions a second.
	WritesPerSecond int `json:"writes" unit:"transactions a second"`
	// RetryBudgetPercent is the share of requests that may be retries, in percent.
	RetryBudgetPercent int `json:"budget" unit:"percent"`
}
