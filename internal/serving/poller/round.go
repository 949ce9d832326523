package poller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/accepter"
	"github.com/heatherrock/heatherrock/internal/control/follower"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

// Limits of the snapshots and the log in the store.
const (
	// snapshotEvery is the number of epochs between whole snapshots.
	snapshotEvery = 64
	// logDeltasKept is the number of deltas before the newest snapshot that the log keeps.
	logDeltasKept = 1024
	// scanLimit bounds the rows returned by one scan of the log.
	scanLimit = 200
)

// errLogTruncated means that the log no longer holds the requested deltas.
var errLogTruncated = merry.New("the log begins after the requested epoch")

// Poll reads the head once and catches up with it, from the store or, if the store fails, from peers.
func (p *Poller) Poll(ctx context.Context) {
	d, err := p.readHead(ctx)
	if err == nil && !d.NeedsFetch {
		return
	}
	if err == nil {
		err = p.catchUp(ctx)
	}
	if err != nil {
		p.options.scope.Counter("config_store_failures").Inc(1)
		p.logStoreError(err)
		p.catchUpFromPeers(ctx)
	}
}

// logStoreError logs why the configuration could not be updated from the store.
func (p *Poller) logStoreError(err error) {
	if errors.Is(err, recorder.ErrChecksum) {
		p.options.logger.Error("the store's log does not lead to the configuration accepted", "error", err)
		return
	}
	p.options.logger.Debug("updating the configuration from the store failed", "error", err)
}

// readHead reads the head from the store and records it with the follower.
func (p *Poller) readHead(ctx context.Context) (follower.Decision, error) {
	row, err := p.getRow(ctx, accepter.HeadKey)
	if err != nil {
		return follower.Decision{}, err
	}
	head, err := accepter.Decode[accepter.Head](row)
	if err != nil {
		return follower.Decision{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.follower.RecordHead(p.options.clock(), head.Epoch)
	return d, d.Err
}

// getRow reads one row of the configuration. An absent row has version 0.
func (p *Poller) getRow(ctx context.Context, key string) (tabler.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.timeout)
	defer cancel()
	row, found, err := p.table.Get(ctx, accepter.Table, key)
	if err != nil || !found {
		return tabler.Row{}, err
	}
	return row, nil
}

// catchUp updates the configuration from the store: from the log, or from the newest whole snapshot and the log after
// it.
func (p *Poller) catchUp(ctx context.Context) error {
	err := p.applyLog(ctx)
	if !errors.Is(err, errLogTruncated) {
		return err
	}
	if err := p.loadSnapshot(ctx); err != nil {
		return err
	}
	return p.applyLog(ctx)
}

// applyLog applies the deltas of the log after the newest known epoch.
func (p *Poller) applyLog(ctx context.Context) error {
	for {
		deltas, err := p.Deltas(ctx, p.LatestSnapshot().Epoch)
		if err != nil {
			return err
		}
		for _, delta := range deltas {
			d := p.applyDelta(delta)
			switch {
			case errors.Is(d.Err, recorder.ErrGap):
				return errLogTruncated
			case errors.Is(d.Err, recorder.ErrChecksum):
				return d.Err
			}
		}
		if len(deltas) < scanLimit {
			return nil
		}
	}
}

// Deltas returns at most 200 deltas of the log after an epoch, in order.
func (p *Poller) Deltas(ctx context.Context, after int64) ([]recorder.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.timeout)
	defer cancel()
	return Deltas(ctx, p.table, after)
}

// Deltas returns at most 200 deltas of a table's log after an epoch, in order.
func Deltas(ctx context.Context, table tabler.Table, after int64) ([]recorder.Delta, error) {
	rows, err := table.Scan(ctx, accepter.Table, accepter.LogPrefix, accepter.LogKey(after), scanLimit)
	if err != nil {
		return nil, err
	}
	deltas := make([]recorder.Delta, 0, len(rows))
	for _, row := range rows {
		d, err := accepter.Decode[recorder.Delta](row)
		if err != nil {
			return nil, err
		}
		deltas = append(deltas, d)
	}
	return deltas, nil
}

// loadSnapshot applies the newest whole snapshot in the object store, if its content matches the checksum in its name.
func (p *Poller) loadSnapshot(ctx context.Context) error {
	row, err := p.getRow(ctx, accepter.SnapshotKey)
	if err != nil {
		return err
	}
	pointer, err := accepter.Decode[accepter.Pointer](row)
	if err != nil || pointer.Epoch == 0 {
		return merry.Prepend(errLogTruncated, "no snapshot")
	}
	ctx, cancel := context.WithTimeout(ctx, p.options.timeout)
	defer cancel()
	body, found, err := p.objects.Get(ctx, pointer.Object)
	if err != nil {
		return err
	}
	if !found {
		return merry.Prependf(errLogTruncated, "object %s is gone", pointer.Object)
	}
	var s recorder.Snapshot
	if err := json.Unmarshal(body, &s); err != nil {
		return merry.Prependf(err, "object %s", pointer.Object)
	}
	if objectName(s) != pointer.Object {
		return merry.Prependf(recorder.ErrChecksum, "object %s", pointer.Object)
	}
	if d := p.applySnapshot(s); errors.Is(d.Err, follower.ErrStaleEpoch) {
		return d.Err
	}
	return nil
}

// objectName returns the name of a whole snapshot's object, which holds its epoch and checksum.
func objectName(s recorder.Snapshot) string {
	return fmt.Sprintf("config/%d-%s", s.Epoch, s.Checksum())
}

// Compact stores a whole snapshot of the newest known configuration, once every 64 epochs, and then deletes the oldest
// part of the log. An error is the store's; the next snapshot makes up for one that failed.
func (p *Poller) Compact(ctx context.Context) error {
	s := p.LatestSnapshot()
	if s.Epoch == 0 || s.Epoch%snapshotEvery != 0 {
		return nil
	}
	row, err := p.getRow(ctx, accepter.SnapshotKey)
	if err != nil {
		return err
	}
	newest, err := accepter.Decode[accepter.Pointer](row)
	// An instance that was paused must not set the pointer back to a snapshot whose log may be deleted.
	if err != nil || newest.Epoch >= s.Epoch {
		return err
	}
	body, err := json.Marshal(s)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 10*p.options.timeout)
	defer cancel()
	pointer := accepter.Pointer{Epoch: s.Epoch, Object: objectName(s)}
	if err := p.objects.Put(ctx, pointer.Object, body); err != nil {
		return err
	}
	return p.writePointer(ctx, row.Version, pointer)
}

// writePointer sets the pointer to a snapshot, provided its row's version is unchanged, and deletes the oldest part of
// the log in the same transaction.
func (p *Poller) writePointer(ctx context.Context, version int64, pointer accepter.Pointer) error {
	value, err := json.Marshal(pointer)
	if err != nil {
		return err
	}
	txn := tabler.Txn{
		ID:         pointer.Object,
		Conditions: []tabler.Condition{{Table: accepter.Table, Key: accepter.SnapshotKey, Version: version}},
		Writes:     []tabler.Write{{Table: accepter.Table, Key: accepter.SnapshotKey, Value: value}},
	}
	old, err := p.table.Scan(ctx, accepter.Table, accepter.LogPrefix, "", scanLimit)
	if err != nil {
		return err
	}
	for _, r := range old {
		if r.Key < accepter.LogKey(max(0, pointer.Epoch-logDeltasKept)) {
			txn.Writes = append(txn.Writes, tabler.Write{Table: accepter.Table, Key: r.Key, Delete: true})
		}
	}
	_, err = p.table.Commit(ctx, txn)
	return err
}

func (p *Poller) now() time.Time {
	return p.options.clock()
}
