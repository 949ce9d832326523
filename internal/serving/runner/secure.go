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

// secrets holds the TLS material of each listener by its name in the settings. One without TLS has none.
type secrets map[string]*terminator.Terminator

// Certificate is what is known of a listener's certificate files, for the state dump.
type Certificate struct {
	// Failure says why the files could not be read when they last changed.
	Failure string
}

// newSecrets reads the TLS files of the settings. The error names the listener and the file at fault.
func newSecrets(s configurer.Settings, clock func() time.Time) (secrets, error) {
	if s.Peers.Cert != "" && s.Peers.CA == "" {
		return nil, merry.New("peers.ca: TLS between instances needs the authorities of both ends")
	}
	out := secrets{}
	for name, l := range map[string]configurer.Listener{"callers": s.Callers, "operators": s.Operators, "peers": s.Peers} {
		if l.Cert == "" {
			continue
		}
		files := terminator.Files{Cert: l.Cert, Key: l.Key, CA: l.CA}
		t, err := terminator.New(files, terminator.WithCheck(s.Times.Reload), terminator.WithClock(clock))
		if err != nil {
			return nil, merry.Prepend(err, name)
		}
		out[name] = t
	}
	return out, nil
}

// secure returns a listener that answers in TLS if the settings ask for it.
func (c secrets) secure(name string, l net.Listener) net.Listener {
	t := c[name]
	if t == nil {
		return l
	}
	return tls.NewListener(l, t.Server())
}

// exchange returns the options of the exchange between instances.
func (c secrets) exchange() []exchanger.Option {
	t := c["peers"]
	if t == nil {
		return nil
	}
	return []exchanger.Option{exchanger.WithTLS(t.Server(), t.Client())}
}

// state returns what is known of each listener's files, by the listener's name.
func (c secrets) state() map[string]Certificate {
	out := map[string]Certificate{}
	for name, t := range c {
		out[name] = Certificate{}
		if err := t.Failure(); err != nil {
			out[name] = Certificate{Failure: err.Error()}
		}
	}
	return out
}

// logFailures logs each change of what is known of the files since before, and returns what is known.
func (r *Runner) logFailures(before map[string]Certificate) map[string]Certificate {
	state := r.secrets.state()
	for name, c := range state {
		switch {
		case c == before[name]:
		case c.Failure != "":
			r.log.Error("certificate not reloaded; the last good one stays in use", "listener", name, "error", c.Failure)
		default:
			r.log.Info("certificate reloaded", "listener", name)
		}
	}
	return state
}
