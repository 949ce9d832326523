// Package isolator quarantines requests that crash the endpoints that run them, and shares the cases between instances.
package isolator

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/quarantiner"
)

// Publisher sends cases to the other instances. Publish doesn't wait for them. Urgent returns once every reachable instance
// has the case, or after a timeout.
type Publisher interface {
	Publish(key string, value []byte, ttl time.Duration)
	Urgent(key string, value []byte, ttl time.Duration)
	// Ask announces a trial that is about to begin to every reachable instance, and reports whether one objects.
	Ask(value []byte) bool
}

// Isolator is the quarantine of one instance. It is safe for concurrent use.
type Isolator struct {
	publisher Publisher
	logger    *slog.Logger

	mu         sync.Mutex
	quarantine *quarantiner.Quarantiner
}

// New returns an isolator that uses the given quarantiner.
func New(q *quarantiner.Quarantiner, p Publisher, l *slog.Logger) *Isolator {
	return &Isolator{quarantine: q, publisher: p, logger: l}
}

// Check returns whether and how a request may run at now.
func (i *Isolator) Check(now time.Time, f quarantiner.Fingerprint) quarantiner.Ruling {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.quarantine.Expire(now)
	return i.quarantine.Check(now, f)
}

// BeginTrial begins a trial of a suspect on endpoints at now and reports whether the suspect may run. It may not if another
// suspect's trial uses one of the endpoints, here or on a reachable instance where that trial takes precedence.
func (i *Isolator) BeginTrial(now time.Time, f quarantiner.Fingerprint, endpoints []string) bool {
	i.mu.Lock()
	c, ok := i.quarantine.BeginTrial(now, f, endpoints)
	i.mu.Unlock()
	if !ok {
		return false
	}
	if i.publisher.Ask(encodeCase(c)) {
		i.CancelTrial(now, f)
		return false
	}
	i.logger.Info("suspect on trial", "fingerprint", fingerprintKey(f), "endpoints", endpoints)
	i.publisher.Publish(fingerprintKey(f), encodeCase(c), c.ExpiresAt.Sub(now))
	return true
}

// CancelTrial ends a trial without a result at now, so that other trials may use its endpoints. It returns once the
// reachable instances have the case, or after a timeout.
func (i *Isolator) CancelTrial(now time.Time, f quarantiner.Fingerprint) {
	i.mu.Lock()
	c := i.quarantine.CancelTrial(f)
	i.mu.Unlock()
	i.publisher.Urgent(fingerprintKey(f), encodeCase(c), c.ExpiresAt.Sub(now))
}

// RecordTrial records at now a trial that another instance is about to begin, and reports whether this instance objects.
// It returns an error if the case cannot be decoded.
func (i *Isolator) RecordTrial(now time.Time, value []byte) (bool, error) {
	var c quarantiner.Case
	if err := json.Unmarshal(value, &c); err != nil {
		return false, err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.quarantine.RecordTrial(now, c), nil
}

// EndpointsOnTrial returns the endpoints that run trials of other suspects at now.
func (i *Isolator) EndpointsOnTrial(now time.Time, f quarantiner.Fingerprint) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.quarantine.EndpointsOnTrial(now, f)
}

// RecordCrash records at now that an endpoint crashed while it ran a request. It returns once the reachable instances have
// the case, or after a timeout.
func (i *Isolator) RecordCrash(now time.Time, f quarantiner.Fingerprint, endpoint string) {
	i.mu.Lock()
	c := i.quarantine.RecordCrash(now, f, endpoint)
	i.mu.Unlock()
	i.logger.Warn("endpoint crashed under a request", "fingerprint", fingerprintKey(f), "endpoint", endpoint, "crashes", len(c.CrashedEndpoints))
	i.publisher.Urgent(fingerprintKey(f), encodeCase(c), c.ExpiresAt.Sub(now))
}

// Clear records at now that a request ran without a crash.
func (i *Isolator) Clear(now time.Time, f quarantiner.Fingerprint) {
	i.mu.Lock()
	c := i.quarantine.Clear(now, f)
	i.mu.Unlock()
	i.logger.Info("suspect cleared", "fingerprint", fingerprintKey(f))
	i.publisher.Publish(fingerprintKey(f), encodeCase(c), c.ExpiresAt.Sub(now))
}

// MergeCase merges at now a case that another instance published. It returns an error if the case cannot be decoded.
func (i *Isolator) MergeCase(now time.Time, value []byte) error {
	var c quarantiner.Case
	if err := json.Unmarshal(value, &c); err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.quarantine.Merge(now, c)
	return nil
}

// State returns a copy of the cases, for the state dump.
func (i *Isolator) State() []quarantiner.Case {
	i.mu.Lock()
	defer i.mu.Unlock()
	cases := make([]quarantiner.Case, 0, len(i.quarantine.Cases))
	for _, c := range i.quarantine.Cases {
		cases = append(cases, c)
	}
	return cases
}

// fingerprintKey formats a fingerprint as its key in the exchange and in logs.
func fingerprintKey(f quarantiner.Fingerprint) string {
	return fmt.Sprintf("%016x", uint64(f))
}

// encodeCase returns the JSON of a case.
func encodeCase(c quarantiner.Case) []byte {
	value, err := json.Marshal(c)
	if err != nil {
		panic(err) // A case can always be encoded.
	}
	return value
}
