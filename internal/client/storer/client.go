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

// PathObjects is the path prefix of objects; an object's name follows it.
const PathObjects = "/objects/"

// namePrefix is the prefix of names derived from content.
const namePrefix = "sha256-"

// ContentName returns the object name derived from an object's content.
func ContentName(body []byte) string {
	sum := sha256.Sum256(body)
	return namePrefix + hex.EncodeToString(sum[:])
}

// Client reads from and writes to the object store at a base URL.
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

// Put stores an object under a name. After an error the object may or may not be stored.
func (c *Client) Put(ctx context.Context, name string, body []byte) error {
	if body == nil {
		body = []byte{}
	}
	result, err := c.caller.Call(ctx, http.MethodPut, PathObjects+url.PathEscape(name), nil, body)
	if err == nil && result.Status == http.StatusNotFound {
		return merry.Errorf("object store rejected the path of object %s", name)
	}
	return err
}

// Get returns an object and whether it exists. It returns an error if the name is derived from content and does not
// match the content received.
func (c *Client) Get(ctx context.Context, name string) ([]byte, bool, error) {
	result, err := c.caller.Call(ctx, http.MethodGet, PathObjects+url.PathEscape(name), nil, nil)
	if err != nil || result.Status == http.StatusNotFound {
		return nil, false, err
	}
	if strings.HasPrefix(name, namePrefix) && ContentName(result.Body) != name {
		return nil, false, merry.Errorf("content of object %s does not match its name", name)
	}
	return result.Body, true, nil
}
