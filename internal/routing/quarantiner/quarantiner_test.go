package quarantiner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1000, 0)

func TestRuling(t *testing.T) {
	const poison, innocent = Fingerprint(1), Fingerprint(2)
	cases := []struct {
		name  string
		steps func(q *Quarantiner)
		at    time.Duration
		want  Ruling
	}{
		{"unknown", func(*Quarantiner) {}, 0, Allow},
		{"one crash", func(q *Quarantiner) { q.RecordCrash(start, poison, "a") }, 0, Trial},
		{"a trial in progress", func(q *Quarantiner) {
			q.RecordCrash(start, poison, "a")
			q.BeginTrial(start, poison, []string{"b"})
		}, 0, Wait},
		{"a trial that expired", func(q *Quarantiner) {
			q.RecordCrash(start, poison, "a")
			q.BeginTrial(start, poison, []string{"b"})
		}, time.Minute, Trial},
		{"crash on trial", func(q *Quarantiner) {
			q.RecordCrash(start, poison, "a")
			q.BeginTrial(start, poison, []string{"b"})
			q.RecordCrash(start, poison, "b")
		}, 0, Refuse},
		{"crash on trial of an endpoint that had crashed before", func(q *Quarantiner) {
			q.RecordCrash(start, poison, "a")
			q.BeginTrial(start, poison, []string{"a"})
			q.RecordCrash(start, poison, "a")
		}, 0, Refuse},
		{"an older case does not lift a refusal", func(q *Quarantiner) {
			first := q.RecordCrash(start, poison, "a")
			q.BeginTrial(start, poison, []string{"a"})
			q.RecordCrash(start, poison, "a")
			q.Merge(start, first)
		}, 0, Refuse},
		{"crash of a shared endpoint while on trial elsewhere", func(q *Quarantiner) {
			q.RecordCrash(start, poison, "a")
			q.BeginTrial(start, poison, []string{"b"})
			q.RecordCrash(start, poison, "c")
		}, 0, Wait},
		{"the same crash recorded twice", func(q *Quarantiner) {
			q.RecordCrash(start, poison, "a")
			q.RecordCrash(start, poison, "a")
		}, 0, Trial},
		{"cleared by its trial", func(q *Quarantiner) {
			q.RecordCrash(start, poison, "a")
			q.BeginTrial(start, poison, []string{"b"})
			q.Clear(start, poison)
		}, 0, Allow},
		{"another request's crashes", func(q *Quarantiner) {
			q.RecordCrash(start, innocent, "a")
			q.BeginTrial(start, innocent, []string{"b"})
			q.RecordCrash(start, innocent, "b")
		}, 0, Allow},
		{"retention over", func(q *Quarantiner) {
			q.RecordCrash(start, poison, "a")
		}, 10 * time.Minute, Allow},
		{"crashes recorded by two instances add up", func(q *Quarantiner) {
			q.RecordCrash(start, poison, "a")
			q.Merge(start, Case{Fingerprint: poison, CrashedEndpoints: []string{"b"}, ExpiresAt: start.Add(time.Minute)})
		}, 0, Refuse},
		{"a late clearance does not lift a refusal", func(q *Quarantiner) {
			q.Merge(start, Case{Fingerprint: poison, CrashedEndpoints: []string{"a", "b"}, ExpiresAt: start.Add(time.Minute)})
			q.Merge(start, Case{Fingerprint: poison, ExpiresAt: start.Add(time.Minute)})
		}, 0, Refuse},
		{"an expired case has no effect", func(q *Quarantiner) {
			q.Merge(start, Case{Fingerprint: poison, CrashedEndpoints: []string{"a", "b"}, ExpiresAt: start})
		}, 0, Allow},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := New()
			c.steps(q)
			if diff := cmp.Diff(c.want, q.Check(start.Add(c.at), poison)); diff != "" {
				t.Errorf("Check mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

func TestTrialsDoNotShareEndpoints(t *testing.T) {
	q := New()
	q.RecordCrash(start, 1, "a")
	q.RecordCrash(start, 2, "a")
	q.BeginTrial(start, 1, []string{"b"})
	if diff := cmp.Diff([]string{"b"}, q.EndpointsOnTrial(start, 2)); diff != "" {
		t.Errorf("Busy mismatch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string(nil), q.EndpointsOnTrial(start, 1)); diff != "" {
		t.Errorf("Busy mismatch (-want +got):\n%s", diff)
	}
	_, ok := q.BeginTrial(start, 2, []string{"b", "c"})
	if diff := cmp.Diff(false, ok); diff != "" {
		t.Errorf("Open mismatch (-want +got):\n%s", diff)
	}
	q.CancelTrial(1)
	_, ok = q.BeginTrial(start, 2, []string{"b", "c"})
	if diff := cmp.Diff(true, ok); diff != "" {
		t.Errorf("Open mismatch (-want +got):\n%s", diff)
	}
	q.Expire(start.Add(time.Hour))
	if diff := cmp.Diff(map[Fingerprint]Case{}, q.Cases); diff != "" {
		t.Errorf("Cases mismatch (-want +got):\n%s", diff)
	}
}

// TestTrialsOverInstances begins trials of two suspects on two instances at once, in different orders of the messages,
// and checks that at most one uses a shared endpoint.
func TestTrialsOverInstances(t *testing.T) {
	endpoints := []string{"a", "b"}
	cases := []struct {
		name    string
		order   []int
		started []bool
	}{
		{"the lower fingerprint begins first", []int{0, 1, 2, 3}, []bool{true, false}},
		{"both begin before either announces", []int{0, 2, 1, 3}, []bool{true, false}},
		{"the higher announces before the lower begins", []int{2, 3, 0, 1}, []bool{false, true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			instances := []*Quarantiner{New(), New()}
			trials := make([]Case, 2)
			started := make([]bool, 2)
			for i, q := range instances {
				q.RecordCrash(start, 1, "x")
				q.RecordCrash(start, 2, "x")
				trials[i].Fingerprint = Fingerprint(i + 1)
			}
			for _, step := range c.order {
				i := step / 2
				if step%2 == 0 {
					trials[i], started[i] = instances[i].BeginTrial(start, Fingerprint(i+1), endpoints)
					continue
				}
				if started[i] && instances[1-i].RecordTrial(start, trials[i]) {
					started[i] = false
					instances[i].CancelTrial(Fingerprint(i + 1))
				}
			}
			if diff := cmp.Diff(c.started, started); diff != "" {
				t.Errorf("started mismatch (-want +got):\n%s", diff)
			}
		})
	}
}
