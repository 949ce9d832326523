package departer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const (
	lag       = 10 * time.Second
	retention = time.Minute
)

// at returns a time some seconds after the start.
func at(seconds int) time.Time {
	return time.Unix(int64(1000+seconds), 0)
}

func TestSigns(t *testing.T) {
	k := Key{"e", "h:1"}
	cases := []struct {
		name  string
		signs func(d *Departer)
		want  bool
	}{
		{"list says leaving", func(d *Departer) { d.Leave(k, SourceList, at(0)) }, true},
		{"stale list says live", func(d *Departer) {
			d.Leave(k, SourceList, at(0))
			d.Listed(at(1), k, false)
		}, true},
		{"stale report after the list", func(d *Departer) {
			d.Leave(k, SourceList, at(0))
			d.Reported(k, at(5))
		}, true},
		{"list after the report, then a newer report", func(d *Departer) {
			d.Leave(k, SourceReport, at(0))
			d.Leave(k, SourceList, at(1))
			d.Reported(k, at(5))
		}, true},
		{"older report", func(d *Departer) {
			d.Leave(k, SourceReport, at(5))
			d.Reported(k, at(4))
		}, true},
		{"restarted at the same address", func(d *Departer) {
			d.Leave(k, SourceReport, at(5))
			d.Reported(k, at(6))
		}, false},
		{"absent for less than the lag", func(d *Departer) {
			d.Leave(k, SourceList, at(0))
			d.Missing(at(1), k)
			d.Listed(at(9), k, false)
		}, true},
		{"absent for longer than the lag", func(d *Departer) {
			d.Leave(k, SourceList, at(0))
			d.Missing(at(1), k)
			d.Listed(at(12), k, false)
		}, false},
		{"shown as leaving in between", func(d *Departer) {
			d.Leave(k, SourceList, at(0))
			d.Missing(at(1), k)
			d.Listed(at(11), k, true)
			d.Listed(at(13), k, false)
		}, true},
		{"another address", func(d *Departer) { d.Leave(Key{"e", "h:2"}, SourceList, at(0)) }, false},
		{"forgotten after the retention", func(d *Departer) {
			d.Leave(k, SourceList, at(0))
			d.Missing(at(1), k)
			d.Expire(at(62))
		}, false},
		{"kept while listed", func(d *Departer) {
			d.Leave(k, SourceList, at(0))
			d.Expire(at(9000))
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := New(lag, retention)
			c.signs(d)
			if diff := cmp.Diff(c.want, d.Leaving(k)); diff != "" {
				t.Errorf("leaving mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLateLiveSignsChangeNothing checks that an endpoint which the list called leaving stays so under any order of
// late signs, unless the list omitted it for longer than its lag.
func TestLateLiveSignsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := Key{"e", "h:1"}
		d := New(lag, retention)
		d.Leave(k, SourceList, at(0))
		const listed = -1
		absent, now := listed, 0
		for range rapid.IntRange(1, 30).Draw(t, "signs") {
			now += rapid.IntRange(0, 4).Draw(t, "pause")
			switch rapid.IntRange(0, 3).Draw(t, "sign") {
			case 0:
				if absent == listed || now-absent <= int(lag/time.Second) {
					d.Listed(at(now), k, false)
					absent = listed
				}
			case 1:
				d.Reported(k, at(now))
			case 2:
				d.Leave(k, SourceReport, at(now))
			case 3:
				d.Missing(at(now), k)
				if absent == listed {
					absent = now
				}
			}
			if !d.Leaving(k) {
				t.Fatalf("live again at %d s", now)
			}
		}
	})
}
