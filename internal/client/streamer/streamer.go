// Package streamer is the client of model engines: answers streamed token by token, load reports, cache events and
// orders.
package streamer

// Stage is one part of the path through a model's layers: the endpoint that runs the layers from From up to, but not
// including, To.
type Stage struct {
	Endpoint string `json:"endpoint"`
	Address  string `json:"address"`
	From     int    `json:"from"`
	To       int    `json:"to"`
}

// Request starts an attempt to generate an answer. It is sent to the endpoint of the first stage, which forwards each
// step along Stages and streams the tokens that the last stage returns.
type Request struct {
	Request string `json:"request"`
	// Attempt counts from 1. An engine drops the steps of attempts older than the newest one it has seen.
	Attempt int    `json:"attempt"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
	// Priority orders waiting work in the engine; the highest value runs first.
	Priority int    `json:"priority,omitempty"`
	Prompt   string `json:"prompt"`
	// Delivered holds the tokens of the answer that the caller has already received. The engine runs them as part of
	// the prefix; the first token streamed has position len(Delivered).
	Delivered []int `json:"delivered,omitempty"`
	// MaxTokens bounds the answer's length in tokens, including Delivered.
	MaxTokens int     `json:"limit"`
	Stages    []Stage `json:"stages"`
	// Sampling sets how tokens are chosen. The engine chooses the value of a field that is nil.
	Sampling Sampling `json:"sampling,omitzero"`
	// Imports holds the names of exported KV caches that stages may import instead of running the prefix.
	Imports []string `json:"imports,omitempty"`
}

// Sampling sets how an engine chooses tokens, as in the callers' API.
type Sampling struct {
	Temperature *float64 `json:"temperature,omitempty"`
	// Top bounds the probability mass of the tokens to choose from.
	Top *float64 `json:"top,omitempty"`
	// Seed makes the choice repeatable.
	Seed *int64 `json:"seed,omitempty"`
	// Frequency and Presence are penalties on tokens that already occur in the answer.
	Frequency *float64 `json:"frequency,omitempty"`
	Presence  *float64 `json:"presence,omitempty"`
}

// The kinds of a Step.
const (
	// KindToken carries one token.
	KindToken = "token"
	// KindPing is a heartbeat, sent while there is no token to send.
	KindPing = "ping"
	// KindEnd is the last step of a complete answer.
	KindEnd = "end"
	// KindFault is the last step of an attempt that failed at a stage.
	KindFault = "fault"
)

// The reasons of a KindEnd step, as in the callers' API.
const (
	ReasonStop   = "stop"
	ReasonLength = "length"
)

// The reasons of a KindFault step.
const (
	// FaultCrashed means that the endpoint terminated while it ran the attempt.
	FaultCrashed = "crashed"
	// FaultStalled means that the endpoint did not respond to a step before the timeout.
	FaultStalled = "stalled"
	// FaultRefused means that the endpoint rejected the attempt.
	FaultRefused = "refused"
	// FaultUnreachable means that no connection to the endpoint could be opened.
	FaultUnreachable = "unreachable"
)

// Step is one line of an engine's stream, as JSON. ExecutedStages lists the stages that ran this token, in order: the
// receiver checks that they cover every layer once.
type Step struct {
	Kind    string `json:"kind"`
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	// Position is the token's index in the answer, counted from 0.
	Position       int     `json:"position"`
	Token          int     `json:"token"`
	Text           string  `json:"text,omitempty"`
	ExecutedStages []Stage `json:"ran,omitempty"`
	// Reason is why the answer ended (KindEnd) or how the endpoint failed (KindFault).
	Reason string `json:"reason,omitempty"`
	// Endpoint is the endpoint that failed (KindFault).
	Endpoint string `json:"endpoint,omitempty"`
	// PromptTokens is the number of tokens of the prompt (KindEnd).
	PromptTokens int `json:"prompt,omitempty"`
}

// LayerRange is a range of layers of one version of a model, from From up to, but not including, To.
type LayerRange struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	From    int    `json:"from"`
	To      int    `json:"to"`
}

// Load is an engine's load report. It may be out of date; see ReportedAtMillis.
type Load struct {
	Endpoint string       `json:"endpoint"`
	Kind     string       `json:"kind"`
	Held     []LayerRange `json:"held"`
	// Adapters are the names of the loaded adapters.
	Adapters []string `json:"adapters,omitempty"`
	// RunningRequests and WaitingRequests are numbers of requests.
	RunningRequests int `json:"running"`
	WaitingRequests int `json:"waiting"`
	// LayerStepsPerSecond is the engine's capacity: one layer run for one token is one step.
	LayerStepsPerSecond float64 `json:"rate"`
	// Leaving is true once the engine has been told to shut down.
	Leaving bool `json:"leaving,omitempty"`
	// ReportedAtMillis is the time of the report, in milliseconds since the Unix epoch.
	ReportedAtMillis int64 `json:"stamp"`
}

// CacheEvent reports that a prompt prefix was added to or evicted from an engine's cache. Sequence numbers may have
// gaps.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Endpoint string `json:"endpoint"`
	// Prefix is the hash of the cached prefix.
	Prefix  uint64 `json:"prefix"`
	Evicted bool   `json:"evicted,omitempty"`
}

// The actions of an Order.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
	OrderRole   = "role"
)

// Order tells an engine to change the layers or adapters that it has loaded, or its role. FencingToken is that of the
// lease holder that sends the order: some engines reject a token lower than the highest they have seen, others ignore
// it.
type Order struct {
	ID           string     `json:"id"`
	FencingToken int64      `json:"fence"`
	Action       string     `json:"order"`
	Held         LayerRange `json:"held"`
	Adapter      string     `json:"adapter,omitempty"`
	Role         string     `json:"role,omitempty"`
}
