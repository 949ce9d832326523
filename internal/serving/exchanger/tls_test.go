package exchanger

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
)

// newCertificate returns a self-signed certificate for the loopback address, and a pool that holds it.
func newCertificate(t *testing.T, name string) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

// withCertificate returns the option of an instance that presents a certificate and requires one of the pool from peers.
func withCertificate(cert tls.Certificate, pool *x509.CertPool) Option {
	certs := []tls.Certificate{cert}
	return WithTLS(
		&tls.Config{MinVersion: tls.VersionTLS12, Certificates: certs, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert},
		&tls.Config{MinVersion: tls.VersionTLS12, Certificates: certs, RootCAs: pool},
	)
}

func TestBothEndsPresentCertificates(t *testing.T) {
	trusted, pool := newCertificate(t, "known")
	untrusted, _ := newCertificate(t, "stranger")
	cases := []struct {
		name   string
		client tls.Certificate
		ok     bool
	}{
		{"trusted", trusted, true},
		{"untrusted", untrusted, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			certs := []tls.Certificate{trusted, c.client}
			nodes := start(t, 2, func(i int) []Option {
				return []Option{WithInterval(time.Hour), withCertificate(certs[i], pool)}
			})
			err := nodes[1].Call(t.Context(), nodes[0].Dump().Self, "Exchange.Gossip", gossiper.Message{}, new(gossiper.Message))
			if c.ok && err != nil {
				t.Errorf("call with a trusted certificate: %v", err)
			}
			if !c.ok && !errors.Is(err, ErrUnreachable) && !errors.Is(err, ErrNotSent) {
				t.Errorf("call with an untrusted certificate: got %v, want a refusal", err)
			}
		})
	}
	t.Run("without TLS", func(t *testing.T) {
		nodes := start(t, 2, func(i int) []Option {
			o := []Option{WithInterval(time.Hour)}
			if i == 0 {
				o = append(o, withCertificate(trusted, pool))
			}
			return o
		})
		self := gossiper.Peer{ID: "n0", Address: nodes[0].Dump().Self.Address}
		if err := nodes[1].Call(t.Context(), self, "Exchange.Gossip", gossiper.Message{}, new(gossiper.Message)); !errors.Is(err, ErrUnreachable) {
			t.Errorf("call without TLS: got %v, want ErrUnreachable", err)
		}
	})
}
