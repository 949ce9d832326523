package runner

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/client/lister"
)

// faulty is a list that fails with an error, or answers if that is nil.
type faulty struct{ err error }

func (f *faulty) List(context.Context) ([]lister.Instance, error) { return nil, f.err }

// TestListingLogsChanges checks that an outage of the list is logged once, and its end.
func TestListingLogsChanges(t *testing.T) {
	var out bytes.Buffer
	f := &faulty{}
	l := &listing{lister: f, log: slog.New(slog.NewTextHandler(&out, nil))}
	away := errors.New("away")
	for _, err := range []error{nil, away, away, away, nil, nil, away} {
		f.err = err
		if _, got := l.List(context.Background()); got != err {
			t.Errorf("error is %v, want %v", got, err)
		}
	}
	got := []int{strings.Count(out.String(), "list unavailable"), strings.Count(out.String(), "available again")}
	if diff := cmp.Diff([]int{2, 1}, got); diff != "" {
		t.Errorf("lines mismatch (-want +got):\n%s\n%s", diff, out.String())
	}
}
