package configurer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/ansel1/merry/v2"
)

// files returns what is wrong with the TLS files of the settings, by the name of the setting at fault.
func files(s Settings) map[string]string {
	faults := map[string]string{}
	for name, l := range map[string]Listener{"callers": s.Callers, "operators": s.Operators, "peers": s.Peers} {
		if l.Cert != "" {
			if part, err := pair(l); err != nil {
				faults[name+"."+part] = err.Error()
			}
		}
		if l.CA != "" {
			if err := authorities(l.CA); err != nil {
				faults[name+".ca"] = err.Error()
			}
		}
	}
	return faults
}

// pair reads a listener's certificate and key and returns the one at fault.
func pair(l Listener) (string, error) {
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

// authorities reads a file of certificates of authorities.
func authorities(file string) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if !x509.NewCertPool().AppendCertsFromPEM(content) {
		return merry.Errorf("%s holds no certificate in PEM", file)
	}
	return nil
}
