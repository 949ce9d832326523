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

// testFleet is two instances that share a table service and a stock service, all on loopback connections.
type testFleet struct {
	table  *faulter.Server
	stock  *faulter.Server
	ledger *booker.Ledger
	send   []func(attempt int) callResponse
}

// startStandin starts a stand-in server that restarts after each crash.
func startStandin(t *testing.T, h http.Handler, faults *faulter.Faults) *faulter.Server {
	t.Helper()
	s := faulter.NewServer("127.0.0.1:0", h, faults, nil)
	if err := s.Restore(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func newFleet(t *testing.T, lookupPath string) *testFleet {
	t.Helper()
	f := &testFleet{ledger: booker.NewLedger(map[string]int{"oak": 10})}
	tableFaults, stockFaults := faulter.NewFaults(1), faulter.NewFaults(1)
	f.table = startStandin(t, standin.New(standin.WithFaults(tableFaults)).Handler(), tableFaults)
	f.stock = startStandin(t, booker.New(f.ledger, booker.PathHolds, lookupPath != ""), stockFaults)
	env := testEnv{addresses: []string{f.stock.Address()}, lookupPath: lookupPath, deadlineMillis: 600}
	for n := range 2 {
		client := tabler.NewClient("http://"+f.table.Address(), caller.WithTimeout(100*time.Millisecond))
		t.Cleanup(client.Close)
		_, s := startInstance(t, fmt.Sprint("entry-", n), client, env, WithTableTimeout(100*time.Millisecond))
		f.send = append(f.send, func(attempt int) callResponse {
			return sendCall(t, s, http.MethodPost, "/v1/services/stock/holds", `{"item":"oak","quantity":1}`,
				HeaderKey, day+"-frame", HeaderAttempt, strconv.Itoa(attempt))
		})
	}
	return f
}

// runCount returns how often the hold ran.
func (f *testFleet) runCount() int {
	n := 0
	for _, runs := range f.ledger.RunCounts() {
		n += runs
	}
	return n
}

// check compares the outcome in an answer with the number of runs so far.
func (f *testFleet) check(t *testing.T, name string, a callResponse) {
	t.Helper()
	ran := f.runCount()
	wrong := ran > 1 ||
		(a.Outcome == classifier.VerdictNotRun.String() && ran != 0) ||
		(a.Outcome == classifier.VerdictCompleted.String() && ran != 1)
	if wrong {
		t.Errorf("%s: answered %+v, ran %d times", name, a, ran)
	}
}

// TestFaultsOfRealConnections injects each fault into each call to the table and to the service, and retries the call
// at another instance. No answer may contradict what ran.
func TestFaultsOfRealConnections(t *testing.T) {
	kinds := []faulter.Kind{faulter.Refuse, faulter.Crash, faulter.Delay, faulter.DropResponse, faulter.Hang, faulter.RunLate}
	for _, lookupPath := range []string{"", "/holds/{key}"} {
		for _, callPrefix := range []string{standin.CallCommit, standin.CallGet, "POST " + booker.PathHolds, "GET " + booker.PathHolds} {
			for _, kind := range kinds {
				for skip := range 2 {
					name := fmt.Sprintf("%s/%s/skip=%d/lookup=%s", callPrefix, kind, skip, lookupPath)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						f := newFleet(t, lookupPath)
						fault := faulter.Fault{CallPrefix: callPrefix, Kind: kind, SkipCalls: skip, MaxHits: 1, DelayMillis: 250}
						setFault(t, f, fault)
						f.check(t, "first", f.send[0](1))
						f.check(t, "second", f.send[1](2))
						f.check(t, "third", f.send[0](3))
					})
				}
			}
		}
	}
}

// setFault injects a fault at the table service or at the stock service.
func setFault(t *testing.T, f *testFleet, fault faulter.Fault) {
	t.Helper()
	target := f.table
	if fault.CallPrefix != standin.CallCommit && fault.CallPrefix != standin.CallGet {
		target = f.stock
	}
	if err := target.Faults.AddFaults(fault); err != nil {
		t.Fatal(err)
	}
}
