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

// The load of the experiment over loopback: closed callers, each of which places one hold after the other.
const (
	loopCallers = 32
	loopHolds   = 125
)

// runHolds measures holds over loopback: through one dispatcher and its table service, and at the service directly.
func runHolds(seed uint64) (reporter.Result, error) {
	r := reporter.NewResult("holds", seed)
	ledger := booker.NewLedger(map[string]int{"oak": 1 << 30})
	table := standin.New()
	var stops []func()
	defer func() {
		for _, stop := range slices.Backward(stops) {
			stop()
		}
	}()
	var addresses []string
	start := func(h http.Handler) error {
		address, stop, err := serve(h)
		if err == nil {
			stops = append(stops, stop)
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
	stops = append(stops, client.Close)
	c := single(addresses[0])
	quiet := slog.New(slog.DiscardHandler)
	d := dispatcher.New("entry-1", client, c, c, c, dispatcher.WithLogger(quiet))
	stops = append(stops, d.Close)
	routes := mux.NewRouter()
	d.Register(routes)
	if err := start(routes); err != nil {
		return r, err
	}
	direct, err := drive("http://" + addresses[0] + booker.PathHolds)
	if err != nil {
		return r, err
	}
	before := table.Usage()
	claimed, err := drive("http://" + addresses[2] + "/v1/services/stock" + booker.PathHolds)
	if err != nil {
		return r, err
	}
	loopback(r, direct, claimed, table.Usage().Commits-before.Commits, ledger)
	return r, nil
}

// loopback reports the figures of the runs with and without claims.
func loopback(r reporter.Result, direct, claimed measured, commits int64, ledger *booker.Ledger) {
	holds := float64(loopCallers * loopHolds)
	doubled := 0
	for key, n := range ledger.RunCounts() {
		if key != "" && n > 1 {
			doubled += n - 1
		}
	}
	r.SetTarget("duplicates", float64(doubled), "holds", 0)
	r.Set("failed", float64(claimed.failed), "holds")
	r.Set("writes", float64(commits)/holds, "transactions a hold")
	r.Set("delay_p50", milliseconds(quantile(claimed.delays, 50)-quantile(direct.delays, 50)), "ms")
	r.Set("delay_p99", milliseconds(quantile(claimed.delays, 99)-quantile(direct.delays, 99)), "ms")
	r.Set("core", (claimed.core-direct.core).Seconds()/holds*1000, "core-seconds for 1,000 holds, table's stand-in included")
	r.Set("rate", holds/claimed.took.Seconds(), "holds a second")
}

// measured is what became of one run of all callers.
type measured struct {
	delays []time.Duration
	failed int
	core   time.Duration
	took   time.Duration
}

// driver runs callers against a URL.
type driver struct {
	url    string
	day    string
	client *http.Client

	mu     sync.Mutex
	delays []time.Duration
	failed int
	err    error
}

// drive lets all callers place their holds at a URL.
func drive(url string) (measured, error) {
	d := &driver{url: url, day: time.Now().UTC().Format("20060102")}
	transport := &http.Transport{MaxIdleConnsPerHost: loopCallers}
	defer transport.CloseIdleConnections()
	d.client = &http.Client{Transport: transport}
	core, begun := counter.Processor(), time.Now()
	var wait sync.WaitGroup
	for n := range loopCallers {
		wait.Go(func() { d.loop(n) })
	}
	wait.Wait()
	slices.Sort(d.delays)
	return measured{delays: d.delays, failed: d.failed, core: counter.Processor() - core, took: time.Since(begun)}, d.err
}

// loop places the holds of one caller.
func (d *driver) loop(caller int) {
	for n := range loopHolds {
		begun := time.Now()
		status, err := d.place(fmt.Sprintf("%s-%d-%d", d.day, caller, n))
		d.mu.Lock()
		d.delays = append(d.delays, time.Since(begun))
		if status != http.StatusCreated {
			d.failed++
		}
		if err != nil {
			d.err = err
		}
		d.mu.Unlock()
	}
}

// place places one hold and returns the status.
func (d *driver) place(key string) (int, error) {
	body := io.NopCloser(bytes.NewReader([]byte(`{"item":"oak","quantity":1}`)))
	r, err := http.NewRequest(http.MethodPost, d.url, body)
	if err != nil {
		return 0, merry.Prepend(err, "building a hold")
	}
	r.Header.Set(dispatcher.HeaderKey, key)
	answer, err := d.client.Do(r)
	if err != nil {
		return 0, merry.Prepend(err, "placing a hold")
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}

// serve serves a handler on a free port of the loopback until stop is called.
func serve(h http.Handler) (address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, merry.Prepend(err, "listening")
	}
	s := &http.Server{Handler: h}
	done := make(chan struct{})
	f := &front{server: s, listener: l, done: done}
	go f.run()
	return l.Addr().String(), f.stop, nil
}

// front serves one listener.
type front struct {
	server   *http.Server
	listener net.Listener
	done     chan struct{}
}

// run serves until stop is called.
func (f *front) run() {
	defer close(f.done)
	_ = f.server.Serve(f.listener)
}

// stop ends the server and waits for run.
func (f *front) stop() {
	_ = f.server.Close()
	<-f.done
}

// single is a configuration of one service with one endpoint, at an address, and one team.
type single string

// Service returns the service.
func (s single) Service(string) (recorder.Service, bool) {
	return recorder.Service{Calls: []recorder.Call{{Method: http.MethodPost, PathPrefix: booker.PathHolds, DeadlineMillis: 5000}}}, true
}

// Fleet returns limits that leave one instance 350 transactions a second.
func (s single) Fleet() recorder.Fleet {
	return recorder.Fleet{WritesPerSecond: fleetWrites}
}

// Members counts one instance.
func (s single) Members() int { return 1 }

// Choose returns the endpoint.
func (s single) Choose(string) []dispatcher.Endpoint {
	return []dispatcher.Endpoint{{ID: "stock-1", Address: string(s)}}
}

// RecordResult does nothing.
func (s single) RecordResult(string, bool, time.Duration) {}

// Team returns the team.
func (s single) Team(*http.Request) string { return "joiners" }
