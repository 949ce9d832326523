package server

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/gorilla/mux"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/serving/generator"
)

// fakeBackend is the Views, the Gate, the Admitter and the Runner of a Server. It admits every request and records the
// last job.
type fakeBackend struct {
	lastJob generator.Job
}

func (b *fakeBackend) View() recorder.View {
	const hash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08" // The SHA-256 of "test".
	return recorder.View{
		Models:           map[string]recorder.Model{"oak": {Layers: 4, MaxAnswerTokens: 9, Versions: []recorder.Version{{Name: "v", SharePercent: 100}}}},
		Teams:            map[string]recorder.Team{"t": {}},
		TeamByCredential: map[string]string{hash: "t"},
	}
}

func (b *fakeBackend) Gate(time.Time) *Problem { return nil }

func (b *fakeBackend) Admit(_ context.Context, _ recorder.View, r AdmissionRequest) (Grant, *Problem) {
	return Grant{Job: r.Job, Done: func(int) {}}, nil
}

func (b *fakeBackend) Run(_ context.Context, j generator.Job, _ func(string) error) generator.Result {
	b.lastJob = j
	return generator.Result{}
}

// TestSamplingReachesTheEngines checks that the job has the sampling parameters that the caller set, and no others.
func TestSamplingReachesTheEngines(t *testing.T) {
	half, one, seed := 0.5, 1.0, int64(7)
	cases := []struct {
		name, fields string
		want         streamer.Sampling
	}{
		{"nothing", ``, streamer.Sampling{}},
		{"all", `"temperature":0.5,"top_p":1,"seed":7,"frequency_penalty":0.5,"presence_penalty":1,`,
			streamer.Sampling{Temperature: &half, Top: &one, Seed: &seed, Frequency: &half, Presence: &one}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := &fakeBackend{}
			routes := mux.NewRouter()
			New(b, b, b, b, WithLog(slog.New(slog.DiscardHandler))).Register(routes)
			r := httptest.NewRequest("POST", "/v1/completions", strings.NewReader(`{`+c.fields+`"model":"oak","prompt":"a"}`))
			r.Header.Set("Authorization", "Bearer test")
			routes.ServeHTTP(httptest.NewRecorder(), r)
			if diff := cmp.Diff("oak", b.lastJob.Model); diff != "" {
				t.Fatalf("the request did not run (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.want, b.lastJob.Sampling); diff != "" {
				t.Errorf("sampling mismatch (-want +got):\n%s", diff)
			}
		})
	}
}
