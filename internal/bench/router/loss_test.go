package router

import "testing"

// TestLoseEngine checks that throughput recovers from the loss of an engine within the time observed.
func TestLoseEngine(t *testing.T) {
	l := LoseEngine(1)
	if l.BoundAfter >= l.BoundBefore {
		t.Errorf("bound %v after the loss, %v before", l.BoundAfter, l.BoundBefore)
	}
	if l.RecoveryTime < recoveryWindow || l.RecoveryTime >= recoveryLimit+faultMeasureTime {
		t.Errorf("throughput recovered after %v", l.RecoveryTime)
	}
}
