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

func TestSignals(t *testing.T) {
	k := Key{"e", "h:1"}
	cases := []struct {
		name    string
		signals func(d *Departer)
		want    bool
	}{
		{"list says leaving", func(d *Departer) { d.MarkLeaving(k, SourceList, at(0)) }, true},
		{"stale list says live", func(d *Departer) {
			d.MarkLeaving(k, SourceList, at(0))
			d.RecordListed(at(1), k)
		}, true},
		{"stale report after the list", func(d *Departer) {
			d.MarkLeaving(k, SourceList, at(0))
			d.RecordReport(k, at(5))
		}, true},
		{"list after the report, then a newer report", func(d *Departer) {
			d.MarkLeaving(k, SourceReport, at(0))
			d.MarkLeaving(k, SourceList, at(1))
			d.RecordReport(k, at(5))
		}, true},
		{"older report", func(d *Departer) {
			d.MarkLeaving(k, SourceReport, at(5))
			d.RecordReport(k, at(4))
		}, true},
		{"restarted at the same address", func(d *Departer) {
			d.MarkLeaving(k, SourceReport, at(5))
			d.RecordReport(k, at(6))
		}, false},
		{"absent for less than the lag", func(d *Departer) {
			d.MarkLeaving(k, SourceList, at(0))
			d.RecordMissing(at(1), k)
			d.RecordListed(at(9), k)
		}, true},
		{"absent for longer than the lag", func(d *Departer) {
			d.MarkLeaving(k, SourceList, at(0))
			d.RecordMissing(at(1), k)
			d.RecordListed(at(12), k)
		}, false},
		{"shown as leaving in between", func(d *Departer) {
			d.MarkLeaving(k, SourceList, at(0))
			d.RecordMissing(at(1), k)
			d.MarkLeaving(k, SourceList, at(11))
			d.RecordListed(at(13), k)
		}, true},
		{"live for longer than the lag", func(d *Departer) {
			d.MarkLeaving(k, SourceList, at(0))
			d.RecordListed(at(1), k)
			d.RecordListed(at(12), k)
		}, false},
		{"live, absent and live again within the lag", func(d *Departer) {
			d.MarkLeaving(k, SourceList, at(0))
			d.RecordListed(at(1), k)
			d.RecordMissing(at(8), k)
			d.RecordListed(at(14), k)
		}, true},
		{"live, and leaving by a peer's signal", func(d *Departer) {
			d.MarkLeaving(k, SourceList, at(0))
			d.RecordListed(at(1), k)
			d.MarkLeaving(k, SourceList, at(8))
			d.RecordListed(at(14), k)
		}, true},
		{"another address", func(d *Departer) { d.MarkLeaving(Key{"e", "h:2"}, SourceList, at(0)) }, false},
		{"removed after the retention", func(d *Departer) {
			d.MarkLeaving(k, SourceList, at(0))
			d.RecordMissing(at(1), k)
			d.ExpireMarks(at(62))
		}, false},
		{"kept while listed", func(d *Departer) {
			d.MarkLeaving(k, SourceList, at(0))
			d.ExpireMarks(at(9000))
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := New(lag, retention)
			c.signals(d)
			if diff := cmp.Diff(c.want, d.IsLeaving(k)); diff != "" {
				t.Errorf("leaving mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLateLiveSignalsChangeNothing checks that an endpoint which the list showed as leaving stays so under any order of
// late signals, unless the list showed one state without interruption for longer than its lag.
func TestLateLiveSignalsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := Key{"e", "h:1"}
		d := New(lag, retention)
		d.MarkLeaving(k, SourceList, at(0))
		shown, since, now := "leaving", 0, 0
		show := func(state string) bool {
			if shown != state && (state == "absent" || shown != "absent" || now-since <= int(lag/time.Second)) {
				shown, since = state, now
			}
			return now-since <= int(lag/time.Second)
		}
		for range rapid.IntRange(1, 30).Draw(t, "signs") {
			now += rapid.IntRange(0, 4).Draw(t, "pause")
			switch rapid.IntRange(0, 4).Draw(t, "sign") {
			case 0:
				if show("live") {
					d.RecordListed(at(now), k)
				}
			case 1:
				d.RecordReport(k, at(now))
			case 2:
				d.MarkLeaving(k, SourceReport, at(now))
			case 3:
				show("absent")
				d.RecordMissing(at(now), k)
			case 4:
				shown = "leaving"
				d.MarkLeaving(k, SourceList, at(now))
			}
			if !d.IsLeaving(k) {
				t.Fatalf("live again at %d s", now)
			}
		}
	})
}
