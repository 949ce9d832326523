package runner

import (
	"io"
	"net/http"
	"time"
)

// deadlineHandler limits how long a caller may take to send a request body and to receive each part of a response. The
// duration of the response as a whole is not limited.
type deadlineHandler struct {
	handler http.Handler
	// bodyTimeout applies to the whole request body, writeTimeout to each write. 0 sets no timeout.
	bodyTimeout  time.Duration
	writeTimeout time.Duration
}

// ServeHTTP sets the deadlines of a request and passes it on.
func (h *deadlineHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := http.NewResponseController(w)
	out := &deadlineWriter{ResponseWriter: w, controller: c, timeout: h.writeTimeout}
	out.extendDeadline()
	if h.bodyTimeout > 0 && r.Body != nil && r.Body != http.NoBody {
		_ = c.SetReadDeadline(time.Now().Add(h.bodyTimeout))
		r.Body = &deadlineBody{ReadCloser: r.Body, controller: c}
	}
	h.handler.ServeHTTP(out, r)
	out.extendDeadline()
}

// deadlineBody clears the read deadline at the end of the body, since the server continues to read from the connection to
// detect that the caller has closed it.
type deadlineBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

// Read reads from the body and clears the read deadline at its end.
func (b *deadlineBody) Read(content []byte) (int, error) {
	n, err := b.ReadCloser.Read(content)
	if err == io.EOF {
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// deadlineWriter sets a new deadline for each write of a response.
type deadlineWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *deadlineWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// WriteHeader extends the deadline and writes the response's header.
func (w *deadlineWriter) WriteHeader(status int) {
	w.extendDeadline()
	w.ResponseWriter.WriteHeader(status)
}

// Write extends the deadline and writes a part of the response's body.
func (w *deadlineWriter) Write(content []byte) (int, error) {
	w.extendDeadline()
	return w.ResponseWriter.Write(content)
}

// extendDeadline sets the deadline of the next write, if there is a timeout.
func (w *deadlineWriter) extendDeadline() {
	if w.timeout > 0 {
		_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout))
	}
}
