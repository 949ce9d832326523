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

// issue writes a certificate and key for a name into dir and returns their files. A nil parent signs itself.
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
	write(t, files.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	write(t, files.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}))
	return &authority{cert, key}, files
}

// write writes a file.
func write(t *testing.T, name string, body []byte) {
	t.Helper()
	if err := os.WriteFile(name, body, 0o600); err != nil {
		t.Fatal(err)
	}
}

// open returns a Terminator that looks at its files on each use.
func open(t *testing.T, files Files) *Terminator {
	t.Helper()
	out, err := New(files, WithCheck(0))
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// shake runs a handshake over loopback and returns the listener's certificate as seen by the client.
func shake(server, client *tls.Config) (*x509.Certificate, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = l.Close() }()
	result := make(chan error, 1)
	go func() { result <- accept(l, server) }()
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

// accept runs the listener's side of one handshake.
func accept(l net.Listener, config *tls.Config) error {
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
	stranger, strangerFiles := issue(t, nil, other, "stranger", 1)
	_, server := issue(t, ca, dir, "server", 2)
	_, client := issue(t, ca, dir, "client", 3)
	_, foreign := issue(t, stranger, other, "client", 3)
	_, misnamed := issue(t, ca, dir, "elsewhere", 4)
	cases := []struct {
		name           string
		server, client Files
		ok             bool
	}{
		{"both ends known", with(server, caFiles.Cert), with(client, caFiles.Cert), true},
		{"client's authority unknown", with(server, caFiles.Cert), with(foreign, caFiles.Cert), false},
		{"listener's authority unknown", with(server, caFiles.Cert), with(client, strangerFiles.Cert), false},
		{"listener's name differs", with(misnamed, caFiles.Cert), with(client, caFiles.Cert), false},
		{"no certificate asked for", server, with(foreign, caFiles.Cert), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := shake(open(t, c.server).Server(), open(t, c.client).Client())
			if diff := cmp.Diff(c.ok, err == nil); diff != "" {
				t.Errorf("accepted mismatch (-want +got):\n%s\nerror: %v", diff, err)
			}
		})
	}
}

// with returns the files with a CA.
func with(f Files, ca string) Files {
	f.CA = ca
	return f
}

func TestReload(t *testing.T) {
	dir := t.TempDir()
	ca, caFiles := issue(t, nil, dir, "ca", 1)
	_, files := issue(t, ca, dir, "server", 2)
	server := open(t, with(files, caFiles.Cert))
	client := open(t, with(files, caFiles.Cert))
	serial := func() int64 {
		t.Helper()
		cert, err := shake(server.Server(), client.Client())
		if err != nil {
			t.Fatal(err)
		}
		return cert.SerialNumber.Int64()
	}
	if got := serial(); got != 2 {
		t.Fatalf("serial %d, want 2", got)
	}
	issue(t, ca, dir, "server", 3)
	touch(t, files, 1)
	if got := serial(); got != 3 {
		t.Errorf("serial after the files changed: %d, want 3", got)
	}
	write(t, files.Cert, []byte("broken"))
	touch(t, files, 2)
	if got := serial(); got != 3 {
		t.Errorf("serial after a broken file: %d, want 3", got)
	}
	if server.Failure() == nil {
		t.Error("a broken file is not reported")
	}
}

// touch sets the files' times later than any before.
func touch(t *testing.T, files Files, hours int) {
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
	write(t, empty, nil)
	cases := []struct {
		name  string
		files Files
	}{
		{"certificate missing", Files{Cert: filepath.Join(dir, "none"), Key: files.Key}},
		{"key missing", Files{Cert: files.Cert, Key: filepath.Join(dir, "none")}},
		{"authorities missing", with(files, filepath.Join(dir, "none"))},
		{"authorities empty", with(files, empty)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := New(c.files); err == nil {
				t.Error("New succeeded")
			}
		})
	}
}
