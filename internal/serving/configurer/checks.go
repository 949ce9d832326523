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

// hashSize is the length of a SHA-256, in bytes.
const hashSize = 32

// anyText accepts every text.
func anyText(string) error { return nil }

// isName accepts letters, digits, dots, dashes and underscores.
func isName(text string) error {
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

// isAddress accepts a host and a port. The host may be empty.
func isAddress(text string) error {
	_, port, err := net.SplitHostPort(text)
	if err != nil {
		return merry.Errorf("%q is not a host and port, as in 127.0.0.1:8080", text)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return merry.Errorf("%q has no port from 0 to 65535", text)
	}
	return nil
}

// isOptionalAddress accepts an address to connect to, or none.
func isOptionalAddress(text string) error {
	if text == "" {
		return nil
	}
	return isAddress(text)
}

// isURL accepts an absolute URL of http or https.
func isURL(text string) error {
	if text == "" {
		return nil
	}
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return merry.Errorf("%q is not a URL of http or https", text)
	}
	return nil
}

// isHash accepts a SHA-256 in hexadecimal, or nothing.
func isHash(text string) error {
	if text == "" {
		return nil
	}
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != hashSize {
		return merry.New("is not a SHA-256 of 64 hexadecimal digits")
	}
	return nil
}

// oneOf accepts one of some words.
func oneOf(words ...string) func(string) error {
	return func(text string) error {
		for _, w := range words {
			if w == text {
				return nil
			}
		}
		return merry.Errorf("%q is not one of %s", text, strings.Join(words, ", "))
	}
}

// readDuration reads a positive time with its unit.
func readDuration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, merry.Errorf("%q is not a duration with a unit, as in 500ms, 2s or 5m", text)
	}
	if d <= 0 {
		return 0, merry.Errorf("%q must be more than 0", text)
	}
	return d, nil
}

// readNumber reads a whole number within bounds.
func readNumber(text string, low, high int64) (int64, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, merry.Errorf("%q is not a whole number", text)
	}
	if n < low || n > high {
		return 0, merry.Errorf("%d is not from %d to %d", n, low, high)
	}
	return n, nil
}

// relations returns what is wrong between settings that are each right, by the name of the setting at fault.
func relations(s Settings) map[string]string {
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
	if s.Times.Progress > s.Times.Request {
		faults["times.progress"] = "is longer than times.request"
	}
	if length := leaser.DefaultTerms().LeaseDuration; s.Repairs.Window >= length {
		faults["repairs.window"] = "is not shorter than the lease, " + length.String()
	}
	return faults
}
