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

// hasExpired reports whether the time to live of the entry is over.
func (h HeldEntry) hasExpired(now time.Time) bool {
	return !h.ExpiresAt.IsZero() && !now.Before(h.ExpiresAt)
}

// sortedNames returns the names of the entries in order.
func (s *Stream) sortedNames() []EntryName {
	out := make([]EntryName, 0, len(s.Entries))
	for n := range s.Entries {
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b EntryName) int {
		return cmp.Or(strings.Compare(a.Topic, b.Topic), strings.Compare(a.Key, b.Key))
	})
	return out
}

// toEntry returns a held entry as an entry for subscribers.
func (s *Stream) toEntry(now time.Time, n EntryName, h HeldEntry) Entry {
	e := Entry{
		Owner: s.Owner, Topic: n.Topic, Key: n.Key,
		Incarnation: s.Incarnation, Version: h.Version, Value: h.Value, Deleted: h.Deleted,
	}
	if !h.ExpiresAt.IsZero() {
		e.TTL = h.ExpiresAt.Sub(now)
	}
	return e
}

// toDeletedEntry returns a held entry as a deleted entry for subscribers.
func (s *Stream) toDeletedEntry(n EntryName, h HeldEntry) Entry {
	return Entry{
		Owner: s.Owner, Topic: n.Topic, Key: n.Key,
		Incarnation: s.Incarnation, Version: h.Version, Value: h.Value, Deleted: true,
	}
}

// dropExpired drops the entries whose time to live is over and returns those that were not yet deleted.
func (s *Stream) dropExpired(now time.Time) []Entry {
	var out []Entry
	for _, n := range s.expiredNames(now) {
		h := s.Entries[n]
		delete(s.Entries, n)
		if h.Deleted {
			s.PurgedVersion = max(s.PurgedVersion, h.Version)
			continue
		}
		out = append(out, s.toDeletedEntry(n, h))
	}
	return out
}

// expiredNames returns the names of the entries whose time to live is over, in order.
func (s *Stream) expiredNames(now time.Time) []EntryName {
	var out []EntryName
	for n, h := range s.Entries {
		if h.hasExpired(now) {
			out = append(out, n)
		}
	}
	slices.SortFunc(out, func(a, b EntryName) int {
		return cmp.Or(strings.Compare(a.Topic, b.Topic), strings.Compare(a.Key, b.Key))
	})
	return out
}

// dropAll drops all entries and returns those that were not yet deleted.
func (s *Stream) dropAll() []Entry {
	var out []Entry
	for _, n := range s.sortedNames() {
		if h := s.Entries[n]; !h.Deleted {
			out = append(out, s.toDeletedEntry(n, h))
		}
	}
	s.Entries = map[EntryName]HeldEntry{}
	return out
}

// markOwnerGone marks the owner as gone and drops its entries. Versions that were held before are not accepted again.
func (s *Stream) markOwnerGone() []Entry {
	s.OwnerGone = true
	s.ExpiredVersion = max(s.ExpiredVersion, s.Version)
	s.Version = 0
	return s.dropAll()
}

// changesSince returns the entries above a version, ordered by version.
func (s *Stream) changesSince(now time.Time, version int64) []Change {
	var out []Change
	for n, h := range s.Entries {
		if h.Version <= version || h.hasExpired(now) {
			continue
		}
		c := Change{Topic: n.Topic, Key: n.Key, Version: h.Version, Value: h.Value, Deleted: h.Deleted}
		if !h.ExpiresAt.IsZero() {
			c.TTL = max(1, h.ExpiresAt.Sub(now).Milliseconds())
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Version, b.Version) })
	return out
}
