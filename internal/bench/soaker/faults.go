package soaker

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/heatherrock/heatherrock/internal/standin/hoster"
)

// run plays one fault, and notes when it acted on which instances.
func (s *soak) run(wait *sync.WaitGroup, f Fault) {
	defer wait.Done()
	span := Span{From: time.Now(), Instance: every, Fault: f}
	switch f.Kind {
	case CallerLink, StoreLink, Kill, Stop, Pause:
		span.Instance = f.Target
	}
	s.strike(f)
	if f.Kind == Hangup || f.Kind == Configure {
		// Planned work that nobody may notice.
		return
	}
	span.To = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spans = append(s.spans, span)
}

// strike plays one fault until it is over.
func (s *soak) strike(f Fault) {
	switch f.Kind {
	case Kill, KillAll, Stop, Pause, Hangup:
		s.strikeInstances(f)
	case StoreDown:
		s.faulty(hoster.Faults{Status: http.StatusServiceUnavailable}, f.For)
	case StoreSilent:
		s.faulty(hoster.Faults{Silent: true}, f.For)
	case StoreLossy:
		s.faulty(hoster.Faults{LoseWrites: true}, f.For)
	case StoreForget:
		s.faulty(hoster.Faults{DropHistory: map[string]bool{"servers": true, "op": true}}, f.For)
	case StoreLink:
		s.linked(s.instances[f.Target].link, f)
	case CallerLink:
		s.linked(s.instances[f.Target].callers, f)
	case EndpointLink:
		s.mu.Lock()
		link := s.endpoints[f.Target].link
		s.mu.Unlock()
		s.linked(link, f)
	case Crash:
		s.crash(f)
	case Trouble:
		s.mu.Lock()
		server := s.endpoints[f.Target].server
		s.mu.Unlock()
		if server == nil {
			return
		}
		server.SetFault(troubles[f.Ill])
		time.Sleep(f.For)
		server.SetFault(hoster.Healthy)
	case Configure:
		s.configure(time.Now())
	}
}

// strikeInstances plays a fault of one instance or all.
func (s *soak) strikeInstances(f Fault) {
	struck := s.instances[f.Target : f.Target+1]
	if f.Kind == KillAll {
		struck = s.instances
	}
	ended := make([]<-chan struct{}, len(struck))
	for n, i := range struck {
		switch f.Kind {
		case Hangup:
			i.signal(syscall.SIGHUP)
			return
		case Pause:
			i.signal(syscall.SIGSTOP)
		case Stop:
			ended[n] = i.signal(syscall.SIGTERM)
		default:
			ended[n] = i.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(f.For)
	for n, i := range struck {
		if f.Kind == Pause {
			i.signal(syscall.SIGCONT)
			continue
		}
		// A process that is held up by another fault ends once that is over.
		if !endsWithin(ended[n], hoster.GracePeriod+longest+time.Second) {
			s.broke(i.machine.Name + " has not ended at the end of its grace")
			<-i.signal(syscall.SIGKILL)
		}
		if err := i.start(); err != nil {
			s.broke(err.Error())
		}
		s.until(starting, i.ready)
	}
}

// broke notes a broken promise that no request shows.
func (s *soak) broke(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exits = append(s.exits, what)
}

// faulty lets the store fail for a time.
func (s *soak) faulty(f hoster.Faults, d time.Duration) {
	s.world.Store.SetFaults(f)
	time.Sleep(d)
	s.world.Store.SetFaults(hoster.Faults{})
}

// linked lets a link fail for a time.
func (s *soak) linked(p *Proxy, f Fault) {
	p.Set(f.Mode)
	if f.Mode == Reset {
		p.Set(Sound)
		return
	}
	time.Sleep(f.For)
	p.Set(Sound)
}

// crash ends an endpoint, and starts another one in its place.
func (s *soak) crash(f Fault) {
	s.mu.Lock()
	e := s.endpoints[f.Target]
	server, link := e.server, e.link
	e.server = nil
	s.mu.Unlock()
	if server == nil {
		return
	}
	server.Crash()
	link.Set(Refused)
	time.Sleep(f.For)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enter(e, int(f.At/time.Millisecond))
}

// configure puts the next version of the configuration in force: each other one has the second key.
func (s *soak) configure(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	keys := []string{firstKey}
	if s.version%2 == 1 {
		keys = append(keys, secondKey)
	}
	s.world.Store.Put("op", "config", hoster.Config(s.version, keys...))
	s.keyed = append(s.keyed, now)
}
