package sentry

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// checkDials is the most connections that a check opens.
	checkDials = 4
	// checkHold is how long a connection must last to show that the process runs: one that is ending may still accept it.
	checkHold = 10 * time.Millisecond
)

// IsGone reports whether the process at an address is gone: it refuses as many connections in a row as a watch requires. An
// address that does not answer until the context ends is not known to be gone.
func IsGone(ctx context.Context, address string) bool {
	refused := 0
	for range checkDials {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			if refused++; refused >= refusalThreshold {
				return true
			}
		case err != nil || lasts(c):
			return false
		default:
			refused = 0
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(refusalRetryDelay):
		}
	}
	return false
}

// lasts closes a connection once it has ended or lasted for checkHold, and reports whether it lasted.
func lasts(c net.Conn) bool {
	defer c.Close() // Nothing was sent on it.
	if err := c.SetReadDeadline(time.Now().Add(checkHold)); err != nil {
		return false
	}
	_, err := c.Read(make([]byte, 1))
	var timeout net.Error
	return err == nil || errors.As(err, &timeout) && timeout.Timeout()
}
