// Package recorder holds the versioned records by which operators configure the fleet.
package recorder

import "encoding/json"

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
	Adapters []string `json:"adapters,omitempty"`
	// Tokens bounds the length of an answer, in tokens.
	Tokens int `json:"tokens"`
	// First and Between are the targets for the first token and between tokens, in milliseconds.
	First   int `json:"first"`
	Between int `json:"between"`
}

// Version is a version of a model with its share of the traffic, in percent.
type Version struct {
	Name  string `json:"name"`
	Share int    `json:"share"`
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
	Deadline int `json:"deadline"`
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
	Requests float64 `json:"requests,omitempty"`
	// Tokens bounds the team's tokens a second over the fleet; 0 means no bound.
	Tokens float64 `json:"tokens,omitempty"`
	// Priority orders the team's requests against those of others; higher goes first.
	Priority int `json:"priority,omitempty"`
}

// Endpoint is the body of a record of KindEndpoint: how the endpoints of one accelerator kind are treated.
type Endpoint struct {
	// Fenced is set if the endpoints refuse an order with an old fencing number.
	Fenced bool `json:"fenced,omitempty"`
	// Batch bounds the requests that run together on an endpoint.
	Batch int `json:"batch"`
	// Progress is the longest wait for a step before the attempt is given up, in milliseconds.
	Progress int `json:"progress"`
}

// Fleet is the body of a record of KindFleet: limits of the whole fleet.
type Fleet struct {
	// Queue bounds the requests that wait on one instance.
	Queue int `json:"queue"`
	// Retention is how long idempotency keys are kept, in seconds.
	Retention int `json:"retention"`
	// Writes bounds the fleet's writes to the table service, in transactions a second.
	Writes int `json:"writes"`
	// Budget is the share of requests that may be retries, in percent.
	Budget int `json:"budget"`
}
