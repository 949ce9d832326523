package runner

import (
	"io"
	"net/http"
	"time"
)

// pacer bounds how long a caller may take to send a body and to take each part of an answer. The answer as a whole is
// not bounded.
type pacer struct {
	handler http.Handler
	// body and write are the bounds; 0 sets none.
	body  time.Duration
	write time.Duration
}

// ServeHTTP passes a request on with its bounds.
func (p *pacer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := http.NewResponseController(w)
	out := &pacedWriter{ResponseWriter: w, control: c, bound: p.write}
	out.renew()
	if p.body > 0 && r.Body != nil && r.Body != http.NoBody {
		_ = c.SetReadDeadline(time.Now().Add(p.body))
		r.Body = &pacedBody{ReadCloser: r.Body, control: c}
	}
	p.handler.ServeHTTP(out, r)
	out.renew()
}

// pacedBody is a body whose deadline ends with it: the server goes on to read, to learn that the caller has left.
type pacedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read reads from the body.
func (b *pacedBody) Read(content []byte) (int, error) {
	n, err := b.ReadCloser.Read(content)
	if err == io.EOF {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// pacedWriter gives each part of an answer a deadline of its own.
type pacedWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	bound   time.Duration
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *pacedWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// WriteHeader writes the head of an answer.
func (w *pacedWriter) WriteHeader(status int) {
	w.renew()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of an answer.
func (w *pacedWriter) Write(content []byte) (int, error) {
	w.renew()
	return w.ResponseWriter.Write(content)
}

// renew sets the deadline of the next part.
func (w *pacedWriter) renew() {
	if w.bound > 0 {
		_ = w.control.SetWriteDeadline(time.Now().Add(w.bound))
	}
}
