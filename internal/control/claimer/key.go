package claimer

import (
	"regexp"
	"time"

	"github.com/google/uuid"
)

// The bounds of a key: its length in bytes, and how far its day may lie ahead of the present time.
const (
	maxKey   = 128
	maxAhead = 24 * time.Hour
)

// The codes of keys that are refused.
const (
	CodeMissing = "key_missing"
	CodeUndated = "key_undated"
	CodeExpired = "key_expired"
	CodeFuture  = "key_future"
)

// dayLayout is the layout of a day, and layouts are those that a key may begin with.
const dayLayout = "20060102"

var layouts = []string{dayLayout, time.DateOnly}

// keyPattern is the set of keys that can be a part of a row's key, a header and a path.
var keyPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]+$`)

// Key is an idempotency key and the day that it carries.
type Key struct {
	Text string
	// Day is the day of the key in UTC, as YYYYMMDD. It comes from the key alone and never from a clock, so every
	// instance dates a key alike.
	Day string
}

// ParseKey returns the key in a text, or the code of what is wrong with it. A key is dated: it is a version 7 UUID
// (RFC 9562, section 5.7) or begins with a day as in 20261231-order-17 or 2026-12-31-order-17.
func ParseKey(text string) (Key, string) {
	if text == "" {
		return Key{}, CodeMissing
	}
	if len(text) > maxKey || !keyPattern.MatchString(text) {
		return Key{}, CodeUndated
	}
	if id, err := uuid.Parse(text); err == nil && id.Version() == 7 {
		return Key{Text: id.String(), Day: dayOf(id)}, ""
	}
	for _, layout := range layouts {
		if day, ok := leading(text, layout); ok {
			return Key{Text: text, Day: day}, ""
		}
	}
	return Key{}, CodeUndated
}

// leading returns the day that a text begins with in a layout, if a dash and more follow.
func leading(text, layout string) (string, bool) {
	if len(text) < len(layout)+2 || text[len(layout)] != '-' {
		return "", false
	}
	day, err := time.Parse(layout, text[:len(layout)])
	return day.Format(dayLayout), err == nil
}

// dayOf returns the day of a version 7 UUID, whose first 48 bits count milliseconds of the Unix epoch.
func dayOf(id uuid.UUID) string {
	var stamp int64
	for _, b := range id[:6] {
		stamp = stamp<<8 | int64(b)
	}
	return time.UnixMilli(stamp).UTC().Format(dayLayout)
}

// Horizon is the day before which the rows of keys may have been collected, and the version of the row that holds it.
// A claim commits only on condition of that version: so no claim of a day is written after the horizon has passed the
// day, and no row is collected before. The zero value is a horizon that was never set.
type Horizon struct {
	Day     string
	Version int64
}

// Check returns the code of what makes a key unfit for a claim at now, or "".
func (h Horizon) Check(now time.Time, k Key) string {
	if k.Day < h.Day {
		return CodeExpired
	}
	if k.Day > now.Add(maxAhead).UTC().Format(dayLayout) {
		return CodeFuture
	}
	return ""
}

// Next returns the horizon's day for a retention at now, and whether it is to be raised. Newest is the latest day of a
// key that this instance was sent: the horizon is raised only while the callers' clocks are not behind its own, since an
// instance whose clock is far ahead would otherwise let every key of the fleet expire.
func (h Horizon) Next(now time.Time, retention time.Duration, newest string) (string, bool) {
	day := now.Add(-retention).UTC().Format(dayLayout)
	current := now.Add(-maxBehind).UTC().Format(dayLayout)
	return day, day > h.Day && newest >= current
}

// maxBehind is how far the callers' clocks may be behind an instance's for it to raise the horizon.
const maxBehind = 24 * time.Hour
