// Package terminator makes the TLS settings of listeners and connections from certificate files, and follows the
// files as they change.
package terminator

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// Files names a certificate, its key, and the authorities that the other end's certificate must come from, as PEM.
// CA is empty if none is asked for.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// Option changes how a Terminator works.
type Option func(*Terminator)

// WithCheck sets the time between looks at the files.
func WithCheck(d time.Duration) Option {
	return func(t *Terminator) { t.check = d }
}

// WithClock sets the source of the present time.
func WithClock(now func() time.Time) Option {
	return func(t *Terminator) { t.now = now }
}

// Terminator holds the material read from certificate files and reads it again when a file has changed. Files that
// cannot be read leave the last good material in use. Its methods may be called from any goroutine.
type Terminator struct {
	files Files
	check time.Duration
	now   func() time.Time

	mu      sync.Mutex
	looked  time.Time
	stamps  [3]time.Time
	cert    *tls.Certificate
	pool    *x509.CertPool
	failure error
}

// New reads the files. It fails if one is missing or holds no certificate or key.
func New(files Files, settings ...Option) (*Terminator, error) {
	t := &Terminator{files: files, check: time.Second, now: time.Now}
	for _, s := range settings {
		s(t)
	}
	t.looked = t.now()
	t.stamps = t.stat()
	if err := t.load(); err != nil {
		return nil, err
	}
	return t, nil
}

// Server returns the settings of a listener. With a CA, the other end must present a certificate that comes from it.
func (t *Terminator) Server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetConfigForClient: t.config}
}

// Client returns the settings of connections to listeners whose certificates come from the CA, or from the system's
// authorities without one. The certificate is presented if the other end asks. The name to check is ServerName, and
// so must be set before use, as tls.Dial does.
func (t *Terminator) Client() *tls.Config {
	config := &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := t.material()
			return cert, nil
		},
	}
	if t.files.CA != "" {
		config.InsecureSkipVerify = true
		config.VerifyConnection = t.verify
	}
	return config
}

// Failure returns why the files could not be read when they last changed, or nil.
func (t *Terminator) Failure() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failure
}

// config returns the settings of one connection to a listener.
func (t *Terminator) config(*tls.ClientHelloInfo) (*tls.Config, error) {
	_, pool := t.material()
	config := &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: t.certificate}
	if t.files.CA != "" {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = pool
	}
	return config, nil
}

// certificate returns the certificate in use.
func (t *Terminator) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	cert, _ := t.material()
	return cert, nil
}

// verify checks the chain and name of a listener's certificate against the authorities in use. It stands in for the
// check of the standard library, whose authorities are fixed when the settings are made.
func (t *Terminator) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return merry.New("no certificate presented")
	}
	_, pool := t.material()
	options := x509.VerifyOptions{Roots: pool, DNSName: state.ServerName, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}

// material returns the certificate and authorities in use, after a look at the files if one is due.
func (t *Terminator) material() (*tls.Certificate, *x509.CertPool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if now.Sub(t.looked) >= t.check {
		t.looked = now
		t.refresh()
	}
	return t.cert, t.pool
}

// refresh reads the files again if one has changed. The lock is held.
func (t *Terminator) refresh() {
	stamps := t.stat()
	if stamps == t.stamps && t.failure == nil {
		return
	}
	t.stamps = stamps
	t.failure = t.load()
}

// stat returns the times at which the files were changed; a missing file's is zero.
func (t *Terminator) stat() [3]time.Time {
	var out [3]time.Time
	for i, name := range []string{t.files.Cert, t.files.Key, t.files.CA} {
		if info, err := os.Stat(name); name != "" && err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

// load reads the files. On an error nothing is changed.
func (t *Terminator) load() error {
	cert, err := tls.LoadX509KeyPair(t.files.Cert, t.files.Key)
	if err != nil {
		return merry.Prependf(err, "certificate %s", t.files.Cert)
	}
	pool, err := authorities(t.files.CA)
	if err != nil {
		return err
	}
	t.cert, t.pool = &cert, pool
	return nil
}

// authorities reads a file of authorities. It returns nil if no file is named.
func authorities(name string) (*x509.CertPool, error) {
	if name == "" {
		return nil, nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, merry.Prepend(errors.New("no certificate found"), name)
	}
	return pool, nil
}
