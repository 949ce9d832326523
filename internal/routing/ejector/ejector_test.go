package ejector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

// TestEjectionsGrow lets an endpoint fail in a row, the same request twice, and then serve one.
func TestEjectionsGrow(t *testing.T) {
	e := New()
	for _, c := range []struct {
		request string
		want    time.Duration
	}{
		{"a", time.Second}, {"a", time.Second}, {"b", 2 * time.Second}, {"c", 4 * time.Second},
		{"d", 8 * time.Second}, {"e", 8 * time.Second},
	} {
		if got := e.RecordFailure(start, "x", c.request).Sub(start); got != c.want {
			t.Errorf("request %s: ejected for %v, want %v", c.request, got, c.want)
		}
	}
	if got := e.Report(start.Add(9 * time.Second)); len(got) != 0 {
		t.Errorf("reports %v after the ejection", got)
	}
	e.RecordSuccess("x")
	if got := e.RecordFailure(start, "x", "g").Sub(start); got != minEjection {
		t.Errorf("ejected for %v after a success, want %v", got, minEjection)
	}
}

// TestEjectedByOthers checks how many instances must report an endpoint, and that no more than a share is ejected.
func TestEjectedByOthers(t *testing.T) {
	e := New()
	if got, _ := e.EjectedByOthers(map[string]int{"x": 1}, 10); got != nil {
		t.Errorf("ejected %v by one report", got)
	}
	if got, ttl := e.EjectedByOthers(map[string]int{"x": 2, "y": 1}, 10); !cmp.Equal(got, []string{"x"}) || ttl != reportTTL {
		t.Errorf("ejected %v for %v, want x", got, ttl)
	}
	if got, _ := e.EjectedByOthers(map[string]int{"w": 2, "x": 2, "y": 2, "z": 2}, 10); got != nil {
		t.Errorf("ejected %v of 10", got)
	}
}

// TestFleetLearnsOfFailures plays 195 instances with 3 requests a second each before 190 endpoints, of which 14 fail all
// requests at once for 7 s. As these are always free, half of the requests choose one of them if they may. Instances learn
// of each other's ejections 0.3 s late. It compares the failed requests with and without the reports of the others.
func TestFleetLearnsOfFailures(t *testing.T) {
	alone, together := playFailures(false), playFailures(true)
	if together > alone/3 {
		t.Errorf("%d requests fail with the reports of others, %d without, want a third at most", together, alone)
	}
}

// playFailures returns how many requests fail.
func playFailures(share bool) int {
	const instances, endpoints, failing = 195, 190, 14
	const step, delay = 20 * time.Millisecond, 300 * time.Millisecond
	r := rand.New(rand.NewPCG(1, 1))
	fleet := make([]*Ejector, instances)
	for i := range fleet {
		fleet[i] = New()
	}
	var history []map[string]int
	failed := 0
	for at := time.Duration(0); at < 7*time.Second; at += step {
		now := start.Add(at)
		reporters := map[string]int{}
		for _, e := range fleet {
			for _, id := range e.Report(now) {
				reporters[id]++
			}
		}
		history = append(history, reporters)
		known := map[string]int{}
		if n := len(history) - 1 - int(delay/step); share && n >= 0 {
			known = history[n]
		}
		for i, e := range fleet {
			if r.Float64() > 3*step.Seconds() {
				continue
			}
			id := fmt.Sprint("bad", r.IntN(failing))
			if r.IntN(2) == 0 || now.Before(e.Ejected[id].Until) || known[id] >= minReporters {
				continue // It chooses a sound endpoint.
			}
			failed++
			e.RecordFailure(now, id, fmt.Sprint(i, at))
		}
	}
	return failed
}
