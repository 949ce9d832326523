package soaker

import (
	"fmt"
	"testing"
	"time"

	"github.com/heatherrock/heatherrock/internal/standin/hoster"
)

// TestDeadlyViolations judges sends of a call that crashes endpoints, early and late, and beside faults.
func TestDeadlyViolations(t *testing.T) {
	for _, c := range []struct {
		name          string
		crashes, late int
		sentAfter     time.Duration
		fault         Kind
		isViolated    bool
	}{
		{"two crashes", 2, 9, time.Minute, "", false},
		{"three crashes, three sends later", 3, 3, time.Minute, "", false},
		{"three crashes, four sends later", 3, 4, time.Minute, "", true},
		{"four sends within the settle time", 3, 4, settleTime - time.Second, "", false},
		{"four sends of an instance that was killed", 3, 4, time.Minute, Kill, false},
		{"four sends beside a fault of another endpoint", 3, 4, time.Minute, EndpointFault, true},
	} {
		var e Observations
		for range c.crashes {
			e.Spans = append(e.Spans, Span{From: sentAt, To: sentAt.Add(deadlyRestart), Instance: allInstances, Fault: Fault{Kind: DeadlyCrash}})
		}
		at := sentAt.Add(c.sentAfter)
		for n := range c.late {
			id := fmt.Sprint("deadly-", n)
			e.DeadlyRequests = append(e.DeadlyRequests, Request{ID: id, SentAt: at, EndedAt: at.Add(time.Millisecond)})
			e.Arrivals = append(e.Arrivals, hoster.Arrival{ID: id, At: at})
		}
		if c.fault != "" {
			e.Spans = append(e.Spans, Span{From: at.Add(-time.Second), To: at, Instance: allInstances, Fault: Fault{Kind: c.fault}})
		}
		if got := deadlyViolations(e); (len(got) > 0) != c.isViolated {
			t.Errorf("%s: %v, want a violation %v", c.name, got, c.isViolated)
		}
	}
}
