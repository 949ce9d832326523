package runner

import (
	"context"
	"log/slog"
	"sync"

	"github.com/heatherrock/heatherrock/internal/client/lister"
)

// loggingLister passes reads on to the platform's list. It logs when the list becomes unavailable or available again, once
// for all readers in the instance.
type loggingLister struct {
	lister lister.Lister
	log    *slog.Logger

	mu     sync.Mutex
	failed bool
}

// List reads the list.
func (l *loggingLister) List(ctx context.Context) ([]lister.Instance, error) {
	instances, err := l.lister.List(ctx)
	l.logChange(err)
	return instances, err
}

// logChange logs if the list has become unavailable or available again. Err is the result of the latest read.
func (l *loggingLister) logChange(err error) {
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
