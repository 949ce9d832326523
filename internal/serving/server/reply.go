package server

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// The objects of the callers' format.
const (
	objectChat       = "chat.completion"
	objectChunk      = "chat.completion.chunk"
	objectCompletion = "text_completion"
)

// answer is an answer, or a part of one, in the callers' format.
type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// choice is the one choice of an answer.
type choice struct {
	Index   int      `json:"index"`
	Message *content `json:"message,omitempty"`
	Delta   *content `json:"delta,omitempty"`
	Text    *string  `json:"text,omitempty"`
	Reason  *string  `json:"finish_reason"`
}

// content is the text of a choice.
type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// usage counts tokens.
type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// reply writes one answer to its caller, whole or as a stream of events.
type reply struct {
	w    http.ResponseWriter
	head answer
	chat bool
	// stream is set if the answer is written as it comes; usage, if its last event counts tokens.
	stream bool
	usage  bool
	// opened is set once a part of the answer was written.
	opened bool
	text   []byte
	// before and after surround a token's text in each event but the first; line holds the event being written.
	before []byte
	after  []byte
	line   []byte
}

// token writes one token's text, or keeps it for the whole answer.
func (r *reply) token(text string) error {
	if !r.stream {
		r.text = append(r.text, text...)
		return nil
	}
	if r.opened {
		return r.repeat(text)
	}
	r.open()
	return r.event(r.part(text, true))
}

// repeat writes the event of a token after the first: all but the text is encoded once an answer.
func (r *reply) repeat(text string) error {
	if r.before == nil {
		if err := r.prepare(); err != nil {
			return err
		}
	}
	quoted, err := json.Marshal(text)
	if err != nil {
		return err
	}
	r.line = append(append(append(r.line[:0], r.before...), quoted...), r.after...)
	return r.send(r.line)
}

// prepare encodes what surrounds a token's text. The text is the last value of a part that is a string.
func (r *reply) prepare() error {
	line, err := json.Marshal(r.part("", false))
	if err != nil {
		return err
	}
	at := bytes.LastIndex(line, []byte(`""`))
	r.before = append([]byte("data: "), line[:at]...)
	r.after = append(line[at+len(`""`):], "\n\n"...)
	return nil
}

// open writes the head of a stream.
func (r *reply) open() {
	if r.opened {
		return
	}
	r.opened = true
	h := r.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	r.w.WriteHeader(http.StatusOK)
}

// part returns the event for one token's text.
func (r *reply) part(text string, first bool) answer {
	a := r.head
	if !r.chat {
		a.Choices = []choice{{Text: &text}}
		return a
	}
	a.Object = objectChunk
	c := &content{Content: text}
	if first {
		c.Role = "assistant"
	}
	a.Choices = []choice{{Delta: c}}
	return a
}

// event writes one event of a stream and flushes it.
func (r *reply) event(v any) error {
	line, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return r.send([]byte("data: " + string(line) + "\n\n"))
}

// send writes an encoded event and flushes it.
func (r *reply) send(line []byte) error {
	if _, err := r.w.Write(line); err != nil {
		return err
	}
	return http.NewResponseController(r.w).Flush()
}

// finish writes the end of a complete answer.
func (r *reply) finish(reason string, u usage) {
	if r.stream {
		r.finishStream(reason, u)
		return
	}
	a := r.head
	text := string(r.text)
	a.Usage = &u
	a.Choices = []choice{{Reason: &reason, Text: &text}}
	if r.chat {
		a.Choices = []choice{{Reason: &reason, Message: &content{Role: "assistant", Content: text}}}
	}
	h := r.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, classifier.VerdictCompleted.String())
	_ = json.NewEncoder(r.w).Encode(a)
}

// finishStream writes the last events of a complete answer.
func (r *reply) finishStream(reason string, u usage) {
	first := !r.opened
	r.open()
	last := r.part("", first)
	last.Choices[0].Reason = &reason
	_ = r.event(last)
	if r.usage {
		count := r.head
		count.Choices = []choice{}
		count.Usage = &u
		if r.chat {
			count.Object = objectChunk
		}
		_ = r.event(count)
	}
	_, _ = r.w.Write([]byte("data: [DONE]\n\n"))
	_ = http.NewResponseController(r.w).Flush()
}

// fail tells the caller of a problem. In an open stream it is the last event, and the stream has no end mark.
func (r *reply) fail(p *Problem) {
	if !r.opened {
		p.Write(r.w)
		return
	}
	_ = r.event(p.encode())
}
