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
	// loadReadInterval is the minimum time between reads of a load, equal to the default setting. loadBytesPerSecond and
	// listBytesPerSecond bound the traffic of reads of loads and of the instance list.
	loadReadInterval   = 500 * time.Millisecond
	loadBytesPerSecond = 3 << 10
	listBytesPerSecond = 1 << 10
	// packetOverheadBytes is the size of the IP and TCP headers and acknowledgements of a request and its response.
	packetOverheadBytes = 4 * 40
	// standbyReadRatio is the number of reads by an endpoint's first watcher for each read by its second.
	standbyReadRatio = 8
)

// measureWatch measures reads of loads over loopback, and the assignment of endpoints to watchers at the planned size.
func measureWatch(r reporter.Result, p plan) (cost, error) {
	var wireBytes atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(serveLoad))
	server.Listener = counter.NewListener(server.Listener, &wireBytes)
	server.Start()
	defer server.Close()
	client := streamer.NewClient()
	defer client.Close()
	address := server.Listener.Addr().String()
	sizes := []float64{200, 400, 800, 1200}
	var core, sent []float64
	for _, n := range sizes {
		wireBytes.Store(0)
		var readErr error
		core = append(core, processorSeconds(func() { readErr = readLoads(client, address, int(n)) }))
		if readErr != nil {
			return cost{}, readErr
		}
		sent = append(sent, float64(wireBytes.Load()))
	}
	coreFit, sizeFit := fitLine(sizes, core), fitLine(sizes, sent)
	first, second := busiestAssignments(p)
	readInterval := watcher.LoadReadInterval(loadReadInterval, int(first+second/standbyReadRatio), loadBytesPerSecond)
	readsPerSecond := (first + second/standbyReadRatio) / readInterval.Seconds()
	unpacedReads := (first + second/standbyReadRatio) / loadReadInterval.Seconds()
	readBytes := sizeFit.Slope + packetOverheadBytes
	r.Set("read_core", coreFit.Slope, "core-seconds a read, the engine's part included")
	r.Set("read_core_error", coreFit.Error, "core-seconds a read")
	r.Set("read_bytes", readBytes, "bytes a read")
	r.Set("duties_first", first, "endpoints a node")
	r.Set("duties_second", second, "endpoints a node")
	r.Set("reads", readsPerSecond, "reads a second and node")
	r.Set("reads_time", readInterval.Seconds(), "s between reads")
	r.Set("reads_unpaced", unpacedReads*readBytes/bytesPerKB, "KB a second")
	listBytes, listInterval := listCost(p)
	r.Set("list_bytes", listBytes, "bytes a read")
	r.Set("list_time", listInterval, "s between reads of the list by one node")
	return cost{core: readsPerSecond * coreFit.Slope, bytes: readsPerSecond*readBytes + listBytes/listInterval}, nil
}

// serveLoad serves a read of a load.
func serveLoad(w http.ResponseWriter, _ *http.Request) {
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

// busiestAssignments returns how many endpoints the busiest instance watches as first and as second watcher at the
// planned size.
func busiestAssignments(p plan) (first, second float64) {
	instances, endpoints := p.instances/p.dataCentres, p.endpoints/p.dataCentres
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
		if ranks[0]+ranks[1]/standbyReadRatio > first+second/standbyReadRatio {
			first, second = ranks[0], ranks[1]
		}
	}
	return first, second
}

// listCost returns the size of the platform's instance list at the planned size in bytes, and the time between one
// instance's reads of it in seconds.
func listCost(p plan) (size, intervalSeconds float64) {
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
	return float64(len(b)), float64(len(list)*listEntryBytes) / listBytesPerSecond
}

// listEntryBytes is the assumed size of a list entry from which the read interval follows.
const listEntryBytes = 160
