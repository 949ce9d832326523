package configurer

import (
	"encoding/hex"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/control/leaser"
)

// hashBytes is the length of a SHA-256.
const hashBytes = 32

// acceptAny accepts every text.
func acceptAny(string) error { return nil }

// checkName accepts letters, digits, dots, dashes and underscores.
func checkName(text string) error {
	if text == "" {
		return merry.New("must not be empty")
	}
	for _, r := range text {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && !strings.ContainsRune("._-", r) {
			return merry.Errorf("%q holds %q: only letters, digits, dots, dashes and underscores are allowed", text, r)
		}
	}
	return nil
}

// checkAddress accepts a host and a port. The host may be empty.
func checkAddress(text string) error {
	_, port, err := net.SplitHostPort(text)
	if err != nil {
		return merry.Errorf("%q is not a host and port, as in 127.0.0.1:8080", text)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return merry.Errorf("%q has no port from 0 to 65535", text)
	}
	return nil
}

// checkOptionalAddress accepts an address to connect to, or none.
func checkOptionalAddress(text string) error {
	if text == "" {
		return nil
	}
	return checkAddress(text)
}

// checkURL accepts an absolute URL of http or https, or nothing.
func checkURL(text string) error {
	if text == "" {
		return nil
	}
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return merry.Errorf("%q is not a URL of http or https", text)
	}
	return nil
}

// checkHash accepts a SHA-256 in hexadecimal, or nothing.
func checkHash(text string) error {
	if text == "" {
		return nil
	}
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != hashBytes {
		return merry.New("is not a SHA-256 of 64 hexadecimal digits")
	}
	return nil
}

// checkOneOf returns a check that accepts only the words given.
func checkOneOf(words ...string) func(string) error {
	return func(text string) error {
		for _, w := range words {
			if w == text {
				return nil
			}
		}
		return merry.Errorf("%q is not one of %s", text, strings.Join(words, ", "))
	}
}

// parseDuration parses a positive duration with its unit.
func parseDuration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, merry.Errorf("%q is not a duration with a unit, as in 500ms, 2s or 5m", text)
	}
	if d <= 0 {
		return 0, merry.Errorf("%q must be more than 0", text)
	}
	return d, nil
}

// parseNumber parses a whole number from low to high.
func parseNumber(text string, low, high int64) (int64, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, merry.Errorf("%q is not a whole number", text)
	}
	if n < low || n > high {
		return 0, merry.Errorf("%d is not from %d to %d", n, low, high)
	}
	return n, nil
}

// relationFaults returns the problem texts of settings that are valid alone and conflict with each other, by the name of
// the setting at fault.
func relationFaults(s Settings) map[string]string {
	faults := map[string]string{}
	for name, l := range map[string]Listener{"callers": s.Callers, "operators": s.Operators, "peers": s.Peers} {
		switch {
		case l.Cert != "" && l.Key == "":
			faults[name+".cert"] = "needs " + name + ".key"
		case l.Key != "" && l.Cert == "":
			faults[name+".key"] = "needs " + name + ".cert"
		case l.CA != "" && l.Cert == "":
			faults[name+".ca"] = "needs " + name + ".cert"
		}
	}
	if s.Peers.Cert != "" && s.Peers.Key != "" && s.Peers.CA == "" {
		faults["peers.cert"] = "needs peers.ca, as both ends present certificates"
	}
	if s.Times.ProgressTimeout > s.Times.RequestTimeout {
		faults["times.progress"] = "is longer than times.request"
	}
	if leaseDuration := leaser.DefaultTerms().LeaseDuration; s.Repairs.OrderWindow >= leaseDuration {
		faults["repairs.window"] = "is not shorter than the lease, " + leaseDuration.String()
	}
	return faults
}
