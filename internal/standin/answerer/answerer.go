// Package answerer writes the answers of the stand-ins.
package answerer

import (
	"encoding/json"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/client/caller"
)

// Refuse answers that a call was not run, with the status that an error carries.
func Refuse(w http.ResponseWriter, err error) {
	caller.Refuse(w.Header())
	http.Error(w, err.Error(), merry.HTTPCode(err))
}

// JSON writes a body as JSON with the status 200.
func JSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
