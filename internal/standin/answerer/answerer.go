// Package answerer writes the HTTP responses of the stand-ins.
package answerer

import (
	"encoding/json"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/client/caller"
)

// WriteRefusal writes a response that says that the call was not run, with the status and the text of an error.
func WriteRefusal(w http.ResponseWriter, err error) {
	caller.MarkRefused(w.Header())
	http.Error(w, err.Error(), merry.HTTPCode(err))
}

// WriteJSON writes a body as JSON with the status 200.
func WriteJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
