package generator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/routing/quarantiner"
	"github.com/heatherrock/heatherrock/internal/routing/tracker"
	"github.com/heatherrock/heatherrock/internal/standin/decoder"
)

const (
	layers = 12
	limit  = 20
	prompt = "user: which latch fits the drawer of a till from 1962"
)

// The limits for the cases in which one of the two timeouts passes: the other one is out of reach.
var (
	silenceLimits = tracker.Limits{MaxSilence: 300 * time.Millisecond, MaxStall: time.Minute}
	stallLimits   = tracker.Limits{MaxSilence: time.Minute, MaxStall: 300 * time.Millisecond}
)

func job(text string) Job {
	return Job{
		Request:   "r1",
		Model:     "m",
		Version:   "v",
		Layers:    layers,
		Prompt:    text,
		MaxTokens: limit,
		Deadline:  time.Now().Add(time.Minute),
		Limits:    tracker.Limits{MaxSilence: time.Minute, MaxStall: time.Minute},
	}
}

func writeLine(w http.ResponseWriter, content []byte) {
	_, _ = w.Write(content)
	w.(http.Flusher).Flush()
}

// writeEdited writes a line with its step changed.
func writeEdited(w http.ResponseWriter, content []byte, change func(s *streamer.Step)) {
	var s streamer.Step
	if err := json.Unmarshal(content, &s); err != nil {
		panic(err)
	}
	change(&s)
	line, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	writeLine(w, append(line, '\n'))
}

// TestAnswerIsCompleteUnderFaults compares the answer delivered under each fault with the reference.
func TestAnswerIsCompleteUnderFaults(t *testing.T) {
	_, want := decoder.ExpectedAnswer("m", "v", "", prompt, layers, limit)
	cases := []struct {
		name      string
		prepare   func(h *harness)
		intercept func(w http.ResponseWriter, r *http.Request, line int, content []byte)
		ending    Ending
		limits    tracker.Limits
	}{
		{name: "no fault", ending: EndingComplete},
		{name: "every step twice", ending: EndingComplete, intercept: func(w http.ResponseWriter, _ *http.Request, _ int, content []byte) {
			writeLine(w, bytes.Repeat(content, 2))
		}},
		{name: "a step of an older attempt", ending: EndingComplete, intercept: func(w http.ResponseWriter, _ *http.Request, _ int, content []byte) {
			writeEdited(w, content, func(s *streamer.Step) { s.Attempt = 0 })
			writeLine(w, content)
		}},
		{name: "a step of another range", ending: EndingComplete, intercept: func(w http.ResponseWriter, _ *http.Request, _ int, content []byte) {
			writeEdited(w, content, func(s *streamer.Step) {
				if s.Kind == streamer.KindToken {
					s.ExecutedStages = s.ExecutedStages[1:]
					s.Token++
				}
				if s.Kind == streamer.KindEnd {
					s.Attempt = 0
				}
			})
			writeLine(w, content)
		}},
		{name: "a step of another range in place of the right one", ending: EndingInvalid, intercept: func(w http.ResponseWriter, _ *http.Request, line int, content []byte) {
			if line != 3 {
				writeLine(w, content)
				return
			}
			writeEdited(w, content, func(s *streamer.Step) { s.ExecutedStages[0].To-- })
		}},
		{name: "a lost step", ending: EndingInvalid, intercept: func(w http.ResponseWriter, _ *http.Request, line int, content []byte) {
			if line != 2 {
				writeLine(w, content)
			}
		}},
		{name: "an early end", ending: EndingInvalid, intercept: func(w http.ResponseWriter, _ *http.Request, line int, content []byte) {
			if line == 4 {
				writeEdited(w, content, func(s *streamer.Step) { s.Kind = streamer.KindEnd; s.Position += 3 })
				return
			}
			writeLine(w, content)
		}},
		{name: "the stream stops without an end", ending: EndingCrashed, intercept: func(w http.ResponseWriter, r *http.Request, line int, content []byte) {
			if line == 4 {
				panic(http.ErrAbortHandler)
			}
			writeLine(w, content)
		}},
		{name: "half a line", ending: EndingCrashed, intercept: func(w http.ResponseWriter, r *http.Request, line int, content []byte) {
			if line == 4 {
				writeLine(w, content[:len(content)/2])
				panic(http.ErrAbortHandler)
			}
			writeLine(w, content)
		}},
		{name: "the connection goes silent", ending: EndingSilent, limits: silenceLimits, intercept: func(w http.ResponseWriter, r *http.Request, line int, content []byte) {
			if line >= 4 {
				<-r.Context().Done()
				return
			}
			writeLine(w, content)
		}},
		{name: "the connection is silent from the start", ending: EndingSilent, limits: silenceLimits, intercept: func(_ http.ResponseWriter, r *http.Request, _ int, _ []byte) {
			<-r.Context().Done()
		}},
		{name: "no step arrives while the process itself is paused", ending: EndingComplete, limits: silenceLimits, prepare: func(h *harness) {
			h.pausedFor = time.Hour
			h.firstStages[0].intercept = func(w http.ResponseWriter, r *http.Request, line int, content []byte) {
				for line == 4 && h.pauseReads.Load() < 6 && r.Context().Err() == nil {
					time.Sleep(time.Millisecond)
				}
				writeLine(w, content)
			}
		}},
		{name: "pings without a token", ending: EndingStalled, limits: stallLimits, intercept: func(w http.ResponseWriter, r *http.Request, line int, content []byte) {
			if line < 4 {
				writeLine(w, content)
				return
			}
			ticker := time.NewTicker(10 * time.Millisecond)
			defer ticker.Stop()
			for r.Context().Err() == nil {
				<-ticker.C
				writeEdited(w, content, func(s *streamer.Step) { s.Kind = streamer.KindPing })
			}
		}},
		{name: "the first stage is unreachable", ending: EndingUnreachable, prepare: func(h *harness) { h.servers["a"].Close() }},
		{name: "a middle stage is unreachable", ending: EndingUnreachable, prepare: func(h *harness) { h.servers["b"].Close() }},
		{name: "the first stage crashes during an answer", ending: EndingCrashed, prepare: func(h *harness) {
			h.firstStages[0].intercept = h.crashAt("a", 4)
		}},
		{name: "another stage crashes during the next attempt", ending: EndingCrashed, prepare: func(h *harness) {
			h.firstStages[0].intercept = h.crashAt("c", 4)
			h.firstStages[1].intercept = h.crashAt("e", 5)
		}},
		{name: "the next attempt's first stage crashes while the stream opens", ending: EndingCrashed, prepare: func(h *harness) {
			h.firstStages[0].intercept = h.crashAt("b", 4)
			h.firstStages[1].intercept = h.crashAt("d", 0)
		}},
		{name: "a replacement stage crashes, and live stages are used again", ending: EndingCrashed, prepare: func(h *harness) {
			h.mixChains = true
			h.firstStages[0].intercept = h.crashAt("b", 4)
			h.engines["e"].Crash()
		}},
		{name: "all chains but one crash", ending: EndingCrashed, prepare: func(h *harness) {
			h.firstStages[0].intercept = func(w http.ResponseWriter, r *http.Request, line int, content []byte) {
				if line == 2 {
					for _, id := range []string{"b", "c", "d", "f"} {
						h.engines[id].Crash()
					}
				}
				h.crashAt("a", 4)(w, r, line, content)
			}
		}},
		{name: "the last stage crashed", ending: EndingCrashed, prepare: func(h *harness) { h.engines["c"].Crash() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.firstStages[0].intercept = c.intercept
			if c.prepare != nil {
				c.prepare(h)
			}
			client := streamer.NewClient()
			defer client.Close()
			var text strings.Builder
			j := job(prompt)
			if c.limits != (tracker.Limits{}) {
				j.Limits = c.limits
			}
			r := New(h, h, client).Run(context.Background(), j, func(s string) error {
				text.WriteString(s)
				return nil
			})
			if diff := cmp.Diff(want, text.String()); diff != "" {
				t.Errorf("answer mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(FailureNone, r.Failure); diff != "" {
				t.Errorf("failure mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.ending, h.endings[0]); diff != "" {
				t.Errorf("ending of the first attempt mismatch (-want +got):\n%s\n%+v", diff, r.Attempts)
			}
			if diff := cmp.Diff(classifier.VerdictCompleted, r.Verdict); diff != "" {
				t.Errorf("verdict mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// TestFailures provokes each failure of an answer, and checks the failure and the verdict that the caller receives.
func TestFailures(t *testing.T) {
	cases := []struct {
		name    string
		prompt  string
		prepare func(h *harness)
		sink    error
		cancel  bool
		want    Failure
		verdict classifier.Verdict
	}{
		{name: "no plan", prompt: prompt, prepare: func(h *harness) { h.plans = nil }, want: FailureCapacity, verdict: classifier.VerdictNotRun},
		{name: "in quarantine", prompt: prompt, prepare: func(h *harness) {
			h.rulings = map[quarantiner.Fingerprint]quarantiner.Ruling{0: quarantiner.Refuse}
		}, want: FailureQuarantine, verdict: classifier.VerdictNotRun},
		{name: "no connection and no budget", prompt: prompt, prepare: func(h *harness) {
			h.retriesLeft = 0
			h.servers["a"].Close()
		}, want: FailureRetryBudget, verdict: classifier.VerdictNotRun},
		{name: "a crash and no budget", prompt: "POISON", prepare: func(h *harness) { h.retriesLeft = 0 }, want: FailureRetryBudget, verdict: classifier.VerdictUnknown},
		{name: "the caller leaves", prompt: prompt, sink: context.Canceled, want: FailureCallerLeft, verdict: classifier.VerdictUnknown},
		{name: "the caller left before", prompt: prompt, cancel: true, want: FailureCallerLeft, verdict: classifier.VerdictNotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			if c.prepare != nil {
				c.prepare(h)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if c.cancel {
				cancel()
			}
			client := streamer.NewClient()
			defer client.Close()
			r := New(h, h, client).Run(ctx, job(c.prompt), func(string) error { return c.sink })
			if diff := cmp.Diff(c.want, r.Failure); diff != "" {
				t.Errorf("failure mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.verdict, r.Verdict); diff != "" {
				t.Errorf("verdict mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// TestTrialEnds checks that every trial ends with a result or is cancelled, so that it never blocks other suspects.
func TestTrialEnds(t *testing.T) {
	cases := []struct {
		name      string
		prepare   func(h *harness)
		sink      error
		trialEnds []string
		crashes   []string
	}{
		{name: "complete", trialEnds: []string{"cleared"}},
		{name: "the caller leaves", sink: context.Canceled, trialEnds: []string{"cancelled"}},
		{name: "an endpoint that cannot be reached", prepare: func(h *harness) {
			h.retriesLeft = 0
			h.servers["a"].Close()
		}, trialEnds: []string{"cancelled"}},
		{name: "a crash", prepare: func(h *harness) {
			h.retriesLeft = 0
			h.engines["c"].Crash()
		}, crashes: []string{"c"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.rulings = map[quarantiner.Fingerprint]quarantiner.Ruling{0: quarantiner.Trial}
			if c.prepare != nil {
				c.prepare(h)
			}
			client := streamer.NewClient()
			defer client.Close()
			New(h, h, client).Run(context.Background(), job(prompt), func(string) error { return c.sink })
			if diff := cmp.Diff(c.trialEnds, h.trialEnds); diff != "" {
				t.Errorf("trial ends mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.crashes, h.crashes); diff != "" {
				t.Errorf("crashes mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPingsCountAsActivity checks that pings of an engine which has no token yet are recorded as activity.
func TestPingsCountAsActivity(t *testing.T) {
	h := newHarness(t)
	h.firstStages[0].intercept = func(w http.ResponseWriter, _ *http.Request, line int, content []byte) {
		if line == 0 {
			writeEdited(w, content, func(s *streamer.Step) { s.Kind = streamer.KindPing })
		}
		writeLine(w, content)
	}
	client := streamer.NewClient()
	defer client.Close()
	r := New(h, h, client).Run(context.Background(), job(prompt), func(string) error { return nil })
	if diff := cmp.Diff(FailureNone, r.Failure); diff != "" {
		t.Errorf("failure mismatch (-want +got):\n%s", diff)
	}
	if h.activityCount == 0 {
		t.Error("no ping was recorded as activity")
	}
}
