package runner

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/serving/configurer"
	"github.com/heatherrock/heatherrock/internal/serving/exchanger"
	"github.com/heatherrock/heatherrock/internal/serving/terminator"
)

// terminators holds the TLS terminators by the listener's name in the settings. A listener without TLS has none.
type terminators map[string]*terminator.Terminator

// Certificate is the state of a listener's certificate files in the state dump.
type Certificate struct {
	// Failure is the error of the last attempt to reload changed files, or empty if it succeeded.
	Failure string
}

// newTerminators reads the TLS files in the settings. The error names the listener and the file that could not be read.
func newTerminators(s configurer.Settings, clock func() time.Time) (terminators, error) {
	if s.Peers.Cert != "" && s.Peers.CA == "" {
		return nil, merry.New("peers.ca: TLS between instances needs the authorities of both ends")
	}
	out := terminators{}
	for name, l := range map[string]configurer.Listener{"callers": s.Callers, "operators": s.Operators, "peers": s.Peers} {
		if l.Cert == "" {
			continue
		}
		files := terminator.Files{Cert: l.Cert, Key: l.Key, CA: l.CA}
		t, err := terminator.New(files, terminator.WithCheckInterval(s.Times.ReloadInterval), terminator.WithClock(clock))
		if err != nil {
			return nil, merry.Prepend(err, name)
		}
		out[name] = t
	}
	return out, nil
}

// wrapListener returns the listener with TLS, or as it is if it has none in the settings.
func (ts terminators) wrapListener(name string, l net.Listener) net.Listener {
	t := ts[name]
	if t == nil {
		return l
	}
	return tls.NewListener(l, t.ServerConfig())
}

// exchangeOptions returns the TLS options of the exchange between instances.
func (ts terminators) exchangeOptions() []exchanger.Option {
	t := ts["peers"]
	if t == nil {
		return nil
	}
	return []exchanger.Option{exchanger.WithTLS(t.ServerConfig(), t.ClientConfig())}
}

// certificateStates returns the state of each listener's certificate files, by the listener's name.
func (ts terminators) certificateStates() map[string]Certificate {
	out := map[string]Certificate{}
	for name, t := range ts {
		out[name] = Certificate{}
		if err := t.LoadError(); err != nil {
			out[name] = Certificate{Failure: err.Error()}
		}
	}
	return out
}

// logCertificateChanges logs the changes of the certificate files' state since previous, and returns the present state.
func (r *Runner) logCertificateChanges(previous map[string]Certificate) map[string]Certificate {
	state := r.terminators.certificateStates()
	for name, c := range state {
		switch {
		case c == previous[name]:
		case c.Failure != "":
			r.log.Error("certificate not reloaded; the last good one stays in use", "listener", name, "error", c.Failure)
		default:
			r.log.Info("certificate reloaded", "listener", name)
		}
	}
	return state
}
