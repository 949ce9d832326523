// Package booker is a stand-in for the plain services beside the engines: one that places stock holds and one that
// takes orders. Placing is not idempotent; reading is. It counts how often each idempotency key ran.
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

// HeaderKey is the header of the idempotency key.
const HeaderKey = "Idempotency-Key"

// The paths of the effects.
const (
	PathHolds  = "/holds"
	PathOrders = "/orders"
)

// The paths of the reads.
const (
	PathStock     = "/stock/"
	PathCatalogue = "/catalogue"
	// PathRuns answers with the number of runs by key. It is for tests.
	PathRuns = "/runs"
)

// maxBody bounds the body of a call, in bytes.
const maxBody = 1 << 20

// Placing is the body of a call that places a hold or an order.
type Placing struct {
	Item     string `json:"item"`
	Quantity int    `json:"quantity"`
}

// Placed is the answer to a Placing that ran.
type Placed struct {
	Number   int    `json:"number"`
	Key      string `json:"key,omitempty"`
	Item     string `json:"item"`
	Quantity int    `json:"quantity"`
}

// Stock is the answer of a read: an item and how much of it is left.
type Stock struct {
	Item string `json:"item"`
	Left int    `json:"left"`
}

// Ledger is what the servers of one service share: the stock, and what was placed.
type Ledger struct {
	mu     sync.Mutex
	stock  map[string]int
	placed []Placed
	runs   map[string]int
}

// NewLedger returns a ledger with a stock by item.
func NewLedger(stock map[string]int) *Ledger {
	l := &Ledger{stock: map[string]int{}, runs: map[string]int{}}
	for item, left := range stock {
		l.stock[item] = left
	}
	return l
}

// Runs returns how often each idempotency key ran. Placings without a key count under the empty key.
func (l *Ledger) Runs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := map[string]int{}
	for key, n := range l.runs {
		runs[key] = n
	}
	return runs
}

// Placed returns what was placed, in order.
func (l *Ledger) Placed() []Placed {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Placed{}, l.placed...)
}

// place runs a placing. It returns false if there is too little stock.
func (l *Ledger) place(key string, p Placing) (Placed, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stock[p.Item] < p.Quantity {
		return Placed{}, false
	}
	l.stock[p.Item] -= p.Quantity
	l.runs[key]++
	placed := Placed{Number: len(l.placed) + 1, Key: key, Item: p.Item, Quantity: p.Quantity}
	l.placed = append(l.placed, placed)
	return placed, true
}

// find returns the first placing under a key.
func (l *Ledger) find(key string) (Placed, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.placed {
		if p.Key == key {
			return p, true
		}
	}
	return Placed{}, false
}

// left returns how much of an item there is.
func (l *Ledger) left(item string) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, ok := l.stock[item]
	return n, ok
}

// search returns the items whose names contain a text.
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

// New returns a server that places at a path, which is PathHolds or PathOrders. With lookup, the path and a key tell
// what was placed under the key.
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

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// place places a hold or an order. It runs each time that it is called, whatever the key.
func (s *Server) place(w http.ResponseWriter, r *http.Request) {
	var p Placing
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&p); err != nil || p.Item == "" || p.Quantity < 1 {
		caller.Refuse(w.Header())
		http.Error(w, "not an item and a quantity", http.StatusBadRequest)
		return
	}
	placed, ok := s.ledger.place(r.Header.Get(HeaderKey), p)
	if !ok {
		answer(w, http.StatusConflict, Stock{Item: p.Item})
		return
	}
	answer(w, http.StatusCreated, placed)
}

// find tells what was placed under a key.
func (s *Server) find(w http.ResponseWriter, r *http.Request) {
	key, err := url.PathUnescape(mux.Vars(r)["key"])
	placed, ok := s.ledger.find(key)
	if !ok || err != nil {
		http.NotFound(w, r)
		return
	}
	answer(w, http.StatusOK, placed)
}

func (s *Server) stock(w http.ResponseWriter, r *http.Request) {
	item, err := url.PathUnescape(mux.Vars(r)["item"])
	left, ok := s.ledger.left(item)
	if !ok || err != nil {
		http.NotFound(w, r)
		return
	}
	answer(w, http.StatusOK, Stock{item, left})
}

func (s *Server) catalogue(w http.ResponseWriter, r *http.Request) {
	answer(w, http.StatusOK, s.ledger.search(r.URL.Query().Get("q")))
}

func (s *Server) runs(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, s.ledger.Runs())
}

// answer writes a body as JSON.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
