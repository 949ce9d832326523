package configurer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/ansel1/merry/v2"
)

// tlsFileFaults reads the TLS files of the settings and returns the problem texts of those that are missing or invalid, by
// the name of the setting at fault.
func tlsFileFaults(s Settings) map[string]string {
	faults := map[string]string{}
	for name, l := range map[string]Listener{"callers": s.Callers, "operators": s.Operators, "peers": s.Peers} {
		if l.Cert != "" {
			if part, err := checkKeyPair(l); err != nil {
				faults[name+"."+part] = err.Error()
			}
		}
		if l.CA != "" {
			if err := checkAuthorities(l.CA); err != nil {
				faults[name+".ca"] = err.Error()
			}
		}
	}
	return faults
}

// checkKeyPair reads a listener's certificate and key. On an error it also returns which setting is at fault, cert or key.
func checkKeyPair(l Listener) (string, error) {
	cert, err := os.ReadFile(l.Cert)
	if err != nil {
		return "cert", err
	}
	key, err := os.ReadFile(l.Key)
	if err != nil {
		return "key", err
	}
	if _, err := tls.X509KeyPair(cert, key); err != nil {
		return "cert", merry.Prependf(err, "%s with %s", l.Cert, l.Key)
	}
	return "", nil
}

// checkAuthorities reads a file of CA certificates in PEM.
func checkAuthorities(file string) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if !x509.NewCertPool().AppendCertsFromPEM(content) {
		return merry.Errorf("%s holds no certificate in PEM", file)
	}
	return nil
}
