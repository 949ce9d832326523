package director

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/routing/placer"
	"github.com/heatherrock/heatherrock/internal/serving/exchanger"
)

// loadingEndpoints are endpoints that are still carrying out the order of an earlier holder of the duty.
type loadingEndpoints struct {
	*fakeEndpoints
}

// Report returns an endpoint's state: it has begun one order, and holds no layers yet.
func (l loadingEndpoints) Report(context.Context, string, string) (Report, error) {
	return Report{Sequence: 1, Busy: true}, nil
}

// TestOrderOfEarlierHolderIsBelieved takes the duty over while an endpoint loads what the previous holder has ordered.
// The new holder's own order is refused. Once the endpoint's row states what it holds, that counts, not the refused
// order.
func TestOrderOfEarlierHolderIsBelieved(t *testing.T) {
	now := time.Unix(1000, 0)
	e := newFakeEndpoints()
	x := exchanger.New(gossiper.Peer{ID: "a", DataCentre: "a"})
	d := New("a", "s", nil, x, loadingEndpoints{e}, slog.New(slog.DiscardHandler), func() time.Time { return now })
	d.UpdateModel(now, e.model())
	d.readReport(context.Background(), d.newOrder(now, placer.Assignment{ID: "e0", Range: placer.Range{From: 3, To: 6}}))
	holders, unknown := d.holders(now)
	if unknown != 1 {
		t.Errorf("%d endpoints unknown, want 1", unknown)
	}
	for _, h := range holders {
		if h.ID == "e0" {
			t.Errorf("counts as holding %v while it carries out an unknown order", h.Held)
		}
	}
	e.held["e0"] = placer.Range{From: 0, To: 3}
	d.UpdateModel(now.Add(time.Second), e.model())
	if p, ok := d.pending["e0"]; ok {
		t.Errorf("counts as holding %v, which it has refused, while its row states %v", p.ordered, e.held["e0"])
	}
}
