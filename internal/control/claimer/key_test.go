package claimer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestParseKey(t *testing.T) {
	cases := []struct {
		text string
		want Key
		code string
	}{
		{"", Key{}, CodeKeyMissing},
		{"order-17", Key{}, CodeKeyUndated},
		{"20261301-x", Key{}, CodeKeyUndated},
		{"20261231-", Key{}, CodeKeyUndated},
		{"20261231-a/b", Key{}, CodeKeyUndated},
		{"20261231-order-17", Key{Text: "20261231-order-17", Day: "20261231"}, ""},
		{"2026-12-31-order-17", Key{Text: "2026-12-31-order-17", Day: "20261231"}, ""},
		{"2026-12-32-order-17", Key{}, CodeKeyUndated},
		{"0193a5f0-7c00-7abc-8def-0123456789ab", Key{Text: "0193a5f0-7c00-7abc-8def-0123456789ab", Day: "20241208"}, ""},
		{"0193A5F0-7C00-7ABC-8DEF-0123456789AB", Key{Text: "0193a5f0-7c00-7abc-8def-0123456789ab", Day: "20241208"}, ""},
		{"c2d7f1b2-7c00-4abc-8def-0123456789ab", Key{}, CodeKeyUndated},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			key, code := ParseKey(c.text)
			if diff := cmp.Diff(c.want, key); diff != "" {
				t.Errorf("key mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.code, code); diff != "" {
				t.Errorf("code mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

func TestHorizon(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	h := Horizon{Day: "20261120", Version: 3}
	for day, want := range map[string]string{
		"20261119": CodeKeyExpired, "20261120": "", "20261204": "", "20261205": "", "20261206": CodeKeyFuture,
	} {
		if diff := cmp.Diff(want, h.Check(now, Key{Day: day})); diff != "" {
			t.Errorf("day %s mismatch (-want +got):\n%s", day, diff)
		}
	}
	today := now.UTC().Format("20060102")
	if day, raise := h.Next(now, 13*24*time.Hour, today); day != "20261121" || !raise {
		t.Errorf("next horizon is %s, %v", day, raise)
	}
	if _, raise := h.Next(now.AddDate(1, 0, 0), 13*24*time.Hour, today); raise {
		t.Error("a clock that is a year ahead of the callers' raises the horizon")
	}
	if _, raise := h.Next(now, 13*24*time.Hour, ""); raise {
		t.Error("the horizon is raised before any key was sent")
	}
	if _, raise := h.Next(now, 30*24*time.Hour, today); raise {
		t.Error("the horizon would be lowered")
	}
}
