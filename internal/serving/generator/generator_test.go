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

// The limits of the cases in which a deadline passes: the other one is far away.
var (
	silent  = tracker.Limits{MaxSilence: 300 * time.Millisecond, MaxStall: time.Minute}
	stalled = tracker.Limits{MaxSilence: time.Minute, MaxStall: 300 * time.Millisecond}
)

func job(text string) Job {
	return Job{
		Request:  "r1",
		Model:    "m",
		Version:  "v",
		Layers:   layers,
		Prompt:   text,
		Limit:    limit,
		Deadline: time.Now().Add(time.Minute),
		Limits:   tracker.Limits{MaxSilence: time.Minute, MaxStall: time.Minute},
	}
}

func write(w http.ResponseWriter, content []byte) {
	_, _ = w.Write(content)
	w.(http.Flusher).Flush()
}

// edit writes a line with its step changed.
func edit(w http.ResponseWriter, content []byte, change func(s *streamer.Step)) {
	var s streamer.Step
	if err := json.Unmarshal(content, &s); err != nil {
		panic(err)
	}
	change(&s)
	line, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	write(w, append(line, '\n'))
}

// TestAnswerIsWholeUnderFaults compares the answer given under each fault with the reference.
func TestAnswerIsWholeUnderFaults(t *testing.T) {
	_, want := decoder.Answer("m", "v", "", prompt, layers, limit)
	cases := []struct {
		name    string
		prepare func(b *bench)
		meddle  func(w http.ResponseWriter, r *http.Request, line int, content []byte)
		ending  Ending
		limits  tracker.Limits
	}{
		{name: "no fault", ending: EndingComplete},
		{name: "every step twice", ending: EndingComplete, meddle: func(w http.ResponseWriter, _ *http.Request, _ int, content []byte) {
			write(w, bytes.Repeat(content, 2))
		}},
		{name: "a step of an older attempt", ending: EndingComplete, meddle: func(w http.ResponseWriter, _ *http.Request, _ int, content []byte) {
			edit(w, content, func(s *streamer.Step) { s.Attempt = 0 })
			write(w, content)
		}},
		{name: "a step of another range", ending: EndingComplete, meddle: func(w http.ResponseWriter, _ *http.Request, _ int, content []byte) {
			edit(w, content, func(s *streamer.Step) {
				if s.Kind == streamer.KindToken {
					s.Ran = s.Ran[1:]
					s.Token++
				}
				if s.Kind == streamer.KindEnd {
					s.Attempt = 0
				}
			})
			write(w, content)
		}},
		{name: "a step of another range in place of the right one", ending: EndingBroken, meddle: func(w http.ResponseWriter, _ *http.Request, line int, content []byte) {
			if line != 3 {
				write(w, content)
				return
			}
			edit(w, content, func(s *streamer.Step) { s.Ran[0].To-- })
		}},
		{name: "a lost step", ending: EndingBroken, meddle: func(w http.ResponseWriter, _ *http.Request, line int, content []byte) {
			if line != 2 {
				write(w, content)
			}
		}},
		{name: "an end too early", ending: EndingBroken, meddle: func(w http.ResponseWriter, _ *http.Request, line int, content []byte) {
			if line == 4 {
				edit(w, content, func(s *streamer.Step) { s.Kind = streamer.KindEnd; s.Position += 3 })
				return
			}
			write(w, content)
		}},
		{name: "the stream stops without an end", ending: EndingCrashed, meddle: func(w http.ResponseWriter, r *http.Request, line int, content []byte) {
			if line == 4 {
				panic(http.ErrAbortHandler)
			}
			write(w, content)
		}},
		{name: "half a line", ending: EndingCrashed, meddle: func(w http.ResponseWriter, r *http.Request, line int, content []byte) {
			if line == 4 {
				write(w, content[:len(content)/2])
				panic(http.ErrAbortHandler)
			}
			write(w, content)
		}},
		{name: "the connection falls silent", ending: EndingSilent, limits: silent, meddle: func(w http.ResponseWriter, r *http.Request, line int, content []byte) {
			if line >= 4 {
				<-r.Context().Done()
				return
			}
			write(w, content)
		}},
		{name: "the connection is silent from the start", ending: EndingSilent, limits: silent, meddle: func(_ http.ResponseWriter, r *http.Request, _ int, _ []byte) {
			<-r.Context().Done()
		}},
		{name: "nothing comes while the process itself is held up", ending: EndingComplete, limits: silent, prepare: func(b *bench) {
			b.held = time.Hour
			b.heads[0].meddle = func(w http.ResponseWriter, r *http.Request, line int, content []byte) {
				for line == 4 && b.looks.Load() < 6 && r.Context().Err() == nil {
					time.Sleep(time.Millisecond)
				}
				write(w, content)
			}
		}},
		{name: "pings without a token", ending: EndingStalled, limits: stalled, meddle: func(w http.ResponseWriter, r *http.Request, line int, content []byte) {
			if line < 4 {
				write(w, content)
				return
			}
			tick := time.NewTicker(10 * time.Millisecond)
			defer tick.Stop()
			for r.Context().Err() == nil {
				<-tick.C
				edit(w, content, func(s *streamer.Step) { s.Kind = streamer.KindPing })
			}
		}},
		{name: "the first stage is gone", ending: EndingUnreachable, prepare: func(b *bench) { b.servers["a"].Close() }},
		{name: "a middle stage is gone", ending: EndingUnreachable, prepare: func(b *bench) { b.servers["b"].Close() }},
		{name: "the first stage is lost under an answer", ending: EndingCrashed, prepare: func(b *bench) {
			b.heads[0].meddle = b.crash("a", 4)
		}},
		{name: "a second stage is lost under the next attempt", ending: EndingCrashed, prepare: func(b *bench) {
			b.heads[0].meddle = b.crash("c", 4)
			b.heads[1].meddle = b.crash("e", 5)
		}},
		{name: "the next attempt's first stage is lost while it opens", ending: EndingCrashed, prepare: func(b *bench) {
			b.heads[0].meddle = b.crash("b", 4)
			b.heads[1].meddle = b.crash("d", 0)
		}},
		{name: "a replacement is lost, and surviving stages go on", ending: EndingCrashed, prepare: func(b *bench) {
			b.mixed = true
			b.heads[0].meddle = b.crash("b", 4)
			b.engines["e"].Crash()
		}},
		{name: "all but one chain is lost", ending: EndingCrashed, prepare: func(b *bench) {
			b.heads[0].meddle = func(w http.ResponseWriter, r *http.Request, line int, content []byte) {
				if line == 2 {
					for _, id := range []string{"b", "c", "d", "f"} {
						b.engines[id].Crash()
					}
				}
				b.crash("a", 4)(w, r, line, content)
			}
		}},
		{name: "the last stage crashed", ending: EndingCrashed, prepare: func(b *bench) { b.engines["c"].Crash() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.heads[0].meddle = c.meddle
			if c.prepare != nil {
				c.prepare(b)
			}
			client := streamer.NewClient()
			defer client.Close()
			var text strings.Builder
			j := job(prompt)
			if c.limits != (tracker.Limits{}) {
				j.Limits = c.limits
			}
			r := New(b, b, client).Run(context.Background(), j, func(s string) error {
				text.WriteString(s)
				return nil
			})
			if diff := cmp.Diff(want, text.String()); diff != "" {
				t.Errorf("answer mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(FailureNone, r.Failure); diff != "" {
				t.Errorf("failure mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.ending, b.endings[0]); diff != "" {
				t.Errorf("ending of the first attempt mismatch (-want +got):\n%s\n%+v", diff, r.Attempts)
			}
			if diff := cmp.Diff(classifier.VerdictCompleted, r.Verdict); diff != "" {
				t.Errorf("verdict mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// TestFailures provokes each way in which an answer is not complete, and checks what the caller is told of it.
func TestFailures(t *testing.T) {
	cases := []struct {
		name    string
		prompt  string
		prepare func(b *bench)
		sink    error
		cancel  bool
		want    Failure
		verdict classifier.Verdict
	}{
		{name: "no plan", prompt: prompt, prepare: func(b *bench) { b.plans = nil }, want: FailureCapacity, verdict: classifier.VerdictNotRun},
		{name: "in quarantine", prompt: prompt, prepare: func(b *bench) {
			b.rulings = map[quarantiner.Fingerprint]quarantiner.Ruling{0: quarantiner.Refuse}
		}, want: FailureQuarantine, verdict: classifier.VerdictNotRun},
		{name: "no connection and no budget", prompt: prompt, prepare: func(b *bench) {
			b.retries = 0
			b.servers["a"].Close()
		}, want: FailureBudget, verdict: classifier.VerdictNotRun},
		{name: "a crash and no budget", prompt: "POISON", prepare: func(b *bench) { b.retries = 0 }, want: FailureBudget, verdict: classifier.VerdictUnknown},
		{name: "the caller leaves", prompt: prompt, sink: context.Canceled, want: FailureCaller, verdict: classifier.VerdictUnknown},
		{name: "the caller left before", prompt: prompt, cancel: true, want: FailureCaller, verdict: classifier.VerdictNotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			if c.prepare != nil {
				c.prepare(b)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if c.cancel {
				cancel()
			}
			client := streamer.NewClient()
			defer client.Close()
			r := New(b, b, client).Run(ctx, job(c.prompt), func(string) error { return c.sink })
			if diff := cmp.Diff(c.want, r.Failure); diff != "" {
				t.Errorf("failure mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.verdict, r.Verdict); diff != "" {
				t.Errorf("verdict mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// TestTrialEnds checks that every trial ends with a finding or is withdrawn, so that it never blocks other suspects.
func TestTrialEnds(t *testing.T) {
	cases := []struct {
		name     string
		prepare  func(b *bench)
		sink     error
		findings []string
		crashes  []string
	}{
		{name: "complete", findings: []string{"cleared"}},
		{name: "the caller leaves", sink: context.Canceled, findings: []string{"withdrawn"}},
		{name: "an endpoint that cannot be reached", prepare: func(b *bench) {
			b.retries = 0
			b.servers["a"].Close()
		}, findings: []string{"withdrawn"}},
		{name: "a crash", prepare: func(b *bench) {
			b.retries = 0
			b.engines["c"].Crash()
		}, crashes: []string{"c"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.rulings = map[quarantiner.Fingerprint]quarantiner.Ruling{0: quarantiner.Trial}
			if c.prepare != nil {
				c.prepare(b)
			}
			client := streamer.NewClient()
			defer client.Close()
			New(b, b, client).Run(context.Background(), job(prompt), func(string) error { return c.sink })
			if diff := cmp.Diff(c.findings, b.findings); diff != "" {
				t.Errorf("findings mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.crashes, b.crashes); diff != "" {
				t.Errorf("crashes mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPingsAreHeard checks that an engine which pings and has no token yet is known to be alive.
func TestPingsAreHeard(t *testing.T) {
	b := newBench(t)
	b.heads[0].meddle = func(w http.ResponseWriter, _ *http.Request, line int, content []byte) {
		if line == 0 {
			edit(w, content, func(s *streamer.Step) { s.Kind = streamer.KindPing })
		}
		write(w, content)
	}
	client := streamer.NewClient()
	defer client.Close()
	r := New(b, b, client).Run(context.Background(), job(prompt), func(string) error { return nil })
	if diff := cmp.Diff(FailureNone, r.Failure); diff != "" {
		t.Errorf("failure mismatch (-want +got):\n%s", diff)
	}
	if b.heard == 0 {
		t.Error("no ping was heard")
	}
}
