package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/control/replicator"
	"github.com/heatherrock/heatherrock/internal/serving/syncer"
)

// instanceTableName is the store's table of instances.
const instanceTableName = "instance"

// instanceTable reads and writes the store's table of the fleet's instances.
type instanceTable struct {
	gateway *Gateway
	// isListed reports whether the last read of the table listed this instance.
	isListed bool
	// restored receives a value when the store has come back from a copy, which may lack this instance.
	restored chan struct{}
}

const (
	// maxRewriteDelay is the longest delay before an instance writes its row again, so that not all instances write at once.
	maxRewriteDelay = time.Second
	// rowWriteTimeout bounds a write, and rowRetryDelay is the pause after one that failed.
	rowWriteTimeout = 2 * time.Second
	rowRetryDelay   = time.Second
)

// newInstanceTable returns the table of the fleet's instances.
func newInstanceTable(g *Gateway) *instanceTable {
	return &instanceTable{gateway: g, restored: make(chan struct{}, 1)}
}

// handleRestore makes run write this instance into the table again.
func (t *instanceTable) handleRestore() {
	select {
	case t.restored <- struct{}{}:
	default: // A write is due already.
	}
}

// run writes this instance into the table after each restoration of the store, until done is closed.
func (t *instanceTable) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-t.restored:
		}
		t.writeAgain(done)
	}
}

// writeAgain writes this instance into the table after a random delay, until the write succeeds or done is closed.
func (t *instanceTable) writeAgain(done <-chan struct{}) {
	for delay := rand.N(maxRewriteDelay); ; delay = rowRetryDelay {
		select {
		case <-done:
			return
		case <-time.After(delay):
		}
		ctx, cancel := context.WithTimeout(context.Background(), rowWriteTimeout)
		err := t.write(ctx)
		cancel()
		if err == nil {
			return
		}
		t.gateway.log.Warn("instance not listed again", "error", err)
	}
}

// List returns all instances of the table. It writes this instance into the table first unless an earlier call found it
// there, so that of two instances that write at once, at least one sees the other.
func (t *instanceTable) List(ctx context.Context) ([]lister.Instance, error) {
	if !t.isListed {
		if err := t.write(ctx); err != nil {
			return nil, err
		}
	}
	page, err := t.gateway.platform.Store.Rows(ctx, instanceTableName)
	if err != nil {
		return nil, err
	}
	out, isListed, unread := decodeInstances(page, t.gateway.settings.ID)
	t.isListed = isListed
	if unread > 0 {
		t.gateway.log.Warn("instances not read", "rows", unread)
	}
	return out, nil
}

// write writes this instance into the table. The row's key is the machine's name, so that a restarted process replaces
// the row of the previous one.
func (t *instanceTable) write(ctx context.Context) error {
	s := t.gateway.settings
	b, err := json.Marshal(lister.Instance{
		ID: s.ID, Role: lister.RoleEntry, Address: s.PeersAddress, DataCentre: s.DataCentre, Region: s.Region,
	})
	if err != nil {
		return err
	}
	set := replicator.Row{Key: s.Name, Value: b}
	_, err = t.gateway.platform.Store.Commit(ctx, syncer.Change{Table: instanceTableName, Set: []replicator.Row{set}})
	return err
}

// decodeInstances returns the instances of a table, whether the one with the id self is among them, and the number of rows that name
// no instance: those without an id, or whose address is no IP and port.
func decodeInstances(page replicator.Page, self string) (out []lister.Instance, isListed bool, unread int) {
	for _, r := range page.Rows {
		var e lister.Instance
		if err := json.Unmarshal(r.Value, &e); err != nil || e.ID == "" || !isAddress(e.Address) {
			unread++
			continue
		}
		isListed = isListed || e.ID == self
		out = append(out, e)
	}
	return out, isListed, unread
}

// isAddress reports whether a text is an IP address and a port.
func isAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() > 0
}
