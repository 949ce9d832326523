package hoster

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ServerFault is the way in which a server fails.
type ServerFault int

// The faults of a server.
const (
	// Healthy servers have no fault.
	Healthy ServerFault = iota
	// Full servers reject requests and state that they did not run them.
	Full
	// Hanging servers accept requests and never respond.
	Hanging
	// Resetting servers run the request and reset the connection.
	Resetting
	// Failing servers respond with status 500.
	Failing
	// Truncating servers reset the connection in the middle of a stream's event, or in the middle of another body.
	Truncating
	// WrongRequestID servers respond with the ID of another request.
	WrongRequestID
	// Garbling servers send bytes that are not an HTTP response.
	Garbling
	// WithoutLength servers send a response without a length and end it by closing the connection.
	WithoutLength
	// Unsigned servers run the request and answer with an empty success that has none of their headers.
	Unsigned
	// TornWithoutLength servers send a stream without a length, and close the connection in the middle of an event.
	TornWithoutLength
	// TornHead servers run the request and close the connection after the headers of the response, without the line that ends
	// its head.
	TornHead
	// AnsweringTwice servers send a second response after the first.
	AnsweringTwice
	// AnsweringEarly servers respond before they have read the body.
	AnsweringEarly
	// Stalling servers stop sending a stream after the second event and keep the connection open.
	Stalling
	// Commenting servers send comments without end after the second event of a stream.
	Commenting
	// EndlessEvent servers send lines without end, and no end of the event, after the second event of a stream.
	EndlessEvent
	// EndlessBody servers run the request and send a body without end.
	EndlessBody
	// EndlessRefusal servers state that they did not run the request, with a body without end.
	EndlessRefusal
	// RepeatingRefusal servers refuse the first request on each connection, run the next one, and send the refusal once more
	// before its response.
	RepeatingRefusal
	// RepeatingBareRefusal servers are RepeatingRefusal servers whose refusals state no request.
	RepeatingBareRefusal
	// StreamingNothing servers run the request and send a complete stream without events.
	StreamingNothing
	// FailingWithEvents servers run the request and fail it with a stream of events.
	FailingWithEvents
	// InvalidStatus servers run the request and answer with status 000.
	InvalidStatus
	// InvalidName servers run the request and answer with a space in the name of a header, and bytes after the body.
	InvalidName
	// FoldedHeader servers are InvalidName servers with the space before the name, which continues the header before it.
	FoldedHeader
	// SplitHead servers are InvalidName servers with a line feed before the name, which ends the head.
	SplitHead
	// WithoutStamp servers run the request and answer without their stamp.
	WithoutStamp
	// Encoding servers run the request and answer with a body in a content coding.
	Encoding
	// Contradicting servers run the request, and state with their success that they did not.
	Contradicting
	// UnstatedRefusal servers run the request and answer with status 503, without the statement that they did not.
	UnstatedRefusal
	// ResettingUpload servers run the request before they have read its body, send a part of an answer without a length, and reset the
	// connection.
	ResettingUpload
	// EndingUpload servers are ResettingUpload servers that send the whole answer, end their side of the connection and read on.
	EndingUpload
	// AnsweringForTwo servers run the request and state the id of another one beside its own.
	AnsweringForTwo
)

// invalidNames holds the spelling of a header's name by the fault of the servers that send it.
var invalidNames = map[ServerFault]string{
	InvalidName: "Content-Length ", FoldedHeader: " Content-Length", SplitHead: "\nContent-Length",
}

// repeatsRefusal reports whether a server with the fault sends refusals twice.
func (f ServerFault) repeatsRefusal() bool { return f == RepeatingRefusal || f == RepeatingBareRefusal }

// isFirstOn records a request and reports whether it is the first one on a connection, by the address of its other end.
func (s *Server) isFirstOn(address, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.refused[address]
	if !ok {
		s.refused[address] = id
	}
	return !ok
}

// repeatedRefusal returns the refusal that was sent first on a connection.
func (s *Server) repeatedRefusal(address string, fault ServerFault) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	refusal := "HTTP/1.1 503 Service Unavailable\r\nX-Heatherrock-Not-Executed: 1\r\nContent-Length: 0\r\n"
	if fault == RepeatingRefusal {
		refusal += "X-Heatherrock-Attempt-Id: " + s.refused[address] + "\r\n"
	}
	return refusal + "\r\n"
}

// writeRaw takes over the connection of a request, writes bytes to it, and closes it, by a reset if reset is true.
func writeRaw(w http.ResponseWriter, bytes string, reset bool) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, bytes)
	if reset {
		// A reset discards unread bytes, so the client gets time to read them first.
		time.Sleep(20 * time.Millisecond)
		if t, ok := c.(interface{ SetLinger(int) error }); ok {
			_ = t.SetLinger(0)
		}
	}
	_ = c.Close()
}

// answerUpload answers a request, whose body has not been read, without a length.
func (s *Server) answerUpload(w http.ResponseWriter, id string, fault ServerFault) {
	contentType, body, part := "text/plain", "whole", "who"
	if s.Kind != "" {
		contentType, body, part = "text/event-stream", StreamBody(), "id: 1\ndata: token 1\n\n"
	}
	if fault == ResettingUpload {
		body = part
	}
	c, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Heatherrock-Attempt-Id: %s\r\nX-Heatherrock-Server-Stamp: stamp-of-%s\r\nContent-Type: %s\r\n\r\n%s",
		id, s.ID, contentType, body)
	t, ok := c.(*net.TCPConn)
	switch {
	case err != nil || !ok:
	case fault == ResettingUpload:
		_ = t.SetLinger(0)
	case t.CloseWrite() == nil:
		_, _ = io.Copy(io.Discard, buffered)
	}
}

// writeAnswer answers a request in the way that the fault prescribes.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, id string, fault ServerFault) {
	stamp := "X-Heatherrock-Attempt-Id: " + id + "\r\nX-Heatherrock-Server-Stamp: stamp-of-" + s.ID + "\r\n"
	switch fault {
	case Unsigned:
		w.WriteHeader(http.StatusOK)
	case Hanging:
		s.stall(w, r)
	case Resetting:
		resetConnection(w)
	case Failing:
		s.setHeaders(w, id)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed")
	case WrongRequestID:
		s.setHeaders(w, "another")
		_, _ = io.WriteString(w, "an answer to another")
	case Garbling:
		writeRaw(w, "\x00\x01 this is no answer\r\n\r\n", false)
	case InvalidStatus:
		writeRaw(w, "HTTP/1.1 000 OK\r\n"+stamp+"Content-Length: 0\r\n\r\n", false)
	case InvalidName, FoldedHeader, SplitHead:
		contentType, body := "text/plain", "whole"
		if s.Kind != "" {
			contentType, body = "text/event-stream", StreamBody()
		}
		writeRaw(w, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Type: %s\r\n%s: %d\r\n\r\n%sid: %d\ndata: of no answer\n\n",
			stamp, contentType, invalidNames[fault], len(body), body, EventsPerStream+1), false)
	case WithoutStamp, Encoding, AnsweringForTwo, Contradicting, UnstatedRefusal:
		s.writeMisleading(w, r, id, fault)
	case EndlessBody:
		s.setHeaders(w, id)
		s.repeat(w, strings.Repeat("x", 1000), 0)
	case TornHead:
		writeRaw(w, "HTTP/1.1 200 OK\r\n"+stamp, false)
	case TornWithoutLength:
		writeRaw(w, s.unframedStream(r, stamp, true), false)
	case WithoutLength:
		if s.Kind != "" {
			writeRaw(w, s.unframedStream(r, stamp, false), false)
			return
		}
		writeRaw(w, "HTTP/1.1 200 OK\r\n"+stamp+"Content-Type: text/plain\r\nConnection: close\r\n\r\nwhole", false)
	case AnsweringTwice:
		answer := "HTTP/1.1 200 OK\r\n" + stamp + "Content-Length: 5\r\n\r\nwhole"
		writeRaw(w, answer+strings.Replace(answer, id, "an-older-one", 1), false)
	case RepeatingRefusal, RepeatingBareRefusal:
		answer := "HTTP/1.1 200 OK\r\n" + stamp + "Content-Length: 5\r\n\r\nwhole"
		writeRaw(w, s.repeatedRefusal(r.RemoteAddr, fault)+answer, false)
	case StreamingNothing:
		s.setHeaders(w, id)
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
	case FailingWithEvents:
		s.setHeaders(w, id)
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "id: 100\ndata: it failed\n\n")
	case Truncating:
		if s.Kind == "" {
			writeRaw(w, "HTTP/1.1 200 OK\r\n"+stamp+"Content-Length: 50\r\n\r\nhalf", true)
			return
		}
		s.writeEvents(w, r, id, fault)
	default:
		if s.Kind != "" {
			s.writeEvents(w, r, id, fault)
			return
		}
		select {
		case <-time.After(s.platform.AnswerTime):
		case <-s.stopped:
			resetConnection(w)
			return
		}
		s.setHeaders(w, id)
		_, _ = io.WriteString(w, "answer of "+s.Service+" to "+r.URL.RequestURI())
	}
}

// writeMisleading answers a request with valid headers that do not fit its response.
func (s *Server) writeMisleading(w http.ResponseWriter, r *http.Request, id string, fault ServerFault) {
	s.setHeaders(w, id)
	status := http.StatusOK
	switch fault {
	case WithoutStamp:
		w.Header().Del("X-Heatherrock-Server-Stamp")
	case Encoding:
		w.Header().Set("Content-Encoding", "gzip")
	case AnsweringForTwo:
		w.Header().Add("X-Heatherrock-Attempt-Id", "another")
	case Contradicting:
		w.Header().Set("X-Heatherrock-Not-Executed", "1")
	case UnstatedRefusal:
		status = http.StatusServiceUnavailable
	}
	if s.Kind != "" {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, "answer of "+s.Service+" to "+r.URL.RequestURI())
}

// stall sends nothing until the request or the server ends. It resets the connection then: net/http would end the answer as
// complete.
func (s *Server) stall(w http.ResponseWriter, r *http.Request) {
	select {
	case <-s.stopped:
		resetConnection(w)
	case <-r.Context().Done():
	}
}

// repeat writes a text again and again, with a pause after each, until the connection or the server ends.
func (s *Server) repeat(w http.ResponseWriter, text string, pause time.Duration) {
	for {
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-time.After(pause):
		case <-s.stopped:
			resetConnection(w)
			return
		}
	}
}

// EventsPerStream is the number of events of a complete stream.
const EventsPerStream = 12

// unframedStream returns a response with the events after the request's Last-Event-Id that has neither a length nor chunks.
// A torn one ends in the middle of its third event.
func (s *Server) unframedStream(r *http.Request, stamp string, torn bool) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\n" + stamp + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n")
	lastEventID, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := lastEventID + 1; n <= EventsPerStream; n++ {
		if torn && n > lastEventID+2 {
			fmt.Fprintf(&b, "id: %d\ndata: to", n)
			break
		}
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", n, n)
	}
	return b.String()
}

// writeEvents answers with a stream of events, from the one after the request's Last-Event-Id.
func (s *Server) writeEvents(w http.ResponseWriter, r *http.Request, id string, fault ServerFault) {
	s.setHeaders(w, id)
	w.Header().Set("Content-Type", "text/event-stream")
	lastEventID, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := lastEventID + 1; n <= EventsPerStream; n++ {
		if n > lastEventID+2 {
			switch fault {
			case Truncating:
				_, _ = fmt.Fprintf(w, "id: %d\ndata: to", n)
				_ = http.NewResponseController(w).Flush()
				resetConnection(w)
				return
			case Commenting:
				s.repeat(w, ": still here\n\n", s.platform.EventInterval)
				return
			case EndlessEvent:
				_, _ = fmt.Fprintf(w, "id: %d\n", n)
				s.repeat(w, strings.Repeat("data: x\n", 100), 0)
				return
			case Stalling:
				s.stall(w, r)
				return
			}
		}
		if _, ok := s.checkPath(r.Header.Get("X-Heatherrock-Hop-Count")); !ok {
			// A server on the path has stopped or no longer holds its layers.
			s.stall(w, r)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(s.platform.EventInterval):
		case <-s.stopped:
			resetConnection(w)
			return
		}
	}
}
