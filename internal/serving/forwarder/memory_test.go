package forwarder

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/heatherrock/heatherrock/internal/serving/connector"
)

// TestBodiesAreBoundedTogether reads endless bodies until the budget is used up. Once they are released, others are read.
func TestBodiesAreBoundedTogether(t *testing.T) {
	budget := &memoryBudget{limit: 10 << 20}
	var readers []*bodyReader
	refused := 0
	for range 5 {
		r := &bodyReader{body: &repeatingReader{text: "x"}, budget: budget}
		readers = append(readers, r)
		_, err := connector.ReadAll(r, maxReplyBytes)
		if errors.Is(err, errMemoryFull) {
			refused++
		} else if !errors.Is(err, connector.ErrTooLong) {
			t.Errorf("error %v, want %v", err, connector.ErrTooLong)
		}
	}
	if refused != 3 || budget.used.Load() > budget.limit {
		t.Errorf("%d bodies were refused and %d bytes are held, want 3 and %d at most", refused, budget.used.Load(), budget.limit)
	}
	for _, r := range readers {
		budget.release(r.taken)
	}
	if n := budget.used.Load(); n != 0 {
		t.Errorf("%d bytes are held once all were released", n)
	}
}

// TestRequestsAreRefusedWithoutMemory fills the budget to its half: a new request is refused as not run, with a time to come
// back, and accepted once there is memory again.
func TestRequestsAreRefusedWithoutMemory(t *testing.T) {
	f := New(nil, "a")
	if !f.memory.take(maxBufferedBytes / 2) {
		t.Fatal("no memory at the start")
	}
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || w.Body.String() != errMemoryFull.Error()+"\n" {
		t.Errorf("status %d, Retry-After %q, body %q", w.Code, w.Header().Get("Retry-After"), w.Body)
	}
	f.memory.release(1)
	if !f.memory.acceptsRequests() {
		t.Error("no request is accepted once memory was released")
	}
}
