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

// faultyLister returns an empty list, or fails if err is not nil.
type faultyLister struct{ err error }

func (f *faultyLister) List(context.Context) ([]lister.Instance, error) { return nil, f.err }

// TestListerLogsChanges checks that the start and the end of an outage of the list are logged once each.
func TestListerLogsChanges(t *testing.T) {
	var out bytes.Buffer
	f := &faultyLister{}
	l := &loggingLister{lister: f, log: slog.New(slog.NewTextHandler(&out, nil))}
	errUnavailable := errors.New("unreachable")
	for _, err := range []error{nil, errUnavailable, errUnavailable, errUnavailable, nil, nil, errUnavailable} {
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
