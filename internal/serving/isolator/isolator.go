// Package isolator shares between instances which requests crash the endpoints that run them.
package isolator

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/quarantiner"
)

// Publisher tells the other instances of a case. Urgent returns once every reachable instance has it, or a bound on
// the wait has passed.
type Publisher interface {
	Publish(key string, value []byte, ttl time.Duration)
	Urgent(key string, value []byte, ttl time.Duration)
	// Ask tells every reachable instance of a trial that is about to begin, and reports whether one objects.
	Ask(value []byte) bool
}

// Isolator guards the quarantine of one instance for use by many goroutines.
type Isolator struct {
	publisher Publisher
	log       *slog.Logger

	mu         sync.Mutex
	quarantine *quarantiner.Quarantiner
}

// New returns an isolator over a quarantine.
func New(q *quarantiner.Quarantiner, p Publisher, l *slog.Logger) *Isolator {
	return &Isolator{quarantine: q, publisher: p, log: l}
}

// Check says how a request may run at now.
func (i *Isolator) Check(now time.Time, f quarantiner.Fingerprint) quarantiner.Ruling {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.quarantine.Expire(now)
	return i.quarantine.Check(now, f)
}

// Open begins a trial on endpoints at now and reports whether it may begin: no reachable instance knows of a trial of
// another suspect on one of them that goes first.
func (i *Isolator) Open(now time.Time, f quarantiner.Fingerprint, endpoints []string) bool {
	i.mu.Lock()
	c, ok := i.quarantine.BeginTrial(now, f, endpoints)
	i.mu.Unlock()
	if !ok {
		return false
	}
	if i.publisher.Ask(encode(c)) {
		i.Withdraw(now, f)
		return false
	}
	i.log.Info("suspect on trial", "fingerprint", key(f), "endpoints", endpoints)
	i.publisher.Publish(key(f), encode(c), c.ExpiresAt.Sub(now))
	return true
}

// Withdraw ends a trial at now that found nothing, so that others may use its endpoints.
func (i *Isolator) Withdraw(now time.Time, f quarantiner.Fingerprint) {
	i.mu.Lock()
	c := i.quarantine.CancelTrial(f)
	i.mu.Unlock()
	i.publisher.Urgent(key(f), encode(c), c.ExpiresAt.Sub(now))
}

// Object takes in at now a trial that another instance is about to begin, and reports whether this one objects. It
// returns an error if the case cannot be read.
func (i *Isolator) Object(now time.Time, value []byte) (bool, error) {
	var c quarantiner.Case
	if err := json.Unmarshal(value, &c); err != nil {
		return false, err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.quarantine.RecordTrial(now, c), nil
}

// Busy returns the endpoints of the trials of other suspects at now.
func (i *Isolator) Busy(now time.Time, f quarantiner.Fingerprint) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.quarantine.EndpointsOnTrial(now, f)
}

// Crash records at now that an endpoint crashed while it ran a request. It returns once the reachable instances know.
func (i *Isolator) Crash(now time.Time, f quarantiner.Fingerprint, endpoint string) {
	i.mu.Lock()
	c := i.quarantine.RecordCrash(now, f, endpoint)
	i.mu.Unlock()
	i.log.Warn("endpoint crashed under a request", "fingerprint", key(f), "endpoint", endpoint, "crashes", len(c.CrashedEndpoints))
	i.publisher.Urgent(key(f), encode(c), c.ExpiresAt.Sub(now))
}

// Clear records at now that a request ran without a crash.
func (i *Isolator) Clear(now time.Time, f quarantiner.Fingerprint) {
	i.mu.Lock()
	c := i.quarantine.Clear(now, f)
	i.mu.Unlock()
	i.log.Info("suspect cleared", "fingerprint", key(f))
	i.publisher.Publish(key(f), encode(c), c.ExpiresAt.Sub(now))
}

// Take takes in at now a case that another instance published. It returns an error if the case cannot be read.
func (i *Isolator) Take(now time.Time, value []byte) error {
	var c quarantiner.Case
	if err := json.Unmarshal(value, &c); err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.quarantine.Merge(now, c)
	return nil
}

// State returns the cases, for the state dump.
func (i *Isolator) State() []quarantiner.Case {
	i.mu.Lock()
	defer i.mu.Unlock()
	cases := make([]quarantiner.Case, 0, len(i.quarantine.Cases))
	for _, c := range i.quarantine.Cases {
		cases = append(cases, c)
	}
	return cases
}

// key names a fingerprint between instances and in logs.
func key(f quarantiner.Fingerprint) string {
	return fmt.Sprintf("%016x", uint64(f))
}

// encode returns a case as published.
func encode(c quarantiner.Case) []byte {
	value, err := json.Marshal(c)
	if err != nil {
		panic(err) // A case always has an encoding.
	}
	return value
}
