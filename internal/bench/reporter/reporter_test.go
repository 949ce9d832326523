package reporter

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestJSON(t *testing.T) {
	r := NewResult("flow", 3)
	r.SetTarget("share", 0.5, "ratio", 0.95)
	r.Set("bound", 100, "tokens/s")
	var b bytes.Buffer
	if err := r.WriteJSON(&b); err != nil {
		t.Fatal(err)
	}
	got, err := Read(&b)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(r, got); diff != "" {
		t.Errorf("Read mismatch (-want +got):\n%s", diff)
	}
}

func TestText(t *testing.T) {
	before, after := NewResult("flow", 1), NewResult("flow", 2)
	before.Set("gone", 1, "s")
	before.SetTarget("share", 0.5, "ratio", 0.95)
	after.SetTarget("share", 0.75, "ratio", 0.95)
	after.Set("new", 31500.25, "s")
	var b strings.Builder
	if err := after.WriteText(&b); err != nil {
		t.Fatal(err)
	}
	if err := Compare(&b, before, after); err != nil {
		t.Fatal(err)
	}
	want := `flow, seed 2
figure  value  unit   target
new     31500  s      -
share   0.75   ratio  0.95
flow, seeds 1 and 2
figure  before  after  change  unit   target
gone    1       -      -       s      -
new     -       31500  -       s      -
share   0.5     0.75   +50.0%  ratio  0.95
`
	if diff := cmp.Diff(want, b.String()); diff != "" {
		t.Errorf("text mismatch (-want +got):\n%s", diff)
	}
}

func TestSVG(t *testing.T) {
	c := Chart{Title: "Throughput", X: "load", Y: "tokens/s", Lines: []Line{{Name: "own", Points: []Point{{0, 0}, {1, 1}}}}}
	var b strings.Builder
	if err := c.WriteSVG(&b); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"<svg", "Throughput", "own", "</svg>"} {
		if !strings.Contains(b.String(), part) {
			t.Errorf("the chart does not hold %q", part)
		}
	}
}
