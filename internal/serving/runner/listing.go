package runner

import (
	"context"
	"log/slog"
	"sync"

	"github.com/heatherrock/heatherrock/internal/client/lister"
)

// listing is the platform's list as the parts of one instance read it. It logs that the list has become unavailable or
// available again, once for all of them.
type listing struct {
	lister lister.Lister
	log    *slog.Logger

	mu     sync.Mutex
	failed bool
}

// List reads the list.
func (l *listing) List(ctx context.Context) ([]lister.Instance, error) {
	instances, err := l.lister.List(ctx)
	l.note(err)
	return instances, err
}

// note logs a change of whether the list can be read.
func (l *listing) note(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil && !l.failed:
		l.log.Warn("instance list unavailable; the last one stays in use", "error", err)
	case err == nil && l.failed:
		l.log.Info("instance list available again")
	}
	l.failed = err != nil
}
