// Package fetcher is a stand-in for the platform's weight store. All fetches together share one rate limit.
package fetcher

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/heatherrock/heatherrock/internal/client/caller"
	"github.com/heatherrock/heatherrock/internal/client/fetcher"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
)

// CallFetch is the call for which faults are set; the name of the weights follows it.
const CallFetch = "GET " + fetcher.PathWeights

const (
	// DefaultLayerBytes is the size of one layer, in bytes, unless WithLayerBytes sets another.
	DefaultLayerBytes = 64 << 10
	// chunkBytes is the number of bytes that are sent at once. It is also the burst of the rate limit.
	chunkBytes = 16 << 10
)

// Store is a weight store. It holds weights of any name. If the name ends in a range of layers, as in "m.v.4-9", the
// weights have the size of that many layers, else the size of one.
type Store struct {
	layerBytes int64
	limiter    *rate.Limiter
	faults     *faulter.Faults

	mu          sync.Mutex
	fetchCounts map[string]int
}

var _ fetcher.Fetcher = (*Store)(nil)

// Option sets one property of a Store.
type Option func(*Store)

// WithLayerBytes sets the size of one layer, in bytes.
func WithLayerBytes(size int64) Option { return func(s *Store) { s.layerBytes = size } }

// WithBytesPerSecond limits the rate of all fetches together, in bytes per second. Without it there is no limit.
func WithBytesPerSecond(bytes float64) Option {
	return func(s *Store) { s.limiter = rate.NewLimiter(rate.Limit(bytes), chunkBytes) }
}

// WithFaults sets the faults that hit the calls.
func WithFaults(f *faulter.Faults) Option { return func(s *Store) { s.faults = f } }

func New(options ...Option) *Store {
	s := &Store{layerBytes: DefaultLayerBytes, limiter: rate.NewLimiter(rate.Inf, chunkBytes), fetchCounts: map[string]int{}}
	for _, o := range options {
		o(s)
	}
	return s
}

// Size returns the size of the weights with a name, in bytes.
func (s *Store) Size(name string) int64 {
	from, to, ok := strings.Cut(name[strings.LastIndex(name, ".")+1:], "-")
	first, err := strconv.ParseInt(from, 10, 32)
	last, err2 := strconv.ParseInt(to, 10, 32)
	if !ok || err != nil || err2 != nil || last <= first {
		return s.layerBytes
	}
	return (last - first) * s.layerBytes
}

// Fetch waits as long as the rate limit requires for the weights and returns their size in bytes.
func (s *Store) Fetch(ctx context.Context, name string) (int64, error) {
	f, err := s.faults.Inject(ctx, CallFetch+name)
	if err == nil && f.Kind == faulter.DropResponse {
		err = f.CallError()
	}
	if err != nil {
		return 0, err
	}
	err = s.sendChunks(ctx, name, func([]byte) error { return nil })
	return s.Size(name), err
}

// FetchCount returns how often the weights with a name were fetched, including fetches that failed midway.
func (s *Store) FetchCount(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetchCounts[name]
}

// sendChunks counts a fetch and writes the weights in chunks, as fast as the rate limit allows.
func (s *Store) sendChunks(ctx context.Context, name string, write func([]byte) error) error {
	s.mu.Lock()
	s.fetchCounts[name]++
	s.mu.Unlock()
	zeros := make([]byte, chunkBytes)
	for remaining := s.Size(name); remaining > 0; remaining -= chunkBytes {
		n := min(remaining, chunkBytes)
		if err := s.limiter.WaitN(ctx, int(n)); err != nil {
			return err
		}
		if err := write(zeros[:n]); err != nil {
			return err
		}
	}
	return nil
}

// Handler returns the weight store over HTTP.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(fetcher.PathWeights+"{name}", s.get).Methods(http.MethodGet)
	return r
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["name"]
	if _, err := s.faults.Inject(r.Context(), CallFetch+name); err != nil {
		caller.MarkRefused(w.Header())
		http.Error(w, err.Error(), merry.HTTPCode(err))
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(s.Size(name), 10))
	err := s.sendChunks(r.Context(), name, func(b []byte) error {
		_, err := w.Write(b)
		return err
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
