package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/heatherrock/heatherrock/internal/serving/connector"
)

// TestBodiesAreBoundedTogether reads endless bodies until the budget is used up. Once they are released, others are read.
func TestBodiesAreBoundedTogether(t *testing.T) {
	budget := newMemoryBudget(10 << 20)
	var held []*reservation
	refused := 0
	for n := range 5 {
		r := &reservation{budget: budget, source: fmt.Sprint("endpoint", n)}
		held = append(held, r)
		_, err := connector.ReadContent(&repeatingReader{text: "x"}, maxReplyBytes, r.take)
		if errors.Is(err, connector.ErrNoMemory) {
			refused++
		} else if !errors.Is(err, connector.ErrTooLong) {
			t.Errorf("error %v, want %v", err, connector.ErrTooLong)
		}
	}
	if refused != 3 || budget.used > budget.limit {
		t.Errorf("%d bodies were refused and %d bytes are held, want 3 and %d at most", refused, budget.used, budget.limit)
	}
	for _, r := range held {
		r.release()
	}
	if budget.used != 0 || len(budget.bySource) > 0 {
		t.Errorf("%d bytes are held once all were released, by source %v", budget.used, budget.bySource)
	}
}

// TestOneEndpointTakesNoMemoryFromOthers guards against one endpoint whose responses never end, and that takes all memory for bodies:
// requests to other endpoints would be refused, and their responses lost.
func TestOneEndpointTakesNoMemoryFromOthers(t *testing.T) {
	budget := newMemoryBudget(maxBufferedBytes)
	for range 100 {
		r := &reservation{budget: budget, source: "endless"}
		if _, err := connector.ReadContent(&repeatingReader{text: "x"}, maxReplyBytes, r.take); err == nil {
			t.Fatal("an endless body was read whole")
		}
	}
	if !budget.acceptsRequests() {
		t.Errorf("requests are refused with %d bytes held", budget.used)
	}
	sound := &reservation{budget: budget, source: "sound"}
	if c, err := connector.ReadContent(bytes.NewReader(make([]byte, maxReplyBytes)), maxReplyBytes, sound.take); err != nil || c.Len() != maxReplyBytes {
		t.Errorf("the longest response of another endpoint: %d bytes, %v", c.Len(), err)
	}
}

// TestLongBodiesOfRequestsLeaveRoomForShortOnes guards against callers whose short requests are refused because others send long bodies.
func TestLongBodiesOfRequestsLeaveRoomForShortOnes(t *testing.T) {
	budget := newMemoryBudget(maxBufferedBytes)
	// Bodies that arrive together take piece after piece.
	const piece = 32 << 10
	long := &reservation{budget: budget, source: callers}
	for long.take(piece) {
	}
	for n := range 100 {
		short := &reservation{budget: budget, source: callers}
		if _, err := connector.ReadContent(bytes.NewReader(make([]byte, 1000)), 4<<20, short.take); err != nil {
			t.Fatalf("short body %d beside %d bytes: %v", n, budget.used, err)
		}
	}
}

// TestRequestsAreRefusedWithoutMemory fills the budget to its half: a new request is refused as not run, with a time to come
// back, and accepted once there is memory again.
func TestRequestsAreRefusedWithoutMemory(t *testing.T) {
	f := New(nil, "a")
	for n := range 4 {
		if !f.memory.take(fmt.Sprint("endpoint", n), maxBufferedBytes/8) {
			t.Fatal("no memory at the start")
		}
	}
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || w.Body.String() != errMemoryFull.Error()+"\n" {
		t.Errorf("status %d, Retry-After %q, body %q", w.Code, w.Header().Get("Retry-After"), w.Body)
	}
	f.memory.release("endpoint0", 1)
	if !f.memory.acceptsRequests() {
		t.Error("no request is accepted once memory was released")
	}
}
