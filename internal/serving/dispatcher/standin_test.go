package dispatcher

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/caller"
	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/standin/booker"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
	standin "github.com/heatherrock/heatherrock/internal/standin/tabler"
)

// fleet is two instances on one table service and one stock service, all over loopback.
type fleet struct {
	table  *faulter.Server
	stock  *faulter.Server
	ledger *booker.Ledger
	send   []func(attempt int) told
}

// serve starts a stand-in that comes back from each crash.
func serve(t *testing.T, h http.Handler, faults *faulter.Faults) *faulter.Server {
	t.Helper()
	s := faulter.NewServer("127.0.0.1:0", h, faults, nil)
	if err := s.Restore(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func newFleet(t *testing.T, lookup string) *fleet {
	t.Helper()
	f := &fleet{ledger: booker.NewLedger(map[string]int{"oak": 10})}
	tableFaults, stockFaults := faulter.NewFaults(1), faulter.NewFaults(1)
	f.table = serve(t, standin.New(standin.WithFaults(tableFaults)).Handler(), tableFaults)
	f.stock = serve(t, booker.New(f.ledger, booker.PathHolds, lookup != ""), stockFaults)
	w := world{addresses: []string{f.stock.Address()}, lookup: lookup, deadline: 600}
	for n := range 2 {
		client := tabler.NewClient("http://"+f.table.Address(), caller.WithTimeout(100*time.Millisecond))
		t.Cleanup(client.Close)
		_, s := entry(t, fmt.Sprint("entry-", n), client, w, WithTable(100*time.Millisecond))
		f.send = append(f.send, func(attempt int) told {
			return call(t, s, http.MethodPost, "/v1/services/stock/holds", `{"item":"oak","quantity":1}`,
				HeaderKey, day+"-frame", HeaderAttempt, strconv.Itoa(attempt))
		})
	}
	return f
}

// ran returns how often the hold ran.
func (f *fleet) ran() int {
	n := 0
	for _, runs := range f.ledger.Runs() {
		n += runs
	}
	return n
}

// check compares what a caller was told with what ran until then.
func (f *fleet) check(t *testing.T, name string, a told) {
	t.Helper()
	ran := f.ran()
	wrong := ran > 1 ||
		(a.Outcome == classifier.VerdictNotRun.String() && ran != 0) ||
		(a.Outcome == classifier.VerdictCompleted.String() && ran != 1)
	if wrong {
		t.Errorf("%s: told %+v, ran %d times", name, a, ran)
	}
}

// TestFaultsOfRealConnections strikes each call to the table and to the service with each fault, and sends again to
// another instance.
func TestFaultsOfRealConnections(t *testing.T) {
	kinds := []faulter.Kind{faulter.Refuse, faulter.Crash, faulter.Delay, faulter.Lose, faulter.Silent, faulter.Late}
	for _, lookup := range []string{"", "/holds/{key}"} {
		for _, place := range []string{standin.CallCommit, standin.CallGet, "POST " + booker.PathHolds, "GET " + booker.PathHolds} {
			for _, kind := range kinds {
				for skip := range 2 {
					name := fmt.Sprintf("%s/%s/skip=%d/lookup=%s", place, kind, skip, lookup)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						f := newFleet(t, lookup)
						fault := faulter.Fault{Call: place, Kind: kind, Skip: skip, Count: 1, Delay: 250}
						strike(t, f, fault)
						f.check(t, "first", f.send[0](1))
						f.check(t, "second", f.send[1](2))
						f.check(t, "third", f.send[0](3))
					})
				}
			}
		}
	}
}

// strike sets a fault at the table or at the service.
func strike(t *testing.T, f *fleet, fault faulter.Fault) {
	t.Helper()
	at := f.table
	if fault.Call != standin.CallCommit && fault.Call != standin.CallGet {
		at = f.stock
	}
	if err := at.Faults.Set(fault); err != nil {
		t.Fatal(err)
	}
}
