package storer

import (
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/client/storer"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
)

// transports are the ways to call an object store: in memory and over HTTP.
var transports = map[string]func(*testing.T, *Store, *faulter.Faults) storer.Store{
	"memory": func(_ *testing.T, s *Store, _ *faulter.Faults) storer.Store { return s },
	"http": func(t *testing.T, s *Store, f *faulter.Faults) storer.Store {
		h := httptest.NewServer(faulter.Wrap(f, s.Handler()))
		t.Cleanup(h.Close)
		c := storer.NewClient(h.URL)
		t.Cleanup(c.Close)
		return c
	},
}

func TestContract(t *testing.T) {
	body := []byte("a pattern drawing")
	cases := []struct {
		name     string
		object   string
		faults   []faulter.Fault
		putFails bool
		stored   bool
	}{
		{"content name", storer.ContentName(body), nil, false, true},
		{"arbitrary name", "head/1 ä", nil, false, true},
		{"refused", "x", []faulter.Fault{{CallPrefix: CallPut, Kind: faulter.Refuse}}, true, false},
		{"response lost", "x", []faulter.Fault{{CallPrefix: CallPut, Kind: faulter.DropResponse}}, true, true},
		{"repeated", "x", []faulter.Fault{{CallPrefix: CallPut, Kind: faulter.Repeat}}, false, true},
	}
	for transport, open := range transports {
		for _, c := range cases {
			t.Run(transport+"/"+c.name, func(t *testing.T) {
				faults := faulter.NewFaults(1)
				if err := faults.AddFaults(c.faults...); err != nil {
					t.Fatal(err)
				}
				store := New(faults)
				s := open(t, store, faults)
				if err := s.Put(t.Context(), c.object, body); (err != nil) != c.putFails {
					t.Errorf("put: error %v, want failure %v", err, c.putFails)
				}
				if _, ok, err := store.Get(t.Context(), c.object); ok != c.stored || err != nil {
					t.Errorf("stored %v, want %v, error %v", ok, c.stored, err)
				}
				got, ok, err := s.Get(t.Context(), c.object)
				if ok != c.stored || err != nil {
					t.Errorf("get: found %v, error %v", ok, err)
				}
				if diff := cmp.Diff(string(body), string(got)); diff != "" && c.stored {
					t.Errorf("object mismatch (-want +got):\n%s", diff)
				}
			})
		}
	}
}

func TestContentMismatch(t *testing.T) {
	h := httptest.NewServer(New(nil).Handler())
	defer h.Close()
	s := storer.NewClient(h.URL)
	name := storer.ContentName([]byte("right"))
	if err := s.Put(t.Context(), name, []byte("wrong")); err != nil {
		t.Fatal(err)
	}
	if _, _, err := s.Get(t.Context(), name); err == nil {
		t.Error("no error for an object whose content does not match its name")
	}
}

func TestRates(t *testing.T) {
	const oneCall = 1e-9 // The burst is one call, and its token is not refilled during the test.
	for transport, open := range transports {
		t.Run(transport, func(t *testing.T) {
			s := open(t, New(nil, WithRates(oneCall, oneCall)), faulter.NewFaults(1))
			var got []bool
			for range 2 {
				_, _, err := s.Get(t.Context(), "x")
				got = append(got, s.Put(t.Context(), "x", nil) == nil, err == nil)
			}
			if diff := cmp.Diff([]bool{true, true, false, false}, got); diff != "" {
				t.Errorf("calls that ran mismatch (-want +got):\n%s", diff)
			}
		})
	}
}
