package server

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// tokenTexts are the tokens of the tests' answers. They include characters that JSON must escape.
var tokenTexts = []string{"a", " \"latch\"", " <b>\n", " \u2028é\xff", ""}

// newTestReply returns a reply that writes to a recorder.
func newTestReply(isChat, streamed, withUsage bool) (*reply, *httptest.ResponseRecorder) {
	w := httptest.NewRecorder()
	r := &reply{w: w, isChat: isChat, streamed: streamed, includeUsage: withUsage}
	r.common = answer{ID: "cmpl-1", Object: objectCompletion, Created: 7, Model: "oak"}
	if isChat {
		r.common.Object = objectChat
	}
	return r, w
}

// events returns the events of a stream.
func events(t *testing.T, w *httptest.ResponseRecorder) []string {
	t.Helper()
	var out []string
	for _, e := range strings.Split(strings.TrimSuffix(w.Body.String(), "\n\n"), "\n\n") {
		data, ok := strings.CutPrefix(e, "data: ")
		if !ok {
			t.Fatalf("event without data: %q", e)
		}
		out = append(out, data)
	}
	return out
}

// TestEventsEncodeParts checks that each event of a stream is the encoding of its token's event, for chat and for
// completion answers.
func TestEventsEncodeParts(t *testing.T) {
	for _, isChat := range []bool{false, true} {
		r, w := newTestReply(isChat, true, false)
		var want []string
		for i, text := range tokenTexts {
			line, err := json.Marshal(r.tokenEvent(text, i == 0))
			if err != nil {
				t.Fatal(err)
			}
			want = append(want, string(line))
			if err := r.writeToken(text); err != nil {
				t.Fatal(err)
			}
		}
		if diff := cmp.Diff(want, events(t, w)); diff != "" {
			t.Errorf("chat %t: events mismatch (-want +got):\n%s", isChat, diff)
		}
	}
}

// TestEnds checks how answers end. Only a complete stream has an end marker.
func TestEnds(t *testing.T) {
	interrupted := &Problem{Code: CodeInterrupted, Message: "gone", Verdict: classifier.VerdictUnknown}
	cases := []struct {
		name              string
		stream, withUsage bool
		tokens            int
		problem           *Problem
		status            int
		last              []string
	}{
		{"complete", true, false, 2, nil, 200, []string{`"finish_reason":"stop"`, "[DONE]"}},
		{"complete with usage", true, true, 2, nil, 200, []string{`"finish_reason":"stop"`, `"total_tokens":5`, "[DONE]"}},
		{"complete and empty", true, false, 0, nil, 200, []string{`"finish_reason":"stop"`, "[DONE]"}},
		{"failed after the stream started", true, false, 2, interrupted, 200, []string{`"content":" \"latch\""`, `"code":"interrupted"`}},
		{"failed before the stream started", true, false, 0, interrupted, 502, nil},
		{"failed, not streamed", false, false, 2, interrupted, 502, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, w := newTestReply(true, c.stream, c.withUsage)
			for _, text := range tokenTexts[:c.tokens] {
				if err := r.writeToken(text); err != nil {
					t.Fatal(err)
				}
			}
			if c.problem != nil {
				r.fail(c.problem)
			} else {
				r.finish("stop", usage{PromptTokens: 3, CompletionTokens: 2, TotalTokens: 5})
			}
			if diff := cmp.Diff(c.status, w.Code); diff != "" {
				t.Errorf("status mismatch (-want +got):\n%s", diff)
			}
			if c.last == nil {
				if body := w.Body.String(); !strings.Contains(body, `"code":"interrupted"`) || strings.Contains(body, "latch") {
					t.Errorf("answer is %s", body)
				}
				return
			}
			got := events(t, w)
			for i, want := range c.last {
				if e := got[len(got)-len(c.last)+i]; !strings.Contains(e, want) {
					t.Errorf("event %q does not hold %q", e, want)
				}
			}
			if endMarkers := strings.Count(w.Body.String(), "[DONE]"); c.problem != nil && endMarkers != 0 {
				t.Errorf("a stream that failed has %d end markers", endMarkers)
			}
		})
	}
}

// discardWriter is an http.ResponseWriter that discards the answer.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header            { return d.header }
func (d *discardWriter) WriteHeader(int)                {}
func (d *discardWriter) Write(text []byte) (int, error) { return len(text), nil }
func (d *discardWriter) Flush()                         {}

func BenchmarkToken(b *testing.B) {
	r, _ := newTestReply(true, true, false)
	r.w = &discardWriter{header: http.Header{}}
	b.ReportAllocs()
	for b.Loop() {
		if err := r.writeToken(" spring"); err != nil {
			b.Fatal(err)
		}
	}
}

// TestWholeAnswerStatesItsLength writes an answer that is longer than the buffers in which net/http counts.
func TestWholeAnswerStatesItsLength(t *testing.T) {
	r, w := newTestReply(false, false, false)
	if err := r.writeToken(strings.Repeat("latch ", 1000)); err != nil {
		t.Fatal(err)
	}
	r.finish("stop", usage{})
	if diff := cmp.Diff(strconv.Itoa(w.Body.Len()), w.Header().Get("Content-Length")); diff != "" {
		t.Errorf("Content-Length (-want +got):\n%s", diff)
	}
}
