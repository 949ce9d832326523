package dispatcher

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	standin "github.com/heatherrock/heatherrock/internal/standin/tabler"
)

// retentionEnv is a testEnv with a retention of keys.
type retentionEnv struct {
	testEnv
	retention time.Duration
}

func (e retentionEnv) Fleet() recorder.Fleet {
	f := e.testEnv.Fleet()
	f.KeyRetentionSeconds = int(e.retention / time.Second)
	return f
}

// TestCollectedKeyNeverRunsAgain sends a key that is within the retention of one instance but not of a second, whose
// collector removes the key's row. The first instance still holds the old horizon when the key is sent again, and must
// not run it again.
func TestCollectedKeyNeverRunsAgain(t *testing.T) {
	oldKey := time.Now().UTC().AddDate(0, 0, -5).Format("20060102") + "-frame"
	s := &stockService{runsByKey: map[string]int{}}
	env := testEnv{addresses: []string{startService(t, s)}}
	table := standin.New()
	longRetention := retentionEnv{env, 100 * 24 * time.Hour}
	d, server := startInstance(t, "one", table, testEnv{})
	d.view, d.chooser = longRetention, longRetention
	want := callResponse{200, "completed", "", "held joiners:" + oldKey}
	got := sendCall(t, server, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, oldKey)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("first answer mismatch (-want +got):\n%s", diff)
	}
	second := New("two", table, retentionEnv{env, 24 * time.Hour}, env, env, WithCollectInterval(time.Millisecond))
	t.Cleanup(second.Close)
	// A key of today shows that the callers' clocks are not behind the instance's.
	today, _ := claimer.ParseKey(time.Now().UTC().Format("20060102") + "-lamp")
	second.writer.checkKey(today)
	key, _ := claimer.ParseKey(oldKey)
	rowKey := claimer.Call{Team: "joiners", Key: key}.RowKey()
	for found := true; found; time.Sleep(time.Millisecond) {
		var err error
		if _, found, err = table.Get(t.Context(), claimer.Table, rowKey); err != nil {
			t.Fatal(err)
		}
	}
	got = sendCall(t, server, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, oldKey)
	if diff := cmp.Diff(callResponse{410, "not-run", claimer.CodeKeyExpired, ""}, got); diff != "" {
		t.Errorf("answer after collection mismatch (-want +got):\n%s", diff)
	}
	if s.runCount() != 1 {
		t.Errorf("ran %d times", s.runCount())
	}
}
