package server

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// texts are the tokens of the tests' answers. They hold what JSON must escape.
var texts = []string{"a", " \"latch\"", " <b>\n", " \u2028é\xff", ""}

// newReply returns a reply to a recorder.
func newReply(chat, stream, count bool) (*reply, *httptest.ResponseRecorder) {
	w := httptest.NewRecorder()
	r := &reply{w: w, chat: chat, stream: stream, usage: count}
	r.head = answer{ID: "cmpl-1", Object: objectCompletion, Created: 7, Model: "oak"}
	if chat {
		r.head.Object = objectChat
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

// TestEventsEncodeParts checks that each event of a stream is the encoding of its part, for both forms.
func TestEventsEncodeParts(t *testing.T) {
	for _, chat := range []bool{false, true} {
		r, w := newReply(chat, true, false)
		var want []string
		for i, text := range texts {
			line, err := json.Marshal(r.part(text, i == 0))
			if err != nil {
				t.Fatal(err)
			}
			want = append(want, string(line))
			if err := r.token(text); err != nil {
				t.Fatal(err)
			}
		}
		if diff := cmp.Diff(want, events(t, w)); diff != "" {
			t.Errorf("chat %t: events mismatch (-want +got):\n%s", chat, diff)
		}
	}
}

// TestEnds checks how answers end: only a complete stream has an end mark.
func TestEnds(t *testing.T) {
	interrupted := &Problem{Code: CodeInterrupted, Message: "gone", Verdict: classifier.VerdictUnknown}
	cases := []struct {
		name          string
		stream, count bool
		tokens        int
		problem       *Problem
		status        int
		last          []string
	}{
		{"complete", true, false, 2, nil, 200, []string{`"finish_reason":"stop"`, "[DONE]"}},
		{"complete with usage", true, true, 2, nil, 200, []string{`"finish_reason":"stop"`, `"total_tokens":5`, "[DONE]"}},
		{"complete and empty", true, false, 0, nil, 200, []string{`"finish_reason":"stop"`, "[DONE]"}},
		{"failed while open", true, false, 2, interrupted, 200, []string{`"content":" \"latch\""`, `"code":"interrupted"`}},
		{"failed before it opened", true, false, 0, interrupted, 502, nil},
		{"failed, not streamed", false, false, 2, interrupted, 502, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, w := newReply(true, c.stream, c.count)
			for _, text := range texts[:c.tokens] {
				if err := r.token(text); err != nil {
					t.Fatal(err)
				}
			}
			if c.problem != nil {
				r.fail(c.problem)
			} else {
				r.finish("stop", usage{Prompt: 3, Completion: 2, Total: 5})
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
			if done := strings.Count(w.Body.String(), "[DONE]"); c.problem != nil && done != 0 {
				t.Errorf("a stream that failed has %d end marks", done)
			}
		})
	}
}

// discard is a caller that takes everything.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header            { return d.header }
func (d *discard) WriteHeader(int)                {}
func (d *discard) Write(text []byte) (int, error) { return len(text), nil }
func (d *discard) Flush()                         {}

func BenchmarkToken(b *testing.B) {
	r, _ := newReply(true, true, false)
	r.w = &discard{header: http.Header{}}
	b.ReportAllocs()
	for b.Loop() {
		if err := r.token(" spring"); err != nil {
			b.Fatal(err)
		}
	}
}
