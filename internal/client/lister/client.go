package lister

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/client/caller"
)

// PathInstances is the path of the instance list, read with GET.
const PathInstances = "/instances"

// Client reads the instance list at a base URL.
type Client struct {
	caller *caller.Caller
}

var _ Lister = (*Client)(nil)

// NewClient returns a client of the instance list at a base URL.
func NewClient(base string, options ...caller.Option) *Client {
	return &Client{caller.New(base, options...)}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.caller.Close()
}

// List returns the platform's list of instances.
func (c *Client) List(ctx context.Context) ([]Instance, error) {
	result, err := c.caller.Call(ctx, http.MethodGet, PathInstances, nil, nil)
	if err != nil {
		return nil, err
	}
	if result.Status != http.StatusOK {
		return nil, merry.Errorf("instance list: status %d", result.Status)
	}
	var list []Instance
	err = json.Unmarshal(result.Body, &list)
	return list, err
}
