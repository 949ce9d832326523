package server

import (
	"bytes"
	"encoding/json"
	"net/http"
)

// The names of the object types in the OpenAI API.
const (
	objectChat       = "chat.completion"
	objectChunk      = "chat.completion.chunk"
	objectCompletion = "text_completion"
)

// answer is a whole answer, or one event of a streamed answer, in the format of the OpenAI API.
type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// choice is the only choice of an answer.
type choice struct {
	Index        int      `json:"index"`
	Message      *content `json:"message,omitempty"`
	Delta        *content `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// content is the text of a choice.
type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// usage holds the numbers of tokens of a request.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// reply writes one answer to its caller, as a whole or as a stream of events.
type reply struct {
	w http.ResponseWriter
	// common holds the fields that all events of the answer share.
	common answer
	isChat bool
	// streamed is true if each token is written as it arrives, and includeUsage if the last event holds the token counts.
	streamed     bool
	includeUsage bool
	// headWritten is true once the head of a stream was written.
	headWritten bool
	// collected is the text so far of an answer that is not streamed.
	collected []byte
	// eventPrefix and eventSuffix surround a token's text in each event but the first. eventBuffer is reused for each event.
	eventPrefix []byte
	eventSuffix []byte
	eventBuffer []byte
}

// writeToken writes one token's text to a stream, or collects it for the whole answer.
func (r *reply) writeToken(text string) error {
	if !r.streamed {
		r.collected = append(r.collected, text...)
		return nil
	}
	if r.headWritten {
		return r.writeLaterToken(text)
	}
	r.writeHead()
	return r.writeEvent(r.tokenEvent(text, true))
}

// writeLaterToken writes the event of a token after the first. All but the text is encoded only once per answer.
func (r *reply) writeLaterToken(text string) error {
	if r.eventPrefix == nil {
		if err := r.encodeAround(); err != nil {
			return err
		}
	}
	quoted, err := json.Marshal(text)
	if err != nil {
		return err
	}
	r.eventBuffer = append(append(append(r.eventBuffer[:0], r.eventPrefix...), quoted...), r.eventSuffix...)
	return r.writeAndFlush(r.eventBuffer)
}

// encodeAround encodes what surrounds a token's text in an event. The text is the event's last string value.
func (r *reply) encodeAround() error {
	line, err := json.Marshal(r.tokenEvent("", false))
	if err != nil {
		return err
	}
	textAt := bytes.LastIndex(line, []byte(`""`))
	r.eventPrefix = append([]byte("data: "), line[:textAt]...)
	r.eventSuffix = append(line[textAt+len(`""`):], "\n\n"...)
	return nil
}

// writeHead writes the status and headers of a stream, once.
func (r *reply) writeHead() {
	if r.headWritten {
		return
	}
	r.headWritten = true
	h := r.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	r.w.WriteHeader(http.StatusOK)
}

// tokenEvent returns the event for one token's text.
func (r *reply) tokenEvent(text string, first bool) answer {
	a := r.common
	if !r.isChat {
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

// writeEvent encodes one event of a stream, writes it and flushes it.
func (r *reply) writeEvent(v any) error {
	line, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return r.writeAndFlush([]byte("data: " + string(line) + "\n\n"))
}

// writeAndFlush writes an encoded event and flushes it.
func (r *reply) writeAndFlush(line []byte) error {
	if _, err := r.w.Write(line); err != nil {
		return err
	}
	return http.NewResponseController(r.w).Flush()
}

// finish writes a complete answer, or the end of its stream.
func (r *reply) finish(reason string, u usage) {
	if r.streamed {
		r.finishStream(reason, u)
		return
	}
	a := r.common
	text := string(r.collected)
	a.Usage = &u
	a.Choices = []choice{{FinishReason: &reason, Text: &text}}
	if r.isChat {
		a.Choices = []choice{{FinishReason: &reason, Message: &content{Role: "assistant", Content: text}}}
	}
	writeJSON(r.w, a)
}

// finishStream writes the last events of a complete stream.
func (r *reply) finishStream(reason string, u usage) {
	first := !r.headWritten
	r.writeHead()
	last := r.tokenEvent("", first)
	last.Choices[0].FinishReason = &reason
	_ = r.writeEvent(last)
	if r.includeUsage {
		counts := r.common
		counts.Choices = []choice{}
		counts.Usage = &u
		if r.isChat {
			counts.Object = objectChunk
		}
		_ = r.writeEvent(counts)
	}
	_, _ = r.w.Write([]byte("data: [DONE]\n\n"))
	_ = http.NewResponseController(r.w).Flush()
}

// fail reports a problem to the caller. In a started stream it is the last event, and the stream has no end marker.
func (r *reply) fail(p *Problem) {
	if !r.headWritten {
		p.Write(r.w)
		return
	}
	_ = r.writeEvent(p.encode())
}
