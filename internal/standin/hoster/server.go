package hoster

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Trouble is what a server does wrong.
type Trouble int

// The troubles of a server.
const (
	// Sound servers do nothing wrong.
	Sound Trouble = iota
	// Full servers state that they did not run the request.
	Full
	// Hanging servers take requests and never answer.
	Hanging
	// Resetting servers run the request and reset the connection.
	Resetting
	// Failing servers answer with a failure of their own.
	Failing
	// Torn servers break a stream off in the middle of an event, and other answers in the middle of the body.
	Torn
	// Foreign servers answer with another request's id.
	Foreign
	// Garbling servers send bytes that are no answer.
	Garbling
	// Unframed servers end an answer without a length by closing the connection.
	Unframed
	// Doubling servers send a second answer after the first.
	Doubling
	// Hasty servers answer before they have read the body.
	Hasty
	// Stalled servers stop a stream after the second event.
	Stalled
)

// World holds the servers by address, so that one knows the others on a path.
type World struct {
	Store *Store

	// Pace is the time between two events of a stream, and Work that of a plain answer.
	Pace time.Duration
	Work time.Duration
	// Public returns the address under which a server with an address registers; nil if it is the same.
	Public func(id, address string) string

	mu       sync.Mutex
	servers  map[string]*Server
	runs     map[string]int
	bodies   map[string]string
	arrivals []Arrival
}

// Arrival is a request that reached a server.
type Arrival struct {
	At      time.Time
	ID      string
	Service string
}

// NewWorld returns a world with a store and no server.
func NewWorld() *World {
	return &World{
		Store: NewStore(), Pace: 2 * time.Millisecond, servers: map[string]*Server{}, runs: map[string]int{},
		bodies: map[string]string{},
	}
}

// Close ends all servers and the store.
func (w *World) Close() {
	w.mu.Lock()
	servers := w.servers
	w.servers = map[string]*Server{}
	w.mu.Unlock()
	for _, s := range servers {
		s.stop()
	}
	w.Store.Close()
}

// Runs returns how many servers have run a request, by its id.
func (w *World) Runs(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// Arrivals returns the requests that have reached servers, in order.
func (w *World) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Arrival(nil), w.arrivals...)
}

// Body returns the body with which a request was run.
func (w *World) Body(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bodies[id]
}

// Server is one server of a service.
type Server struct {
	ID      string
	Service string
	Zone    string
	Kind    string
	world   *World
	http    *httptest.Server
	address string
	born    int64

	mu       sync.Mutex
	trouble  Trouble
	from, to int
	orders   int64
	token    int64
	seen     []http.Header
	released chan struct{}
}

// AddServer starts a server and registers it. Kind is the accelerator of a model server, and empty for a plain service.
func (w *World) AddServer(id, service, zone, kind string) *Server {
	s := &Server{ID: id, Service: service, Zone: zone, Kind: kind, world: w, born: time.Now().UnixMilli(), released: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", s.report)
	mux.HandleFunc("POST /order", s.order)
	mux.HandleFunc("/", s.serve)
	s.http = httptest.NewServer(mux)
	s.address = s.http.Listener.Addr().String()
	if w.Public != nil {
		s.address = w.Public(id, s.address)
	}
	w.mu.Lock()
	w.servers[s.Address()] = s
	w.mu.Unlock()
	s.register("ready")
	return s
}

// Address returns the host and port under which the server is registered.
func (s *Server) Address() string { return s.address }

// SetTrouble changes what the server does wrong.
func (s *Server) SetTrouble(t Trouble) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble = t
}

// Held returns the layers that the server holds.
func (s *Server) Held() (from, to int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.from, s.to
}

// Seen returns the headers of the requests that have reached the server.
func (s *Server) Seen() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.seen...)
}

// Leave announces that the server goes.
func (s *Server) Leave() { s.register("draining") }

// Crash ends the server without a word; its row lapses.
func (s *Server) Crash() {
	s.Die()
	s.world.Store.Remove("servers", s.ID)
}

// Die ends the server's process. Its row stays.
func (s *Server) Die() {
	s.world.mu.Lock()
	delete(s.world.servers, s.Address())
	s.world.mu.Unlock()
	s.stop()
}

// Server returns the living server with an address, or nil.
func (w *World) Server(address string) *Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[address]
}

// stop ends the server.
func (s *Server) stop() {
	close(s.released)
	s.http.CloseClientConnections()
	s.http.Close()
}

// register writes the server's row.
func (s *Server) register(state string) {
	row := map[string]any{
		"service": s.Service, "address": s.Address(), "zone": s.Zone, "version": "v1", "slots": 6, "state": state,
		"cold_left_ms": 0, "sequence": 4, "born": s.born,
	}
	if s.Kind != "" {
		from, to := s.Held()
		row["route_kind"] = s.Kind
		row["layers"] = nil
		if to > from {
			row["layers"] = map[string]any{"from": from, "target": to, "version": 1}
		}
	}
	s.world.Store.Put("servers", s.ID, row)
}

// report answers with the server's state.
func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]any{"busy": false, "sequence": s.orders}
	if s.to > s.from {
		out["layers"] = map[string]any{"from": s.from, "target": s.to, "version": 1}
	}
	_ = json.NewEncoder(w).Encode(out)
}

// order carries out an order at once.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation string `json:"op"`
		From      int    `json:"from"`
		To        int    `json:"target"`
		Token     int64  `json:"fencing_token"`
		Sequence  *int64 `json:"precondition"`
	}
	if r.Header.Get("X-Heatherrock-Expect-Instance") != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Operation != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status := http.StatusAccepted
	switch {
	case o.Token < s.token:
		status = http.StatusPreconditionFailed
	case o.Sequence != nil && *o.Sequence != s.orders:
		status = http.StatusConflict
	case s.from == o.From && s.to == o.To:
		status = http.StatusOK
	default:
		s.from, s.to, s.token = o.From, o.To, o.Token
		s.orders++
	}
	s.mu.Unlock()
	if status == http.StatusAccepted {
		s.register("ready")
	}
	w.WriteHeader(status)
}

// serve runs a request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	trouble := s.trouble
	s.seen = append(s.seen, r.Header.Clone())
	s.mu.Unlock()
	id := r.Header.Get("X-Heatherrock-Attempt-Id")
	s.world.mu.Lock()
	s.world.arrivals = append(s.world.arrivals, Arrival{time.Now(), id, s.Service})
	s.world.mu.Unlock()
	if expect := r.Header.Get("X-Heatherrock-Expect-Instance"); expect != "" && expect != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if trouble == Full {
		w.Header().Set("X-Heatherrock-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if trouble == Hasty {
		s.head(w, id)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if at, ok := s.path(r.Header.Get("X-Heatherrock-Hop-Count")); !ok {
		w.Header().Set("At-Server", at)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.world.mu.Lock()
	s.world.runs[id]++
	s.world.bodies[id] = string(body)
	s.world.mu.Unlock()
	s.answer(w, r, id, trouble)
}

// path checks that each server on a path holds its part, and returns the address of one that does not.
func (s *Server) path(header string) (string, bool) {
	if header == "" {
		return "", true
	}
	for _, part := range strings.Split(header, ",") {
		address, layers, _ := strings.Cut(part, "=")
		var from, to int
		if _, err := fmt.Sscanf(layers, "%d-%d", &from, &to); err != nil {
			return address, false
		}
		s.world.mu.Lock()
		server := s.world.servers[address]
		s.world.mu.Unlock()
		if server == nil {
			return address, false
		}
		if f, t := server.Held(); from < f || to > t {
			return address, false
		}
	}
	return "", true
}

// head sets the headers of an answer.
func (s *Server) head(w http.ResponseWriter, id string) {
	w.Header().Set("X-Heatherrock-Attempt-Id", id)
	w.Header().Set("X-Heatherrock-Server-Stamp", "stamp-of-"+s.ID)
	w.Header().Set("X-Heatherrock-Server-Load", "1,0,6")
}

// raw takes the connection of an answer over and writes bytes to it.
func raw(w http.ResponseWriter, bytes string, reset bool) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, bytes)
	if reset {
		// The bytes are read before the reset arrives.
		time.Sleep(20 * time.Millisecond)
		if t, ok := c.(interface{ SetLinger(int) error }); ok {
			_ = t.SetLinger(0)
		}
	}
	_ = c.Close()
}

// answer gives the answer that the server's trouble calls for.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, id string, trouble Trouble) {
	stamp := "X-Heatherrock-Attempt-Id: " + id + "\r\nX-Heatherrock-Server-Stamp: stamp-of-" + s.ID + "\r\n"
	switch trouble {
	case Hanging:
		select {
		case <-s.released:
		case <-r.Context().Done():
		}
	case Resetting:
		cut(w)
	case Failing:
		s.head(w, id)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed")
	case Foreign:
		s.head(w, "another")
		_, _ = io.WriteString(w, "an answer to another")
	case Garbling:
		raw(w, "\x00\x01 this is no answer\r\n\r\n", false)
	case Unframed:
		raw(w, "HTTP/1.1 200 OK\r\n"+stamp+"Content-Type: text/plain\r\nConnection: close\r\n\r\nwhole", false)
	case Doubling:
		answer := "HTTP/1.1 200 OK\r\n" + stamp + "Content-Length: 5\r\n\r\nwhole"
		raw(w, answer+strings.Replace(answer, id, "an-older-one", 1), false)
	case Torn:
		if s.Kind == "" {
			raw(w, "HTTP/1.1 200 OK\r\n"+stamp+"Content-Length: 50\r\n\r\nhalf", true)
			return
		}
		s.stream(w, r, id, trouble)
	default:
		if s.Kind != "" {
			s.stream(w, r, id, trouble)
			return
		}
		select {
		case <-time.After(s.world.Work):
		case <-s.released:
			return
		}
		s.head(w, id)
		_, _ = io.WriteString(w, "answer of "+s.Service+" to "+r.URL.RequestURI())
	}
}

// Events is the number of events of a stream.
const Events = 12

// stream answers with events.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, id string, trouble Trouble) {
	s.head(w, id)
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= Events; n++ {
		if n > first+2 {
			switch trouble {
			case Torn:
				_, _ = fmt.Fprintf(w, "id: %d\ndata: to", n)
				_ = http.NewResponseController(w).Flush()
				cut(w)
				return
			case Stalled:
				select {
				case <-s.released:
				case <-r.Context().Done():
				}
				return
			}
		}
		if _, ok := s.path(r.Header.Get("X-Heatherrock-Hop-Count")); !ok {
			// Work that depends on a server that is gone stalls.
			select {
			case <-s.released:
			case <-r.Context().Done():
			}
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(s.world.Pace):
		case <-s.released:
			cut(w)
			return
		}
	}
}
