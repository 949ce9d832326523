package router

import "testing"

// TestLoseEngine checks that throughput recovers from the loss of an engine within the time observed.
func TestLoseEngine(t *testing.T) {
	l := LoseEngine(1)
	if l.After >= l.Before {
		t.Errorf("bound %v after the loss, %v before", l.After, l.Before)
	}
	if l.Back < recoveryWindow || l.Back >= recoveryLimit+faultMeasureTime {
		t.Errorf("throughput recovered after %v", l.Back)
	}
}
