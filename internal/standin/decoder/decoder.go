// Package decoder is a stand-in for a model engine. It holds ranges of layers, batches steps, caches prompt prefixes,
// exports and imports KV caches and accepts orders. In place of a model it hashes over every layer and position, so the
// text of an answer shows whether each layer ran exactly once per token, in order.
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
	defaultPingInterval        = 200 * time.Millisecond
	defaultMaxBatch            = 16
	defaultCacheSize           = 256
	defaultLayerStepsPerSecond = 1e6
	// maxRetained bounds the requests that an engine keeps state of and the cache events in its log. maxEndedRequests
	// bounds the ended requests whose KV caches it keeps.
	maxRetained      = 4096
	maxEndedRequests = 256
	// idleTimeout is the time without a step after which a request no longer counts as running, because an engine gets
	// no notice when the engine of the previous stage dies.
	idleTimeout = 5 * time.Second
	// maxBodyBytes is the largest request body that is read.
	maxBodyBytes = 64 << 20
)

// Timing describes how long an engine's batches take. A batch of at most MaxBatch steps takes LayerTime per layer, plus
// PrefillTime per layer and position of an uncached prefix.
type Timing struct {
	LayerTime   time.Duration `json:"layer"`
	PrefillTime time.Duration `json:"prefill"`
	MaxBatch    int           `json:"batch"`
}

// Decoder is one model engine, as an http.Handler.
type Decoder struct {
	endpoint      string
	kind          string
	timing        Timing
	pingInterval  time.Duration
	reportLag     time.Duration
	poisonMarker  string
	checksFencing bool
	clock         func() time.Time
	onCrash       func()
	linkDelay     func(address string, positions int) time.Duration
	faults        *faulter.Faults
	stageTimeout  time.Duration
	fetchWeights  Fetch
	dropsEvent    func(sequence int64) bool
	router        *mux.Router
	client        *http.Client
	batcher       *batcher
	prefixes      *prefixCache
	done          <-chan struct{}
	lifetime      context.Context
	cancel        context.CancelFunc

	mu             sync.Mutex
	held           []streamer.LayerRange
	adapters       []string
	role           string
	leaving        bool
	lastReport     streamer.Load
	sessions       *sessions
	importedCaches map[string]Cache
	orders         orders
	down           chan struct{}
}

// Option sets one property of a Decoder.
type Option func(*Decoder)

// WithEndpoint sets the endpoint's id. It is "engine" if not set.
func WithEndpoint(id string) Option { return func(d *Decoder) { d.endpoint = id } }

// WithKind sets the kind of accelerator.
func WithKind(kind string) Option { return func(d *Decoder) { d.kind = kind } }

// WithLayerRanges sets the layer ranges loaded at start. Without it the engine holds none.
func WithLayerRanges(held ...streamer.LayerRange) Option { return func(d *Decoder) { d.held = held } }

// WithAdapters sets the adapters loaded at start.
func WithAdapters(names ...string) Option { return func(d *Decoder) { d.adapters = names } }

// WithTiming sets how long the engine's batches take. Without it steps take no time.
func WithTiming(t Timing) Option { return func(d *Decoder) { d.timing = t } }

// WithPingInterval sets the time between pings on a stream that waits for a token. It is 200 ms if not set.
func WithPingInterval(interval time.Duration) Option {
	return func(d *Decoder) { d.pingInterval = interval }
}

// WithLag sets the maximum age of a served load report and the delay of cache events. It is 0 if not set.
func WithLag(lag time.Duration) Option { return func(d *Decoder) { d.reportLag = lag } }

// WithPoisonMarker sets a marker that crashes every engine that runs a prompt containing it.
func WithPoisonMarker(marker string) Option { return func(d *Decoder) { d.poisonMarker = marker } }

// WithFencing makes the engine reject an order whose fencing token is lower than the highest one it has received.
func WithFencing() Option { return func(d *Decoder) { d.checksFencing = true } }

// WithClock sets the clock. It is time.Now if not set.
func WithClock(clock func() time.Time) Option { return func(d *Decoder) { d.clock = clock } }

// WithCrash sets the function by which Crash ends the engine's process. Without it, Crash cuts the connections until
// Restore.
func WithCrash(crash func()) Option { return func(d *Decoder) { d.onCrash = crash } }

// WithLinkDelay sets the delay of a step on the link to another engine, by that engine's address and the number of
// positions that the step carries. Without it links have no delay.
func WithLinkDelay(link func(address string, positions int) time.Duration) Option {
	return func(d *Decoder) { d.linkDelay = link }
}

// WithStageTimeout sets how long the engine of the last stage but one waits for that of the last. Each engine before it
// waits one timeout longer, so that the fault names the endpoint that does not respond. Without it an engine waits
// until the caller disconnects.
func WithStageTimeout(timeout time.Duration) Option {
	return func(d *Decoder) { d.stageTimeout = timeout }
}

// WithWeights sets how the weights of a load order are fetched. Without it they are available at once.
func WithWeights(fetch Fetch) Option { return func(d *Decoder) { d.fetchWeights = fetch } }

// WithFaults sets the set of faults. The engine applies those of kind SkipLayer to the steps of its stage.
func WithFaults(f *faulter.Faults) Option { return func(d *Decoder) { d.faults = f } }

// WithEventLoss sets which cache events are lost, by their sequence number. Without it none are.
func WithEventLoss(drop func(sequence int64) bool) Option {
	return func(d *Decoder) { d.dropsEvent = drop }
}

// WithCacheSize sets the maximum number of cached prompt prefixes, one per block of a prompt. It is 256 if not set.
func WithCacheSize(size int) Option { return func(d *Decoder) { d.prefixes = newPrefixCache(size) } }

// New returns an engine. Close ends its goroutines.
func New(options ...Option) *Decoder {
	d := &Decoder{
		endpoint:       "engine",
		pingInterval:   defaultPingInterval,
		clock:          time.Now,
		timing:         Timing{MaxBatch: defaultMaxBatch},
		linkDelay:      func(string, int) time.Duration { return 0 },
		dropsEvent:     func(int64) bool { return false },
		prefixes:       newPrefixCache(defaultCacheSize),
		importedCaches: map[string]Cache{},
		sessions:       newSessions(),
		down:           make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
			MaxIdleConnsPerHost: 256,
			IdleConnTimeout:     time.Minute,
		}},
	}
	d.lifetime, d.cancel = context.WithCancel(context.Background())
	d.done = d.lifetime.Done()
	d.orders.seenIDs = map[string]bool{}
	for _, o := range options {
		o(d)
	}
	if d.timing.MaxBatch <= 0 {
		d.timing.MaxBatch = defaultMaxBatch
	}
	d.batcher = newBatcher(d.timing, d.done)
	d.router = d.routes()
	return d
}

// routes returns the router of the engine's HTTP calls.
func (d *Decoder) routes() *mux.Router {
	r := mux.NewRouter()
	r.HandleFunc("/engine/streams", d.openStream).Methods(http.MethodPost)
	r.HandleFunc("/engine/streams/{request}/{attempt}", d.cancelStream).Methods(http.MethodDelete)
	r.HandleFunc("/engine/steps", d.postStep).Methods(http.MethodPost)
	r.HandleFunc("/engine/load", d.getLoad).Methods(http.MethodGet)
	r.HandleFunc("/engine/events", d.getEvents).Methods(http.MethodGet)
	r.HandleFunc("/engine/orders", d.postOrder).Methods(http.MethodPost)
	r.HandleFunc("/engine/orders", d.getOrders).Methods(http.MethodGet)
	r.HandleFunc("/engine/caches/{name}", d.exportCache).Methods(http.MethodGet)
	r.HandleFunc("/engine/caches/{name}", d.importCache).Methods(http.MethodPost)
	return r
}

// ServeHTTP serves one call. A crashed engine cuts the connection.
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

// Crash ends the engine's process. Its connections are cut, and its sessions and caches are lost. The loaded layers and
// adapters, the role and the received orders are kept.
func (d *Decoder) Crash() {
	d.mu.Lock()
	if !isClosed(d.down) {
		close(d.down)
	}
	d.sessions = newSessions()
	d.importedCaches = map[string]Cache{}
	d.prefixes.clear()
	d.mu.Unlock()
	if d.onCrash != nil {
		d.onCrash()
	}
}

// Restore starts the engine again after a crash.
func (d *Decoder) Restore() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if isClosed(d.down) {
		d.down = make(chan struct{})
	}
}

func (d *Decoder) isDown() bool {
	return isClosed(d.crashed())
}

// crashed returns a channel that is closed when the engine crashes.
func (d *Decoder) crashed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down
}

// crashOn crashes the engine and cuts the connection if the prompt contains the poison marker.
func (d *Decoder) crashOn(prompt string) {
	if d.poisonMarker != "" && strings.Contains(prompt, d.poisonMarker) {
		d.Crash()
		panic(http.ErrAbortHandler)
	}
}

// Refusal is the body of every unsuccessful response. The call was not run.
type Refusal struct {
	Endpoint string `json:"endpoint"`
	Reason   string `json:"reason"`
}

// refuse responds that the call was not run, and why.
func (d *Decoder) refuse(w http.ResponseWriter, status int, reason string) {
	caller.MarkRefused(w.Header())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(Refusal{Endpoint: d.endpoint, Reason: reason})
}

// readJSON decodes the body of a call. It reads the body to its end, because the server detects that a caller
// disconnected only after that.
func readJSON(r *http.Request, into any) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(body, into)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
