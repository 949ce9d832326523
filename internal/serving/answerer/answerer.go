// Package answerer writes the answers of the operators' HTTP interface.
package answerer

import (
	"encoding/json"
	"net/http"

	"github.com/heatherrock/heatherrock/internal/client/caller"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// retryAfter is the wait that an operator is told when the store does not answer, in seconds.
const retryAfter = "2"

// problem is the body of an answer that is an error.
type problem struct {
	Error string `json:"error"`
}

// JSON writes a body as JSON.
func JSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(body)
}

// Problem writes an error. One of the store says when to try again.
func Problem(w http.ResponseWriter, status int, text string) {
	if status == http.StatusServiceUnavailable {
		RetryLater(w)
	}
	JSON(w, status, problem{Error: text})
}

// Outcome says in the header what became of a change. It is called before the answer is written.
func Outcome(w http.ResponseWriter, v classifier.Verdict) {
	w.Header().Set(caller.HeaderOutcome, v.String())
}

// RetryLater says when to try again. It is called before the answer is written.
func RetryLater(w http.ResponseWriter) {
	w.Header().Set("Retry-After", retryAfter)
}
