package director

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/routing/placer"
	"github.com/heatherrock/heatherrock/internal/serving/exchanger"
)

// TestMovedEndpointMayDrain moves an endpoint that takes 8 s to finish its streams before it loads anything. It is
// empty meanwhile and receives no other order. If it is empty for far longer, its order counts as lost and it receives
// another one.
func TestMovedEndpointMayDrain(t *testing.T) {
	now := time.Unix(1000, 0)
	e := newFakeEndpoints()
	// Three endpoints hold the first third of the layers, one the second and two the last.
	for i, third := range []int{0, 0, 0, 1, 2, 2} {
		e.held[fmt.Sprint("e", i)] = placer.Range{From: 3 * third, To: 3*third + 3}
	}
	x := exchanger.New(gossiper.Peer{ID: "a", DataCentre: "a"})
	d := New("a", "s", nil, x, e, slog.New(slog.DiscardHandler), func() time.Time { return now })
	d.UpdateModel(now, e.model())
	d.newOrder(now, placer.Assignment{ID: "e0", Range: placer.Range{From: 3, To: 6}})
	e.held["e0"] = placer.Range{}
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{time.Second, 0}, {8 * time.Second, 0}, {30 * time.Second, 1}} {
		now = time.Unix(1000, 0).Add(c.after)
		d.UpdateModel(now, e.model())
		if got := d.dueOrders(); len(got) != c.want {
			t.Errorf("%v after the move: orders %v, want %d", c.after, got, c.want)
		}
	}
}
