package terminator

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// authority issues certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// issue writes a certificate and key for a name into dir and returns their files. With a nil parent it is self-signed.
func issue(t *testing.T, parent *authority, dir, name string, serial int64) (*authority, Files) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		DNSNames: []string{name}, IsCA: parent == nil, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	signer := &authority{template, key}
	if parent != nil {
		signer = parent
	}
	der, err := x509.CreateCertificate(rand.Reader, template, signer.cert, &key.PublicKey, signer.key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := Files{Cert: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key")}
	writeFile(t, files.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	writeFile(t, files.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}))
	return &authority{cert, key}, files
}

// writeFile writes a file.
func writeFile(t *testing.T, name string, body []byte) {
	t.Helper()
	if err := os.WriteFile(name, body, 0o600); err != nil {
		t.Fatal(err)
	}
}

// newTerminator returns a Terminator that checks its files for changes on each use.
func newTerminator(t *testing.T, files Files) *Terminator {
	t.Helper()
	out, err := New(files, WithCheckInterval(0))
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// handshake runs a handshake over loopback and returns the listener's certificate as seen by the client.
func handshake(server, client *tls.Config) (*x509.Certificate, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = l.Close() }()
	result := make(chan error, 1)
	go func() { result <- acceptHandshake(l, server) }()
	config := client.Clone()
	config.ServerName = "server"
	c, err := tls.Dial("tcp", l.Addr().String(), config)
	if err != nil {
		<-result
		return nil, err
	}
	defer func() { _ = c.Close() }()
	if err := <-result; err != nil {
		return nil, err
	}
	return c.ConnectionState().PeerCertificates[0], nil
}

// acceptHandshake runs the listener's side of one handshake.
func acceptHandshake(l net.Listener, config *tls.Config) error {
	raw, err := l.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = raw.Close() }()
	return tls.Server(raw, config).Handshake()
}

func TestHandshake(t *testing.T) {
	dir, other := t.TempDir(), t.TempDir()
	ca, caFiles := issue(t, nil, dir, "ca", 1)
	otherCA, otherCAFiles := issue(t, nil, other, "stranger", 1)
	_, server := issue(t, ca, dir, "server", 2)
	_, client := issue(t, ca, dir, "client", 3)
	_, otherClient := issue(t, otherCA, other, "client", 3)
	_, misnamed := issue(t, ca, dir, "elsewhere", 4)
	cases := []struct {
		name           string
		server, client Files
		ok             bool
	}{
		{"both authorities known", withCA(server, caFiles.Cert), withCA(client, caFiles.Cert), true},
		{"client's authority unknown", withCA(server, caFiles.Cert), withCA(otherClient, caFiles.Cert), false},
		{"listener's authority unknown", withCA(server, caFiles.Cert), withCA(client, otherCAFiles.Cert), false},
		{"listener's name differs", withCA(misnamed, caFiles.Cert), withCA(client, caFiles.Cert), false},
		{"no client certificate requested", server, withCA(otherClient, caFiles.Cert), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := handshake(newTerminator(t, c.server).ServerConfig(), newTerminator(t, c.client).ClientConfig())
			if diff := cmp.Diff(c.ok, err == nil); diff != "" {
				t.Errorf("accepted mismatch (-want +got):\n%s\nerror: %v", diff, err)
			}
		})
	}
}

// withCA returns the files with a CA.
func withCA(f Files, ca string) Files {
	f.CA = ca
	return f
}

func TestReload(t *testing.T) {
	dir := t.TempDir()
	ca, caFiles := issue(t, nil, dir, "ca", 1)
	_, files := issue(t, ca, dir, "server", 2)
	server := newTerminator(t, withCA(files, caFiles.Cert))
	client := newTerminator(t, withCA(files, caFiles.Cert))
	serial := func() int64 {
		t.Helper()
		cert, err := handshake(server.ServerConfig(), client.ClientConfig())
		if err != nil {
			t.Fatal(err)
		}
		return cert.SerialNumber.Int64()
	}
	if got := serial(); got != 2 {
		t.Fatalf("serial %d, want 2", got)
	}
	issue(t, ca, dir, "server", 3)
	setModTimes(t, files, 1)
	if got := serial(); got != 3 {
		t.Errorf("serial after the files changed: %d, want 3", got)
	}
	writeFile(t, files.Cert, []byte("broken"))
	setModTimes(t, files, 2)
	if got := serial(); got != 3 {
		t.Errorf("serial after a broken file: %d, want 3", got)
	}
	if server.LoadError() == nil {
		t.Error("a broken file is not reported")
	}
}

// setModTimes sets the files' modification times to the given number of hours from now.
func setModTimes(t *testing.T, files Files, hours int) {
	t.Helper()
	at := time.Now().Add(time.Duration(hours) * time.Hour)
	for _, name := range []string{files.Cert, files.Key} {
		if err := os.Chtimes(name, at, at); err != nil {
			t.Fatal(err)
		}
	}
}

func TestNewFails(t *testing.T) {
	dir := t.TempDir()
	_, files := issue(t, nil, dir, "ca", 1)
	empty := filepath.Join(dir, "empty")
	writeFile(t, empty, nil)
	cases := []struct {
		name  string
		files Files
	}{
		{"certificate missing", Files{Cert: filepath.Join(dir, "none"), Key: files.Key}},
		{"key missing", Files{Cert: files.Cert, Key: filepath.Join(dir, "none")}},
		{"authorities missing", withCA(files, filepath.Join(dir, "none"))},
		{"authorities empty", withCA(files, empty)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := New(c.files); err == nil {
				t.Error("New succeeded")
			}
		})
	}
}
