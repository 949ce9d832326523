package gateway

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/control/replicator"
)

// TestOddInstanceRowsAreIgnored guards against peers that do not exist, after another writer has left odd rows in the table of
// instances.
func TestOddInstanceRowsAreIgnored(t *testing.T) {
	var page replicator.Page
	for key, value := range map[string]string{
		"sound":         `{"id":"edge-1","role":"entry","address":"10.1.0.1:7000"}`,
		"no id":         `{"role":"entry","address":"10.1.0.2:7000"}`,
		"no address":    `{"id":"edge-3","role":"entry"}`,
		"no port":       `{"id":"edge-4","role":"entry","address":"10.1.0.4"}`,
		"port too high": `{"id":"edge-5","role":"entry","address":"10.1.0.5:70000"}`,
		"name":          `{"id":"edge-6","role":"entry","address":"edge-6.example:7000"}`,
		"not JSON":      `{`,
	} {
		page.Rows = append(page.Rows, replicator.Row{Key: key, Value: []byte(value)})
	}
	var got []string
	instances, isListed, unread := decodeInstances(page, "edge-1")
	for _, i := range instances {
		got = append(got, i.ID)
	}
	if diff := cmp.Diff([]string{"edge-1"}, got); diff != "" || !isListed || unread != 6 {
		t.Errorf("listed itself: %v, %d rows not read, want 6; instances (-want +got):\n%s", isListed, unread, diff)
	}
}
