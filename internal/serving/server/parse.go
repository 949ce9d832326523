package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
)

// request is a request for an answer, of either form, in the callers' format.
type request struct {
	Model    string          `json:"model"`
	Messages []message       `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
	Tokens   *int            `json:"max_tokens"`
	Complete *int            `json:"max_completion_tokens"`
	Stream   bool            `json:"stream"`
	Options  *streamOptions  `json:"stream_options"`
	Count    *int            `json:"n"`
	Stop     json.RawMessage `json:"stop"`
	sampling
	// Adapter names an adapter of the model; it is this project's extension.
	Adapter string `json:"adapter"`
}

// sampling says how tokens are chosen, in the callers' format.
type sampling struct {
	Temperature *float64 `json:"temperature"`
	Top         *float64 `json:"top_p"`
	Seed        *int64   `json:"seed"`
	Frequency   *float64 `json:"frequency_penalty"`
	Presence    *float64 `json:"presence_penalty"`
}

// check refuses values that the callers' interface does not allow.
func (s sampling) check() *Problem {
	bounds := []struct {
		name  string
		value *float64
		low   float64
		high  float64
	}{
		{"temperature", s.Temperature, 0, 2},
		{"top_p", s.Top, 0, 1},
		{"frequency_penalty", s.Frequency, -2, 2},
		{"presence_penalty", s.Presence, -2, 2},
	}
	for _, b := range bounds {
		if b.value != nil && (*b.value < b.low || *b.value > b.high) {
			return parameter(CodeInvalid, b.name, fmt.Sprintf("the value must be from %v to %v", b.low, b.high))
		}
	}
	return nil
}

// streamOptions are the options of a streamed answer.
type streamOptions struct {
	Usage bool `json:"include_usage"`
}

// message is one message of a conversation. Its content is text, or a list of parts.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// part is one part of a message's content.
type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// read decodes a request's body.
func read(r *http.Request) (request, *Problem) {
	var q request
	content, err := io.ReadAll(r.Body)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return q, Refuse(CodeTooLarge, fmt.Sprintf("the body is over the limit of %d bytes", large.Limit))
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return q, Refuse(CodeSlow, "the body did not come in time")
	}
	if err != nil {
		return q, Refuse(CodeInvalid, "the body could not be read")
	}
	if err := json.Unmarshal(content, &q); err != nil {
		return q, Refuse(CodeInvalid, "the body is not valid JSON: "+err.Error())
	}
	return q, q.check()
}

// check refuses what cannot be served as asked for.
func (q request) check() *Problem {
	if q.Model == "" {
		return parameter(CodeInvalid, "model", "a model is required")
	}
	if q.Count != nil && *q.Count != 1 {
		return parameter(CodeUnsupported, "n", "only one answer can be asked for")
	}
	if len(q.Stop) > 0 && string(q.Stop) != "null" {
		return parameter(CodeUnsupported, "stop", "stop sequences are not supported")
	}
	if limit := q.limit(); limit != nil && *limit < 1 {
		return parameter(CodeInvalid, "max_tokens", "the limit must be at least 1")
	}
	return q.sampling.check()
}

// parameter returns a refusal that names a field.
func parameter(code Code, name, message string) *Problem {
	p := Refuse(code, message)
	p.Parameter = name
	return p
}

// limit returns the bound on the answer's tokens that was asked for, or nil.
func (q request) limit() *int {
	if q.Complete != nil {
		return q.Complete
	}
	return q.Tokens
}

// conversation returns the prompt of a chat request: one line a message.
func (q request) conversation() (string, *Problem) {
	if len(q.Messages) == 0 {
		return "", parameter(CodeInvalid, "messages", "at least one message is required")
	}
	var b strings.Builder
	for i, m := range q.Messages {
		text, ok := m.text()
		if !ok {
			return "", parameter(CodeInvalid, fmt.Sprintf("messages[%d].content", i), "the content must be text")
		}
		fmt.Fprintf(&b, "%s: %s\n", m.Role, text)
	}
	return b.String(), nil
}

// text returns a message's content and whether all of it is text.
func (m message) text() (string, bool) {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s, true
	}
	var parts []part
	if json.Unmarshal(m.Content, &parts) != nil || len(parts) == 0 {
		return "", false
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", false
		}
		b.WriteString(p.Text)
	}
	return b.String(), true
}

// prompt returns the prompt of a completion request: text, or a list of one text.
func (q request) prompt() (string, *Problem) {
	var s string
	if json.Unmarshal(q.Prompt, &s) == nil && s != "" {
		return s, nil
	}
	var list []string
	if json.Unmarshal(q.Prompt, &list) == nil && len(list) == 1 && list[0] != "" {
		return list[0], nil
	}
	return "", parameter(CodeInvalid, "prompt", "the prompt must be one text")
}
