package faulter

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/caller"
)

// Path is the path at which a wrapped stand-in takes its faults.
const Path = "/faults"

// wrapped are the kinds that Wrap carries out. The others are left to the stand-in.
var wrapped = []Kind{Refuse, Crash, Delay, Lose, Silent, Repeat}

// refusal is the body of a refused call.
type refusal struct {
	Reason string `json:"reason"`
}

type openedKey struct{}

// wrappedKey marks the context of a call that came through Wrap.
type wrappedKey struct{}

// ConnContext notes when a connection was opened, for faults of open connections. It fits http.Server.ConnContext.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, openedKey{}, time.Now())
}

// Wrap returns a handler that serves Path and lets the faults hit the calls of another handler.
func Wrap(f *Faults, next http.Handler) http.Handler {
	return &wrapper{f, next}
}

type wrapper struct {
	faults *Faults
	next   http.Handler
}

// ServeHTTP runs a call with the fault that hits it, if any.
func (p *wrapper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.faults.isDown() {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == Path {
		p.faults.ServeHTTP(w, r)
		return
	}
	r = r.WithContext(context.WithValue(r.Context(), wrappedKey{}, true))
	opened, _ := r.Context().Value(openedKey{}).(time.Time)
	f, ok := p.faults.take(r.Method+" "+r.URL.Path, opened, wrapped...)
	switch {
	case !ok:
		p.next.ServeHTTP(w, r)
	case f.After > 0:
		p.serveLines(w, r, f)
	default:
		p.serve(w, r, f)
	}
}

// serve runs a call with a fault that hits before it runs or in place of its answer.
func (p *wrapper) serve(w http.ResponseWriter, r *http.Request, f Fault) {
	switch f.Kind {
	case Refuse:
		caller.Refuse(w.Header())
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(refusal{"refused by a fault"})
	case Crash:
		p.faults.Crash()
		panic(http.ErrAbortHandler)
	case Delay:
		if Pause(r.Context(), f.Wait()) {
			p.next.ServeHTTP(w, r)
		}
	case Lose:
		p.next.ServeHTTP(&discard{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	case Silent:
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case Repeat:
		p.repeat(w, r)
	}
}

// repeat runs a call twice and answers with the second answer.
func (p *wrapper) repeat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	first := r.Clone(r.Context())
	first.Body = io.NopCloser(bytes.NewReader(body))
	p.next.ServeHTTP(&discard{header: http.Header{}}, first)
	r.Body = io.NopCloser(bytes.NewReader(body))
	p.next.ServeHTTP(w, r)
}

// serveLines runs a call with a fault that hits after some lines of its answer.
func (p *wrapper) serveLines(w http.ResponseWriter, r *http.Request, f Fault) {
	l := &lines{ResponseWriter: w, faults: p.faults, fault: f, context: r.Context()}
	p.next.ServeHTTP(l, r)
	if l.muted {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// lines counts the lines of an answer and carries out the fault after some of them. A stream writes one line at a
// time.
type lines struct {
	http.ResponseWriter
	faults  *Faults
	fault   Fault
	context context.Context
	sent    int
	muted   bool
}

// Write sends one line, unless the fault hits it.
func (l *lines) Write(b []byte) (int, error) {
	l.sent++
	if l.sent != l.fault.After+1 {
		if l.muted {
			return len(b), nil
		}
		return l.ResponseWriter.Write(b)
	}
	switch l.fault.Kind {
	case Crash:
		l.faults.Crash()
		panic(http.ErrAbortHandler)
	case Lose, Refuse:
		panic(http.ErrAbortHandler)
	case Silent:
		l.muted = true
		return len(b), nil
	case Delay:
		Pause(l.context, l.fault.Wait())
	case Repeat:
		if _, err := l.ResponseWriter.Write(b); err != nil {
			return 0, err
		}
	}
	return l.ResponseWriter.Write(b)
}

// Unwrap returns the writer below, for http.ResponseController.
func (l *lines) Unwrap() http.ResponseWriter {
	return l.ResponseWriter
}

// discard is a ResponseWriter whose answer is lost.
type discard struct{ header http.Header }

// Header returns headers that are never sent.
func (d *discard) Header() http.Header { return d.header }

// Write drops the bytes.
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader drops the status.
func (d *discard) WriteHeader(int) {}

// Flush does nothing.
func (d *discard) Flush() {}
