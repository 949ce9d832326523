// Package replicator keeps the copy that an instance holds of a table of the platform's store, from answers of the
// store and from what other instances forward. Versions come from one counter of the store, so the newest row wins
// whatever its source. A store that comes back from a copy of earlier rows begins an era, in which it gives versions out
// again: then the whole table is taken anew.
package replicator

import (
	"bytes"
	"time"
)

// Row is one row of a table at a version. A deleted row is kept, so that an older copy does not restore it.
type Row struct {
	Key     string
	Value   []byte
	Version int64
	Deleted bool
}

// Page is part of a table: the rows of a read or the changes since a version.
type Page struct {
	Rows []Row
	// Version is the version up to which the page is complete, in the era Era.
	Version int64
	Era     int64
	// IsWhole is true if the page holds the whole table.
	IsWhole bool
	// Held holds, by key, for how much longer the instance that relays the page holds the deletion of a row back.
	Held map[string]time.Duration
}

// Head returns the version and era up to which the page is complete.
func (p Page) Head() Head { return Head{p.Version, p.Era} }

// Head is the version up to which a copy or page is complete, and its era.
type Head struct {
	Version int64 `json:"version"`
	Era     int64 `json:"era"`
}

// IsAfter reports whether a head is newer than another one.
func (h Head) IsAfter(o Head) bool {
	return h.Era > o.Era || h.Era == o.Era && h.Version > o.Version
}

// Copy is the copy of one table. It is not safe for concurrent use.
type Copy struct {
	Rows map[string]Row
	// Version is the version up to which the copy holds all changes, in the era Era.
	Version int64
	Era     int64
	// ConfirmedAt is when the store or another instance last sent changes or confirmed that there are none.
	ConfirmedAt time.Time
}

// New returns an empty copy.
func New() *Copy {
	return &Copy{Rows: map[string]Row{}}
}

// Head returns the version and era of the copy.
func (c *Copy) Head() Head { return Head{c.Version, c.Era} }

// Merge applies the changes up to a version and returns the rows that were newer than those held. A page of another era is
// ignored.
func (c *Copy) Merge(now time.Time, p Page) []Row {
	if p.Era != c.Era {
		return nil
	}
	var changed []Row
	for _, r := range p.Rows {
		if old, ok := c.Rows[r.Key]; ok && old.Version >= r.Version {
			continue
		}
		c.Rows[r.Key] = r
		changed = append(changed, r)
	}
	c.Version = max(c.Version, p.Version)
	c.ConfirmedAt = now
	return changed
}

// Replace applies the whole table as of a version and returns the rows that changed. Rows that the table no longer has
// are returned as deletions. In a later era, a row changes if its value differs, whatever its version; a page of an earlier era
// is ignored.
func (c *Copy) Replace(now time.Time, p Page) []Row {
	if p.Era > c.Era {
		return c.restart(now, p)
	}
	listed := make(map[string]bool, len(p.Rows))
	for _, r := range p.Rows {
		listed[r.Key] = true
	}
	for key, r := range c.Rows {
		if !listed[key] && !r.Deleted && r.Version < p.Version {
			p.Rows = append(p.Rows, Row{Key: key, Version: p.Version, Deleted: true})
		}
	}
	return c.Merge(now, p)
}

// restart replaces the copy by the whole table in a later era.
func (c *Copy) restart(now time.Time, p Page) []Row {
	old := c.Rows
	c.Rows, c.Version, c.Era, c.ConfirmedAt = make(map[string]Row, len(p.Rows)), p.Version, p.Era, now
	var changed []Row
	for _, r := range p.Rows {
		c.Rows[r.Key] = r
		if before, ok := old[r.Key]; !ok || before.Deleted || !bytes.Equal(before.Value, r.Value) {
			changed = append(changed, r)
		}
	}
	for key, before := range old {
		if _, ok := c.Rows[key]; !ok && !before.Deleted {
			r := Row{Key: key, Version: p.Version, Deleted: true}
			c.Rows[key] = r
			changed = append(changed, r)
		}
	}
	return changed
}

// Whole returns the whole table.
func (c *Copy) Whole() Page {
	p := Page{Version: c.Version, Era: c.Era, IsWhole: true}
	for _, r := range c.Rows {
		if !r.Deleted {
			p.Rows = append(p.Rows, r)
		}
	}
	return p
}

// Since returns the rows that are newer than a version.
func (c *Copy) Since(version int64) Page {
	p := Page{Version: c.Version, Era: c.Era}
	for _, r := range c.Rows {
		if r.Version > version {
			p.Rows = append(p.Rows, r)
		}
	}
	return p
}
