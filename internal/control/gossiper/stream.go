package gossiper

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// compareStreams orders streams by owner and scope.
func compareStreams(a, b *Stream) int {
	return cmp.Or(strings.Compare(a.Owner, b.Owner), cmp.Compare(a.Scope, b.Scope))
}

// over reports whether the entry's time to live is over.
func (h Held) over(now time.Time) bool {
	return !h.Expires.IsZero() && !now.Before(h.Expires)
}

// names returns the names of the entries in order.
func (s *Stream) names() []Name {
	out := make([]Name, 0, len(s.Entries))
	for n := range s.Entries {
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b Name) int {
		return cmp.Or(strings.Compare(a.Topic, b.Topic), strings.Compare(a.Key, b.Key))
	})
	return out
}

// entry returns a held entry as told to subscribers.
func (s *Stream) entry(now time.Time, n Name, h Held) Entry {
	e := Entry{
		Owner: s.Owner, Topic: n.Topic, Key: n.Key,
		Incarnation: s.Incarnation, Version: h.Version, Value: h.Value, Deleted: h.Deleted,
	}
	if !h.Expires.IsZero() {
		e.TTL = h.Expires.Sub(now)
	}
	return e
}

// deleted returns a held entry as one that is deleted.
func (s *Stream) deleted(n Name, h Held) Entry {
	return Entry{
		Owner: s.Owner, Topic: n.Topic, Key: n.Key,
		Incarnation: s.Incarnation, Version: h.Version, Value: h.Value, Deleted: true,
	}
}

// expire drops the entries whose time to live is over and returns those that were not yet deleted.
func (s *Stream) expire(now time.Time) []Entry {
	var out []Entry
	for _, n := range s.expired(now) {
		h := s.Entries[n]
		delete(s.Entries, n)
		if h.Deleted {
			s.Purged = max(s.Purged, h.Version)
			continue
		}
		out = append(out, s.deleted(n, h))
	}
	return out
}

// expired returns the names of the entries whose time to live is over, in order.
func (s *Stream) expired(now time.Time) []Name {
	var out []Name
	for n, h := range s.Entries {
		if h.over(now) {
			out = append(out, n)
		}
	}
	slices.SortFunc(out, func(a, b Name) int {
		return cmp.Or(strings.Compare(a.Topic, b.Topic), strings.Compare(a.Key, b.Key))
	})
	return out
}

// drop removes all entries and returns those that were not yet deleted.
func (s *Stream) drop() []Entry {
	var out []Entry
	for _, n := range s.names() {
		if h := s.Entries[n]; !h.Deleted {
			out = append(out, s.deleted(n, h))
		}
	}
	s.Entries = map[Name]Held{}
	return out
}

// lose marks the owner as gone. Its entries are dropped, and nothing that was known of it is taken again.
func (s *Stream) lose() []Entry {
	s.Gone = true
	s.Floor = max(s.Floor, s.Version)
	s.Version = 0
	return s.drop()
}

// since returns the entries above a version, in the order of their versions.
func (s *Stream) since(now time.Time, version int64) []Change {
	var out []Change
	for n, h := range s.Entries {
		if h.Version <= version || h.over(now) {
			continue
		}
		c := Change{Topic: n.Topic, Key: n.Key, Version: h.Version, Value: h.Value, Deleted: h.Deleted}
		if !h.Expires.IsZero() {
			c.TTL = max(1, h.Expires.Sub(now).Milliseconds())
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Version, b.Version) })
	return out
}
