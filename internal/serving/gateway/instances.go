package gateway

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/control/replicator"
	"github.com/heatherrock/heatherrock/internal/serving/syncer"
)

// tableInstances is the store's table of instances.
const tableInstances = "instance"

// instances is the list of the fleet's instances in the store.
type instances struct {
	g *Gateway
}

// List writes this instance into the table and returns all that are in it.
func (i *instances) List(ctx context.Context) ([]lister.Instance, error) {
	s := i.g.settings
	page, err := i.g.platform.Store.Rows(ctx, tableInstances)
	if err != nil {
		return nil, err
	}
	out, present := decodeInstances(page, s.ID)
	if present {
		return out, nil
	}
	b, err := json.Marshal(lister.Instance{
		ID: s.ID, Role: lister.RoleEntry, Address: s.Peers, DataCentre: s.DataCentre, Region: s.Region,
	})
	if err != nil {
		return nil, err
	}
	// The row is under the machine's name, so that a restart takes the place of the process before.
	set := replicator.Row{Key: s.Name, Value: b}
	if _, err := i.g.platform.Store.Commit(ctx, syncer.Change{Table: tableInstances, Set: []replicator.Row{set}}); err != nil {
		return nil, err
	}
	// Read again: of two that write at once, at least one sees the other.
	if page, err = i.g.platform.Store.Rows(ctx, tableInstances); err != nil {
		return nil, err
	}
	out, _ = decodeInstances(page, s.ID)
	return out, nil
}

// decodeInstances returns the instances of a table, and whether one is among them.
func decodeInstances(page replicator.Page, self string) ([]lister.Instance, bool) {
	var out []lister.Instance
	present := false
	for _, r := range page.Rows {
		var e lister.Instance
		if err := json.Unmarshal(r.Value, &e); err != nil || strings.TrimSpace(e.Address) == "" {
			continue
		}
		present = present || e.ID == self
		out = append(out, e)
	}
	return out, present
}
