// Package fetcher is the client of the platform's weight store, whose rate is limited for the whole fleet.
package fetcher

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/ansel1/merry/v2"
)

// PathWeights is the path prefix of the weights; the name of a set of weights follows it.
const PathWeights = "/weights/"

// Fetcher fetches weights by name.
type Fetcher interface {
	// Fetch reads all of the weights and returns their size in bytes.
	Fetch(ctx context.Context, name string) (int64, error)
}

// Client fetches weights from the weight store at a base URL.
type Client struct {
	base   string
	client *http.Client
}

var _ Fetcher = (*Client)(nil)

// NewClient returns a client of the weight store at a base URL. A nil transport means http.DefaultTransport.
func NewClient(base string, transport http.RoundTripper) *Client {
	return &Client{base: base, client: &http.Client{Transport: transport}}
}

// Fetch reads all of the weights and returns their size in bytes. It has no timeout of its own, since the time it takes
// depends on the store's rate limit: only the context bounds it.
func (c *Client) Fetch(ctx context.Context, name string) (int64, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+PathWeights+url.PathEscape(name), nil)
	if err != nil {
		return 0, err
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, merry.Errorf("weights %s: status %d", name, resp.StatusCode)
	}
	return io.Copy(io.Discard, resp.Body)
}
