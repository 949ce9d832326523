package claimer

import "github.com/heatherrock/heatherrock/internal/dispatch/classifier"

// Table is the name of the table of claims, and DoubtsTable that of the table that lists the claims with an unknown
// outcome.
const (
	Table       = "claims"
	DoubtsTable = "doubts"
)

// State is the state of the row of a claim.
type State string

// The states of a claim's row.
const (
	// StateDispatching means that the owner may send the work or has sent it.
	StateDispatching State = "dispatching"
	// StateCompleted means that the work ran and Reply is its result.
	StateCompleted State = "completed"
	// StateReleased means that no attempt up to Attempt ran or will run.
	StateReleased State = "released"
	// StateUnknown means that the work may have run and that its owner does not know the outcome.
	StateUnknown State = "unknown"
)

// Record is the value of the row of a claim, as JSON.
type Record struct {
	State State `json:"state"`
	// Claim is the ID of the claim that wrote the row.
	Claim string `json:"claim"`
	// Owner is the ID of the instance that made the claim.
	Owner string `json:"owner"`
	// Attempt is the number of the caller's attempt whose outcome the row states.
	Attempt int `json:"attempt"`
	// Print is the fingerprint of the call and its body.
	Print   string `json:"print"`
	Service string `json:"service"`
	Path    string `json:"path"`
	// Code says why a released claim was not run.
	Code string `json:"code,omitempty"`
	// WrittenAtMillis is the time of the write in milliseconds of the Unix epoch. It is for operators only.
	WrittenAtMillis int64  `json:"stamp"`
	Reply           *Reply `json:"reply,omitempty"`
	// SettledBy names the operator who settled the claim, and Note is the reason given.
	SettledBy string `json:"by,omitempty"`
	Note      string `json:"note,omitempty"`
}

// Reply is the stored response of a service.
type Reply struct {
	Status      int    `json:"status"`
	ContentType string `json:"type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Truncated reports whether the body was too long to be stored.
	Truncated bool `json:"cut,omitempty"`
}

// Row is the row of a claim as read. Version 0 means that there is no row.
type Row struct {
	Version int64
	Record  Record
}

// Mutation writes the row of a claim on condition of its version.
type Mutation struct {
	Key     string
	Version int64
	Record  Record
}

// Commit is the outcome of a mutation. If Outcome is Completed and Applied is false, Found is the row that was found in
// place of the one expected. Version is the new version of the row if the mutation was applied.
type Commit struct {
	Outcome classifier.Outcome
	Applied bool
	Version int64
	Found   Row
	// Code says why a mutation was not tried.
	Code string
}
