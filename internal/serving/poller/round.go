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

// The storage of whole snapshots and of the log.
const (
	// snapshotEvery is the number of epochs between whole snapshots.
	snapshotEvery = 64
	// keepLog is the number of deltas that the log keeps before the newest snapshot.
	keepLog = 1024
	// scanLimit bounds the rows of one scan of the log.
	scanLimit = 200
)

// errBehind means that the log no longer holds what is wanted.
var errBehind = merry.New("the log begins after the epoch wanted")

// Round reads the head once and catches up with it. If the store does not answer, it asks peers.
func (p *Poller) Round(ctx context.Context) {
	d, err := p.head(ctx)
	if err == nil && !d.NeedsFetch {
		return
	}
	if err == nil {
		err = p.catch(ctx)
	}
	if err != nil {
		p.options.scope.Counter("config_store_failures").Inc(1)
		p.logStore(err)
		p.ask(ctx)
	}
}

// logStore logs why the store did not bring the configuration up to date.
func (p *Poller) logStore(err error) {
	if errors.Is(err, recorder.ErrChecksum) {
		p.options.logger.Error("the store's log does not lead to the configuration accepted", "error", err)
		return
	}
	p.options.logger.Debug("store does not tell the configuration", "error", err)
}

// head reads the store's head.
func (p *Poller) head(ctx context.Context) (follower.Decision, error) {
	row, err := p.get(ctx, accepter.HeadKey)
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

// get reads one row of the configuration. An absent row has version 0.
func (p *Poller) get(ctx context.Context, key string) (tabler.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.timeout)
	defer cancel()
	row, found, err := p.table.Get(ctx, accepter.Table, key)
	if err != nil || !found {
		return tabler.Row{}, err
	}
	return row, nil
}

// catch brings the configuration up to the store's: by the log, or by the newest whole snapshot and what follows it.
func (p *Poller) catch(ctx context.Context) error {
	err := p.follow(ctx)
	if !errors.Is(err, errBehind) {
		return err
	}
	if err := p.whole(ctx); err != nil {
		return err
	}
	return p.follow(ctx)
}

// follow applies the deltas of the log that follow what is known.
func (p *Poller) follow(ctx context.Context) error {
	for {
		deltas, err := p.Deltas(ctx, p.Base().Epoch)
		if err != nil {
			return err
		}
		for _, delta := range deltas {
			d := p.advance(delta)
			switch {
			case errors.Is(d.Err, recorder.ErrGap):
				return errBehind
			case errors.Is(d.Err, recorder.ErrChecksum):
				return d.Err
			}
		}
		if len(deltas) < scanLimit {
			return nil
		}
	}
}

// Deltas returns deltas of the log after an epoch, in order, up to a bound.
func (p *Poller) Deltas(ctx context.Context, after int64) ([]recorder.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.timeout)
	defer cancel()
	return Deltas(ctx, p.table, after)
}

// Deltas returns deltas of a table's log after an epoch, in order, up to a bound of 200.
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

// whole applies the newest whole snapshot in the object store.
func (p *Poller) whole(ctx context.Context) error {
	row, err := p.get(ctx, accepter.SnapshotKey)
	if err != nil {
		return err
	}
	pointer, err := accepter.Decode[accepter.Pointer](row)
	if err != nil || pointer.Epoch == 0 {
		return merry.Prepend(errBehind, "no snapshot")
	}
	ctx, cancel := context.WithTimeout(ctx, p.options.timeout)
	defer cancel()
	body, found, err := p.objects.Get(ctx, pointer.Object)
	if err != nil {
		return err
	}
	if !found {
		return merry.Prependf(errBehind, "object %s is gone", pointer.Object)
	}
	var s recorder.Snapshot
	if err := json.Unmarshal(body, &s); err != nil {
		return merry.Prependf(err, "object %s", pointer.Object)
	}
	if object(s) != pointer.Object {
		return merry.Prependf(recorder.ErrChecksum, "object %s", pointer.Object)
	}
	if d := p.apply(s); errors.Is(d.Err, follower.ErrStaleEpoch) {
		return d.Err
	}
	return nil
}

// object returns the name of a whole snapshot's object: its epoch and checksum.
func object(s recorder.Snapshot) string {
	return fmt.Sprintf("config/%d-%s", s.Epoch, s.Checksum())
}

// Compact stores a whole snapshot of what is known, once every 64 epochs, and then drops the oldest part of the log.
// The error is that of the store; the next call of the kind makes up for it.
func (p *Poller) Compact(ctx context.Context) error {
	s := p.Base()
	if s.Epoch == 0 || s.Epoch%snapshotEvery != 0 {
		return nil
	}
	row, err := p.get(ctx, accepter.SnapshotKey)
	if err != nil {
		return err
	}
	newest, err := accepter.Decode[accepter.Pointer](row)
	// An instance that was paused must not point back to a snapshot whose log may be gone.
	if err != nil || newest.Epoch >= s.Epoch {
		return err
	}
	body, err := json.Marshal(s)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 10*p.options.timeout)
	defer cancel()
	pointer := accepter.Pointer{Epoch: s.Epoch, Object: object(s)}
	if err := p.objects.Put(ctx, pointer.Object, body); err != nil {
		return err
	}
	return p.point(ctx, row.Version, pointer)
}

// point writes the pointer to a snapshot on condition of its row's version, and drops the oldest part of the log.
func (p *Poller) point(ctx context.Context, version int64, pointer accepter.Pointer) error {
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
		if r.Key < accepter.LogKey(max(0, pointer.Epoch-keepLog)) {
			txn.Writes = append(txn.Writes, tabler.Write{Table: accepter.Table, Key: r.Key, Delete: true})
		}
	}
	_, err = p.table.Commit(ctx, txn)
	return err
}

// now returns the present time.
func (p *Poller) now() time.Time {
	return p.options.clock()
}
