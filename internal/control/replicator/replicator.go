// Package replicator keeps the copy that an instance holds of a table of the platform's store, from answers of the
// store and from what other instances forward. Versions come from one counter of the store, so the newest row wins
// whatever its source.
package replicator

import (
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
	// Version is the version up to which the page is complete.
	Version int64
	// Era counts how often the store has come back from a copy of earlier rows. It then gives versions out again.
	Era int64
}

// Copy is the copy of one table. It is not safe for concurrent use.
type Copy struct {
	Rows map[string]Row
	// Version is the version up to which the copy holds all changes.
	Version int64
	// ConfirmedAt is when the store or another instance last sent changes or confirmed that there are none.
	ConfirmedAt time.Time
}

// New returns an empty copy.
func New() *Copy {
	return &Copy{Rows: map[string]Row{}}
}

// Merge applies the changes up to a version and returns the rows that were newer than those held.
func (c *Copy) Merge(now time.Time, p Page) []Row {
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
// are returned as deletions.
func (c *Copy) Replace(now time.Time, p Page) []Row {
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

// Since returns the rows that are newer than a version.
func (c *Copy) Since(version int64) Page {
	p := Page{Version: c.Version}
	for _, r := range c.Rows {
		if r.Version > version {
			p.Rows = append(p.Rows, r)
		}
	}
	return p
}
