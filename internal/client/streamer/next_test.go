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

// steps are the kinds of lines that engines stream.
var steps = []Step{
	{Kind: KindPing, Request: "r-1", Attempt: 1},
	{Kind: KindToken, Request: "r-1", Attempt: 1, Position: 0, Token: 41, Text: "spring", Ran: ran},
	{Kind: KindToken, Request: "r-1", Attempt: 1, Position: 1, Token: -2, Text: " \"latch\" \u2028é\n", Ran: ran},
	{Kind: KindToken, Request: "r-1", Attempt: 1, Position: 2, Token: 3, Text: " bolt", Ran: ran[:2]},
	{Kind: KindToken, Request: "r-1", Attempt: 1, Position: 3, Token: 4, Text: " hinge", Ran: ran},
	{Kind: KindToken, Request: "r-1", Attempt: 1, Position: 4, Token: 5, Text: `,"ran":[{"endpoint":"large-0-1"}]`, Ran: ran[:1]},
	{Kind: KindToken, Request: "r-1", Attempt: 1, Position: 5, Token: 6, Text: `,"ran":null`},
	{Kind: KindToken, Request: "r-1", Attempt: 1, Position: 6, Token: 7, Text: "", Ran: ran[:1]},
	{Kind: KindFault, Request: "r-1", Attempt: 1, Position: 2, Reason: FaultCrashed, Endpoint: "e2"},
	{Kind: KindEnd, Request: "r-1", Attempt: 2, Position: 3, Reason: ReasonStop, Prompt: 7},
}

// ran is what was run for a token.
var ran = []Stage{
	{Endpoint: "large-0-1", Address: "127.0.0.1:40001", From: 0, To: 12},
	{Endpoint: "medium-1-1", Address: "127.0.0.1:40002", From: 12, To: 18},
	{Endpoint: "small-3-1", Address: "127.0.0.1:40003", From: 18, To: 24},
}

// encode returns steps as an engine streams them.
func encode(t testing.TB, steps []Step) []byte {
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

// newStream returns a stream of lines.
func newStream(r io.Reader) *Stream {
	_, cancel := context.WithCancel(context.Background())
	return &Stream{body: io.NopCloser(r), scanner: bufio.NewScanner(r), cancel: cancel}
}

func TestNext(t *testing.T) {
	s := newStream(bytes.NewReader(encode(t, steps)))
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
	if diff := cmp.Diff(steps, got); diff != "" {
		t.Errorf("steps mismatch (-want +got):\n%s", diff)
	}
}

// endless repeats a line.
type endless struct {
	line []byte
	at   int
}

func (e *endless) Read(p []byte) (int, error) {
	n := copy(p, e.line[e.at:])
	e.at = (e.at + n) % len(e.line)
	return n, nil
}

func BenchmarkNext(b *testing.B) {
	s := newStream(&endless{line: encode(b, steps[1:2])})
	defer s.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Next(); err != nil {
			b.Fatal(err)
		}
	}
}
