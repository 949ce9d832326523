package streamer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// testSteps holds a step of each kind that engines stream, with tokens whose text or stages are hard to decode.
var testSteps = []Step{
	{Kind: KindPing, Request: "r-1", Attempt: 1},
	{Kind: KindToken, Request: "r-1", Attempt: 1, Position: 0, Token: 41, Text: "spring", ExecutedStages: allStages},
	{Kind: KindToken, Request: "r-1", Attempt: 1, Position: 1, Token: -2, Text: " \"latch\" \u2028é\n", ExecutedStages: allStages},
	{Kind: KindToken, Request: "r-1", Attempt: 1, Position: 2, Token: 3, Text: " bolt", ExecutedStages: allStages[:2]},
	{Kind: KindToken, Request: "r-1", Attempt: 1, Position: 3, Token: 4, Text: " hinge", ExecutedStages: allStages},
	{Kind: KindToken, Request: "r-1", Attempt: 1, Position: 4, Token: 5, Text: `,"ran":[{"endpoint":"large-0-1"}]`, ExecutedStages: allStages[:1]},
	{Kind: KindToken, Request: "r-1", Attempt: 1, Position: 5, Token: 6, Text: `,"ran":null`},
	{Kind: KindToken, Request: "r-1", Attempt: 1, Position: 6, Token: 7, Text: "", ExecutedStages: allStages[:1]},
	{Kind: KindFault, Request: "r-1", Attempt: 1, Position: 2, Reason: FaultCrashed, Endpoint: "e2"},
	{Kind: KindEnd, Request: "r-1", Attempt: 2, Position: 3, Reason: ReasonStop, PromptTokens: 7},
}

// allStages are the stages that run a token.
var allStages = []Stage{
	{Endpoint: "large-0-1", Address: "127.0.0.1:40001", From: 0, To: 12},
	{Endpoint: "medium-1-1", Address: "127.0.0.1:40002", From: 12, To: 18},
	{Endpoint: "small-3-1", Address: "127.0.0.1:40003", From: 18, To: 24},
}

// encodeSteps returns the lines in which an engine streams steps.
func encodeSteps(t testing.TB, steps []Step) []byte {
	t.Helper()
	var out bytes.Buffer
	e := json.NewEncoder(&out)
	for _, s := range steps {
		if err := e.Encode(s); err != nil {
			t.Fatal(err)
		}
	}
	return out.Bytes()
}

// newStream returns a Stream that reads lines from r.
func newStream(r io.Reader) *Stream {
	_, cancel := context.WithCancel(context.Background())
	return &Stream{body: io.NopCloser(r), scanner: bufio.NewScanner(r), cancel: cancel}
}

func TestNext(t *testing.T) {
	s := newStream(bytes.NewReader(encodeSteps(t, testSteps)))
	defer s.Close()
	var got []Step
	for {
		step, err := s.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, step)
	}
	if diff := cmp.Diff(testSteps, got); diff != "" {
		t.Errorf("steps mismatch (-want +got):\n%s", diff)
	}
}

// repeatingReader reads one line over and over.
type repeatingReader struct {
	line   []byte
	offset int
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	n := copy(p, r.line[r.offset:])
	r.offset = (r.offset + n) % len(r.line)
	return n, nil
}

func BenchmarkNext(b *testing.B) {
	s := newStream(&repeatingReader{line: encodeSteps(b, testSteps[1:2])})
	defer s.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Next(); err != nil {
			b.Fatal(err)
		}
	}
}
