package spreader

import (
	"context"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
)

// known is a list of instances that does not change.
type known []gossiper.Peer

// List returns the instances.
func (k known) List(context.Context) ([]lister.Instance, error) {
	var out []lister.Instance
	for _, p := range k {
		out = append(out, lister.Instance{ID: p.ID, Role: lister.RoleEntry, Address: p.Address, DataCentre: p.DataCentre,
			Region: p.Region})
	}
	return out, nil
}
