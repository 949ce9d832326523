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
}

// List writes this instance into the table unless it is there, and returns all instances of the table.
func (t *instanceTable) List(ctx context.Context) ([]lister.Instance, error) {
	s := t.gateway.settings
	page, err := t.gateway.platform.Store.Rows(ctx, instanceTableName)
	if err != nil {
		return nil, err
	}
	out, isListed := decodeInstances(page, s.ID)
	if isListed {
		return out, nil
	}
	b, err := json.Marshal(lister.Instance{
		ID: s.ID, Role: lister.RoleEntry, Address: s.PeersAddress, DataCentre: s.DataCentre, Region: s.Region,
	})
	if err != nil {
		return nil, err
	}
	// The row's key is the machine's name, so that a restarted process replaces the row of the previous one.
	set := replicator.Row{Key: s.Name, Value: b}
	if _, err := t.gateway.platform.Store.Commit(ctx, syncer.Change{Table: instanceTableName, Set: []replicator.Row{set}}); err != nil {
		return nil, err
	}
	// Reading again ensures that of two instances that write at once, at least one sees the other.
	if page, err = t.gateway.platform.Store.Rows(ctx, instanceTableName); err != nil {
		return nil, err
	}
	out, _ = decodeInstances(page, s.ID)
	return out, nil
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
