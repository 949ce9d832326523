package hoster

import "testing"

// TestClaimNet claims two networks: their addresses differ, and after one is released another can be claimed.
func TestClaimNet(t *testing.T) {
	first, err := ClaimNet()
	if err != nil {
		t.Fatal(err)
	}
	second, err := ClaimNet()
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	if first.IP(1) == second.IP(1) || first.IP(0) == first.IP(250) {
		t.Errorf("addresses %s and %s, %s and %s", first.IP(1), second.IP(1), first.IP(0), first.IP(250))
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	third, err := ClaimNet()
	if err != nil {
		t.Fatal(err)
	}
	defer third.Close()
}
