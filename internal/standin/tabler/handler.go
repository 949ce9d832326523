package tabler

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/gorilla/mux"

	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/standin/answerer"
)

// maxBodyBytes bounds the body of a commit, in bytes.
const maxBodyBytes = 16 << 20

// PathUsage returns, on GET, the table's Usage.
const PathUsage = "/usage"

// Handler serves the table service over HTTP. It closes the connection without a response if the outcome of a call is
// Unknown.
func (t *Table) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(tabler.PathRow, t.getRow).Methods(http.MethodGet)
	r.HandleFunc(tabler.PathScan, t.getScan).Methods(http.MethodGet)
	r.HandleFunc(tabler.PathCommit, t.postCommit).Methods(http.MethodPost)
	r.HandleFunc(PathUsage, t.getUsage).Methods(http.MethodGet)
	return r
}

func (t *Table) getRow(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	row, ok, err := t.Get(r.Context(), query.Get("table"), query.Get("key"))
	if err != nil {
		answerer.WriteRefusal(w, err)
		return
	}
	if !ok {
		http.NotFound(w, r)
		return
	}
	answerer.WriteJSON(w, row)
}

func (t *Table) getScan(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil {
		answerer.WriteRefusal(w, errInvalidLimit)
		return
	}
	rows, err := t.Scan(r.Context(), query.Get("table"), query.Get("prefix"), query.Get("after"), limit)
	if err != nil {
		answerer.WriteRefusal(w, err)
		return
	}
	answerer.WriteJSON(w, rows)
}

func (t *Table) postCommit(w http.ResponseWriter, r *http.Request) {
	var txn tabler.Txn
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&txn); err != nil {
		answerer.WriteRefusal(w, merry.Wrap(err, merry.WithHTTPCode(http.StatusBadRequest)))
		return
	}
	result, err := t.Commit(r.Context(), txn)
	switch result.Outcome {
	case classifier.Completed:
		answerer.WriteJSON(w, tabler.CommitResponse{Applied: result.Applied, Conflicts: result.Conflicts, Versions: result.Versions})
	case classifier.Refused:
		answerer.WriteRefusal(w, err)
	default:
		panic(http.ErrAbortHandler)
	}
}

func (t *Table) getUsage(w http.ResponseWriter, _ *http.Request) {
	answerer.WriteJSON(w, t.Usage())
}

// errInvalidLimit is the error of a scan whose limit is missing or not a number.
var errInvalidLimit = merry.New("limit is no number", merry.WithHTTPCode(http.StatusBadRequest))
