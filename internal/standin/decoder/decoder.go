// Package decoder is a stand-in for a model engine. It holds ranges of layers, batches steps, caches prompt prefixes,
// exports and imports KV caches and takes orders. Its arithmetic is a hash over every layer and position, so that the
// text of an answer shows whether each layer ran once for each token, in order.
package decoder

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/heatherrock/heatherrock/internal/client/caller"
	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
)

// The defaults of the options.
const (
	defaultPing  = 200 * time.Millisecond
	defaultBatch = 16
	defaultCache = 256
	defaultRate  = 1e6
	// retained bounds the requests that an engine remembers, and cached those ended ones whose caches it keeps.
	retained = 4096
	cached   = 256
	// idle is the time without a step after which a request no longer counts as running: an engine is not told when
	// the one before it dies.
	idle = 5 * time.Second
	// maxBody bounds the body of a call, in bytes.
	maxBody = 64 << 20
)

// Service is the time that an engine takes. A batch of at most Batch steps takes Layer for each layer and Prefill for
// each layer and position of a prefix that is not cached.
type Service struct {
	Layer   time.Duration `json:"layer"`
	Prefill time.Duration `json:"prefill"`
	Batch   int           `json:"batch"`
}

// Decoder is one model engine, as an http.Handler.
type Decoder struct {
	endpoint string
	kind     string
	service  Service
	ping     time.Duration
	lag      time.Duration
	marker   string
	fenced   bool
	clock    func() time.Time
	crash    func()
	link     func(address string, positions int) time.Duration
	faults   *faulter.Faults
	timeout  time.Duration
	fetch    Fetch
	drop     func(sequence int64) bool
	router   *mux.Router
	client   *http.Client
	batcher  *batcher
	prefixes *prefixes
	done     <-chan struct{}
	lifetime context.Context
	cancel   context.CancelFunc

	mu       sync.Mutex
	held     []streamer.Held
	adapters []string
	role     string
	leaving  bool
	report   streamer.Load
	sessions *sessions
	caches   map[string]Cache
	orders   orders
	down     chan struct{}
}

// Option sets one property of a Decoder.
type Option func(*Decoder)

// WithEndpoint sets the endpoint's id. It is "engine" if not set.
func WithEndpoint(id string) Option { return func(d *Decoder) { d.endpoint = id } }

// WithKind sets the kind of accelerator.
func WithKind(kind string) Option { return func(d *Decoder) { d.kind = kind } }

// WithHeld sets the layer ranges loaded at first. Without it the engine holds nothing.
func WithHeld(held ...streamer.Held) Option { return func(d *Decoder) { d.held = held } }

// WithAdapters sets the adapters loaded at first.
func WithAdapters(names ...string) Option { return func(d *Decoder) { d.adapters = names } }

// WithService sets the engine's times. Without it steps take no time.
func WithService(s Service) Option { return func(d *Decoder) { d.service = s } }

// WithPing sets the longest time without a line on a stream. It is 200 ms if not set.
func WithPing(interval time.Duration) Option { return func(d *Decoder) { d.ping = interval } }

// WithLag sets how old a load report or cache event may be.
func WithLag(lag time.Duration) Option { return func(d *Decoder) { d.lag = lag } }

// WithPoison sets a marker: a prompt that contains it crashes every engine that runs it.
func WithPoison(marker string) Option { return func(d *Decoder) { d.marker = marker } }

// WithFence makes the engine refuse an order whose fencing number is lower than the highest that it has seen.
func WithFence() Option { return func(d *Decoder) { d.fenced = true } }

// WithClock sets the clock. It is time.Now if not set.
func WithClock(clock func() time.Time) Option { return func(d *Decoder) { d.clock = clock } }

// WithCrash sets what ends the engine's process. Without it, Crash cuts the connections until Restore.
func WithCrash(crash func()) Option { return func(d *Decoder) { d.crash = crash } }

// WithLink sets the delay of the link to another engine, by its address and the positions that a step carries.
func WithLink(link func(address string, positions int) time.Duration) Option {
	return func(d *Decoder) { d.link = link }
}

// WithTimeout sets how long the engine of the last stage but one waits for that of the last; each one before it waits
// as long again, so that the fault names the endpoint that is silent. Without it an engine waits until the caller
// leaves.
func WithTimeout(timeout time.Duration) Option { return func(d *Decoder) { d.timeout = timeout } }

// WithWeights sets how weights are fetched for an order to load. Without it they are there at once.
func WithWeights(fetch Fetch) Option { return func(d *Decoder) { d.fetch = fetch } }

// WithFaults sets the faults of the kind Skip, which hit the steps of this engine's stage.
func WithFaults(f *faulter.Faults) Option { return func(d *Decoder) { d.faults = f } }

// WithGaps sets which cache events are lost.
func WithGaps(drop func(sequence int64) bool) Option { return func(d *Decoder) { d.drop = drop } }

// WithCache bounds the cached prompt prefixes. It is 256 if not set.
func WithCache(size int) Option { return func(d *Decoder) { d.prefixes = newPrefixes(size) } }

// New returns an engine. Close ends its goroutines.
func New(options ...Option) *Decoder {
	d := &Decoder{
		endpoint: "engine",
		ping:     defaultPing,
		clock:    time.Now,
		service:  Service{Batch: defaultBatch},
		link:     func(string, int) time.Duration { return 0 },
		drop:     func(int64) bool { return false },
		prefixes: newPrefixes(defaultCache),
		caches:   map[string]Cache{},
		sessions: newSessions(),
		down:     make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
			MaxIdleConnsPerHost: 256,
			IdleConnTimeout:     time.Minute,
		}},
	}
	d.lifetime, d.cancel = context.WithCancel(context.Background())
	d.done = d.lifetime.Done()
	d.orders.ran = map[string]bool{}
	for _, o := range options {
		o(d)
	}
	if d.service.Batch <= 0 {
		d.service.Batch = defaultBatch
	}
	d.batcher = newBatcher(d.service, d.done)
	d.router = d.routes()
	return d
}

// routes returns the table of the engine's calls.
func (d *Decoder) routes() *mux.Router {
	r := mux.NewRouter()
	r.HandleFunc("/engine/streams", d.openStream).Methods(http.MethodPost)
	r.HandleFunc("/engine/streams/{request}/{attempt}", d.cancelStream).Methods(http.MethodDelete)
	r.HandleFunc("/engine/steps", d.takeStep).Methods(http.MethodPost)
	r.HandleFunc("/engine/load", d.getLoad).Methods(http.MethodGet)
	r.HandleFunc("/engine/events", d.getEvents).Methods(http.MethodGet)
	r.HandleFunc("/engine/orders", d.postOrder).Methods(http.MethodPost)
	r.HandleFunc("/engine/orders", d.getOrders).Methods(http.MethodGet)
	r.HandleFunc("/engine/caches/{name}", d.exportCache).Methods(http.MethodGet)
	r.HandleFunc("/engine/caches/{name}", d.importCache).Methods(http.MethodPost)
	return r
}

// ServeHTTP answers one call. A crashed engine cuts the connection.
func (d *Decoder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.isDown() {
		panic(http.ErrAbortHandler)
	}
	d.router.ServeHTTP(w, r)
}

// Close ends the engine's goroutines and idle connections.
func (d *Decoder) Close() {
	d.cancel()
	d.client.CloseIdleConnections()
}

// Crash ends the engine's process: what it held in memory besides its layers is lost and its connections are cut.
func (d *Decoder) Crash() {
	d.mu.Lock()
	if !closed(d.down) {
		close(d.down)
	}
	d.sessions = newSessions()
	d.caches = map[string]Cache{}
	d.prefixes.clear()
	d.mu.Unlock()
	if d.crash != nil {
		d.crash()
	}
}

// Restore starts the engine again after a crash.
func (d *Decoder) Restore() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if closed(d.down) {
		d.down = make(chan struct{})
	}
}

func (d *Decoder) isDown() bool {
	return closed(d.crashed())
}

// crashed returns a channel that is closed when the engine crashes.
func (d *Decoder) crashed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down
}

// crashOn crashes the engine and cuts the connection if the prompt holds the marker.
func (d *Decoder) crashOn(prompt string) {
	if d.marker != "" && strings.Contains(prompt, d.marker) {
		d.Crash()
		panic(http.ErrAbortHandler)
	}
}

// Refusal is the body of every answer that is not a success. The work was not run.
type Refusal struct {
	Endpoint string `json:"endpoint"`
	Reason   string `json:"reason"`
}

// refuse answers that the work was not run.
func (d *Decoder) refuse(w http.ResponseWriter, status int, reason string) {
	caller.Refuse(w.Header())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(Refusal{Endpoint: d.endpoint, Reason: reason})
}

// read reads the whole body of a call as JSON, so that the server sees the caller leave.
func read(r *http.Request, into any) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return err
	}
	return json.Unmarshal(body, into)
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
