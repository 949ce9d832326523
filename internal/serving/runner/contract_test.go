package runner

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/control/accepter"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/routing/picker"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
	"github.com/heatherrock/heatherrock/internal/serving/committer"
	"github.com/heatherrock/heatherrock/internal/serving/configurer"
	"github.com/heatherrock/heatherrock/internal/standin/decoder"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
	"github.com/heatherrock/heatherrock/internal/standin/storer"
	"github.com/heatherrock/heatherrock/internal/standin/tabler"
)

const (
	layers = 12
	token  = "workshop-7"
)

// settings returns the settings of a test's instance, which listens on free ports of the loopback address.
func settings() configurer.Settings {
	freePort := configurer.Listener{Address: "127.0.0.1:0"}
	return configurer.Settings{
		ID:         "entry-1",
		DataCentre: "scot-central-a",
		Region:     "scot-central",
		Callers:    freePort,
		Operators:  freePort,
		Peers:      freePort,
		Limits:     configurer.Limits{BodyBytes: 4096, HeaderBytes: 8192, ConcurrentRequests: 64, QueuedRequests: 64},
		Times: configurer.Times{
			PollInterval:     50 * time.Millisecond,
			GossipInterval:   50 * time.Millisecond,
			ListInterval:     50 * time.Millisecond,
			LoadReadInterval: 50 * time.Millisecond,
			ProgressTimeout:  time.Minute,
			RequestTimeout:   time.Minute,
			MaxStaleness:     time.Minute,
		},
	}
}

// records returns a configuration with one team and one model.
func records(t *testing.T) []recorder.Record {
	t.Helper()
	sum := sha256.Sum256([]byte(token))
	model, err := recorder.NewRecord(recorder.KindModel, "oak", recorder.Model{
		Layers: layers, MaxAnswerTokens: 64, FirstTokenMillis: 1900, TokenIntervalMillis: 43,
		Versions: []recorder.Version{{Name: "v1", SharePercent: 100}},
	})
	if err != nil {
		t.Fatal(err)
	}
	team, err := recorder.NewRecord(recorder.KindTeam, "workshop",
		recorder.Team{CredentialHash: hex.EncodeToString(sum[:]), QueueWeight: 1})
	if err != nil {
		t.Fatal(err)
	}
	return []recorder.Record{model, team}
}

// acceptRecords submits and accepts records on an instance.
func acceptRecords(t *testing.T, r *Runner, records []recorder.Record) {
	t.Helper()
	c := committer.New(r.platform.Table, r.configPoller)
	submit := accepter.Command{ID: "submit-1", Action: accepter.ActionSubmit, Operator: "duty", Records: records}
	submitted := c.Do(context.Background(), submit)
	command := accepter.Command{ID: "accept-1", Action: accepter.ActionAccept, Operator: "duty", Changes: submitted.Changes}
	accepted := c.Do(context.Background(), command)
	if diff := cmp.Diff(classifier.Completed, accepted.Outcome); diff != "" {
		t.Fatalf("accept mismatch (-want +got):\n%s\n%+v", diff, accepted)
	}
}

// startInstance starts an instance and three engines of different kinds that together hold the model.
func startInstance(t *testing.T) *Runner {
	t.Helper()
	return startInstanceWith(t, settings())
}

// startInstanceWith is startInstance with the given settings.
func startInstanceWith(t *testing.T, s configurer.Settings) *Runner {
	t.Helper()
	r := New(s, Platform{Table: tabler.New(), Objects: storer.New(faulter.NewFaults(1))}, WithLog(slog.New(slog.DiscardHandler)))
	if err := r.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	for i, kind := range []string{"large", "small", "old"} {
		from, to := i*layers/3, (i+1)*layers/3
		engine := decoder.New(decoder.WithEndpoint(kind), decoder.WithKind(kind),
			decoder.WithLayerRanges(streamer.LayerRange{Model: "oak", Version: "v1", From: from, To: to}))
		s := httptest.NewServer(engine)
		t.Cleanup(s.Close)
		t.Cleanup(engine.Close)
		r.Router().Observe(time.Now(), planner.Endpoint{
			ID: kind, Address: s.Listener.Addr().String(), Kind: kind, DataCentre: "scot-central-a", Region: "scot-central",
			Held: []planner.Held{{Model: "oak", Version: "v1", From: from, To: to}}, Rate: 1e6,
		}, picker.Report{At: time.Now()})
	}
	acceptRecords(t, r, records(t))
	return r
}

// client returns the client library's client for an instance, without retries.
func client(r *Runner, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+r.CallerAddress()+"/v1/"), option.WithAPIKey(key),
		option.WithMaxRetries(0))
}

// chat returns the parameters of a chat of one message.
func chat(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "oak",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
		MaxTokens: openai.Int(20),
	}
}

// TestClientLibrary tests the callers' API with the client library that callers use.
func TestClientLibrary(t *testing.T) {
	r := startInstance(t)
	c := client(r, token)
	ctx := context.Background()
	tokens, want := decoder.ExpectedAnswer("oak", "v1", "", "user: a drawing of a sash\n", layers, 20)
	t.Run("chat", func(t *testing.T) {
		got, err := c.Chat.Completions.New(ctx, chat("a drawing of a sash"))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got.Choices[0].Message.Content); diff != "" {
			t.Errorf("answer mismatch (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(int64(len(tokens)), got.Usage.CompletionTokens); diff != "" {
			t.Errorf("usage mismatch (-want +got):\n%s", diff)
		}
	})
	t.Run("chat streamed with usage", func(t *testing.T) {
		q := chat("a drawing of a sash")
		q.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
		s := c.Chat.Completions.NewStreaming(ctx, q)
		var text strings.Builder
		var completionTokens int64
		for s.Next() {
			chunk := s.Current()
			completionTokens += chunk.Usage.CompletionTokens
			for _, choice := range chunk.Choices {
				text.WriteString(choice.Delta.Content)
			}
		}
		if diff := cmp.Diff(nil, s.Err()); diff != "" {
			t.Errorf("error mismatch (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(want, text.String()); diff != "" {
			t.Errorf("answer mismatch (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(int64(len(tokens)), completionTokens); diff != "" {
			t.Errorf("usage mismatch (-want +got):\n%s", diff)
		}
	})
	t.Run("completion", func(t *testing.T) {
		_, want := decoder.ExpectedAnswer("oak", "v1", "", "a sash", layers, 9)
		q := openai.CompletionNewParams{Model: "oak", MaxTokens: openai.Int(9),
			Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("a sash")}}
		got, err := c.Completions.New(ctx, q)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got.Choices[0].Text); diff != "" {
			t.Errorf("answer mismatch (-want +got):\n%s", diff)
		}
		s := c.Completions.NewStreaming(ctx, q)
		var text strings.Builder
		for s.Next() {
			text.WriteString(s.Current().Choices[0].Text)
		}
		if diff := cmp.Diff(want, text.String()); diff != "" {
			t.Errorf("streamed answer mismatch (-want +got):\n%s", diff)
		}
	})
	t.Run("models", func(t *testing.T) {
		page, err := c.Models.List(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff("oak", page.Data[0].ID); diff != "" {
			t.Errorf("model mismatch (-want +got):\n%s", diff)
		}
	})
	t.Run("cancel", func(t *testing.T) {
		ctx, cancel := context.WithCancel(ctx)
		s := c.Chat.Completions.NewStreaming(ctx, chat("a drawing of a sash"))
		s.Next()
		cancel()
		for s.Next() {
		}
		for len(r.Router().Attempts()) > 0 {
			time.Sleep(time.Millisecond)
		}
	})
	t.Run("error", func(t *testing.T) {
		q := chat("a drawing of a sash")
		q.Model = "elm"
		_, err := c.Chat.Completions.New(ctx, q)
		var problem *openai.Error
		if !errors.As(err, &problem) {
			t.Fatalf("error is %v", err)
		}
		if diff := cmp.Diff("model_not_found", problem.Code); diff != "" {
			t.Errorf("code mismatch (-want +got):\n%s", diff)
		}
	})
}

// TestBadInput checks that each bad request is refused in the callers' error format as not run, and that the instance
// serves the next good request.
func TestBadInput(t *testing.T) {
	r := startInstance(t)
	good := `{"model":"oak","messages":[{"role":"user","content":"hello"}],"max_tokens":3}`
	cases := []struct {
		name   string
		method string
		path   string
		key    string
		body   string
		status int
		code   string
	}{
		{"malformed JSON", "POST", "/v1/chat/completions", token, `{"model":`, 400, "invalid_request"},
		{"not an object", "POST", "/v1/chat/completions", token, `[]`, 400, "invalid_request"},
		{"no model", "POST", "/v1/chat/completions", token, `{}`, 400, "invalid_request"},
		{"unknown model", "POST", "/v1/chat/completions", token, strings.Replace(good, "oak", "elm", 1), 404, "model_not_found"},
		{"no messages", "POST", "/v1/chat/completions", token, `{"model":"oak"}`, 400, "invalid_request"},
		{"an image", "POST", "/v1/chat/completions", token, `{"model":"oak","messages":[{"content":[{"type":"image_url"}]}]}`, 400, "invalid_request"},
		{"two answers", "POST", "/v1/chat/completions", token, `{"model":"oak","n":2}`, 400, "unsupported_parameter"},
		{"a temperature of 3", "POST", "/v1/chat/completions", token, strings.Replace(good, "{", `{"temperature":3,`, 1), 400, "invalid_request"},
		{"a limit of zero", "POST", "/v1/chat/completions", token, `{"model":"oak","max_tokens":0}`, 400, "invalid_request"},
		{"unknown adapter", "POST", "/v1/chat/completions", token, strings.Replace(good, "{", `{"adapter":"x",`, 1), 400, "invalid_request"},
		{"a body over the limit", "POST", "/v1/chat/completions", token, strings.Repeat(" ", 5000) + good, 413, "body_too_large"},
		{"no credential", "POST", "/v1/chat/completions", "", good, 401, "invalid_api_key"},
		{"a wrong credential", "POST", "/v1/chat/completions", "wrong", good, 401, "invalid_api_key"},
		{"unknown path", "GET", "/v1/images", token, "", 404, "path_not_found"},
		{"wrong method", "GET", "/v1/chat/completions", token, "", 405, "method_not_allowed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, header, code := send(t, r, c.method, c.path, c.key, c.body)
			if diff := cmp.Diff(c.status, status); diff != "" {
				t.Errorf("status mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.code, code); diff != "" {
				t.Errorf("code mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff("not-run", header.Get("Heatherrock-Outcome")); diff != "" {
				t.Errorf("outcome mismatch (-want +got):\n%s", diff)
			}
			status, _, _ = send(t, r, "POST", "/v1/chat/completions", token, good)
			if diff := cmp.Diff(200, status); diff != "" {
				t.Errorf("status of a good request after it mismatch (-want +got):\n%s", diff)
			}
		})
	}
	t.Run("header too large", func(t *testing.T) {
		q, err := http.NewRequest("GET", "http://"+r.CallerAddress()+"/v1/models", nil)
		if err != nil {
			t.Fatal(err)
		}
		q.Header.Set("X-Flood", strings.Repeat("x", 20000))
		a, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		defer a.Body.Close()
		if diff := cmp.Diff(431, a.StatusCode); diff != "" {
			t.Errorf("status mismatch (-want +got):\n%s", diff)
		}
	})
}

// TestRefusalsAreCounted checks that a refused completion and a refused service call are both counted in the metrics.
func TestRefusalsAreCounted(t *testing.T) {
	r := startInstance(t)
	send(t, r, "POST", "/v1/completions", "wrong", "{}")
	send(t, r, "POST", "/v1/services/stores/holds", "wrong", "{}")
	const want = `heatherrock_refusals{code="invalid_api_key",datacentre="scot-central-a",instance="entry-1"} 2`
	for counted := false; !counted; {
		answer, err := http.Get("http://" + r.OperatorAddress() + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		content, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		counted = strings.Contains(string(content), want)
	}
}

// send sends one request and returns the response's status, header and error code.
func send(t *testing.T, r *Runner, method, path, key, body string) (int, http.Header, string) {
	t.Helper()
	q, err := http.NewRequest(method, "http://"+r.CallerAddress()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		q.Header.Set("Authorization", "Bearer "+key)
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	content, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	var p struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if err := json.Unmarshal(content, &p); err != nil {
		t.Errorf("the response is not JSON: %s", content)
	}
	return a.StatusCode, a.Header, p.Error.Code
}

// TestDrainCompletesAnswers drains an instance while answers are streamed, and checks that each answer is complete.
func TestDrainCompletesAnswers(t *testing.T) {
	r := startInstance(t)
	c := client(r, token)
	_, want := decoder.ExpectedAnswer("oak", "v1", "", "user: a drawing of a sash\n", layers, 20)
	const streams = 16
	opened := make(chan struct{}, streams)
	texts := make(chan string, streams)
	for range streams {
		go func() {
			s := c.Chat.Completions.NewStreaming(context.Background(), chat("a drawing of a sash"))
			var text strings.Builder
			for s.Next() {
				if text.Len() == 0 {
					opened <- struct{}{}
				}
				text.WriteString(s.Current().Choices[0].Delta.Content)
			}
			texts <- text.String()
		}()
	}
	for range streams {
		<-opened
	}
	if diff := cmp.Diff(0, r.callerFrontend.drain(context.Background())); diff != "" {
		t.Errorf("interrupted requests mismatch (-want +got):\n%s", diff)
	}
	for range streams {
		if diff := cmp.Diff(want, <-texts); diff != "" {
			t.Errorf("answer mismatch (-want +got):\n%s", diff)
		}
	}
}
