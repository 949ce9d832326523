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

// Path is the path at which the faults of a wrapped stand-in are listed, added and removed.
const Path = "/faults"

// wrapperKinds are the kinds that Wrap carries out. The stand-in itself carries out the others.
var wrapperKinds = []Kind{Refuse, Crash, Delay, DropResponse, Hang, Repeat}

// refusal is the response body of a refused call.
type refusal struct {
	Reason string `json:"reason"`
}

type openedAtKey struct{}

// wrappedKey marks the context of a call that came through Wrap.
type wrappedKey struct{}

// ConnContext records when a connection was opened, for faults with OpenConnectionsOnly. It is a function for
// http.Server.ConnContext.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, openedAtKey{}, time.Now())
}

// Wrap returns a handler that serves Path and injects the faults into the calls of another handler.
func Wrap(f *Faults, next http.Handler) http.Handler {
	return &wrapper{f, next}
}

type wrapper struct {
	faults *Faults
	next   http.Handler
}

// ServeHTTP runs a call with the fault that hits it, if any.
func (wr *wrapper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if wr.faults.isDown() {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == Path {
		wr.faults.ServeHTTP(w, r)
		return
	}
	r = r.WithContext(context.WithValue(r.Context(), wrappedKey{}, true))
	opened, _ := r.Context().Value(openedAtKey{}).(time.Time)
	f, ok := wr.faults.trigger(r.Method+" "+r.URL.Path, opened, wrapperKinds...)
	switch {
	case !ok:
		wr.next.ServeHTTP(w, r)
	case f.AfterLines > 0:
		wr.serveLines(w, r, f)
	default:
		wr.serve(w, r, f)
	}
}

// serve runs a call with a fault that hits before the call runs or replaces its response.
func (wr *wrapper) serve(w http.ResponseWriter, r *http.Request, f Fault) {
	switch f.Kind {
	case Refuse:
		caller.MarkRefused(w.Header())
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(refusal{"refused by a fault"})
	case Crash:
		wr.faults.Crash()
		panic(http.ErrAbortHandler)
	case Delay:
		if Pause(r.Context(), f.DelayDuration()) {
			wr.next.ServeHTTP(w, r)
		}
	case DropResponse:
		wr.next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	case Hang:
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case Repeat:
		wr.repeat(w, r)
	}
}

// repeat runs a call twice and sends the second response.
func (wr *wrapper) repeat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	first := r.Clone(r.Context())
	first.Body = io.NopCloser(bytes.NewReader(body))
	wr.next.ServeHTTP(&discardWriter{header: http.Header{}}, first)
	r.Body = io.NopCloser(bytes.NewReader(body))
	wr.next.ServeHTTP(w, r)
}

// serveLines runs a call with a fault that hits after AfterLines lines of its response.
func (wr *wrapper) serveLines(w http.ResponseWriter, r *http.Request, f Fault) {
	l := &lineWriter{ResponseWriter: w, faults: wr.faults, fault: f, context: r.Context()}
	wr.next.ServeHTTP(l, r)
	if l.silenced {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// lineWriter counts the lines of a response and carries out the fault after AfterLines of them. It relies on each Write
// being one line, as in the streams of the stand-ins.
type lineWriter struct {
	http.ResponseWriter
	faults   *Faults
	fault    Fault
	context  context.Context
	sent     int
	silenced bool
}

// Write sends one line, and carries out the fault when the line after AfterLines lines is written.
func (l *lineWriter) Write(b []byte) (int, error) {
	l.sent++
	if l.sent != l.fault.AfterLines+1 {
		if l.silenced {
			return len(b), nil
		}
		return l.ResponseWriter.Write(b)
	}
	switch l.fault.Kind {
	case Crash:
		l.faults.Crash()
		panic(http.ErrAbortHandler)
	case DropResponse, Refuse:
		panic(http.ErrAbortHandler)
	case Hang:
		l.silenced = true
		return len(b), nil
	case Delay:
		Pause(l.context, l.fault.DelayDuration())
	case Repeat:
		if _, err := l.ResponseWriter.Write(b); err != nil {
			return 0, err
		}
	}
	return l.ResponseWriter.Write(b)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (l *lineWriter) Unwrap() http.ResponseWriter {
	return l.ResponseWriter
}

// discardWriter is a ResponseWriter that drops the response.
type discardWriter struct{ header http.Header }

// Header returns headers that are never sent.
func (d *discardWriter) Header() http.Header { return d.header }

func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }

func (d *discardWriter) WriteHeader(int) {}

func (d *discardWriter) Flush() {}
