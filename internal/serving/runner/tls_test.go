package runner

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/serving/configurer"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
	"github.com/heatherrock/heatherrock/internal/standin/storer"
	"github.com/heatherrock/heatherrock/internal/standin/tabler"
)

// authority issues certificates for a test.
type authority struct {
	file string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// newAuthority returns an authority whose certificate is written to a file.
func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{file: filepath.Join(t.TempDir(), "ca.pem")}
	a.cert, a.key = a.sign(t, 1, net.IPv4zero)
	writePEM(t, a.file, "CERTIFICATE", a.cert.Raw)
	return a
}

// sign returns a certificate signed by the authority and its key. If the authority has no certificate yet, the new one is
// its own, signed by itself.
func (a *authority) sign(t *testing.T, serial int64, ip net.IP) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "instance"}, IPAddresses: []net.IP{ip},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: a.cert == nil, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return cert, key
}

// issue writes a certificate for an IP address to files and returns a listener's settings that name them.
func (a *authority) issue(t *testing.T, dir string, serial int64, ip net.IP) configurer.Listener {
	t.Helper()
	cert, key := a.sign(t, serial, ip)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	l := configurer.Listener{Address: "127.0.0.1:0", Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	writePEM(t, l.Cert, "CERTIFICATE", cert.Raw)
	writePEM(t, l.Key, "PRIVATE KEY", private)
	return l
}

// writePEM writes a PEM block to a file.
func writePEM(t *testing.T, file, kind string, content []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// client returns an HTTP client that trusts the authority and uses a new connection for each request.
func (a *authority) client() *http.Client {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, DisableKeepAlives: true}}
}

// loopback is the IP address of the tests' listeners.
var loopback = net.IPv4(127, 0, 0, 1)

// startWithoutEngines starts an instance with a platform of its own and no engines.
func startWithoutEngines(t *testing.T, s configurer.Settings) *Runner {
	t.Helper()
	r := New(s, Platform{Table: tabler.New(), Objects: storer.New(faulter.NewFaults(1))}, WithLog(slog.New(slog.DiscardHandler)))
	if err := r.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// TestPeersPresentCertificates checks that a call between instances succeeds only if each end presents a certificate for
// its address that the other end's authority has signed.
func TestPeersPresentCertificates(t *testing.T) {
	trusted, untrusted := newAuthority(t), newAuthority(t)
	instance := func(id string, a *authority, ip net.IP) *Runner {
		s := settings()
		s.ID = id
		s.Peers = a.issue(t, t.TempDir(), 2, ip)
		s.Peers.CA = trusted.file
		return startWithoutEngines(t, s)
	}
	first := instance("entry-1", trusted, loopback)
	second := instance("entry-2", trusted, loopback)
	foreign := instance("foreign", untrusted, loopback)
	misnamed := instance("misnamed", trusted, net.IPv4(10, 0, 0, 1))
	withoutTLS := startWithoutEngines(t, settings())
	cases := []struct {
		name     string
		from, to *Runner
		ok       bool
	}{
		{"both ends trusted", first, second, true},
		{"untrusted server", first, foreign, false},
		{"untrusted client", foreign, first, false},
		{"server certificate for another address", first, misnamed, false},
		{"client without a certificate", withoutTLS, first, false},
		{"server without a certificate", first, withoutTLS, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			peer := gossiper.Peer{ID: c.to.ID(), Address: c.to.PeerAddress()}
			var reply gossiper.Message
			err := c.from.exchange.Call(context.Background(), peer, "Exchange.Gossip", gossiper.Message{}, &reply)
			if diff := cmp.Diff(c.ok, err == nil); diff != "" {
				t.Errorf("success mismatch (-want +got):\n%s\nerror: %v", diff, err)
			}
		})
	}
}

// TestSilentPeer checks that a connection to the peers' listener on which the client sends nothing is closed.
func TestSilentPeer(t *testing.T) {
	a := newAuthority(t)
	s := settings()
	s.Peers = a.issue(t, t.TempDir(), 2, loopback)
	s.Peers.CA = a.file
	c, err := net.Dial("tcp", startWithoutEngines(t, s).PeerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if n, err := c.Read(make([]byte, 1)); err == nil {
		t.Errorf("received %d bytes", n)
	}
}

// TestCertificateReload replaces a listener's certificate while the instance runs, with a valid, an invalid and again a
// valid one. The last valid one must be used.
func TestCertificateReload(t *testing.T) {
	a, dir := newAuthority(t), t.TempDir()
	s := settings()
	s.Callers = a.issue(t, dir, 2, loopback)
	s.Operators = a.issue(t, t.TempDir(), 3, loopback)
	r := startWithoutEngines(t, s)
	serial := func(address, path string) int64 {
		t.Helper()
		answer, err := a.client().Get("https://" + address + path)
		if err != nil {
			t.Fatal(err)
		}
		defer answer.Body.Close()
		return answer.TLS.PeerCertificates[0].SerialNumber.Int64()
	}
	steps := []struct {
		name   string
		change func()
		want   int64
		failed bool
	}{
		{"as started", func() {}, 2, false},
		{"replaced", func() { a.issue(t, dir, 4, loopback) }, 4, false},
		{"broken", func() { writePEM(t, s.Callers.Cert, "CERTIFICATE", nil) }, 4, true},
		{"repaired", func() { a.issue(t, dir, 5, loopback) }, 5, false},
	}
	for i, step := range steps {
		step.change()
		at := time.Now().Add(time.Duration(i) * time.Hour)
		for _, name := range []string{s.Callers.Cert, s.Callers.Key} {
			if err := os.Chtimes(name, at, at); err != nil {
				t.Fatal(err)
			}
		}
		if diff := cmp.Diff(step.want, serial(r.CallerAddress(), "/v1/models")); diff != "" {
			t.Errorf("%s: serial mismatch (-want +got):\n%s", step.name, diff)
		}
		if diff := cmp.Diff(step.failed, r.terminators.certificateStates()["callers"].Failure != ""); diff != "" {
			t.Errorf("%s: failure mismatch (-want +got):\n%s", step.name, diff)
		}
	}
	if diff := cmp.Diff(int64(3), serial(r.OperatorAddress(), "/healthz")); diff != "" {
		t.Errorf("operators' serial mismatch (-want +got):\n%s", diff)
	}
}

// TestUnreadableCertificate checks that an instance with an unreadable TLS file does not start and names the file.
func TestUnreadableCertificate(t *testing.T) {
	a, dir := newAuthority(t), t.TempDir()
	good := a.issue(t, dir, 2, loopback)
	empty := filepath.Join(dir, "empty.pem")
	writePEM(t, empty, "NOTHING", nil)
	missing := filepath.Join(dir, "missing.pem")
	cases := []struct {
		name   string
		change func(s *configurer.Settings)
		want   []string
	}{
		{"no certificate", func(s *configurer.Settings) { s.Callers = good; s.Callers.Cert = missing }, []string{"callers", missing}},
		{"no key", func(s *configurer.Settings) { s.Operators = good; s.Operators.Key = missing }, []string{"operators", missing}},
		{"not a certificate", func(s *configurer.Settings) { s.Callers = good; s.Callers.Cert = empty }, []string{"callers", empty}},
		{"no authorities", func(s *configurer.Settings) { s.Peers = good; s.Peers.CA = empty }, []string{"peers", empty}},
		{"peers without authorities", func(s *configurer.Settings) { s.Peers = good }, []string{"peers.ca"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			c.change(&s)
			r := New(s, Platform{Table: tabler.New(), Objects: storer.New(faulter.NewFaults(1))})
			err := r.Start()
			r.Close()
			for _, text := range c.want {
				if err == nil || !strings.Contains(err.Error(), text) {
					t.Errorf("error %v does not name %s", err, text)
				}
			}
		})
	}
}

// TestOperatorsCredential checks which of the operators' paths require the credential, and that an instance may be closed
// twice.
func TestOperatorsCredential(t *testing.T) {
	sum := sha256.Sum256([]byte("duty"))
	s := settings()
	s.CredentialHash = hex.EncodeToString(sum[:])
	r := startWithoutEngines(t, s)
	cases := []struct {
		path, token string
		want        int
	}{
		{"/state", "", 401}, {"/state", "wrong", 401}, {"/state", "duty", 200},
		{"/state/router", "", 401}, {"/state/router", "duty", 200}, {"/state/nothing", "duty", 404},
		{"/records", "", 401}, {"/calls", "", 401},
		{"/healthz", "", 200}, {"/metrics", "", 200},
	}
	for _, c := range cases {
		q, err := http.NewRequest(http.MethodGet, "http://"+r.OperatorAddress()+c.path, nil)
		if err != nil {
			t.Fatal(err)
		}
		if c.token != "" {
			q.Header.Set("Authorization", "Bearer "+c.token)
		}
		answer, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		_ = answer.Body.Close()
		if diff := cmp.Diff(c.want, answer.StatusCode); diff != "" {
			t.Errorf("%s with %q: status mismatch (-want +got):\n%s", c.path, c.token, diff)
		}
	}
	r.Close()
	r.Close()
}
