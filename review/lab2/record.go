//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a run: what was sent, answered and run. Its methods may be called from any goroutine.
type record struct {
	startedAt time.Time

	mu   sync.Mutex
	file *os.File
}

// newRecord returns a record that is written to a file.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{startedAt: time.Now(), file: f}, nil
}

// printf adds a line with the time since the start.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A record that is not written shows in its length.
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// close closes the file.
func (r *record) close() { _ = r.file.Close() }
