package syncer

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/control/replicator"
)

// delayedChange is a change that is held back until a time.
type delayedChange struct {
	row       replicator.Row
	releaseAt time.Time
}

// delayDeletions holds back deletions that arrive shortly after an outage of the store, and those that the peer which relays them
// holds back, for the times in held. It returns the other changed rows, and the earlier changes whose delay has passed.
func (t *followedTable) delayDeletions(now time.Time, changed []replicator.Row, held map[string]time.Duration) []replicator.Row {
	if !t.DelaysDeletions {
		return changed
	}
	var out []replicator.Row
	for _, r := range changed {
		delete(t.delayedChanges, r.Key)
		releaseAt := t.regainedAt.Add(deletionDelay)
		if at := now.Add(min(held[r.Key], deletionDelay)); at.After(releaseAt) {
			releaseAt = at
		}
		if r.Deleted && now.Before(releaseAt) {
			t.delayedChanges[r.Key] = delayedChange{r, releaseAt}
			continue
		}
		out = append(out, r)
	}
	for key, d := range t.delayedChanges {
		if now.After(d.releaseAt) {
			out = append(out, d.row)
			delete(t.delayedChanges, key)
		}
	}
	return out
}

// delayReversions holds back the changes of rows that were known before the store came back from a copy, which may be older:
// those that have changed since are written again. It returns the other rows.
func (t *followedTable) delayReversions(now time.Time, changed []replicator.Row, oldRows map[string]replicator.Row) []replicator.Row {
	if !t.DelaysDeletions {
		return changed
	}
	t.regainedAt = now
	releaseAt := now.Add(deletionDelay)
	for key, d := range t.delayedChanges {
		t.delayedChanges[key] = delayedChange{d.row, releaseAt}
	}
	var out []replicator.Row
	for _, r := range changed {
		if _, ok := oldRows[r.Key]; !ok {
			out = append(out, r)
			continue
		}
		t.delayedChanges[r.Key] = delayedChange{r, releaseAt}
	}
	return out
}

// heldDeletions returns for how much longer deletions are held back, by key.
func (t *followedTable) heldDeletions(now time.Time) map[string]time.Duration {
	var out map[string]time.Duration
	for key, d := range t.delayedChanges {
		if left := d.releaseAt.Sub(now); d.row.Deleted && left > 0 {
			if out == nil {
				out = map[string]time.Duration{}
			}
			out[key] = left
		}
	}
	return out
}

// recordConfirmation records that a peer reads the store, and has done so without interruption since a time. A peer that did not
// notice a failure of this instance's read within outageNoticeTime shows that the store was not down.
func (t *followedTable) recordConfirmation(now, since time.Time) {
	switch {
	case t.lostAt.IsZero():
	case since.After(t.lostAt):
		t.lostAt, t.regainedAt = time.Time{}, now
	case now.Sub(t.lostAt) >= outageNoticeTime:
		t.lostAt = time.Time{}
	}
}
