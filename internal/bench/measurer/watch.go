package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/counter"
	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/control/assigner"
	"github.com/heatherrock/heatherrock/internal/serving/watcher"
)

const (
	// reportTime is the least time between reads of a load, as the settings' default. The allowances are the bytes a
	// second that reads of loads and of the list may take.
	reportTime    = 500 * time.Millisecond
	loadAllowance = 3 << 10
	listAllowance = 1 << 10
	// packetBytes is what headers of IP and TCP and acknowledgements add to a request and its answer, in bytes.
	packetBytes = 4 * 40
	// standbyReads is how many reads of a second watcher go to one of a first.
	standbyReads = 8
)

// watch measures reads of loads over loopback, and the division of the duties at the planned size.
func watch(r reporter.Result, p plan) (cost, error) {
	var bytes atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(report))
	server.Listener = counter.NewListener(server.Listener, &bytes)
	server.Start()
	defer server.Close()
	client := streamer.NewClient()
	defer client.Close()
	address := server.Listener.Addr().String()
	sizes := []float64{200, 400, 800, 1200}
	var core, sent []float64
	for _, n := range sizes {
		bytes.Store(0)
		var failure error
		core = append(core, spent(func() { failure = readLoads(client, address, int(n)) }))
		if failure != nil {
			return cost{}, failure
		}
		sent = append(sent, float64(bytes.Load()))
	}
	reads, size := fit(sizes, core), fit(sizes, sent)
	first, second := dutiesEach(p)
	pace := watcher.LoadReadInterval(reportTime, int(first+second/standbyReads), loadAllowance)
	rate := (first + second/standbyReads) / pace.Seconds()
	unpaced := (first + second/standbyReads) / reportTime.Seconds()
	each := size.Slope + packetBytes
	r.Set("read_core", reads.Slope, "core-seconds a read, the engine's part included")
	r.Set("read_core_error", reads.Error, "core-seconds a read")
	r.Set("read_bytes", each, "bytes a read")
	r.Set("duties_first", first, "endpoints a node")
	r.Set("duties_second", second, "endpoints a node")
	r.Set("reads", rate, "reads a second and node")
	r.Set("reads_time", pace.Seconds(), "s between reads")
	r.Set("reads_unpaced", unpaced*each/kilo, "KB a second")
	list, listTime := listCost(p)
	r.Set("list_bytes", list, "bytes a read")
	r.Set("list_time", listTime, "s between reads of the list by one node")
	return cost{core: rate * reads.Slope, bytes: rate*each + list/listTime}, nil
}

// report answers a read of a load.
func report(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	l := streamer.Load{
		Endpoint: "engine-0421", Kind: "a", Held: []streamer.LayerRange{{Model: "large", Version: "v12", From: 20, To: 40}},
		Adapters: []string{"fitting", "diagnosis"}, RunningRequests: 405, WaitingRequests: 12, LayerStepsPerSecond: 81_000, ReportedAtMillis: 1_700_000_000_000,
	}
	_ = json.NewEncoder(w).Encode(l)
}

// readLoads reads a load a number of times.
func readLoads(c *streamer.Client, address string, count int) error {
	for range count {
		if _, err := c.Load(context.Background(), address); err != nil {
			return err
		}
	}
	return nil
}

// dutiesEach returns the endpoints that the busiest node watches as first and as second, at the planned size.
func dutiesEach(p plan) (first, second float64) {
	instances, endpoints := p.instances/p.centres, p.endpoints/p.centres
	var nodes, engines []assigner.Node
	for i := range instances {
		nodes = append(nodes, assigner.Node{ID: fmt.Sprint("entry-", i)})
	}
	for i := range endpoints {
		engines = append(engines, assigner.Node{ID: fmt.Sprint("engine-", i)})
	}
	for _, n := range nodes {
		var ranks [2]float64
		for _, d := range assigner.Assignments(n.ID, engines, nodes, len(ranks)) {
			ranks[d.Rank]++
		}
		if ranks[0]+ranks[1]/standbyReads > first+second/standbyReads {
			first, second = ranks[0], ranks[1]
		}
	}
	return first, second
}

// listCost returns the size of the platform's list at the planned size, in bytes, and the time between a node's reads
// of it, in seconds.
func listCost(p plan) (size, every float64) {
	var list []lister.Instance
	for i := range p.instances + p.endpoints {
		list = append(list, lister.Instance{
			ID: fmt.Sprintf("engine-%04d", i), Role: lister.RoleEngine, Address: fmt.Sprintf("10.20.%d.%d:8000", i/250, i%250),
			DataCentre: "scot-central-a", Region: "scot-central", Kind: "a",
		})
	}
	b, err := json.Marshal(list)
	if err != nil {
		panic(err) // The list always has an encoding.
	}
	return float64(len(b)), float64(len(list)*listEntryBytes) / listAllowance
}

// listEntryBytes is the size of a list's entry for which the reads are spaced, in bytes.
const listEntryBytes = 160
