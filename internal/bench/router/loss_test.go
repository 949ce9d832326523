package router

import "testing"

// TestLoseEngine checks that throughput comes back after the loss of an engine, within the time watched.
func TestLoseEngine(t *testing.T) {
	l := LoseEngine(1)
	if l.After >= l.Before {
		t.Errorf("bound %v after the loss, %v before", l.After, l.Before)
	}
	if l.Back < recoveryWindow || l.Back >= faultGrace+faultTime {
		t.Errorf("throughput back after %v", l.Back)
	}
}
