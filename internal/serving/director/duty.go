package director

import (
	"context"
	"slices"

	"github.com/heatherrock/heatherrock/internal/control/elector"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/control/replicator"
	"github.com/heatherrock/heatherrock/internal/serving/syncer"
)

// HandleRestore makes the director write the duty's row again if it holds the duty: the store has come back from a copy.
func (d *Director) HandleRestore() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rowLost = d.elector.Holds()
}

// handleDuty records the duty as a peer reports it.
func (d *Director) handleDuty(e gossiper.Entry) {
	if e.Deleted || e.Key != d.service {
		return
	}
	duty, err := elector.Decode(e.Value)
	if err != nil {
		d.log.Warn("duty not read", "peer", e.Owner, "error", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordDuty(duty)
}

// recordDuty records the duty as a peer or the store reports it. The lock is held.
func (d *Director) recordDuty(duty elector.Duty) {
	held := d.elector.Holds()
	d.elector.RecordDuty(d.clock(), duty)
	if held && !d.elector.Holds() {
		d.log.Warn("duty lost", "holder", duty.Holder, "token", duty.Token)
		d.exchange.Withdraw(topicDuty, d.service)
	}
}

// ensureDuty takes the duty if it is vacant, and reports whether this instance holds it.
func (d *Director) ensureDuty() bool {
	d.mu.Lock()
	now := d.clock()
	if d.elector.Holds() && !d.leaving {
		d.mu.Unlock()
		return true
	}
	var livePeers []string
	for _, p := range d.exchange.LivePeers() {
		if !p.Leaving {
			livePeers = append(livePeers, p.ID)
		}
	}
	shouldTake := !d.leaving && d.model.Engine != nil && d.elector.ShouldTakeOver(now, livePeers)
	d.mu.Unlock()
	if !shouldTake {
		return false
	}
	return d.takeDuty(livePeers)
}

// takeDuty reads the duty's row and writes this instance into it unless its holder is alive.
func (d *Director) takeDuty(livePeers []string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	row, err := d.readRow(ctx)
	if err != nil {
		d.log.Warn("duty not read", "error", err)
		d.backOff()
		return false
	}
	now := d.clock()
	d.mu.Lock()
	d.elector.RecordDuty(now, row.duty)
	// The row may be older than what this instance has heard of, if the store has come back from a copy.
	duty := d.elector.Duty
	d.mu.Unlock()
	if slices.Contains(livePeers, duty.Holder) && duty.Holder != d.self {
		return false
	}
	// A token is never used twice, not even after a write whose result is unknown, or one that the store has lost.
	next := elector.Duty{Holder: d.self, Token: max(duty.Token, row.era*tokensPerEra) + 1}
	if err := d.writeRow(ctx, row, next); err != nil {
		d.log.Warn("duty not taken", "token", next.Token, "error", err)
		d.backOff()
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.elector.RecordDuty(d.clock(), next)
	d.pending = map[string]pendingOrder{}
	d.log.Info("duty taken", "service", d.service, "token", next.Token, "before", duty.Holder)
	d.exchange.Publish(topicDuty, d.service, next.Encode(), 0)
	return true
}

// dutyRow is the duty's row as the store has it; its version is 0 if there is none.
type dutyRow struct {
	duty    elector.Duty
	version int64
	era     int64
}

// readRow reads the duty's row.
func (d *Director) readRow(ctx context.Context) (dutyRow, error) {
	page, err := d.store.Rows(ctx, dutyTable)
	if err != nil {
		return dutyRow{}, err
	}
	out := dutyRow{era: page.Era}
	for _, r := range page.Rows {
		if r.Key != d.service {
			continue
		}
		out.version = r.Version
		if out.duty, err = elector.Decode(r.Value); err != nil {
			d.log.Warn("duty's row not read", "error", err)
		}
	}
	return out, nil
}

// writeRow replaces the duty's row if it has not changed.
func (d *Director) writeRow(ctx context.Context, before dutyRow, duty elector.Duty) error {
	_, err := d.store.Commit(ctx, syncer.Change{
		Table: dutyTable,
		If:    []syncer.Condition{{Key: d.service, Version: before.version}},
		Era:   before.era,
		Set:   []replicator.Row{{Key: d.service, Value: duty.Encode()}},
	})
	return err
}

// ensureRow writes the duty's row again if the store may have lost it, and reports whether this instance still holds the duty:
// another one may have taken it since.
func (d *Director) ensureRow() bool {
	d.mu.Lock()
	now, duty := d.clock(), d.elector.Duty
	if !d.rowLost || now.Before(d.rowRetryAt) {
		d.mu.Unlock()
		return true
	}
	d.rowRetryAt = now.Add(rowRetryDelay)
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	row, err := d.readRow(ctx)
	if err == nil && row.duty.Token < duty.Token {
		err = d.writeRow(ctx, row, duty)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.log.Warn("duty's row not written again", "token", duty.Token, "error", err)
		return d.elector.Holds()
	}
	d.rowLost = false
	d.log.Info("duty's row written again", "service", d.service, "token", duty.Token, "before", row.duty.Token)
	d.recordDuty(row.duty)
	return d.elector.Holds()
}

// backOff delays this instance's next attempt to take the duty.
func (d *Director) backOff() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.elector.CooldownUntil = d.clock().Add(checkInterval * 3)
}

// Holds reports whether this instance holds the duty.
func (d *Director) Holds() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.elector.Holds()
}
