// Package verifier verifies the heads of HTTP/1.1 responses as they are received, and how the connections end that delimit some of them. net/http
// accepts more than RFC 9112 allows: any number of three characters as a status, spaces in the names of headers, headers that continue on the next
// line, and the end of a connection that has failed.
package verifier

import (
	"bytes"

	"github.com/ansel1/merry/v2"
)

// ErrInvalidHead means that the bytes received are not the head of a response.
var ErrInvalidHead = merry.Sentinel("invalid response head")

// The lowest and the highest status of a response (RFC 9110, section 15), and the one that only a request to change the protocol
// may get.
const (
	minStatus                = 100
	maxStatus                = 599
	statusSwitchingProtocols = 101
)

// tokenBytes are the bytes of a header's name (RFC 9110, section 5.6.2).
const tokenBytes = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

// Head verifies the heads of the responses on one connection: of the informational ones to a request, and of the final one. Its
// zero value expects the first.
type Head struct {
	// line is the beginning of a line whose end has not been received.
	line      []byte
	lineCount int
	// endsLinesInCRLF is true if the status line ends in CR LF. All lines end in the same way: an LF alone between lines that end in CR LF
	// is a control byte.
	endsLinesInCRLF bool
	isInformational bool
	isHTTP10        bool
	hasLength       bool
	hasCoding       bool
	isComplete      bool
}

// Expect begins the verification of the response to another request.
func (h *Head) Expect() { *h = Head{} }

// Verify verifies the next bytes received. Those after the head of a final response are the body, and any are valid. The error is
// ErrInvalidHead.
func (h *Head) Verify(b []byte) error {
	for !h.isComplete {
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			h.line = append(h.line, b...)
			return nil
		}
		line := b[:end]
		if len(h.line) > 0 {
			line = append(h.line, line...)
		}
		if err := h.verifyLine(line); err != nil {
			return err
		}
		h.line, b = h.line[:0], b[end+1:]
	}
	return nil
}

// verifyLine verifies a line without the LF that ends it.
func (h *Head) verifyLine(line []byte) error {
	content, endsInCRLF := bytes.CutSuffix(line, []byte{'\r'})
	h.lineCount++
	switch {
	case h.lineCount == 1:
		h.endsLinesInCRLF = endsInCRLF
		return h.verifyStatusLine(content)
	case endsInCRLF != h.endsLinesInCRLF:
		return merry.Prependf(ErrInvalidHead, "line %d does not end like the status line", h.lineCount)
	case len(content) > 0:
		return h.verifyField(content)
	}
	return h.verifyEnd()
}

// verifyStatusLine verifies the version and the status. The space after the status may be missing if there is no reason.
func (h *Head) verifyStatusLine(line []byte) error {
	rest, ok := bytes.CutPrefix(line, []byte("HTTP/1."))
	isStatusLine := ok && len(rest) >= 5 && isDigit(rest[0]) && rest[1] == ' ' && isDigit(rest[2]) && isDigit(rest[3]) && isDigit(rest[4]) &&
		(len(rest) == 5 || rest[5] == ' ') && !bytes.ContainsFunc(rest, isControl)
	if !isStatusLine {
		return merry.Prependf(ErrInvalidHead, "status line %.40q", line)
	}
	status := 100*int(rest[2]-'0') + 10*int(rest[3]-'0') + int(rest[4]-'0')
	if status < minStatus || status > maxStatus || status == statusSwitchingProtocols {
		return merry.Prependf(ErrInvalidHead, "status %03d", status)
	}
	h.isInformational = status < 200
	h.isHTTP10 = rest[0] == '0'
	return nil
}

// verifyField verifies the name of a header. A space before it would make the line continue the one before, which no sender may do
// (RFC 9112, section 5.2).
func (h *Head) verifyField(line []byte) error {
	name, _, ok := bytes.Cut(line, []byte{':'})
	if !ok || len(name) == 0 || len(bytes.TrimLeft(name, tokenBytes)) > 0 {
		return merry.Prependf(ErrInvalidHead, "header %.40q", line)
	}
	h.hasLength = h.hasLength || bytes.EqualFold(name, []byte("Content-Length"))
	h.hasCoding = h.hasCoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	return nil
}

// verifyEnd verifies that the head delimits the body in one way only (RFC 9112, section 6.1), and ends it.
func (h *Head) verifyEnd() error {
	if h.hasCoding && (h.hasLength || h.isHTTP10) {
		return merry.Prepend(ErrInvalidHead, "transfer coding in HTTP/1.0 or beside a length")
	}
	if h.isInformational {
		h.Expect()
		return nil
	}
	h.isComplete = true
	return nil
}

// isDigit reports whether a byte is a decimal digit.
func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// isControl reports whether a character is a control character other than a tab.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == '\x7f' }
