package faulter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// counter counts its runs and responds with three lines, each flushed.
type counter struct{ begun, ended atomic.Int64 }

func (c *counter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	c.begun.Add(1)
	defer c.ended.Add(1)
	for i := range 3 {
		_, _ = fmt.Fprintf(w, "%d\n", i)
		_ = http.NewResponseController(w).Flush()
	}
}

// call is one call of a client. It is cancelled once shouldCancel returns true, because a test cannot wait for the end
// of a response that never ends.
type call struct {
	client       *http.Client
	url          string
	shouldCancel func(c *call) bool
	bytesRead    atomic.Int64
}

// Write counts the bytes of the response, for io.TeeReader.
func (c *call) Write(b []byte) (int, error) {
	c.bytesRead.Add(int64(len(b)))
	return len(b), nil
}

// cancelWhenDue cancels the call once shouldCancel returns true.
func (c *call) cancelWhenDue(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil && !c.shouldCancel(c) {
		time.Sleep(time.Millisecond)
	}
	cancel()
}

// get sends the call and returns the body followed by "cut" if the connection was cut, or "silent" if the call was
// cancelled.
func (c *call) get(t *testing.T) string {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if c.shouldCancel != nil {
		go c.cancelWhenDue(ctx, cancel)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, io.NopCloser(strings.NewReader("body")))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return failureName(err)
	}
	defer resp.Body.Close()
	var got strings.Builder
	if resp.StatusCode != http.StatusOK {
		fmt.Fprintf(&got, "%d ", resp.StatusCode)
	}
	if _, err := io.Copy(&got, io.TeeReader(resp.Body, c)); err != nil {
		got.WriteString(failureName(err))
	}
	return strings.ReplaceAll(got.String(), "\n", "")
}

// failureName returns how a call failed: "silent" if it was cancelled, else "cut".
func failureName(err error) string {
	if errors.Is(err, context.Canceled) {
		return "silent"
	}
	return "cut"
}

func TestWrap(t *testing.T) {
	cases := []struct {
		name  string
		fault Fault
		want  []string
		runs  int
	}{
		{"no fault", Fault{CallPrefix: "GET /", Kind: Refuse}, []string{"012"}, 1},
		{"another path", Fault{CallPrefix: "POST /other", Kind: Refuse}, []string{"012"}, 1},
		{
			"refuse once", Fault{CallPrefix: "POST /", Kind: Refuse, MaxHits: 1},
			[]string{`503 {"reason":"refused by a fault"}`, "012"}, 1,
		},
		{"skip one", Fault{Kind: DropResponse, SkipCalls: 1}, []string{"012", "cut"}, 2},
		{"crash", Fault{Kind: Crash, MaxHits: 1}, []string{"cut", "cut"}, 0},
		{"delay", Fault{Kind: Delay, DelayMillis: 1}, []string{"012"}, 1},
		{"lose", Fault{Kind: DropResponse, MaxHits: 1}, []string{"cut", "012"}, 2},
		{"silent", Fault{Kind: Hang, MaxHits: 1}, []string{"silent", "012"}, 1},
		{"repeat", Fault{Kind: Repeat}, []string{"012"}, 2},
		{"crash after a line", Fault{Kind: Crash, AfterLines: 1}, []string{"0cut", "cut"}, 1},
		{"lose after two lines", Fault{Kind: DropResponse, AfterLines: 2, MaxHits: 1}, []string{"01cut", "012"}, 2},
		{"silent after a line", Fault{Kind: Hang, AfterLines: 1, MaxHits: 1}, []string{"0silent", "012"}, 2},
		{"repeat a line", Fault{Kind: Repeat, AfterLines: 1}, []string{"0112"}, 1},
		{"delay after a line", Fault{Kind: Delay, AfterLines: 1, DelayMillis: 1}, []string{"012"}, 1},
		{"left to the stand-in", Fault{Kind: RunLate}, []string{"012"}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			faults := NewFaults(1)
			if err := faults.AddFaults(c.fault); err != nil {
				t.Fatal(err)
			}
			next := &counter{}
			s := httptest.NewServer(Wrap(faults, next))
			defer s.Close()
			silent := func(l *call) bool {
				return faults.List()[0].Hits > 0 && next.ended.Load() == int64(c.fault.AfterLines) &&
					l.bytesRead.Load() >= int64(2*c.fault.AfterLines)
			}
			var got []string
			for _, want := range c.want {
				l := &call{client: s.Client(), url: s.URL}
				if strings.HasSuffix(want, "silent") {
					l.shouldCancel = silent
				}
				got = append(got, l.get(t))
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("answers mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.runs, int(next.begun.Load())); diff != "" {
				t.Errorf("runs mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

func TestServerCrash(t *testing.T) {
	faults := NewFaults(1)
	var crashes atomic.Int64
	s := NewServer("127.0.0.1:0", &counter{}, faults, func() { crashes.Add(1) })
	if err := s.Restore(); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	url := "http://" + s.Address()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	got := []string{(&call{client: client, url: url}).get(t)}
	if err := faults.AddFaults(Fault{Kind: Crash, MaxHits: 1}); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		got = append(got, (&call{client: client, url: url}).get(t))
	}
	got = append(got, fmt.Sprint(s.Up()))
	if err := s.Restore(); err != nil {
		t.Fatal(err)
	}
	got = append(got, (&call{client: client, url: url}).get(t), fmt.Sprint(s.Up(), crashes.Load()))
	if diff := cmp.Diff([]string{"012", "cut", "cut", "false", "012", "true 1"}, got); diff != "" {
		t.Errorf("answers mismatch (-want +got):\n%s", diff)
	}
}

func TestOpenConnections(t *testing.T) {
	faults := NewFaults(1)
	s := NewServer("127.0.0.1:0", &counter{}, faults, nil)
	if err := s.Restore(); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	url := "http://" + s.Address()
	oldClient, newClient := &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{}}
	defer oldClient.CloseIdleConnections()
	defer newClient.CloseIdleConnections()
	got := []string{(&call{client: oldClient, url: url}).get(t)}
	if err := faults.AddFaults(Fault{Kind: Hang, OpenConnectionsOnly: true}); err != nil {
		t.Fatal(err)
	}
	hit := func(*call) bool { return faults.List()[0].Hits > 0 }
	got = append(got, (&call{client: oldClient, url: url, shouldCancel: hit}).get(t), (&call{client: newClient, url: url}).get(t))
	if diff := cmp.Diff([]string{"012", "silent", "012"}, got); diff != "" {
		t.Errorf("answers mismatch (-want +got):\n%s", diff)
	}
}

func TestChance(t *testing.T) {
	hit := func(seed uint64) []bool {
		faults := NewFaults(seed)
		if err := faults.AddFaults(Fault{Kind: Refuse, Chance: 0.5}); err != nil {
			t.Fatal(err)
		}
		var list []bool
		for range 64 {
			_, ok := faults.Trigger("GET /")
			list = append(list, ok)
		}
		return list
	}
	if diff := cmp.Diff(hit(1), hit(1)); diff != "" {
		t.Errorf("the same seed gives two sequences:\n%s", diff)
	}
	if cmp.Equal(hit(1), hit(2)) {
		t.Error("two seeds give the same sequence")
	}
}

func TestControl(t *testing.T) {
	s := httptest.NewServer(Wrap(NewFaults(1), &counter{}))
	defer s.Close()
	steps := []struct {
		method, body string
		status       int
		want         string
	}{
		{"POST", `{"call": "GET /x", "kind": "refuse", "count": 2}`, 204, ""},
		{"POST", `[{"kind": "delay", "delay": 5}, {"kind": "lose"}]`, 204, ""},
		{"POST", `{"kind": "explode"}`, 400, "unknown kind of fault \"explode\"\n"},
		{"POST", `{"kind": "lose", "chance": 2}`, 400, "fault of \"\": a number is out of range\n"},
		{"POST", `{`, 400, "unexpected EOF\n"},
		{"GET", "", 200, `[{"call":"GET /x","kind":"refuse","count":2,"hits":0},` +
			`{"call":"","kind":"delay","delay":5,"hits":0},{"call":"","kind":"lose","hits":0}]` + "\n"},
		{"DELETE", "", 204, ""},
		{"GET", "", 200, "[]\n"},
		{"PUT", "", 405, ""},
	}
	for _, n := range steps {
		r, err := http.NewRequestWithContext(t.Context(), n.method, s.URL+Path, strings.NewReader(n.body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := s.Client().Do(r)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]any{n.status, n.want}, []any{resp.StatusCode, string(body)}); diff != "" {
			t.Errorf("%s %s mismatch (-want +got):\n%s", n.method, n.body, diff)
		}
	}
}
