package storer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/url"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/client/caller"
)

// PathObjects is the path below which each object has its name.
const PathObjects = "/objects/"

// namePrefix begins the names that are derived from the content.
const namePrefix = "sha256-"

// Name returns the name of an object that is derived from its content.
func Name(body []byte) string {
	sum := sha256.Sum256(body)
	return namePrefix + hex.EncodeToString(sum[:])
}

// Client is the object store at a base URL.
type Client struct {
	caller *caller.Caller
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the object store at a base URL.
func NewClient(base string, options ...caller.Option) *Client {
	return &Client{caller.New(base, options...)}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.caller.Close()
}

// Put stores an object under a name. After an error the object may be stored or not.
func (c *Client) Put(ctx context.Context, name string, body []byte) error {
	if body == nil {
		body = []byte{}
	}
	a, err := c.caller.Call(ctx, http.MethodPut, PathObjects+url.PathEscape(name), nil, body)
	if err == nil && a.Status == http.StatusNotFound {
		return merry.Errorf("object store has no place for %s", name)
	}
	return err
}

// Get returns an object and whether it exists. An object whose name is derived from its content must have that name.
func (c *Client) Get(ctx context.Context, name string) ([]byte, bool, error) {
	a, err := c.caller.Call(ctx, http.MethodGet, PathObjects+url.PathEscape(name), nil, nil)
	if err != nil || a.Status == http.StatusNotFound {
		return nil, false, err
	}
	if strings.HasPrefix(name, namePrefix) && Name(a.Body) != name {
		return nil, false, merry.Errorf("object %s has another content", name)
	}
	return a.Body, true, nil
}
