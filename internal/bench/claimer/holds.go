package claimer

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gorilla/mux"

	"github.com/heatherrock/heatherrock/internal/bench/counter"
	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/serving/dispatcher"
	"github.com/heatherrock/heatherrock/internal/standin/booker"
	standin "github.com/heatherrock/heatherrock/internal/standin/tabler"
)

// The load of the experiment over loopback: closed-loop callers, each of which places one hold after another.
const (
	callerCount    = 32
	holdsPerCaller = 125
)

// runHolds measures holds over loopback: through one dispatcher and its table service, and directly at the service.
func runHolds(seed uint64) (reporter.Result, error) {
	r := reporter.NewResult("holds", seed)
	ledger := booker.NewLedger(map[string]int{"oak": 1 << 30})
	table := standin.New()
	var closers []func()
	defer func() {
		for _, stop := range slices.Backward(closers) {
			stop()
		}
	}()
	var addresses []string
	start := func(h http.Handler) error {
		address, stop, err := startServer(h)
		if err == nil {
			closers = append(closers, stop)
			addresses = append(addresses, address)
		}
		return err
	}
	if err := start(booker.New(ledger, booker.PathHolds, true)); err != nil {
		return r, err
	}
	if err := start(table.Handler()); err != nil {
		return r, err
	}
	client := tabler.NewClient("http://" + addresses[1])
	closers = append(closers, client.Close)
	config := staticConfig(addresses[0])
	logger := slog.New(slog.DiscardHandler)
	d := dispatcher.New("entry-1", client, config, config, config, dispatcher.WithLogger(logger))
	closers = append(closers, d.Close)
	routes := mux.NewRouter()
	d.Register(routes)
	if err := start(routes); err != nil {
		return r, err
	}
	direct, err := runLoad("http://" + addresses[0] + booker.PathHolds)
	if err != nil {
		return r, err
	}
	before := table.Usage()
	claimed, err := runLoad("http://" + addresses[2] + "/v1/services/stock" + booker.PathHolds)
	if err != nil {
		return r, err
	}
	recordLoopback(r, direct, claimed, table.Usage().Commits-before.Commits, ledger)
	return r, nil
}

// recordLoopback records the figures of the runs with and without claims.
func recordLoopback(r reporter.Result, direct, claimed loadResult, commits int64, ledger *booker.Ledger) {
	holds := float64(callerCount * holdsPerCaller)
	duplicates := 0
	for key, n := range ledger.RunCounts() {
		if key != "" && n > 1 {
			duplicates += n - 1
		}
	}
	r.SetTarget("duplicates", float64(duplicates), "holds", 0)
	r.Set("failed", float64(claimed.failedCount), "holds")
	r.Set("writes", float64(commits)/holds, "transactions a hold")
	r.Set("delay_p50", milliseconds(percentile(claimed.delays, 50)-percentile(direct.delays, 50)), "ms")
	r.Set("delay_p99", milliseconds(percentile(claimed.delays, 99)-percentile(direct.delays, 99)), "ms")
	r.Set("core", (claimed.processorTime-direct.processorTime).Seconds()/holds*1000, "core-seconds for 1,000 holds, table's stand-in included")
	r.Set("rate", holds/claimed.elapsed.Seconds(), "holds a second")
}

// loadResult is the outcome of one run of all callers.
type loadResult struct {
	delays        []time.Duration
	failedCount   int
	processorTime time.Duration
	elapsed       time.Duration
}

// loadDriver runs callers against a URL.
type loadDriver struct {
	url    string
	day    string
	client *http.Client

	mu          sync.Mutex
	delays      []time.Duration
	failedCount int
	err         error
}

// runLoad runs all callers against a URL.
func runLoad(url string) (loadResult, error) {
	d := &loadDriver{url: url, day: time.Now().UTC().Format("20060102")}
	transport := &http.Transport{MaxIdleConnsPerHost: callerCount}
	defer transport.CloseIdleConnections()
	d.client = &http.Client{Transport: transport}
	processorBefore, startedAt := counter.ProcessorTime(), time.Now()
	var wait sync.WaitGroup
	for n := range callerCount {
		wait.Go(func() { d.loop(n) })
	}
	wait.Wait()
	slices.Sort(d.delays)
	return loadResult{delays: d.delays, failedCount: d.failedCount, processorTime: counter.ProcessorTime() - processorBefore, elapsed: time.Since(startedAt)}, d.err
}

// loop places the holds of one caller.
func (d *loadDriver) loop(caller int) {
	for n := range holdsPerCaller {
		startedAt := time.Now()
		status, err := d.placeHold(fmt.Sprintf("%s-%d-%d", d.day, caller, n))
		d.mu.Lock()
		d.delays = append(d.delays, time.Since(startedAt))
		if status != http.StatusCreated {
			d.failedCount++
		}
		if err != nil {
			d.err = err
		}
		d.mu.Unlock()
	}
}

// placeHold places one hold and returns the response status.
func (d *loadDriver) placeHold(key string) (int, error) {
	body := io.NopCloser(bytes.NewReader([]byte(`{"item":"oak","quantity":1}`)))
	r, err := http.NewRequest(http.MethodPost, d.url, body)
	if err != nil {
		return 0, merry.Prepend(err, "building a hold")
	}
	r.Header.Set(dispatcher.HeaderKey, key)
	response, err := d.client.Do(r)
	if err != nil {
		return 0, merry.Prepend(err, "placing a hold")
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// startServer serves a handler on a free loopback port until stop is called.
func startServer(h http.Handler) (address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, merry.Prepend(err, "listening")
	}
	s := &http.Server{Handler: h}
	done := make(chan struct{})
	b := &backgroundServer{server: s, listener: l, done: done}
	go b.run()
	return l.Addr().String(), b.stop, nil
}

// backgroundServer serves HTTP on one listener.
type backgroundServer struct {
	server   *http.Server
	listener net.Listener
	done     chan struct{}
}

// run serves until stop is called.
func (b *backgroundServer) run() {
	defer close(b.done)
	_ = b.server.Serve(b.listener)
}

// stop closes the server and waits for run.
func (b *backgroundServer) stop() {
	_ = b.server.Close()
	<-b.done
}

// staticConfig is a configuration of one team and one service with one endpoint, whose address it is.
type staticConfig string

// Service returns the service.
func (s staticConfig) Service(string) (recorder.Service, bool) {
	return recorder.Service{Calls: []recorder.Call{{Method: http.MethodPost, PathPrefix: booker.PathHolds, DeadlineMillis: 5000}}}, true
}

// Fleet returns limits that allow one instance 350 transactions a second.
func (s staticConfig) Fleet() recorder.Fleet {
	return recorder.Fleet{WritesPerSecond: fleetWritesPerSecond}
}

// Members returns an instance count of one.
func (s staticConfig) Members() int { return 1 }

// Choose returns the endpoint.
func (s staticConfig) Choose(string) []dispatcher.Endpoint {
	return []dispatcher.Endpoint{{ID: "stock-1", Address: string(s)}}
}

// RecordResult does nothing.
func (s staticConfig) RecordResult(string, bool, time.Duration) {}

// Team returns the team.
func (s staticConfig) Team(*http.Request) string { return "joiners" }
