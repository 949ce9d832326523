// Package terminator makes the TLS configuration of listeners and connections from certificate files, and reloads the
// files when they change.
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

// Files names the PEM files of a certificate, its key, and the authorities that must have issued the other end's
// certificate. With an empty CA, a listener requests no certificate.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// Option changes how a Terminator works.
type Option func(*Terminator)

// WithCheckInterval sets the time between checks of the files for changes.
func WithCheckInterval(d time.Duration) Option {
	return func(t *Terminator) { t.checkInterval = d }
}

// WithClock sets the source of the current time.
func WithClock(now func() time.Time) Option {
	return func(t *Terminator) { t.now = now }
}

// Terminator holds the certificate and authorities read from files and reloads them when a file has changed. If a reload
// fails, the last valid ones stay in use. Its methods may be called from any goroutine.
type Terminator struct {
	files         Files
	checkInterval time.Duration
	now           func() time.Time

	mu        sync.Mutex
	checkedAt time.Time
	modTimes  [3]time.Time
	cert      *tls.Certificate
	pool      *x509.CertPool
	loadErr   error
}

// New loads the files. It fails if one is missing or contains no certificate or key.
func New(files Files, options ...Option) (*Terminator, error) {
	t := &Terminator{files: files, checkInterval: time.Second, now: time.Now}
	for _, o := range options {
		o(t)
	}
	t.checkedAt = t.now()
	t.modTimes = t.readModTimes()
	if err := t.load(); err != nil {
		return nil, err
	}
	return t, nil
}

// ServerConfig returns the TLS configuration of a listener. With a CA, the other end must present a certificate issued by
// it.
func (t *Terminator) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetConfigForClient: t.connectionConfig}
}

// ClientConfig returns the TLS configuration of connections to listeners whose certificates are issued by the CA, or by
// the system's authorities without one. The certificate is presented if the other end requests one. The listener's name
// is checked against ServerName, which must be set before use, as tls.Dial does.
func (t *Terminator) ClientConfig() *tls.Config {
	config := &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := t.currentCerts()
			return cert, nil
		},
	}
	if t.files.CA != "" {
		config.InsecureSkipVerify = true
		config.VerifyConnection = t.verifyServer
	}
	return config
}

// LoadError returns why the files could not be loaded when they last changed, or nil. It is nil again after the next
// successful reload.
func (t *Terminator) LoadError() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loadErr
}

// connectionConfig returns the TLS configuration of one connection to a listener.
func (t *Terminator) connectionConfig(*tls.ClientHelloInfo) (*tls.Config, error) {
	_, pool := t.currentCerts()
	config := &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: t.currentCertificate}
	if t.files.CA != "" {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = pool
	}
	return config, nil
}

// currentCertificate returns the certificate in use.
func (t *Terminator) currentCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	cert, _ := t.currentCerts()
	return cert, nil
}

// verifyServer verifies the chain and name of a listener's certificate against the authorities in use. It replaces the
// verification of the standard library, whose authorities are fixed when the configuration is made.
func (t *Terminator) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return merry.New("no certificate presented")
	}
	_, pool := t.currentCerts()
	options := x509.VerifyOptions{Roots: pool, DNSName: state.ServerName, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}

// currentCerts returns the certificate and authorities in use, after a check of the files for changes if one is due.
func (t *Terminator) currentCerts() (*tls.Certificate, *x509.CertPool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if now.Sub(t.checkedAt) >= t.checkInterval {
		t.checkedAt = now
		t.reloadIfChanged()
	}
	return t.cert, t.pool
}

// reloadIfChanged reloads the files if one has changed or the last reload failed. The caller holds the lock.
func (t *Terminator) reloadIfChanged() {
	modTimes := t.readModTimes()
	if modTimes == t.modTimes && t.loadErr == nil {
		return
	}
	t.modTimes = modTimes
	t.loadErr = t.load()
}

// readModTimes returns the modification times of the files; that of a missing file is zero.
func (t *Terminator) readModTimes() [3]time.Time {
	var out [3]time.Time
	for i, name := range []string{t.files.Cert, t.files.Key, t.files.CA} {
		if info, err := os.Stat(name); name != "" && err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

// load reads the files. On an error the certificate and authorities in use stay.
func (t *Terminator) load() error {
	cert, err := tls.LoadX509KeyPair(t.files.Cert, t.files.Key)
	if err != nil {
		return merry.Prependf(err, "certificate %s", t.files.Cert)
	}
	pool, err := loadAuthorities(t.files.CA)
	if err != nil {
		return err
	}
	t.cert, t.pool = &cert, pool
	return nil
}

// loadAuthorities reads a file of CA certificates in PEM. It returns nil if no file is named.
func loadAuthorities(name string) (*x509.CertPool, error) {
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
