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

// collected is the number of rows that one transaction removes, and collectPause the time between two, so that claims
// keep the writes of the table service. Together they carry 44 million calls a day.
const (
	collected    = 512
	collectPause = time.Second
)

// collector raises the horizon as keys grow older than the retention, and removes the rows before it. The instance that
// raises the horizon removes them; what it leaves behind, the next one finds.
type collector struct {
	writer *writer
	view   View
	logger *slog.Logger
	every  time.Duration
}

// loop looks at the horizon until the writer is closed.
func (c *collector) loop() {
	defer c.writer.wait.Done()
	for {
		if c.look() && c.raise() {
			c.remove()
		}
		if !c.sleep(c.every) {
			return
		}
	}
}

// sleep waits for d and returns false once the writer is closed.
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

// look reads the horizon and returns false if it could not be read.
func (c *collector) look() bool {
	ctx, cancel := context.WithTimeout(context.Background(), c.writer.timeout)
	defer cancel()
	row, _, err := c.writer.table.Get(ctx, claimer.Table, horizonKey)
	if err != nil {
		c.logger.Warn("horizon of keys not read", "error", err)
		return false
	}
	c.writer.raise(row)
	return true
}

// raise raises the horizon if it is due, and reports whether this instance did.
func (c *collector) raise() bool {
	retention := time.Duration(c.view.Fleet().KeyRetentionSeconds) * time.Second
	horizon := c.writer.within()
	day, due := horizon.Next(c.writer.now(), retention, c.writer.newestDay())
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
	c.writer.raise(tabler.Row{Key: horizonKey, Value: []byte(day), Version: result.Versions[0]})
	c.logger.Info("horizon of keys raised", "day", day)
	return true
}

// remove removes the rows before the horizon, the oldest first.
func (c *collector) remove() {
	for {
		rows, err := c.oldest()
		if err != nil {
			c.logger.Warn("old claims not read", "error", err)
			return
		}
		txn := tabler.Txn{ID: uuid.NewString()}
		for _, r := range rows {
			if day, _, _ := strings.Cut(r.Key, "/"); day >= c.writer.within().Day {
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

// oldest returns the first rows of the table of claims, which begin with the oldest day.
func (c *collector) oldest() ([]tabler.Row, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.writer.timeout)
	defer cancel()
	return c.writer.table.Scan(ctx, claimer.Table, "", "", collected)
}
