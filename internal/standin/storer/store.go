// Package storer is a stand-in for the platform's object store, in memory and over HTTP.
package storer

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/heatherrock/heatherrock/internal/client/storer"
	"github.com/heatherrock/heatherrock/internal/standin/answerer"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
	"github.com/heatherrock/heatherrock/internal/standin/limiter"
)

// The names of the calls for which faults can be set.
const (
	CallPut = "PUT " + storer.PathObjects
	CallGet = "GET " + storer.PathObjects
)

// maxObjectBytes bounds an object, in bytes.
const maxObjectBytes = 64 << 20

// Store is an object store in memory.
type Store struct {
	faults *faulter.Faults
	writes *rate.Limiter
	reads  *rate.Limiter

	mu      sync.Mutex
	objects map[string][]byte
}

var _ storer.Store = (*Store)(nil)

// Option sets one property of a Store.
type Option func(*Store)

// WithRates limits the writes and the reads per second. Without it, or with 0, there is no limit.
func WithRates(writes, reads float64) Option {
	return func(s *Store) {
		s.writes = limiter.New(writes)
		s.reads = limiter.New(reads)
	}
}

// errRateLimited is the error of a call that exceeds the rate limit.
var errRateLimited = merry.New("rate of the object store is spent", merry.WithHTTPCode(http.StatusTooManyRequests))

// New returns an empty object store. The faults are injected into its calls; nil means none.
func New(faults *faulter.Faults, options ...Option) *Store {
	s := &Store{faults: faults, objects: map[string][]byte{}, writes: limiter.New(0), reads: limiter.New(0)}
	for _, o := range options {
		o(s)
	}
	return s
}

// Put stores an object under a name. After an error the object may or may not be stored.
func (s *Store) Put(ctx context.Context, name string, body []byte) error {
	f, err := s.faults.Inject(ctx, CallPut+name)
	if err != nil {
		return err
	}
	if !s.writes.Allow() {
		return errRateLimited
	}
	s.mu.Lock()
	s.objects[name] = append([]byte{}, body...)
	s.mu.Unlock()
	if f.Kind == faulter.DropResponse {
		return f.CallError()
	}
	return nil
}

// Get returns an object and whether it exists.
func (s *Store) Get(ctx context.Context, name string) ([]byte, bool, error) {
	f, err := s.faults.Inject(ctx, CallGet+name)
	if err == nil && f.Kind == faulter.DropResponse {
		err = f.CallError()
	}
	if err != nil {
		return nil, false, err
	}
	if !s.reads.Allow() {
		return nil, false, errRateLimited
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.objects[name]
	return append([]byte(nil), body...), ok, nil
}

// Handler serves the object store over HTTP.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc(storer.PathObjects+"{name}", withName(s.handlePut)).Methods(http.MethodPut)
	r.HandleFunc(storer.PathObjects+"{name}", withName(s.handleGet)).Methods(http.MethodGet)
	return r
}

// withName returns a handler that calls f with the unescaped object name in the path, which may hold any character.
func withName(f func(w http.ResponseWriter, r *http.Request, name string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name, err := url.PathUnescape(mux.Vars(r)["name"])
		if err != nil {
			answerer.WriteRefusal(w, merry.Wrap(err, merry.WithHTTPCode(http.StatusBadRequest)))
			return
		}
		f(w, r, name)
	}
}

func (s *Store) handlePut(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		answerer.WriteRefusal(w, merry.Wrap(err, merry.WithHTTPCode(http.StatusBadRequest)))
		return
	}
	if err := s.Put(r.Context(), name, body); err != nil {
		answerer.WriteRefusal(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request, name string) {
	body, ok, err := s.Get(r.Context(), name)
	if err != nil {
		answerer.WriteRefusal(w, err)
		return
	}
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
}
