// Package answerer writes the answers of the operators' HTTP interface.
package answerer

import (
	"encoding/json"
	"net/http"

	"github.com/heatherrock/heatherrock/internal/client/caller"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// retryAfterSeconds is the value of Retry-After in answers to operators, in seconds.
const retryAfterSeconds = "2"

// problem is the body of an error answer.
type problem struct {
	Error string `json:"error"`
}

// WriteJSON writes an answer with the given status and the encoded body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(body)
}

// WriteProblem writes an error answer. With status 503, as when the store does not answer, it sets Retry-After.
func WriteProblem(w http.ResponseWriter, status int, text string) {
	if status == http.StatusServiceUnavailable {
		SetRetryAfter(w)
	}
	WriteJSON(w, status, problem{Error: text})
}

// SetOutcome sets the header with the outcome of a change. It must be called before the answer is written.
func SetOutcome(w http.ResponseWriter, v classifier.Verdict) {
	w.Header().Set(caller.HeaderOutcome, v.String())
}

// SetRetryAfter sets the Retry-After header. It must be called before the answer is written.
func SetRetryAfter(w http.ResponseWriter) {
	w.Header().Set("Retry-After", retryAfterSeconds)
}
