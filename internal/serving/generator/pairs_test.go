package generator

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/routing/tracker"
	"github.com/heatherrock/heatherrock/internal/standin/decoder"
)

// pairSeeds is the number of pairs of faults, each drawn with its own seed.
const pairSeeds = 120

// lineFault is a fault at one line of a stream. Its function reports whether the line is still to be written.
type lineFault struct {
	name  string
	apply func(h *harness, chain int, w http.ResponseWriter, r *http.Request, content []byte) bool
}

// lineFaults are the faults that pairs are drawn from.
var lineFaults = []lineFault{
	{"the first stage crashes", func(h *harness, chain int, _ http.ResponseWriter, _ *http.Request, _ []byte) bool {
		h.engines[h.plans[chain].Stages[0].Endpoint].Crash()
		panic(http.ErrAbortHandler)
	}},
	{"the middle stage crashes", func(h *harness, chain int, _ http.ResponseWriter, _ *http.Request, _ []byte) bool {
		h.engines[h.plans[chain].Stages[1].Endpoint].Crash()
		return true
	}},
	{"the last stage crashes", func(h *harness, chain int, _ http.ResponseWriter, _ *http.Request, _ []byte) bool {
		h.engines[h.plans[chain].Stages[2].Endpoint].Crash()
		return true
	}},
	{"a cut stream", func(*harness, int, http.ResponseWriter, *http.Request, []byte) bool {
		panic(http.ErrAbortHandler)
	}},
	{"half a line", func(_ *harness, _ int, w http.ResponseWriter, _ *http.Request, content []byte) bool {
		writeLine(w, content[:len(content)/2])
		panic(http.ErrAbortHandler)
	}},
	{"a line twice", func(_ *harness, _ int, w http.ResponseWriter, _ *http.Request, content []byte) bool {
		writeLine(w, bytes.Clone(content))
		return true
	}},
	{"a lost line", func(*harness, int, http.ResponseWriter, *http.Request, []byte) bool { return false }},
	{"another range", func(_ *harness, _ int, w http.ResponseWriter, _ *http.Request, content []byte) bool {
		writeEdited(w, content, func(s *streamer.Step) {
			if len(s.ExecutedStages) > 0 {
				s.ExecutedStages[0].To--
			}
		})
		return false
	}},
	{"an early end", func(_ *harness, _ int, w http.ResponseWriter, _ *http.Request, content []byte) bool {
		writeEdited(w, content, func(s *streamer.Step) { s.Kind, s.Position = streamer.KindEnd, s.Position+2 })
		return false
	}},
	{"an older attempt's line", func(_ *harness, _ int, w http.ResponseWriter, _ *http.Request, content []byte) bool {
		writeEdited(w, content, func(s *streamer.Step) { s.Attempt--; s.Token++ })
		return true
	}},
	{"silence", func(_ *harness, _ int, _ http.ResponseWriter, r *http.Request, _ []byte) bool {
		<-r.Context().Done()
		return false
	}},
}

// placedFault is a fault at a line of a chain's first stream.
type placedFault struct {
	lineFault
	chain int
	line  int
}

// drawPair returns a random pair of faults. Half of the second faults are in the same stream as the first.
func drawPair(random *rand.Rand) [2]placedFault {
	var pair [2]placedFault
	for i := range pair {
		pair[i] = placedFault{lineFaults[random.IntN(len(lineFaults))], i * random.IntN(2), random.IntN(limit)}
	}
	return pair
}

// TestPairsOfFaults runs an answer under two random faults. The answer must be complete, or fail with an error after a
// correct prefix.
func TestPairsOfFaults(t *testing.T) {
	_, want := decoder.ExpectedAnswer("m", "v", "", prompt, layers, limit)
	for seed := range uint64(pairSeeds) {
		random := rand.New(rand.NewPCG(seed, seed))
		pair := drawPair(random)
		mixed := random.IntN(2) == 0
		name := fmt.Sprintf("seed %d: %s at %d of %d, %s at %d of %d, mixed %v", seed, pair[0].name, pair[0].line,
			pair[0].chain, pair[1].name, pair[1].line, pair[1].chain, mixed)
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.mixChains = mixed
			for chain, stage := range h.firstStages {
				stage.intercept = interceptPair(h, chain, pair)
			}
			client := streamer.NewClient()
			defer client.Close()
			j := job(prompt)
			j.Limits = tracker.Limits{MaxSilence: 100 * time.Millisecond, MaxStall: time.Minute}
			var text strings.Builder
			r := New(h, h, client).Run(context.Background(), j, func(s string) error {
				text.WriteString(s)
				return nil
			})
			if r.Failure == FailureNone {
				if diff := cmp.Diff(want, text.String()); diff != "" {
					t.Errorf("answer mismatch (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(classifier.VerdictCompleted, r.Verdict); diff != "" {
					t.Errorf("verdict mismatch (-want +got):\n%s", diff)
				}
				return
			}
			if !strings.HasPrefix(want, text.String()) {
				t.Errorf("%v after a wrong prefix: %q", r.Failure, text.String())
			}
			if text.Len() > 0 && r.Verdict == classifier.VerdictNotRun {
				t.Errorf("reported as not run after %q", text.String())
			}
			// Two faults leave one chain: only the retry budget may end the answer.
			if diff := cmp.Diff(FailureRetryBudget, r.Failure); diff != "" {
				t.Errorf("failure mismatch (-want +got):\n%s\n%+v", diff, r.Attempts)
			}
		})
	}
}

// interceptPair returns an intercept function that applies a pair's faults to the lines of a chain's first stream.
func interceptPair(h *harness, chain int, pair [2]placedFault) func(w http.ResponseWriter, r *http.Request, line int, content []byte) {
	return func(w http.ResponseWriter, r *http.Request, line int, content []byte) {
		for _, f := range pair {
			if f.chain == chain && f.line == line && !f.apply(h, chain, w, r, content) {
				return
			}
		}
		writeLine(w, content)
	}
}
