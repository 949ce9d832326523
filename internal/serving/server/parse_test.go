package server

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

func FuzzRead(f *testing.F) {
	for _, seed := range []string{
		`{"model":"oak","messages":[{"role":"user","content":"hello"}],"max_tokens":3}`,
		`{"model":"oak","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`,
		`{"model":"oak","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`,
		`{"model":"oak","prompt":"a sash","stream":true,"stream_options":{"include_usage":true}}`,
		`{"model":"oak","prompt":["a","b"],"max_completion_tokens":-1}`,
		`{"model":"oak","prompt":null,"stop":null,"n":1,"adapter":"x"}`,
		`{"model":7}`, `[]`, `{"model":`, "\xff", "",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		q, p := readRequest(httptest.NewRequest("POST", "/", strings.NewReader(text)))
		if p == nil {
			if limit := q.maxAnswerTokens(); q.Model == "" || limit != nil && *limit < 1 {
				t.Errorf("%q was accepted as %+v", text, q)
			}
			_, p = q.completionPrompt()
			if prompt, failed := q.chatPrompt(); failed == nil && prompt == "" {
				t.Errorf("%q gave an empty conversation", text)
			}
		}
		if p == nil {
			return
		}
		w := httptest.NewRecorder()
		p.Write(w)
		if statusByCode[p.Code] == 0 || w.Header().Get(HeaderOutcome) != classifier.VerdictNotRun.String() {
			t.Errorf("%q was answered with %d, %v", text, w.Code, w.Header())
		}
		if !json.Valid(w.Body.Bytes()) {
			t.Errorf("%q was answered with %s", text, w.Body)
		}
	})
}

// TestPrompts checks the prompt, or the field at fault, of completion and chat requests.
func TestPrompts(t *testing.T) {
	cases := []struct {
		name, body string
		chat       bool
		want       string
	}{
		{"text", `{"model":"m","prompt":"a sash"}`, false, "a sash"},
		{"one text in a list", `{"model":"m","prompt":["a sash"]}`, false, "a sash"},
		{"two texts", `{"model":"m","prompt":["a","b"]}`, false, "prompt"},
		{"tokens", `{"model":"m","prompt":[1,2]}`, false, "prompt"},
		{"messages", `{"model":"m","messages":[{"role":"system","content":"be brief"},{"role":"user","content":"a sash"}]}`, true,
			"system: be brief\nuser: a sash\n"},
		{"parts", `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a "},{"type":"text","text":"sash"}]}]}`,
			true, "user: a sash\n"},
		{"an image", `{"model":"m","messages":[{"role":"user","content":"a"},{"content":[{"type":"image_url"}]}]}`, true,
			"messages[1].content"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q, p := readRequest(httptest.NewRequest("POST", "/", strings.NewReader(c.body)))
			if p != nil {
				t.Fatal(p.Message)
			}
			got, p := q.completionPrompt()
			if c.chat {
				got, p = q.chatPrompt()
			}
			if p != nil {
				got = p.Parameter
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("prompt, or parameter at fault, mismatch (-want +got):\n%s", diff)
			}
		})
	}
}
