package lister

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
)

func TestContract(t *testing.T) {
	transports := map[string]func(*testing.T, *List, *faulter.Faults) lister.Lister{
		"memory": func(_ *testing.T, l *List, _ *faulter.Faults) lister.Lister { return l },
		"http": func(t *testing.T, l *List, f *faulter.Faults) lister.Lister {
			h := httptest.NewServer(faulter.Wrap(f, l.Handler()))
			t.Cleanup(h.Close)
			c := lister.NewClient(h.URL)
			t.Cleanup(c.Close)
			return c
		},
	}
	for transport, open := range transports {
		t.Run(transport, func(t *testing.T) {
			now := time.Unix(100, 0)
			faults := faulter.NewFaults(1)
			clock := func() time.Time { return now }
			list := New([]lister.Instance{{ID: "a"}}, WithLag(2*time.Second), WithClock(clock), WithFaults(faults))
			client := open(t, list, faults)
			steps := []struct {
				name   string
				change func()
				want   []lister.Instance
			}{
				{"initial list", func() {}, []lister.Instance{{ID: "a"}}},
				{"b joins", func() { list.Put(lister.Instance{ID: "b"}) }, []lister.Instance{{ID: "a"}}},
				{"a leaves", func() { list.MarkLeaving("a") }, []lister.Instance{{ID: "a"}}},
				{"a is removed", func() { list.Remove("a") }, []lister.Instance{{ID: "a"}, {ID: "b"}}},
				{
					"b returns", func() { list.Put(lister.Instance{ID: "b", Kind: "k"}) },
					[]lister.Instance{{ID: "a", Leaving: true}, {ID: "b"}},
				},
				{"one second later", func() {}, []lister.Instance{{ID: "b"}}},
				{"two seconds later", func() {}, []lister.Instance{{ID: "b", Kind: "k"}}},
			}
			for _, s := range steps {
				now = now.Add(time.Second)
				s.change()
				got, err := client.List(t.Context())
				if diff := cmp.Diff(s.want, got); diff != "" || err != nil {
					t.Errorf("%s: error %v, mismatch (-want +got):\n%s", s.name, err, diff)
				}
			}
			if err := faults.AddFaults(faulter.Fault{Kind: faulter.Refuse}); err != nil {
				t.Fatal(err)
			}
			if _, err := client.List(t.Context()); err == nil {
				t.Error("a refused call gives no error")
			}
		})
	}
}
