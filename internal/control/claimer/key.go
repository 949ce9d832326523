package claimer

import (
	"regexp"
	"time"

	"github.com/google/uuid"
)

// The bounds of a key: its length in bytes, and how far its day may be ahead of the present time.
const (
	maxKeyBytes = 128
	maxKeyAhead = 24 * time.Hour
)

// The codes of keys that are refused.
const (
	CodeKeyMissing = "key_missing"
	CodeKeyUndated = "key_undated"
	CodeKeyExpired = "key_expired"
	CodeKeyFuture  = "key_future"
)

// dayLayout is the layout of a day, and keyDayLayouts are those that a key may begin with.
const dayLayout = "20060102"

var keyDayLayouts = []string{dayLayout, time.DateOnly}

// keyPattern matches the keys that can be part of the key of a row, of a header and of a path.
var keyPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]+$`)

// Key is an idempotency key and the day that it carries.
type Key struct {
	Text string
	// Day is the day of the key in UTC, as YYYYMMDD. It is derived from the key alone and never from a clock, so every
	// instance dates a key alike.
	Day string
}

// ParseKey parses a key, or returns the code of what is wrong with it. A key must be dated: it is a version 7 UUID (RFC
// 9562, section 5.7) or begins with a day as in 20261231-order-17 or 2026-12-31-order-17.
func ParseKey(text string) (Key, string) {
	if text == "" {
		return Key{}, CodeKeyMissing
	}
	if len(text) > maxKeyBytes || !keyPattern.MatchString(text) {
		return Key{}, CodeKeyUndated
	}
	if id, err := uuid.Parse(text); err == nil && id.Version() == 7 {
		return Key{Text: id.String(), Day: uuidDay(id)}, ""
	}
	for _, layout := range keyDayLayouts {
		if day, ok := leadingDay(text, layout); ok {
			return Key{Text: text, Day: day}, ""
		}
	}
	return Key{}, CodeKeyUndated
}

// leadingDay returns the day at the beginning of a text in a layout, if a dash and more text follow.
func leadingDay(text, layout string) (string, bool) {
	if len(text) < len(layout)+2 || text[len(layout)] != '-' {
		return "", false
	}
	day, err := time.Parse(layout, text[:len(layout)])
	return day.Format(dayLayout), err == nil
}

// uuidDay returns the day of a version 7 UUID, whose first 48 bits count milliseconds of the Unix epoch.
func uuidDay(id uuid.UUID) string {
	var millis int64
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis).UTC().Format(dayLayout)
}

// Horizon is the day before which rows of keys may have been deleted by the collector, and the version of the row that
// holds it. A claim commits only on condition of that version. So no claim of a day is written once the horizon is past
// the day, and no row is deleted before. The zero value is a horizon that was never set.
type Horizon struct {
	Day     string
	Version int64
}

// Check returns the code that says why a key may not be claimed at now, or "" if it may.
func (h Horizon) Check(now time.Time, k Key) string {
	if k.Day < h.Day {
		return CodeKeyExpired
	}
	if k.Day > now.Add(maxKeyAhead).UTC().Format(dayLayout) {
		return CodeKeyFuture
	}
	return ""
}

// Next returns the day of the horizon for a retention at now, and whether the horizon is to be raised to it. Newest is
// the latest day of a key that this instance has received: the horizon is raised only while the clocks of the callers
// are not behind the clock of the instance, since an instance whose clock is far ahead would otherwise expire every key
// of the fleet.
func (h Horizon) Next(now time.Time, retention time.Duration, newest string) (string, bool) {
	day := now.Add(-retention).UTC().Format(dayLayout)
	current := now.Add(-maxCallerLag).UTC().Format(dayLayout)
	return day, day > h.Day && newest >= current
}

// maxCallerLag is how far the clocks of callers may be behind that of an instance for it to raise the horizon.
const maxCallerLag = 24 * time.Hour
