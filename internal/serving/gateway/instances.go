package gateway

import (
	"context"
	"encoding/json"
	"strings"

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
	out, isListed := decodeInstances(page, t.gateway.settings.ID)
	t.isListed = isListed
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

// decodeInstances returns the instances of a table, and whether the one with the id self is among them.
func decodeInstances(page replicator.Page, self string) ([]lister.Instance, bool) {
	var out []lister.Instance
	isListed := false
	for _, r := range page.Rows {
		var e lister.Instance
		if err := json.Unmarshal(r.Value, &e); err != nil || strings.TrimSpace(e.Address) == "" {
			continue
		}
		isListed = isListed || e.ID == self
		out = append(out, e)
	}
	return out, isListed
}
