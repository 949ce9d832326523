package fetcher

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/client/fetcher"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
)

func TestContract(t *testing.T) {
	transports := map[string]func(*testing.T, *Store, *faulter.Faults) fetcher.Fetcher{
		"memory": func(_ *testing.T, s *Store, _ *faulter.Faults) fetcher.Fetcher { return s },
		"http": func(t *testing.T, s *Store, f *faulter.Faults) fetcher.Fetcher {
			h := httptest.NewServer(faulter.Wrap(f, s.Handler()))
			t.Cleanup(h.Close)
			return fetcher.NewClient(h.URL, nil)
		},
	}
	cases := []struct {
		name    string
		weights string
		fault   faulter.Kind
		size    int64
	}{
		{"five layers", "m.v.4-9", "", 5 * 20000},
		{"an adapter", "lora", "", 20000},
		{"no range", "m.v.9-4", "", 20000},
		{"refused", "m.v.4-9", faulter.Refuse, -1},
		{"the response is lost", "m.v.4-9", faulter.DropResponse, -1},
	}
	for transport, open := range transports {
		for _, c := range cases {
			t.Run(transport+"/"+c.name, func(t *testing.T) {
				faults := faulter.NewFaults(1)
				if c.fault != "" {
					if err := faults.AddFaults(faulter.Fault{CallPrefix: CallFetch, Kind: c.fault}); err != nil {
						t.Fatal(err)
					}
				}
				size, err := open(t, New(WithLayerBytes(20000), WithFaults(faults)), faults).Fetch(t.Context(), c.weights)
				if (err != nil) != (c.size < 0) {
					t.Fatalf("error %v", err)
				}
				if diff := cmp.Diff(c.size, size); diff != "" && err == nil {
					t.Errorf("size mismatch (-want +got):\n%s", diff)
				}
			})
		}
	}
}

func TestRate(t *testing.T) {
	s := New(WithLayerBytes(chunkBytes), WithBytesPerSecond(1))
	if _, err := s.Fetch(t.Context(), "a"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if _, err := s.Fetch(ctx, "b"); err == nil {
		t.Error("the rate limit is used up, but a second fetch succeeds at once")
	}
	if diff := cmp.Diff([]int{1, 1, 0}, []int{s.FetchCount("a"), s.FetchCount("b"), s.FetchCount("c")}); diff != "" {
		t.Errorf("fetches mismatch (-want +got):\n%s", diff)
	}
}
