package tabler

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/client/caller"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// The paths of the table service.
const (
	// PathRow answers a GET of the row of the query's table and key.
	PathRow = "/rows"
	// PathScan answers a GET of the rows of the query's table, prefix, after and limit.
	PathScan = "/scan"
	// PathCommit takes a POST of a Txn and answers with a Commit.
	PathCommit = "/commits"
)

// ErrAnswer means that an answer is not one of the table service, as from something else on the way to it.
var ErrAnswer = merry.New("answer is not the table service's")

// Commit is the service's answer to a transaction that it ran.
type Commit struct {
	Applied   bool    `json:"applied"`
	Conflicts []Row   `json:"conflicts,omitempty"`
	Versions  []int64 `json:"versions,omitempty"`
}

// Client is the table service at a base URL.
type Client struct {
	caller *caller.Caller
}

var _ Table = (*Client)(nil)

// NewClient returns a client of the table service at a base URL.
func NewClient(base string, options ...caller.Option) *Client {
	return &Client{caller.New(base, options...)}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.caller.Close()
}

// Get returns a row and whether it exists.
func (c *Client) Get(ctx context.Context, table, key string) (Row, bool, error) {
	query := url.Values{"table": {table}, "key": {key}}
	a, err := c.caller.Call(ctx, http.MethodGet, PathRow, query, nil)
	if err != nil || a.Status == http.StatusNotFound {
		return Row{}, false, err
	}
	var row Row
	if err := json.Unmarshal(a.Body, &row); err != nil {
		return Row{}, false, err
	}
	if row.Version == 0 {
		return Row{}, false, ErrAnswer
	}
	return row, true, nil
}

// Scan returns at most limit rows whose keys begin with prefix and come after the key given, in key order.
func (c *Client) Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{"table": {table}, "prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	a, err := c.caller.Call(ctx, http.MethodGet, PathScan, query, nil)
	if err != nil {
		return nil, err
	}
	if a.Status != http.StatusOK {
		return nil, ErrAnswer
	}
	var rows []Row
	err = json.Unmarshal(a.Body, &rows)
	return rows, err
}

// Commit applies a transaction. It is sent at most once. An answer that is not the table service's own is as good as
// lost: its outcome is Unknown, with ErrAnswer.
func (c *Client) Commit(ctx context.Context, t Txn) (Result, error) {
	body, err := json.Marshal(t)
	if err != nil {
		return Result{Outcome: classifier.NotSent}, err
	}
	a, err := c.caller.Call(ctx, http.MethodPost, PathCommit, nil, body)
	if err != nil {
		return Result{Outcome: a.Outcome}, err
	}
	var p Commit
	if err := json.Unmarshal(a.Body, &p); err != nil {
		return Result{Outcome: classifier.Unknown}, err
	}
	if a.Status != http.StatusOK || !p.answers(t) {
		return Result{Outcome: classifier.Unknown}, ErrAnswer
	}
	return Result{Outcome: classifier.Completed, Applied: p.Applied, Conflicts: p.Conflicts, Versions: p.Versions}, nil
}

// answers reports whether an answer is one to a transaction: a version for each write, or the rows in the way.
func (p Commit) answers(t Txn) bool {
	if p.Applied {
		return len(p.Versions) == len(t.Writes)
	}
	return len(p.Conflicts) > 0
}
