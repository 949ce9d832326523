package dispatcher

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/claimer"
)

// collectRows is the number of rows that one transaction removes, and collectPause the time between two transactions, so
// that removals leave the table service's write capacity to claims. Together they are enough for 44 million calls a day.
const (
	collectRows  = 512
	collectPause = time.Second
)

// collector raises the retention horizon as keys grow older than the retention, and removes the rows before it. The
// instance that raises the horizon removes them; rows it leaves are removed by the next instance that raises it.
type collector struct {
	writer   *writer
	view     View
	logger   *slog.Logger
	interval time.Duration
}

// loop checks the horizon at each interval until the writer is closed.
func (c *collector) loop() {
	defer c.writer.wait.Done()
	for {
		if c.readHorizon() && c.raiseHorizon() {
			c.removeExpired()
		}
		if !c.sleep(c.interval) {
			return
		}
	}
}

// sleep waits for d, or returns false if the writer is closed before.
func (c *collector) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-c.writer.done:
		return false
	case <-timer.C:
		return true
	}
}

// readHorizon reads the horizon from the table, or returns false if it could not be read.
func (c *collector) readHorizon() bool {
	ctx, cancel := context.WithTimeout(context.Background(), c.writer.timeout)
	defer cancel()
	row, _, err := c.writer.table.Get(ctx, claimer.Table, horizonKey)
	if err != nil {
		c.logger.Warn("horizon of keys not read", "error", err)
		return false
	}
	c.writer.setHorizon(row)
	return true
}

// raiseHorizon raises the horizon if that is due, and reports whether this instance raised it.
func (c *collector) raiseHorizon() bool {
	retention := time.Duration(c.view.Fleet().KeyRetentionSeconds) * time.Second
	horizon := c.writer.currentHorizon()
	day, due := horizon.Next(c.writer.now(), retention, c.writer.latestKeyDay())
	if retention <= 0 || !due {
		return false
	}
	result := c.writer.commit(tabler.Txn{
		ID:         uuid.NewString(),
		Conditions: []tabler.Condition{{Table: claimer.Table, Key: horizonKey, Version: horizon.Version}},
		Writes:     []tabler.Write{{Table: claimer.Table, Key: horizonKey, Value: []byte(day)}},
	})
	if !result.Applied {
		return false
	}
	c.writer.setHorizon(tabler.Row{Key: horizonKey, Value: []byte(day), Version: result.Versions[0]})
	c.logger.Info("horizon of keys raised", "day", day)
	return true
}

// removeExpired removes the rows of keys older than the horizon, the oldest first.
func (c *collector) removeExpired() {
	for {
		rows, err := c.oldestRows()
		if err != nil {
			c.logger.Warn("old claims not read", "error", err)
			return
		}
		txn := tabler.Txn{ID: uuid.NewString()}
		for _, r := range rows {
			if day, _, _ := strings.Cut(r.Key, "/"); day >= c.writer.currentHorizon().Day {
				break
			}
			txn.Writes = append(txn.Writes, tabler.Write{Table: claimer.Table, Key: r.Key, Delete: true},
				tabler.Write{Table: claimer.DoubtsTable, Key: r.Key, Delete: true})
		}
		if len(txn.Writes) == 0 {
			return
		}
		c.writer.commit(txn)
		if !c.sleep(collectPause) {
			return
		}
	}
}

// oldestRows returns the first rows of the table of claims, whose keys begin with the day and sort by it.
func (c *collector) oldestRows() ([]tabler.Row, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.writer.timeout)
	defer cancel()
	return c.writer.table.Scan(ctx, claimer.Table, "", "", collectRows)
}
