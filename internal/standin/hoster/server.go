package hoster

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"
)

// Platform holds the store and the servers by address, so that a server can check the other servers on a path.
type Platform struct {
	Store *Store

	// EventInterval is the time between two events of a stream, and AnswerTime the time until a plain service answers.
	EventInterval time.Duration
	AnswerTime    time.Duration
	// DeadlyPart is a part of prompts that crashes each server which begins to answer a request with it; empty for none.
	DeadlyPart string
	// DeadlyBody is a body that crashes each server which runs a request with it; empty for none.
	DeadlyBody string
	// CrashDelay is the time for which a server answers such a request before it crashes; it does not answer if zero.
	CrashDelay time.Duration
	// OnCrash is called with each server that a request crashes, before its process ends; nil if nothing is to be done.
	OnCrash func(s *Server)
	// PublicAddress returns the address that a server registers for its listening address; nil if they are the same.
	PublicAddress func(id, address string) string

	mu        sync.Mutex
	servers   map[string]*Server
	runCounts map[string]int
	bodies    map[string]string
	arrivals  []Arrival
}

// Arrival is a request that reached a server.
type Arrival struct {
	At      time.Time
	ID      string
	Service string
	Server  string
}

// NewPlatform returns a platform with a store and no servers.
func NewPlatform() *Platform {
	return &Platform{
		Store: NewStore(), EventInterval: 2 * time.Millisecond, servers: map[string]*Server{}, runCounts: map[string]int{},
		bodies: map[string]string{},
	}
}

// Close stops all servers and the store.
func (p *Platform) Close() {
	p.mu.Lock()
	servers := p.servers
	p.servers = map[string]*Server{}
	p.mu.Unlock()
	for _, s := range servers {
		s.stop()
	}
	p.Store.Close()
}

// RunCount returns how often servers have run the request with an ID.
func (p *Platform) RunCount(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runCounts[id]
}

// Arrivals returns the requests that have reached servers, in the order of their arrival.
func (p *Platform) Arrivals() []Arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Arrival(nil), p.arrivals...)
}

// RequestBody returns the body of the request with an ID, as last received by a server that ran it.
func (p *Platform) RequestBody(id string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bodies[id]
}

// Server is one server of a service. Kind is as in AddServer.
type Server struct {
	ID              string
	Service         string
	Zone            string
	Kind            string
	platform        *Platform
	http            *httptest.Server
	address         string
	startedAtMillis int64

	mu        sync.Mutex
	fault     ServerFault
	statement http.Header
	// refused holds, by the address of the connection's other end, the request that was refused on a connection.
	refused        map[string]string
	from, to       int
	orderCount     int64
	fencingToken   int64
	requestHeaders []http.Header
	stopped        chan struct{}
	stopOnce       sync.Once
}

// AddServer starts a server and registers it. Kind is the accelerator of a model server, and empty for a plain service.
func (p *Platform) AddServer(id, service, zone, kind string) *Server {
	s := &Server{ID: id, Service: service, Zone: zone, Kind: kind, platform: p, startedAtMillis: time.Now().UnixMilli(), stopped: make(chan struct{}), refused: map[string]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", s.handleReport)
	mux.HandleFunc("POST /order", s.handleOrder)
	mux.HandleFunc("/", s.serve)
	s.http = httptest.NewServer(mux)
	s.address = s.http.Listener.Addr().String()
	if p.PublicAddress != nil {
		s.address = p.PublicAddress(id, s.address)
	}
	p.mu.Lock()
	p.servers[s.Address()] = s
	p.mu.Unlock()
	s.register("ready")
	return s
}

// Address returns the host and port under which the server is registered.
func (s *Server) Address() string { return s.address }

// SetFault sets the way in which the server fails.
func (s *Server) SetFault(f ServerFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetStatement sets headers that the server adds to all its responses.
func (s *Server) SetStatement(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statement = h
}

// HeldLayers returns the layers that the server has loaded: from from up to, but not including, to.
func (s *Server) HeldLayers() (from, to int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.from, s.to
}

// RequestHeaders returns the headers of the requests that have reached the server.
func (s *Server) RequestHeaders() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.requestHeaders...)
}

// AnnounceLeaving registers the server as draining.
func (s *Server) AnnounceLeaving() { s.register("draining") }

// StartAnew registers the server as ready with a later start, as a new process under the same ID. It has no fault and states
// nothing.
func (s *Server) StartAnew() {
	s.mu.Lock()
	s.fault, s.statement = Healthy, nil
	s.startedAtMillis++
	s.mu.Unlock()
	s.register("ready")
}

// Crash stops the server without announcing it and removes its row, as when the row expires.
func (s *Server) Crash() {
	s.KillProcess()
	s.platform.Store.Remove("servers", s.ID)
}

// KillProcess stops the server without announcing it. Its row remains.
func (s *Server) KillProcess() {
	s.platform.mu.Lock()
	delete(s.platform.servers, s.Address())
	s.platform.mu.Unlock()
	s.stop()
}

// runCrash ends the process under a request.
func (s *Server) runCrash() {
	if s.platform.OnCrash != nil {
		s.platform.OnCrash(s)
	}
	s.KillProcess()
}

// Server returns the running server with an address, or nil.
func (p *Platform) Server(address string) *Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers[address]
}

// Servers returns the running servers.
func (p *Platform) Servers() []*Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.servers))
}

// stop stops the server and closes its connections. It refuses new ones first: a process that ends has no moment at which
// it accepts connections and has closed others.
func (s *Server) stop() {
	s.stopOnce.Do(func() {
		_ = s.http.Listener.Close() // The server closes it once more.
		close(s.stopped)
		s.http.CloseClientConnections()
		s.http.Close()
	})
}

// register writes the server's row with a state.
func (s *Server) register(state string) {
	s.mu.Lock()
	startedAtMillis := s.startedAtMillis
	s.mu.Unlock()
	row := map[string]any{
		"service": s.Service, "address": s.Address(), "zone": s.Zone, "version": "v1", "slots": 6, "state": state,
		"cold_left_ms": 0, "sequence": 4, "born": startedAtMillis,
	}
	if s.Kind != "" {
		from, to := s.HeldLayers()
		row["route_kind"] = s.Kind
		row["layers"] = nil
		if to > from {
			row["layers"] = map[string]any{"from": from, "target": to, "version": 1}
		}
	}
	s.platform.Store.Put("servers", s.ID, row)
}

// handleReport returns the server's state.
func (s *Server) handleReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]any{"busy": false, "sequence": s.orderCount}
	if s.to > s.from {
		out["layers"] = map[string]any{"from": s.from, "target": s.to, "version": 1}
	}
	_ = json.NewEncoder(w).Encode(out)
}

// handleOrder executes an order to load layers at once, unless its fencing token is old or its precondition fails.
func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
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
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Operation != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status := http.StatusAccepted
	switch {
	case order.Token < s.fencingToken:
		status = http.StatusPreconditionFailed
	case order.Sequence != nil && *order.Sequence != s.orderCount:
		status = http.StatusConflict
	case s.from == order.From && s.to == order.To:
		status = http.StatusOK
	default:
		s.from, s.to, s.fencingToken = order.From, order.To, order.Token
		s.orderCount++
	}
	s.mu.Unlock()
	if status == http.StatusAccepted {
		s.register("ready")
	}
	w.WriteHeader(status)
}

// serve records a request's arrival, and runs the request unless the server must reject it.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	maps.Copy(w.Header(), s.statement)
	s.requestHeaders = append(s.requestHeaders, r.Header.Clone())
	s.mu.Unlock()
	id := r.Header.Get("X-Heatherrock-Attempt-Id")
	s.platform.mu.Lock()
	s.platform.arrivals = append(s.platform.arrivals, Arrival{time.Now(), id, s.Service, s.ID})
	s.platform.mu.Unlock()
	if expect := r.Header.Get("X-Heatherrock-Expect-Instance"); expect != "" && expect != s.ID {
		w.Header().Set("X-Heatherrock-Attempt-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if fault == Full || fault.repeatsRefusal() && s.isFirstOn(r.RemoteAddr, id) {
		if fault != RepeatingBareRefusal {
			w.Header().Set("X-Heatherrock-Attempt-Id", id)
		}
		w.Header().Set("X-Heatherrock-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if fault == EndlessRefusal {
		w.Header().Set("X-Heatherrock-Attempt-Id", id)
		w.Header().Set("X-Heatherrock-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		s.repeat(w, strings.Repeat("x", 1000), 0)
		return
	}
	if fault == AnsweringEarly {
		s.setHeaders(w, id)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if address, ok := s.checkPath(r.Header.Get("X-Heatherrock-Hop-Count")); !ok {
		w.Header().Set("X-Heatherrock-Attempt-Id", id)
		w.Header().Set("At-Server", address)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if fault == ResettingUpload || fault == EndingUpload {
		s.platform.countRun(id, "")
		s.answerUpload(w, id, fault)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.platform.isDeadly(r, body) {
		// The crash waits for the end of this handler, so it needs a goroutine of its own.
		time.AfterFunc(s.platform.CrashDelay, s.runCrash)
		if s.platform.CrashDelay == 0 {
			<-s.stopped
			resetConnection(w)
			return
		}
	}
	s.platform.countRun(id, string(body))
	s.writeAnswer(w, r, id, fault)
}

// countRun records that a request with a body has run.
func (p *Platform) countRun(id, body string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runCounts[id]++
	p.bodies[id] = body
}

// isDeadly reports whether a request with a body crashes the servers that run it.
func (p *Platform) isDeadly(r *http.Request, body []byte) bool {
	hasPart := p.DeadlyPart != "" && strings.Contains(r.Header.Get("X-Heatherrock-Prefix-Hash"), p.DeadlyPart+":")
	return hasPart || p.DeadlyBody != "" && string(body) == p.DeadlyBody
}

// checkPath reports whether each server on a path holds its layers, and returns the address of the first that does not.
func (s *Server) checkPath(header string) (string, bool) {
	if header == "" {
		return "", true
	}
	for _, stage := range strings.Split(header, ",") {
		address, layers, _ := strings.Cut(stage, "=")
		var from, to int
		if _, err := fmt.Sscanf(layers, "%d-%d", &from, &to); err != nil {
			return address, false
		}
		s.platform.mu.Lock()
		server := s.platform.servers[address]
		s.platform.mu.Unlock()
		if server == nil {
			return address, false
		}
		if heldFrom, heldTo := server.HeldLayers(); from < heldFrom || to > heldTo {
			return address, false
		}
	}
	return "", true
}

// setHeaders sets the headers of an answer to the request with an ID.
func (s *Server) setHeaders(w http.ResponseWriter, id string) {
	w.Header().Set("X-Heatherrock-Attempt-Id", id)
	w.Header().Set("X-Heatherrock-Server-Stamp", "stamp-of-"+s.ID)
	w.Header().Set("X-Heatherrock-Server-Load", "1,0,6")
}
