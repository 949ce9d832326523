package soaker

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/heatherrock/heatherrock/internal/standin/hoster"
)

// runFault applies one fault until it is over and records when it acted on which instances.
func (s *soak) runFault(wait *sync.WaitGroup, f Fault) {
	defer wait.Done()
	span := Span{From: time.Now(), Instance: allInstances, Fault: f}
	switch f.Kind {
	case CallerLink, StoreLink, Kill, Stop, Pause:
		span.Instance = f.Target
	}
	if _, ok := statements[f.Kind]; ok {
		span.Server = s.state(f)
	} else if f.Kind == StoreRestore {
		span.From = s.restoreStore(f)
	} else {
		s.applyFault(f)
	}
	if f.Kind == Hangup || f.Kind == Configure {
		// These are planned operations, which no caller may notice.
		return
	}
	span.To = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spans = append(s.spans, span)
}

// applyFault applies one fault and returns once it is over.
func (s *soak) applyFault(f Fault) {
	switch f.Kind {
	case Kill, KillAll, Stop, Pause, Hangup:
		s.applyToInstances(f)
	case StoreDown:
		s.failStore(hoster.Faults{Status: http.StatusServiceUnavailable}, f.ActiveTime)
	case StoreSilent:
		s.failStore(hoster.Faults{Silent: !f.LosesCalls, LoseCalls: f.LosesCalls}, f.ActiveTime)
	case StoreLossy:
		s.failStore(hoster.Faults{LoseWrites: true}, f.ActiveTime)
	case StoreDropHistory:
		s.failStore(hoster.Faults{DropHistory: map[string]bool{"servers": true, "op": true}}, f.ActiveTime)
	case StoreLink:
		s.failLink(s.instances[f.Target].storeLink, f)
	case CallerLink:
		s.failLink(s.instances[f.Target].callerLink, f)
	case EndpointLink:
		s.mu.Lock()
		link := s.endpoints[f.Target].link
		s.mu.Unlock()
		s.failLink(link, f)
	case Crash:
		s.crashEndpoint(f)
	case EndpointFault:
		s.mu.Lock()
		server := s.endpoints[f.Target].server
		s.mu.Unlock()
		if server == nil {
			return
		}
		server.SetFault(serverFaults[f.ServerFaultIndex])
		time.Sleep(f.ActiveTime)
		server.SetFault(hoster.Healthy)
	case Configure:
		s.putNextConfig(time.Now())
	}
}

// applyToInstances applies a fault of one instance or of all of them.
func (s *soak) applyToInstances(f Fault) {
	targets := s.instances[f.Target : f.Target+1]
	if f.Kind == KillAll {
		targets = s.instances
	}
	ended := make([]<-chan struct{}, len(targets))
	for n, i := range targets {
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
	time.Sleep(f.ActiveTime)
	for n, i := range targets {
		if f.Kind == Pause {
			i.signal(syscall.SIGCONT)
			continue
		}
		// A process that another fault pauses ends only once that fault is over.
		if !endsWithin(ended[n], hoster.GracePeriod+maxFaultTime+time.Second) {
			s.recordViolation(i.machine.Name + " has not ended at the end of its grace")
			<-i.signal(syscall.SIGKILL)
		}
		if err := i.start(); err != nil {
			s.recordViolation(err.Error())
		}
		s.waitUntil(startTimeout, i.ready)
	}
}

// recordViolation records a violated guarantee that no request shows.
func (s *soak) recordViolation(violation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, violation)
}

// failStore gives the store faults for a time.
func (s *soak) failStore(f hoster.Faults, d time.Duration) {
	s.platform.Store.SetFaults(f)
	time.Sleep(d)
	s.platform.Store.SetFaults(hoster.Faults{})
}

// failLink puts a link into the mode of a fault for a time.
func (s *soak) failLink(p *Proxy, f Fault) {
	p.SetMode(f.LinkMode)
	if f.LinkMode == Reset {
		p.SetMode(Healthy)
		return
	}
	time.Sleep(f.ActiveTime)
	p.SetMode(Healthy)
}

// crashEndpoint crashes an endpoint and starts another one in its place after the fault's time.
func (s *soak) crashEndpoint(f Fault) {
	s.mu.Lock()
	e := s.endpoints[f.Target]
	server, link := e.server, e.link
	e.server = nil
	s.mu.Unlock()
	if server == nil {
		return
	}
	server.Crash()
	link.SetMode(Refusing)
	time.Sleep(f.ActiveTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startEndpoint(e, int(f.StartAfter/time.Millisecond))
}

// putNextConfig puts the next version of the configuration in force. Every other version has the second key.
func (s *soak) putNextConfig(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configVersion++
	keys := []string{firstKey}
	if s.configVersion%2 == 1 {
		keys = append(keys, secondKey)
	}
	s.platform.Store.Put("op", "config", hoster.Config(s.configVersion, keys...))
	s.keyChanges = append(s.keyChanges, now)
}
