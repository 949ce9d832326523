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

// keeping is a configuration that keeps keys for a time.
type keeping struct {
	world
	retention time.Duration
}

func (k keeping) Fleet() recorder.Fleet {
	f := k.world.Fleet()
	f.KeyRetentionSeconds = int(k.retention / time.Second)
	return f
}

// TestCollectedKeyNeverRunsAgain sends a key that is within the retention of one instance and not of another, whose
// collector removes its row. The first instance still has the old horizon in mind when the key comes again.
func TestCollectedKeyNeverRunsAgain(t *testing.T) {
	old := time.Now().UTC().AddDate(0, 0, -5).Format("20060102") + "-frame"
	s := &stock{holds: map[string]int{}}
	w := world{addresses: []string{serviceOf(t, s)}}
	tb := standin.New()
	lax := keeping{w, 100 * 24 * time.Hour}
	one, first := entry(t, "one", tb, world{})
	one.view, one.chooser = lax, lax
	want := told{200, "completed", "", "held joiners:" + old}
	got := call(t, first, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, old)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("first answer mismatch (-want +got):\n%s", diff)
	}
	strict := New("two", tb, keeping{w, 24 * time.Hour}, w, w, WithCollect(time.Millisecond))
	t.Cleanup(strict.Close)
	// A key of today shows that the callers' clocks are not behind the instance's.
	today, _ := claimer.ParseKey(time.Now().UTC().Format("20060102") + "-lamp")
	strict.writer.check(today)
	key, _ := claimer.ParseKey(old)
	row := claimer.Call{Team: "joiners", Key: key}.RowKey()
	for found := true; found; time.Sleep(time.Millisecond) {
		var err error
		if _, found, err = tb.Get(t.Context(), claimer.Table, row); err != nil {
			t.Fatal(err)
		}
	}
	got = call(t, first, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, old)
	if diff := cmp.Diff(told{410, "not-run", claimer.CodeKeyExpired, ""}, got); diff != "" {
		t.Errorf("answer after collection mismatch (-want +got):\n%s", diff)
	}
	if s.ran() != 1 {
		t.Errorf("ran %d times", s.ran())
	}
}
