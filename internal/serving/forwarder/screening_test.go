package forwarder

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/screener"
)

// memoryKeeper holds the keys of the evidence that it keeps.
type memoryKeeper struct {
	mu   sync.Mutex
	keys map[string]bool
}

func (k *memoryKeeper) Keep(evidence []screener.Evidence) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range evidence {
		k.keys[e.Key] = true
	}
}

func (k *memoryKeeper) Drop([]string) {}

// has reports whether evidence against a key is kept.
func (k *memoryKeeper) has(key string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.keys[key]
}

// TestEvidenceOfLateCrashesIsKept guards against a part that is refused some time after its last crash, when nothing looks for evidence
// against it any more.
func TestEvidenceOfLateCrashesIsKept(t *testing.T) {
	keeper := &memoryKeeper{keys: map[string]bool{}}
	s := newScreening()
	s.keeper = keeper
	part, now := screener.PartKey("s", "dead"), time.Now().Add(-3*time.Second)
	for n := range 3 {
		id := fmt.Sprint("e", n)
		number := s.begin(now, []string{screener.RequestKey("s", id), part}, []string{id}, false, func() {})
		s.recordFirstEvent(now, number)
		now = now.Add(time.Second)
		s.settle(now)
		s.end(now, number, screener.Broken)
		s.recordLoss(now, id)
	}
	for end := time.Now().Add(5 * time.Second); !keeper.has(part); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no evidence is kept")
		}
	}
}
