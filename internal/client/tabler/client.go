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
	// PathRow returns, on GET, the row with the table and key in the query.
	PathRow = "/rows"
	// PathScan returns, on GET, the rows selected by the table, prefix, after and limit in the query.
	PathScan = "/scan"
	// PathCommit accepts a POST of a Txn and returns a CommitResponse.
	PathCommit = "/commits"
)

// ErrUnexpectedResponse means that a response did not come from the table service, but for example from a proxy.
var ErrUnexpectedResponse = merry.New("answer is not the table service's")

// CommitResponse is the service's response to a transaction that it ran.
type CommitResponse struct {
	Applied   bool    `json:"applied"`
	Conflicts []Row   `json:"conflicts,omitempty"`
	Versions  []int64 `json:"versions,omitempty"`
}

// Client reads from and writes to the table service at a base URL.
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
	result, err := c.caller.Call(ctx, http.MethodGet, PathRow, query, nil)
	if err != nil || result.Status == http.StatusNotFound {
		return Row{}, false, err
	}
	var row Row
	if err := json.Unmarshal(result.Body, &row); err != nil {
		return Row{}, false, err
	}
	if row.Version == 0 {
		return Row{}, false, ErrUnexpectedResponse
	}
	return row, true, nil
}

// Scan returns at most limit rows, in key order, whose keys begin with prefix and are greater than after.
func (c *Client) Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{"table": {table}, "prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	result, err := c.caller.Call(ctx, http.MethodGet, PathScan, query, nil)
	if err != nil {
		return nil, err
	}
	if result.Status != http.StatusOK {
		return nil, ErrUnexpectedResponse
	}
	var rows []Row
	err = json.Unmarshal(result.Body, &rows)
	return rows, err
}

// Commit applies a transaction. It is sent at most once. A response that did not come from the table service is treated
// as lost: the outcome is Unknown and the error ErrUnexpectedResponse.
func (c *Client) Commit(ctx context.Context, t Txn) (Result, error) {
	body, err := json.Marshal(t)
	if err != nil {
		return Result{Outcome: classifier.NotSent}, err
	}
	result, err := c.caller.Call(ctx, http.MethodPost, PathCommit, nil, body)
	if err != nil {
		return Result{Outcome: result.Outcome}, err
	}
	var reply CommitResponse
	if err := json.Unmarshal(result.Body, &reply); err != nil {
		return Result{Outcome: classifier.Unknown}, err
	}
	if result.Status != http.StatusOK || !reply.matches(t) {
		return Result{Outcome: classifier.Unknown}, ErrUnexpectedResponse
	}
	return Result{Outcome: classifier.Completed, Applied: reply.Applied, Conflicts: reply.Conflicts, Versions: reply.Versions}, nil
}

// matches reports whether a response is valid for a transaction: it holds a version for each write, or the conflicting
// rows.
func (c CommitResponse) matches(t Txn) bool {
	if c.Applied {
		return len(c.Versions) == len(t.Writes)
	}
	return len(c.Conflicts) > 0
}
