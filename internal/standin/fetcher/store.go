// Package fetcher is a stand-in for the platform's weight store, whose rate all fetches share.
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

// CallFetch is the name of the call, by which faults are set.
const CallFetch = "GET " + fetcher.PathWeights

const (
	// DefaultLayer is the size of one layer, in bytes.
	DefaultLayer = 64 << 10
	// chunk is the number of bytes that are sent at once.
	chunk = 16 << 10
)

// Store is a weight store. It holds weights of any name; a name that ends in a range of layers, as in "m.v.4-9", has
// the size of that many layers, and any other that of one.
type Store struct {
	layer  int64
	limit  *rate.Limiter
	faults *faulter.Faults

	mu     sync.Mutex
	counts map[string]int
}

var _ fetcher.Fetcher = (*Store)(nil)

// Option sets one property of a Store.
type Option func(*Store)

// WithLayer sets the size of one layer, in bytes.
func WithLayer(size int64) Option { return func(s *Store) { s.layer = size } }

// WithRate bounds the bytes a second of all fetches together. Without it there is no bound.
func WithRate(bytes float64) Option {
	return func(s *Store) { s.limit = rate.NewLimiter(rate.Limit(bytes), chunk) }
}

// WithFaults sets the faults that hit the calls.
func WithFaults(f *faulter.Faults) Option { return func(s *Store) { s.faults = f } }

// New returns a weight store.
func New(options ...Option) *Store {
	s := &Store{layer: DefaultLayer, limit: rate.NewLimiter(rate.Inf, chunk), counts: map[string]int{}}
	for _, o := range options {
		o(s)
	}
	return s
}

// Size returns the size of weights in bytes.
func (s *Store) Size(name string) int64 {
	from, to, ok := strings.Cut(name[strings.LastIndex(name, ".")+1:], "-")
	first, err := strconv.ParseInt(from, 10, 32)
	last, err2 := strconv.ParseInt(to, 10, 32)
	if !ok || err != nil || err2 != nil || last <= first {
		return s.layer
	}
	return (last - first) * s.layer
}

// Fetch returns the size of the weights in bytes after the time that the rate makes it take.
func (s *Store) Fetch(ctx context.Context, name string) (int64, error) {
	f, err := s.faults.Inject(ctx, CallFetch+name)
	if err == nil && f.Kind == faulter.Lose {
		err = f.Failure()
	}
	if err != nil {
		return 0, err
	}
	err = s.send(ctx, name, func([]byte) error { return nil })
	return s.Size(name), err
}

// Fetches counts how often weights were asked for.
func (s *Store) Fetches(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[name]
}

// send passes weights on in chunks as the rate allows.
func (s *Store) send(ctx context.Context, name string, write func([]byte) error) error {
	s.mu.Lock()
	s.counts[name]++
	s.mu.Unlock()
	zeros := make([]byte, chunk)
	for rest := s.Size(name); rest > 0; rest -= chunk {
		n := min(rest, chunk)
		if err := s.limit.WaitN(ctx, int(n)); err != nil {
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
		caller.Refuse(w.Header())
		http.Error(w, err.Error(), merry.HTTPCode(err))
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(s.Size(name), 10))
	err := s.send(r.Context(), name, func(b []byte) error {
		_, err := w.Write(b)
		return err
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
