package spreader

import (
	"context"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
)

// staticList is an instance list that does not change.
type staticList []gossiper.Peer

// List returns the instances.
func (s staticList) List(context.Context) ([]lister.Instance, error) {
	var out []lister.Instance
	for _, p := range s {
		out = append(out, lister.Instance{ID: p.ID, Role: lister.RoleEntry, Address: p.Address, DataCentre: p.DataCentre,
			Region: p.Region})
	}
	return out, nil
}
