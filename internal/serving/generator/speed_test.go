package generator

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

// BenchmarkAnswer runs one answer of b.N tokens, which the engine writes all at once.
func BenchmarkAnswer(b *testing.B) {
	var p planner.Plan
	engine := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q streamer.Request
		if json.NewDecoder(r.Body).Decode(&q) != nil || r.Method != http.MethodPost {
			return
		}
		var out bytes.Buffer
		e := json.NewEncoder(&out)
		for i := range b.N {
			step := streamer.Step{Kind: streamer.KindToken, Request: q.Request, Attempt: 1, Position: i, Text: " bolt", ExecutedStages: q.Stages}
			_ = e.Encode(step)
		}
		_ = e.Encode(streamer.Step{Kind: streamer.KindEnd, Request: q.Request, Attempt: 1, Position: b.N, Reason: streamer.ReasonLength})
		_, _ = w.Write(out.Bytes())
	})
	s := httptest.NewServer(engine)
	defer s.Close()
	for i, id := range []string{"large-0-1", "medium-1-1", "small-3-1"} {
		p.Stages = append(p.Stages, planner.Stage{Endpoint: id, Address: s.Listener.Addr().String(), From: i * layers / 3, To: (i + 1) * layers / 3})
	}
	fake := &harness{plans: []planner.Plan{p}}
	client := streamer.NewClient()
	defer client.Close()
	g := New(fake, fake, client, WithLog(slog.New(slog.DiscardHandler)))
	j := job(prompt)
	j.MaxTokens = b.N
	b.ReportAllocs()
	b.ResetTimer()
	result := g.Run(context.Background(), j, func(string) error { return nil })
	if result.Failure != FailureNone || result.Tokens != b.N {
		b.Fatalf("answer is %+v", result)
	}
}
