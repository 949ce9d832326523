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

// prefix begins the path of every call; the service's name and its own path follow.
const prefix = "/v1/services/"

// forwarded lists the headers of a caller that go to the service.
var forwarded = []string{"Accept", "Content-Type", "X-Request-Id"}

// inbound is one request of a caller to a service.
type inbound struct {
	team    string
	service string
	call    recorder.Call
	message Message
	print   string
	begun   time.Time
}

// ServeHTTP answers a call of a plain service.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt, ok := attemptOf(r)
	if !ok {
		d.answer(w, turnedAway(1, CodeAttempt))
		return
	}
	if !d.admit() {
		d.answer(w, claimer.RefusalAnswer(attempt, CodeFull))
		return
	}
	defer d.depart()
	d.answer(w, d.serve(w, r, attempt))
}

// answer counts and writes an answer.
func (d *Dispatcher) answer(w http.ResponseWriter, a claimer.Answer) {
	d.count(a)
	respond(w, a)
}

// serve returns the answer to a request that was let in.
func (d *Dispatcher) serve(w http.ResponseWriter, r *http.Request, attempt int) claimer.Answer {
	v, code := d.parse(w, r)
	if code != "" {
		return turnedAway(attempt, code)
	}
	if v.call.Idempotent {
		return d.lookup(r.Context(), v)
	}
	key, code := claimer.ParseKey(r.Header.Get(HeaderKey))
	if code != "" {
		return turnedAway(attempt, code)
	}
	return d.hold(r.Context(), v, key, attempt)
}

// admit counts a request in, or returns false if too many are in flight.
func (d *Dispatcher) admit() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inFlight >= d.settings.flight {
		return false
	}
	d.inFlight++
	return true
}

// depart counts a request out.
func (d *Dispatcher) depart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
}

// parse reads a request, or returns the code of what is wrong with it.
func (d *Dispatcher) parse(w http.ResponseWriter, r *http.Request) (inbound, string) {
	name := mux.Vars(r)["service"]
	service, ok := d.view.Service(name)
	if !ok {
		return inbound{}, CodeService
	}
	decoded, path := pathsOf(r.URL)
	call, ok := service.FindCall(r.Method, decoded)
	if !ok {
		return inbound{}, CodeCall
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, d.settings.body))
	if err != nil {
		return inbound{}, codeOf(err)
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	v := inbound{team: d.identifier.Team(r), service: name, call: call, begun: d.settings.now()}
	v.message = Message{Method: r.Method, Path: path, Header: http.Header{}, Body: body}
	for _, h := range forwarded {
		if value := r.Header.Get(h); value != "" {
			v.message.Header.Set(h, value)
		}
	}
	v.print = printOf(name, v.message)
	return v, ""
}

// deadline returns the longest duration of the call.
func (v inbound) deadline() time.Duration {
	if v.call.DeadlineMillis <= 0 {
		return defaultDeadline
	}
	return time.Duration(v.call.DeadlineMillis) * time.Millisecond
}

// pathsOf returns the path of a request below its service: decoded, by which its call is found, and as the caller wrote
// it, which goes to the service. A service may decode a path before it acts on it, so an encoded one matches no other
// call than the same path decoded.
func pathsOf(u *url.URL) (decoded, written string) {
	return below(u.Path), below(u.EscapedPath())
}

// below cuts /v1/services/NAME off a path.
func below(path string) string {
	rest := strings.TrimPrefix(path, prefix)
	if i := strings.IndexByte(rest, '/'); i >= 0 {
		return rest[i:]
	}
	return "/"
}

// codeOf returns the code of an error in reading a body.
func codeOf(err error) string {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return CodeBody
	}
	return CodeRead
}

// printOf returns the fingerprint of a call and its body.
func printOf(service string, m Message) string {
	h := sha256.New()
	for _, part := range []string{service, m.Method, m.Path, m.Header.Get("Content-Type")} {
		h.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	h.Write(m.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// attemptOf returns the number of the caller's attempt; a request that does not tell is the first.
func attemptOf(r *http.Request) (int, bool) {
	text := r.Header.Get(HeaderAttempt)
	if text == "" {
		return 1, true
	}
	n, err := strconv.Atoi(text)
	return n, err == nil && n >= 1
}

// Later reports whether a request is a later attempt of a call, of which an earlier one may have run.
func Later(r *http.Request) bool {
	attempt, ok := attemptOf(r)
	return ok && attempt > 1
}
