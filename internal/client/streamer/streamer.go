// Package streamer is the client of model engines: answers streamed token by token, load reports, cache events and
// orders.
package streamer

// Stage is one part of the way through a model's layers: the endpoint that runs the layers From up to, not
// including, To.
type Stage struct {
	Endpoint string `json:"endpoint"`
	Address  string `json:"address"`
	From     int    `json:"from"`
	To       int    `json:"to"`
}

// Request opens an attempt at an answer. It goes to the endpoint of the first stage, which passes each step on along
// Stages and streams the tokens that the last stage returns.
type Request struct {
	Request string `json:"request"`
	// Attempt counts from 1. An engine drops steps of an attempt older than the newest that it knows.
	Attempt int    `json:"attempt"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
	// Priority orders waiting work in the engine; higher goes first.
	Priority int    `json:"priority,omitempty"`
	Prompt   string `json:"prompt"`
	// Delivered holds the answer's tokens that the caller already has. The engine runs them as a part of the prefix;
	// the first token streamed has position len(Delivered).
	Delivered []int `json:"delivered,omitempty"`
	// Limit bounds the answer's length in tokens, Delivered included.
	Limit  int     `json:"limit"`
	Stages []Stage `json:"stages"`
	// Sampling says how tokens are chosen. A field that is nil is left to the engine.
	Sampling Sampling `json:"sampling,omitzero"`
	// Imports holds the names of exported KV caches that stages may import in place of running the prefix.
	Imports []string `json:"imports,omitempty"`
}

// Sampling says how an engine chooses tokens, as in the callers' interface.
type Sampling struct {
	Temperature *float64 `json:"temperature,omitempty"`
	// Top bounds the probability mass of the tokens to choose from.
	Top *float64 `json:"top,omitempty"`
	// Seed makes the choice repeatable.
	Seed *int64 `json:"seed,omitempty"`
	// Frequency and Presence are penalties on tokens that stand in the answer already.
	Frequency *float64 `json:"frequency,omitempty"`
	Presence  *float64 `json:"presence,omitempty"`
}

// The kinds of a Step.
const (
	// KindToken carries one token.
	KindToken = "token"
	// KindPing shows that the stream is alive while no token is due.
	KindPing = "ping"
	// KindEnd is the last step of a complete answer.
	KindEnd = "end"
	// KindFault is the last step of an attempt that a stage could not go on with.
	KindFault = "fault"
)

// The reasons of a KindEnd step, as in the callers' interface.
const (
	ReasonStop   = "stop"
	ReasonLength = "length"
)

// The reasons of a KindFault step.
const (
	// FaultCrashed means that the endpoint went away while it ran the attempt.
	FaultCrashed = "crashed"
	// FaultStalled means that the endpoint did not answer a step in time.
	FaultStalled = "stalled"
	// FaultRefused means that the endpoint did not take the attempt.
	FaultRefused = "refused"
	// FaultUnreachable means that no connection to the endpoint could be opened.
	FaultUnreachable = "unreachable"
)

// Step is one line of an engine's stream, as JSON. Ran lists what was run for this token, in order: the receiver
// checks that it covers every layer once.
type Step struct {
	Kind    string `json:"kind"`
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	// Position is the token's place in the answer, counted from 0.
	Position int     `json:"position"`
	Token    int     `json:"token"`
	Text     string  `json:"text,omitempty"`
	Ran      []Stage `json:"ran,omitempty"`
	// Reason says why the answer ended (KindEnd) or which endpoint failed and how (KindFault).
	Reason string `json:"reason,omitempty"`
	// Endpoint names the endpoint at fault (KindFault).
	Endpoint string `json:"endpoint,omitempty"`
	// Prompt counts the prompt's tokens (KindEnd).
	Prompt int `json:"prompt,omitempty"`
}

// Held is a range of layers of one version of a model that an engine has loaded.
type Held struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	From    int    `json:"from"`
	To      int    `json:"to"`
}

// Load is an engine's report of its load, some time ago.
type Load struct {
	Endpoint string `json:"endpoint"`
	Kind     string `json:"kind"`
	Held     []Held `json:"held"`
	// Adapters lists the adapters loaded.
	Adapters []string `json:"adapters,omitempty"`
	// Running and Waiting count requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Rate is the engine's capacity in layer steps a second: one layer run for one token is one step.
	Rate float64 `json:"rate"`
	// Leaving is set once the engine has been told to go.
	Leaving bool `json:"leaving,omitempty"`
	// Stamp is the time of the report in milliseconds of the Unix epoch.
	Stamp int64 `json:"stamp"`
}

// Event tells that a prompt prefix entered or left an engine's cache. Sequence numbers may have gaps.
type Event struct {
	Sequence int64  `json:"sequence"`
	Endpoint string `json:"endpoint"`
	// Prefix is the hash of the cached prefix.
	Prefix  uint64 `json:"prefix"`
	Evicted bool   `json:"evicted,omitempty"`
}

// The orders that an engine takes.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
	OrderRole   = "role"
)

// Order tells an engine to change what it holds. Fence is the holder's fencing number; some engines refuse one lower
// than the highest that they have seen, others ignore it.
type Order struct {
	ID      string `json:"id"`
	Fence   int64  `json:"fence"`
	Order   string `json:"order"`
	Held    Held   `json:"held"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}
