// Package storer is the client of the platform's object store.
package storer

import "context"

// Store is the object store. Objects are immutable by convention: a name is derived from the content, so writing one
// twice is idempotent.
type Store interface {
	// Put stores an object under a name.
	Put(ctx context.Context, name string, body []byte) error
	// Get returns an object and whether it exists.
	Get(ctx context.Context, name string) ([]byte, bool, error)
}
