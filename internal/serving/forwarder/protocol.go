package forwarder

import (
	"net/http"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/reserver"
)

// Request holds what a caller states in the headers of its request.
type Request struct {
	// ID identifies one attempt of the caller.
	ID         string
	Credential string
	// Deadline is how long the caller waits; zero if not stated.
	Deadline time.Duration
	// LastEventID is the last event that the caller has received of a stream that it resumes; empty for a new stream.
	LastEventID string
	// PromptTokens is the number of tokens to read, MaxTokens the greatest number to generate and ExpectedTokens the
	// expected one; zero if not stated.
	PromptTokens   int
	MaxTokens      int
	ExpectedTokens int
	// PromptParts identifies the parts of the prompt that other requests may share, in their order: all but the last.
	PromptParts []string
}

// Delivery holds what an endpoint receives in addition to the caller's own headers.
type Delivery struct {
	// Endpoint is the id of the endpoint that the request is meant for.
	Endpoint string
	Team     string
	// TimeLeft is the time left for a response.
	TimeLeft    time.Duration
	LastEventID string
	// Path holds the stages through all layers; empty for plain services.
	Path []reserver.Stage
	// Priority is 0 for the most urgent.
	Priority int
}

// ResponseHead holds what the status and headers of an endpoint's response state.
type ResponseHead struct {
	// NotRun is true if the endpoint states that it did not run the request.
	NotRun bool
	// IsIdentified is true if the response states which request it belongs to.
	IsIdentified bool
	// IsSigned is true if the response has the endpoint's signature.
	IsSigned bool
	// IsAmbiguous is true if the response states its request or its signature more than once.
	IsAmbiguous bool
	// IsEncoded is true if the body has a content coding, which callers do not ask for.
	IsEncoded bool
	// WrongEndpoint is true if another endpoint has the address, or the endpoint at fault does not hold its layers.
	WrongEndpoint bool
	// FaultAddress is the address of the endpoint on the path that is at fault; empty if not stated.
	FaultAddress string
	// Statement is what the endpoint states of itself.
	Statement Statement
	// LimitError is not nil if the limit in the statement could not be read, and RetryAfterError if the time could not be.
	LimitError      error
	RetryAfterError error
}

// Statement is what an endpoint states of itself in a response.
type Statement struct {
	// IsLimited is true if the endpoint limits the requests that it accepts from the whole fleet to RequestsPerSecond.
	IsLimited         bool
	RequestsPerSecond float64
	// IsLeaving is true if the endpoint accepts no new request from now on.
	IsLeaving bool
	// RetryAfter is how long the endpoint accepts no request from this instance; zero if it states none.
	RetryAfter time.Duration
}

// Protocol translates between the headers of callers and endpoints and the types of this package.
type Protocol interface {
	// Decode reads the headers of a caller's request.
	Decode(r *http.Request) (Request, error)
	// Encode returns the headers for an endpoint.
	Encode(h http.Header, q Request, d Delivery) http.Header
	// Owns reports whether a response belongs to a request.
	Owns(q Request, h http.Header) bool
	// Read reads the status and headers of a response.
	Read(status int, h http.Header) ResponseHead
}
