package forwarder

import (
	"net/http"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/reserver"
)

// Request is what a caller says of its request beside method, path and body.
type Request struct {
	// ID identifies one attempt of the caller.
	ID         string
	Credential string
	// Deadline is how long the caller waits; zero if it does not say.
	Deadline time.Duration
	// LastEvent is the last event that the caller has of a stream that it resumes; empty for a new one.
	LastEvent string
	// Prompt is the number of tokens to read, Most the greatest number to write and Hint the expected one; zero if
	// not said.
	Prompt int
	Most   int
	Hint   int
}

// Delivery is what an endpoint is told beside the caller's own headers.
type Delivery struct {
	// Endpoint is the id of the endpoint that is meant.
	Endpoint string
	Team     string
	// Left is the time left for an answer.
	Left      time.Duration
	LastEvent string
	// Path is the way through the layers; empty for plain services.
	Path []reserver.Stage
	// Priority is 0 for the most urgent.
	Priority int
}

// Reading is what the head of an endpoint's answer says.
type Reading struct {
	// NotRun is set if the endpoint states that it did not run the request.
	NotRun bool
	// Elsewhere is set if another endpoint has the address, or the one at fault does not hold its layers.
	Elsewhere bool
	// At is the address of the endpoint of the path that is at fault; empty if not said.
	At string
}

// Protocol translates between callers, endpoints and the product.
type Protocol interface {
	// Decode reads a caller's request.
	Decode(r *http.Request) (Request, error)
	// Encode returns the headers for an endpoint.
	Encode(h http.Header, q Request, d Delivery) http.Header
	// Owns reports whether an answer is to a request.
	Owns(q Request, h http.Header) bool
	// Read reads the head of an answer.
	Read(status int, h http.Header) Reading
}
