package matcher

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestMatch(t *testing.T) {
	table := New([]Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "A.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"A.EXAMPLE:8080", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x", ""},
		{"b.example", "/x/y/1", "other"},
		{"c.example", "/x/1", ""},
		{"", "/x/1", ""},
	} {
		r, ok := table.Match(c.host, c.path)
		if r.Name != c.want || ok != (c.want != "") {
			t.Errorf("%s%s goes to %q, want %q", c.host, c.path, r.Name, c.want)
		}
	}
}

func TestServiceSplitsByWeight(t *testing.T) {
	r := Route{Split: []Share{{"most", 90}, {"few", 10}, {"none", 0}}}
	counts := map[string]int{}
	for i := range 10000 {
		id := fmt.Sprint("request", i)
		service := r.Service(id)
		if again := r.Service(id); again != service {
			t.Fatalf("request %s goes to %s and to %s", id, service, again)
		}
		counts[service]++
	}
	// The standard deviation of the count of 1 in 10 of 10,000 is 30.
	if n := counts["few"]; n < 850 || n > 1150 || counts["none"] > 0 {
		t.Errorf("counts are %v", counts)
	}
	if got := (Route{}).Service("x"); got != "" {
		t.Errorf("a route without services goes to %q", got)
	}
}

// TestServiceWithoutWeightGetsNoRequest guards against a service that gets the requests of a route once all weights have been taken
// away, or that gets one by rounding.
func TestServiceWithoutWeightGetsNoRequest(t *testing.T) {
	for _, c := range []struct {
		split []Share
		want  string
	}{
		{[]Share{{"a", 0}, {"b", 0}}, ""},
		{[]Share{{"a", -1}, {"b", 0}}, ""},
		{[]Share{{"a", 0}, {"b", 1}, {"c", 0}}, "b"},
		{[]Share{{"a", 5e-324}, {"b", 0}}, "a"}, // The least weight: the point is rounded to it or to 0.
	} {
		for i := range 1000 {
			if got := (Route{Split: c.split}).Service(fmt.Sprint("request", i)); got != c.want {
				t.Errorf("%v: request %d goes to %q, want %q", c.split, i, got, c.want)
				break
			}
		}
	}
}

func TestAdmit(t *testing.T) {
	c := &Configuration{
		Table: New([]Route{{Name: "keyed", Host: "h", Prefix: "/k/"}, {Name: "open", Host: "h", Prefix: "/o/", Anonymous: true}}),
		Teams: map[string]Team{"key": {Name: "joiners"}},
	}
	type result struct {
		Route, Team string
		Verdict     Verdict
	}
	for _, s := range []struct {
		path, key string
		want      result
	}{
		{"/k/1", "key", result{"keyed", "joiners", Allowed}},
		{"/k/1", "other", result{"keyed", "", NoCredential}},
		{"/k/1", "", result{"keyed", "", NoCredential}},
		{"/o/1", "", result{"open", "", Allowed}},
		{"/o/1", "other", result{"open", "", Allowed}},
		{"/o/1", "key", result{"open", "joiners", Allowed}}, // Without the team, endpoints would take the request for nobody's.
		{"/n/1", "key", result{"", "", NoRoute}},
	} {
		r, team, v := c.Admit("h", s.path, s.key)
		if diff := cmp.Diff(s.want, result{r.Name, team.Name, v}); diff != "" {
			t.Errorf("%s with %q (-want +got):\n%s", s.path, s.key, diff)
		}
	}
}

// TestLastCredentialTakenAwayLetsNobodyIn guards against a configuration whose last credential is gone and that is taken for one
// that requires none.
func TestLastCredentialTakenAwayLetsNobodyIn(t *testing.T) {
	c := &Configuration{Table: New([]Route{{Name: "keyed", Host: "h", Prefix: "/k/"}})}
	for _, credential := range []string{"", "key"} {
		if _, _, v := c.Admit("h", "/k/1", credential); v != NoCredential {
			t.Errorf("no credential left, with %q: the verdict is %v", credential, v)
		}
	}
	c.IsOpen = true
	if _, _, v := c.Admit("h", "/k/1", ""); v != Allowed {
		t.Errorf("no credential required: the verdict is %v", v)
	}
}

func TestRepeatable(t *testing.T) {
	for _, c := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: Safe}, true},
		{Route{Kind: Unsafe}, false},
		{Route{Kind: Unsafe, Resumable: true}, false},
		{Route{Kind: Stream}, false},
		{Route{Kind: Stream, Resumable: true}, true},
	} {
		if c.route.Repeatable() != c.want {
			t.Errorf("%+v: %v", c.route, !c.want)
		}
	}
}
