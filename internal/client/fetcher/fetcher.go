// Package fetcher is the client of the platform's weight store, whose rate is limited for the whole fleet.
package fetcher

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/ansel1/merry/v2"
)

// PathWeights is the path below which each set of weights has its name.
const PathWeights = "/weights/"

// Fetcher fetches weights by name.
type Fetcher interface {
	// Fetch returns the size of the weights in bytes once all of them were read.
	Fetch(ctx context.Context, name string) (int64, error)
}

// Client is the weight store at a base URL.
type Client struct {
	base   string
	client *http.Client
}

var _ Fetcher = (*Client)(nil)

// NewClient returns a client of the weight store at a base URL. A transport of nil is that of net/http.
func NewClient(base string, transport http.RoundTripper) *Client {
	return &Client{base: base, client: &http.Client{Transport: transport}}
}

// Fetch reads weights to their end and returns their size in bytes. It takes as long as the store's rate makes it:
// the context bounds it.
func (c *Client) Fetch(ctx context.Context, name string) (int64, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+PathWeights+url.PathEscape(name), nil)
	if err != nil {
		return 0, err
	}
	p, err := c.client.Do(r)
	if err != nil {
		return 0, err
	}
	defer p.Body.Close()
	if p.StatusCode != http.StatusOK {
		return 0, merry.Errorf("weights %s: status %d", name, p.StatusCode)
	}
	return io.Copy(io.Discard, p.Body)
}
