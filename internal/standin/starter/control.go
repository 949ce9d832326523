package starter

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/heatherrock/heatherrock/internal/standin/faulter"
)

// Status is what the control listener tells of a part.
type Status struct {
	Name    string          `json:"name"`
	Address string          `json:"address"`
	Up      bool            `json:"up"`
	Faults  []faulter.Fault `json:"faults"`
}

// startControl starts the listener by which a test or an operator makes parts fail.
func (s *Starter) startControl() error {
	r := mux.NewRouter()
	r.HandleFunc("/standins", s.getParts).Methods(http.MethodGet)
	r.HandleFunc("/standins/{name}/faults", s.withPart(func(p *Part, w http.ResponseWriter, r *http.Request) {
		p.Server.Faults.ServeHTTP(w, r)
	}))
	r.HandleFunc("/standins/{name}/crash", s.withPart(func(p *Part, w http.ResponseWriter, _ *http.Request) {
		p.Crash()
		w.WriteHeader(http.StatusNoContent)
	})).Methods(http.MethodPost)
	r.HandleFunc("/standins/{name}/restore", s.withPart(func(p *Part, w http.ResponseWriter, _ *http.Request) {
		if err := p.Restore(); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})).Methods(http.MethodPost)
	r.HandleFunc("/links", s.postLink).Methods(http.MethodPost)
	s.control = faulter.NewServer(listen(s.Fleet.Control), r, faulter.NewFaults(0), nil)
	return s.control.Restore()
}

func (s *Starter) getParts(w http.ResponseWriter, _ *http.Request) {
	list := []Status{}
	for _, p := range s.parts {
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
	s.SetLink(l)
	w.WriteHeader(http.StatusNoContent)
}

// withPart returns a handler that finds the part that the path names.
func (s *Starter) withPart(f func(*Part, http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p := s.Part(mux.Vars(r)["name"])
		if p == nil {
			http.NotFound(w, r)
			return
		}
		f(p, w, r)
	}
}
