// Package booker is a stand-in for the plain services that run beside the engines: one places holds on stock, another
// places orders. Placing is not idempotent; reading is. It counts how often each idempotency key ran.
package booker

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"

	"github.com/gorilla/mux"

	"github.com/heatherrock/heatherrock/internal/client/caller"
)

// HeaderIdempotencyKey is the request header that carries the idempotency key.
const HeaderIdempotencyKey = "Idempotency-Key"

// The paths of the calls that place holds and orders.
const (
	PathHolds  = "/holds"
	PathOrders = "/orders"
)

// The paths of the calls that only read.
const (
	PathStock     = "/stock/"
	PathCatalogue = "/catalogue"
	// PathRuns returns the number of runs of each idempotency key. It is for tests.
	PathRuns = "/runs"
)

// maxBodyBytes is the largest request body that is read.
const maxBodyBytes = 1 << 20

// PlaceRequest is the request body of a call that places a hold or an order.
type PlaceRequest struct {
	Item     string `json:"item"`
	Quantity int    `json:"quantity"`
}

// Placement is a hold or an order that was placed, and the response to its PlaceRequest. Number counts the placements
// of a service from 1.
type Placement struct {
	Number   int    `json:"number"`
	Key      string `json:"key,omitempty"`
	Item     string `json:"item"`
	Quantity int    `json:"quantity"`
}

// Stock is an item and the quantity that is left of it.
type Stock struct {
	Item      string `json:"item"`
	Remaining int    `json:"left"`
}

// Ledger is the state that the servers of one service share: the stock and the placements.
type Ledger struct {
	mu         sync.Mutex
	stock      map[string]int
	placements []Placement
	runCounts  map[string]int
}

// NewLedger returns a ledger with an initial quantity of each item.
func NewLedger(stock map[string]int) *Ledger {
	l := &Ledger{stock: map[string]int{}, runCounts: map[string]int{}}
	for item, left := range stock {
		l.stock[item] = left
	}
	return l
}

// RunCounts returns how often each idempotency key ran. Placements without a key are counted under the empty key.
func (l *Ledger) RunCounts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := map[string]int{}
	for key, n := range l.runCounts {
		runs[key] = n
	}
	return runs
}

// Placements returns all placements in the order in which they ran.
func (l *Ledger) Placements() []Placement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Placement{}, l.placements...)
}

// place places a hold or an order. It returns false if there is too little stock.
func (l *Ledger) place(key string, p PlaceRequest) (Placement, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stock[p.Item] < p.Quantity {
		return Placement{}, false
	}
	l.stock[p.Item] -= p.Quantity
	l.runCounts[key]++
	placed := Placement{Number: len(l.placements) + 1, Key: key, Item: p.Item, Quantity: p.Quantity}
	l.placements = append(l.placements, placed)
	return placed, true
}

// findByKey returns the first placement with an idempotency key.
func (l *Ledger) findByKey(key string) (Placement, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.placements {
		if p.Key == key {
			return p, true
		}
	}
	return Placement{}, false
}

// remaining returns the quantity that is left of an item, or false if the item is unknown.
func (l *Ledger) remaining(item string) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, ok := l.stock[item]
	return n, ok
}

// search returns the items whose names contain a text, in no particular order.
func (l *Ledger) search(text string) []Stock {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := []Stock{}
	for item, left := range l.stock {
		if strings.Contains(item, text) {
			found = append(found, Stock{item, left})
		}
	}
	return found
}

// Server is one server of a service, as an http.Handler.
type Server struct {
	ledger *Ledger
	router *mux.Router
}

// New returns a server of one service. Path, which is PathHolds or PathOrders, is where placements are posted. If
// lookup is true, a GET of the path and an idempotency key returns what was placed with the key.
func New(ledger *Ledger, path string, lookup bool) *Server {
	s := &Server{ledger: ledger, router: mux.NewRouter().UseEncodedPath()}
	s.router.HandleFunc(path, s.place).Methods(http.MethodPost)
	if lookup {
		s.router.HandleFunc(path+"/{key}", s.find).Methods(http.MethodGet)
	}
	s.router.HandleFunc(PathStock+"{item}", s.stock).Methods(http.MethodGet)
	s.router.HandleFunc(PathCatalogue, s.catalogue).Methods(http.MethodGet)
	s.router.HandleFunc(PathRuns, s.runs).Methods(http.MethodGet)
	return s
}

// ServeHTTP serves one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// place places a hold or an order. It does so on every call, even if the idempotency key was used before.
func (s *Server) place(w http.ResponseWriter, r *http.Request) {
	var p PlaceRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&p); err != nil || p.Item == "" || p.Quantity < 1 {
		caller.MarkRefused(w.Header())
		http.Error(w, "not an item and a quantity", http.StatusBadRequest)
		return
	}
	placed, ok := s.ledger.place(r.Header.Get(HeaderIdempotencyKey), p)
	if !ok {
		writeJSON(w, http.StatusConflict, Stock{Item: p.Item})
		return
	}
	writeJSON(w, http.StatusCreated, placed)
}

// find responds with the placement of an idempotency key.
func (s *Server) find(w http.ResponseWriter, r *http.Request) {
	key, err := url.PathUnescape(mux.Vars(r)["key"])
	placed, ok := s.ledger.findByKey(key)
	if !ok || err != nil {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, http.StatusOK, placed)
}

func (s *Server) stock(w http.ResponseWriter, r *http.Request) {
	item, err := url.PathUnescape(mux.Vars(r)["item"])
	left, ok := s.ledger.remaining(item)
	if !ok || err != nil {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, http.StatusOK, Stock{item, left})
}

func (s *Server) catalogue(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.ledger.search(r.URL.Query().Get("q")))
}

func (s *Server) runs(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.ledger.RunCounts())
}

// writeJSON writes a body as JSON.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
