package connector

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// appendHead appends the request line and the headers of a message, and the empty line that ends them.
func appendHead(b []byte, m Message) []byte {
	b = append(b, m.Method...)
	b = append(b, ' ')
	b = append(b, m.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, m.Host...)
	b = append(b, "\r\n"...)
	for name, values := range m.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if length := m.Body.Len(); length > 0 || m.Method != http.MethodGet && m.Method != http.MethodHead {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(length), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// idleDeadline returns until when a connection may be reused after a response, from the timeout that the endpoint
// states in Keep-Alive (RFC 2068, 19.7.1).
func idleDeadline(now time.Time, h http.Header) time.Time {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return now.Add(time.Duration(seconds)*time.Second - idleMargin)
		}
	}
	return now.Add(idleTimeout)
}

// hopByHopHeaders are the headers that apply to one connection only (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// EndToEnd returns a copy of h without the hop-by-hop headers, which include those that Connection lists.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		out[name] = values
	}
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}
