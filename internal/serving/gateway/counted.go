package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/heatherrock/heatherrock/internal/control/replicator"
	"github.com/heatherrock/heatherrock/internal/serving/director"
	"github.com/heatherrock/heatherrock/internal/serving/syncer"
)

// countedStore counts the store's calls by their results.
type countedStore struct {
	store syncer.Store
	scope tally.Scope
}

// Rows returns a whole table.
func (s *countedStore) Rows(ctx context.Context, table string) (replicator.Page, error) {
	page, err := s.store.Rows(ctx, table)
	s.count("rows", err)
	return page, err
}

// Changes returns what has changed in a table.
func (s *countedStore) Changes(ctx context.Context, table string, after int64, wait time.Duration) (replicator.Page, error) {
	page, err := s.store.Changes(ctx, table, after, wait)
	s.count("changes", err)
	return page, err
}

// Commit applies a change.
func (s *countedStore) Commit(ctx context.Context, c syncer.Change) (int64, error) {
	version, err := s.store.Commit(ctx, c)
	s.count("commit", err)
	return version, err
}

// count counts one call and its result.
func (s *countedStore) count(call string, err error) {
	result := "done"
	switch {
	case errors.Is(err, syncer.ErrHistoryDropped):
		result = "forgotten"
	case errors.Is(err, syncer.ErrConflict):
		result = "conflict"
	case err != nil:
		result = "failed"
	}
	s.scope.Tagged(map[string]string{"call": call, "result": result}).Counter("store_calls").Inc(1)
}

// countedOrderer counts orders by their results.
type countedOrderer struct {
	director.Orderer
	scope tally.Scope
}

// Place sends an order.
func (o *countedOrderer) Place(ctx context.Context, order director.Order) error {
	err := o.Orderer.Place(ctx, order)
	result := "taken"
	switch {
	case errors.Is(err, director.ErrFenced):
		result = "fenced"
	case errors.Is(err, director.ErrStale):
		result = "stale"
	case err != nil:
		result = "unanswered"
	}
	o.scope.Tagged(map[string]string{"result": result}).Counter("orders").Inc(1)
	return err
}
