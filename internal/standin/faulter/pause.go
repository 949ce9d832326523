package faulter

import (
	"context"
	"time"
)

// Pause sleeps for a time. It returns false, at once, if the context ends before.
func Pause(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
