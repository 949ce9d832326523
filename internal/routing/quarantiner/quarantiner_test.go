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
		{"one crash", func(q *Quarantiner) { q.Crash(start, poison, "a") }, 0, Trial},
		{"a trial in progress", func(q *Quarantiner) {
			q.Crash(start, poison, "a")
			q.Open(start, poison, "b")
		}, 0, Wait},
		{"a trial that was lost", func(q *Quarantiner) {
			q.Crash(start, poison, "a")
			q.Open(start, poison, "b")
		}, time.Minute, Trial},
		{"crash on trial", func(q *Quarantiner) {
			q.Crash(start, poison, "a")
			q.Open(start, poison, "b")
			q.Crash(start, poison, "b")
		}, 0, Refuse},
		{"crash of a shared endpoint while on trial elsewhere", func(q *Quarantiner) {
			q.Crash(start, poison, "a")
			q.Open(start, poison, "b")
			q.Crash(start, poison, "c")
		}, 0, Wait},
		{"the same crash seen twice", func(q *Quarantiner) {
			q.Crash(start, poison, "a")
			q.Crash(start, poison, "a")
		}, 0, Trial},
		{"cleared by its trial", func(q *Quarantiner) {
			q.Crash(start, poison, "a")
			q.Open(start, poison, "b")
			q.Clear(start, poison)
		}, 0, Allow},
		{"another request's crashes", func(q *Quarantiner) {
			q.Crash(start, innocent, "a")
			q.Open(start, innocent, "b")
			q.Crash(start, innocent, "b")
		}, 0, Allow},
		{"term over", func(q *Quarantiner) {
			q.Crash(start, poison, "a")
		}, 10 * time.Minute, Allow},
		{"strikes of two instances add up", func(q *Quarantiner) {
			q.Crash(start, poison, "a")
			q.Merge(start, Case{Fingerprint: poison, Endpoints: []string{"b"}, Expires: start.Add(time.Minute)})
		}, 0, Refuse},
		{"a late clearance does not lift a refusal", func(q *Quarantiner) {
			q.Merge(start, Case{Fingerprint: poison, Endpoints: []string{"a", "b"}, Expires: start.Add(time.Minute)})
			q.Merge(start, Case{Fingerprint: poison, Expires: start.Add(time.Minute)})
		}, 0, Refuse},
		{"an expired case has no effect", func(q *Quarantiner) {
			q.Merge(start, Case{Fingerprint: poison, Endpoints: []string{"a", "b"}, Expires: start})
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

func TestBusyKeepsSuspectsApart(t *testing.T) {
	q := New()
	q.Crash(start, 1, "a")
	q.Crash(start, 2, "a")
	q.Open(start, 1, "b")
	if diff := cmp.Diff([]string{"b"}, q.Busy(start, 2)); diff != "" {
		t.Errorf("Busy mismatch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string(nil), q.Busy(start, 1)); diff != "" {
		t.Errorf("Busy mismatch (-want +got):\n%s", diff)
	}
	q.Expire(start.Add(time.Hour))
	if diff := cmp.Diff(map[Fingerprint]Case{}, q.Cases); diff != "" {
		t.Errorf("Cases mismatch (-want +got):\n%s", diff)
	}
}
