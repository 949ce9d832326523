package dispatcher

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

// defaultDeadline bounds a call whose record gives no deadline.
const defaultDeadline = 10 * time.Second

// pathPrefix begins the path of every call. The name of the service and the path at the service follow.
const pathPrefix = "/v1/services/"

// forwardedHeaders lists the headers of a request that are forwarded to the service.
var forwardedHeaders = []string{"Accept", "Content-Type", "X-Request-Id"}

// inbound is a caller's request to a service.
type inbound struct {
	team       string
	service    string
	call       recorder.Call
	message    Message
	callHash   string
	receivedAt time.Time
}

// ServeHTTP answers a call of a plain service.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt, ok := attemptOf(r)
	if !ok {
		d.respond(w, rejectionAnswer(1, CodeAttemptInvalid))
		return
	}
	if !d.admit() {
		d.respond(w, claimer.RefusalAnswer(attempt, CodeTooManyCalls))
		return
	}
	defer d.release()
	d.respond(w, d.serve(w, r, attempt))
}

// respond counts and writes an answer.
func (d *Dispatcher) respond(w http.ResponseWriter, a claimer.Answer) {
	d.countAnswer(a)
	writeAnswer(w, a)
}

// serve returns the answer to an admitted request.
func (d *Dispatcher) serve(w http.ResponseWriter, r *http.Request, attempt int) claimer.Answer {
	in, code := d.parse(w, r)
	if code != "" {
		return rejectionAnswer(attempt, code)
	}
	if in.call.Idempotent {
		return d.runIdempotent(r.Context(), in)
	}
	key, code := claimer.ParseKey(r.Header.Get(HeaderKey))
	if code != "" {
		return rejectionAnswer(attempt, code)
	}
	return d.runClaim(r.Context(), in, key, attempt)
}

// admit adds a request to those in flight, or returns false if there are too many.
func (d *Dispatcher) admit() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inFlight >= d.settings.maxInFlight {
		return false
	}
	d.inFlight++
	return true
}

// release removes a request from those in flight.
func (d *Dispatcher) release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
}

// parse reads a request, or returns the code of the reason why it is invalid.
func (d *Dispatcher) parse(w http.ResponseWriter, r *http.Request) (inbound, string) {
	name := mux.Vars(r)["service"]
	service, ok := d.view.Service(name)
	if !ok {
		return inbound{}, CodeServiceUnknown
	}
	decoded, path := pathsOf(r.URL)
	call, ok := service.FindCall(r.Method, decoded)
	if !ok {
		return inbound{}, CodeCallUnknown
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, d.settings.maxBodyBytes))
	if err != nil {
		return inbound{}, bodyErrorCode(err)
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	in := inbound{team: d.identifier.Team(r), service: name, call: call, receivedAt: d.settings.now()}
	in.message = Message{Method: r.Method, Path: path, Header: http.Header{}, Body: body}
	for _, h := range forwardedHeaders {
		if value := r.Header.Get(h); value != "" {
			in.message.Header.Set(h, value)
		}
	}
	in.callHash = callHashOf(name, in.message)
	return in, ""
}

// deadline returns the time allowed for the call, counted from its receipt.
func (in inbound) deadline() time.Duration {
	if in.call.DeadlineMillis <= 0 {
		return defaultDeadline
	}
	return time.Duration(in.call.DeadlineMillis) * time.Millisecond
}

// pathsOf returns the path of a request at its service in two forms: decoded, to find the call's record, and as the
// caller encoded it, to be forwarded. A service may decode a path before it acts on it, so an encoded path must match
// the same call as the decoded one.
func pathsOf(u *url.URL) (decoded, encoded string) {
	return pathBelowService(u.Path), pathBelowService(u.EscapedPath())
}

// pathBelowService returns a path without its prefix /v1/services/NAME.
func pathBelowService(path string) string {
	rest := strings.TrimPrefix(path, pathPrefix)
	if i := strings.IndexByte(rest, '/'); i >= 0 {
		return rest[i:]
	}
	return "/"
}

// bodyErrorCode returns the code of an error in reading a body.
func bodyErrorCode(err error) string {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return CodeBodyTooLarge
	}
	return CodeBodyUnreadable
}

// callHashOf returns a hash of a call and its body.
func callHashOf(service string, m Message) string {
	h := sha256.New()
	for _, part := range []string{service, m.Method, m.Path, m.Header.Get("Content-Type")} {
		h.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	h.Write(m.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// attemptOf returns the number of the caller's attempt and reports whether it is valid. A request without the header is
// the first attempt.
func attemptOf(r *http.Request) (int, bool) {
	text := r.Header.Get(HeaderAttempt)
	if text == "" {
		return 1, true
	}
	n, err := strconv.Atoi(text)
	return n, err == nil && n >= 1
}

// IsLaterAttempt reports whether a request is not the first attempt of a call, so that an earlier one may have run.
func IsLaterAttempt(r *http.Request) bool {
	attempt, ok := attemptOf(r)
	return ok && attempt > 1
}
