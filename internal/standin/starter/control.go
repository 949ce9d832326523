package starter

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/heatherrock/heatherrock/internal/standin/faulter"
)

// Status is the state of a stand-in as the control listener reports it.
type Status struct {
	Name    string          `json:"name"`
	Address string          `json:"address"`
	Up      bool            `json:"up"`
	Faults  []faulter.Fault `json:"faults"`
}

// startControl starts the listener through which a test or an operator sets faults on stand-ins and links.
func (s *Starter) startControl() error {
	r := mux.NewRouter()
	r.HandleFunc("/standins", s.getStandIns).Methods(http.MethodGet)
	r.HandleFunc("/standins/{name}/faults", s.withStandIn(func(p *StandIn, w http.ResponseWriter, r *http.Request) {
		p.Server.Faults.ServeHTTP(w, r)
	}))
	r.HandleFunc("/standins/{name}/crash", s.withStandIn(func(p *StandIn, w http.ResponseWriter, _ *http.Request) {
		p.Crash()
		w.WriteHeader(http.StatusNoContent)
	})).Methods(http.MethodPost)
	r.HandleFunc("/standins/{name}/restore", s.withStandIn(func(p *StandIn, w http.ResponseWriter, _ *http.Request) {
		if err := p.Restore(); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})).Methods(http.MethodPost)
	r.HandleFunc("/links", s.postLink).Methods(http.MethodPost)
	s.control = faulter.NewServer(listenAddress(s.Fleet.ControlAddress), r, faulter.NewFaults(0), nil)
	return s.control.Restore()
}

func (s *Starter) getStandIns(w http.ResponseWriter, _ *http.Request) {
	list := []Status{}
	for _, p := range s.standIns {
		list = append(list, Status{p.Name, p.Server.Address(), p.Server.Up(), p.Server.Faults.List()})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

func (s *Starter) postLink(w http.ResponseWriter, r *http.Request) {
	var l Link
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.PrependLink(l)
	w.WriteHeader(http.StatusNoContent)
}

// withStandIn returns a handler that calls f with the stand-in that the path names, or responds with 404 if there is
// none.
func (s *Starter) withStandIn(f func(*StandIn, http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p := s.StandIn(mux.Vars(r)["name"])
		if p == nil {
			http.NotFound(w, r)
			return
		}
		f(p, w, r)
	}
}
