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

// request is a chat or completion request in the format of the OpenAI API.
type request struct {
	Model               string          `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	AnswerCount         *int            `json:"n"`
	Stop                json.RawMessage `json:"stop"`
	sampling
	// Adapter names an adapter of the model. It is an extension of the OpenAI API.
	Adapter string `json:"adapter"`
}

// sampling holds the parameters by which tokens are chosen, in the format of the OpenAI API.
type sampling struct {
	Temperature *float64 `json:"temperature"`
	Top         *float64 `json:"top_p"`
	Seed        *int64   `json:"seed"`
	Frequency   *float64 `json:"frequency_penalty"`
	Presence    *float64 `json:"presence_penalty"`
}

// check refuses values that the OpenAI API does not allow.
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
			return fieldProblem(CodeInvalid, b.name, fmt.Sprintf("the value must be from %v to %v", b.low, b.high))
		}
	}
	return nil
}

// streamOptions are the options of a streamed answer.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// message is one message of a chat request. Its content is a text or a list of parts.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// contentPart is one part of a message's content.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// readRequest decodes and checks a request's body.
func readRequest(r *http.Request) (request, *Problem) {
	var q request
	body, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return q, RefusalProblem(CodeBodyTooLarge, fmt.Sprintf("the body is over the limit of %d bytes", tooLarge.Limit))
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return q, RefusalProblem(CodeBodyTimeout, "the body did not come in time")
	}
	if err != nil {
		return q, RefusalProblem(CodeInvalid, "the body could not be read")
	}
	if err := json.Unmarshal(body, &q); err != nil {
		return q, RefusalProblem(CodeInvalid, "the body is not valid JSON: "+err.Error())
	}
	return q, q.check()
}

// check refuses a request that cannot be served as given.
func (q request) check() *Problem {
	if q.Model == "" {
		return fieldProblem(CodeInvalid, "model", "a model is required")
	}
	if q.AnswerCount != nil && *q.AnswerCount != 1 {
		return fieldProblem(CodeUnsupported, "n", "only one answer can be asked for")
	}
	if len(q.Stop) > 0 && string(q.Stop) != "null" {
		return fieldProblem(CodeUnsupported, "stop", "stop sequences are not supported")
	}
	if limit := q.maxAnswerTokens(); limit != nil && *limit < 1 {
		return fieldProblem(CodeInvalid, "max_tokens", "the limit must be at least 1")
	}
	return q.sampling.check()
}

// fieldProblem returns the problem of a request that did not run because of one of its fields.
func fieldProblem(code Code, name, message string) *Problem {
	p := RefusalProblem(code, message)
	p.Parameter = name
	return p
}

// maxAnswerTokens returns the limit on the answer's tokens that the caller set, or nil.
func (q request) maxAnswerTokens() *int {
	if q.MaxCompletionTokens != nil {
		return q.MaxCompletionTokens
	}
	return q.MaxTokens
}

// chatPrompt returns the prompt of a chat request, which has one line per message.
func (q request) chatPrompt() (string, *Problem) {
	if len(q.Messages) == 0 {
		return "", fieldProblem(CodeInvalid, "messages", "at least one message is required")
	}
	var b strings.Builder
	for i, m := range q.Messages {
		text, ok := m.text()
		if !ok {
			return "", fieldProblem(CodeInvalid, fmt.Sprintf("messages[%d].content", i), "the content must be text")
		}
		fmt.Fprintf(&b, "%s: %s\n", m.Role, text)
	}
	return b.String(), nil
}

// text returns a message's content, and reports whether all of it is text.
func (m message) text() (string, bool) {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s, true
	}
	var parts []contentPart
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

// completionPrompt returns the prompt of a completion request, which is a text or a list of one text.
func (q request) completionPrompt() (string, *Problem) {
	var s string
	if json.Unmarshal(q.Prompt, &s) == nil && s != "" {
		return s, nil
	}
	var texts []string
	if json.Unmarshal(q.Prompt, &texts) == nil && len(texts) == 1 && texts[0] != "" {
		return texts[0], nil
	}
	return "", fieldProblem(CodeInvalid, "prompt", "the prompt must be one text")
}
