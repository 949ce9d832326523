package assembler

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Answer is the response that a caller received to one request.
type Answer struct {
	Status int
	// Code is the error code of a problem, which was received instead of an answer or within a stream.
	Code    string
	Outcome string
	Text    string
	// IsComplete reports whether the stream ended with its end marker.
	IsComplete bool
	// SentAt is when the request was sent, and TokenTimes when each token was received.
	SentAt     time.Time
	TokenTimes []time.Time
}

// Caller sends requests of one team.
type Caller struct {
	// Token is the team's bearer token.
	Token  string
	client *http.Client
}

// NewCaller returns a caller with its own pool of connections.
func NewCaller(token string) *Caller {
	return &Caller{Token: token, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

// Close closes the caller's idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// chunk is one event of a stream.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
}

// completionRequest is the body of a request for a streamed completion.
type completionRequest struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Tokens int    `json:"max_tokens"`
	Stream bool   `json:"stream"`
}

// Complete requests a streamed completion from an instance. An error is one of the connection or of a malformed
// response.
func (c *Caller) Complete(ctx context.Context, address, model, prompt string, maxTokens int) (Answer, error) {
	a := Answer{SentAt: time.Now()}
	body, err := json.Marshal(completionRequest{Model: model, Prompt: prompt, Tokens: maxTokens, Stream: true})
	if err != nil {
		return a, err
	}
	r, err := c.Send(ctx, http.MethodPost, address, "/v1/completions", nil, body)
	if err != nil {
		return a, err
	}
	defer r.Body.Close()
	a.Status = r.StatusCode
	a.Outcome = r.Header.Get("Heatherrock-Outcome")
	if r.StatusCode != http.StatusOK {
		return a, a.readProblem(r.Body)
	}
	return a, a.readStream(r.Body)
}

// Send sends a request with the caller's credential.
func (c *Caller) Send(ctx context.Context, method, address, path string, header http.Header, body []byte) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		r.Header[name] = values
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	return c.client.Do(r)
}

// readProblem reads a problem that was received instead of an answer.
func (a *Answer) readProblem(r io.Reader) error {
	var c chunk
	if err := json.NewDecoder(r).Decode(&c); err != nil {
		return merry.Prepend(err, "problem")
	}
	if c.Error != nil {
		a.Code = c.Error.Code
	}
	return nil
}

// readStream reads a stream of events.
func (a *Answer) readStream(r io.Reader) error {
	var text strings.Builder
	defer func() { a.Text = text.String() }()
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.IsComplete = true
			continue
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return merry.Prepend(err, "event")
		}
		if c.Error != nil {
			a.Code = c.Error.Code
			continue
		}
		for _, choice := range c.Choices {
			if choice.Text != "" {
				a.TokenTimes = append(a.TokenTimes, time.Now())
				text.WriteString(choice.Text)
			}
		}
	}
	return lines.Err()
}
