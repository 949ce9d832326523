package forwarder

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
)

func TestReader(t *testing.T) {
	long := "id: 3\ndata: " + strings.Repeat("x", 9000) + "\n\n"
	for name, c := range map[string]struct {
		text string
		want []string
		ids  []string
		err  error
	}{
		"whole":                  {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, []string{"1", "2"}, io.EOF},
		"empty":                  {"", nil, nil, io.EOF},
		"two lines":              {"id:7\ndata: a\ndata: b\n\n", []string{"id:7\ndata: a\ndata: b\n\n"}, []string{"7"}, io.EOF},
		"carriage return":        {"id: 1\r\ndata: a\r\n\r\n", []string{"id: 1\r\ndata: a\r\n\r\n"}, []string{"1"}, io.EOF},
		"no id":                  {"data: a\n\n", []string{"data: a\n\n"}, []string{""}, io.EOF},
		"longer than the buffer": {long, []string{long}, []string{"3"}, io.EOF},
		"truncated in a line":    {"id: 1\ndata: a\n\nid: 2\nda", []string{"id: 1\ndata: a\n\n"}, []string{"1"}, errTruncated},
		"control byte in an id":  {"id: 1\ndata: a\n\nid: 2\rX-Odd: 1\ndata: b\n\n", []string{"id: 1\ndata: a\n\n"}, []string{"1"}, errInvalidID},
		"truncated after a line": {"id: 2\ndata: b\n", nil, nil, errTruncated},
	} {
		for mode, wrapReader := range map[string]func(io.Reader) io.Reader{
			"at once": func(r io.Reader) io.Reader { return r }, "by byte": iotest.OneByteReader,
		} {
			r := newEventReader(wrapReader(strings.NewReader(c.text)))
			var got, ids []string
			var err error
			for {
				var e event
				if e, err = r.next(); err != nil {
					break
				}
				got, ids = append(got, string(e.bytes)), append(ids, e.id)
			}
			if diff := cmp.Diff(c.want, got); diff != "" || !errors.Is(err, c.err) {
				t.Errorf("%s, %s: error %v (-want +got):\n%s", name, mode, err, diff)
			}
			if diff := cmp.Diff(c.ids, ids); diff != "" {
				t.Errorf("%s, %s: ids (-want +got):\n%s", name, mode, diff)
			}
		}
	}
}

// repeatingReader returns a text again and again.
type repeatingReader struct {
	text string
	read int
}

// Read returns as much of the text as fits.
func (r *repeatingReader) Read(b []byte) (int, error) {
	n := copy(b, r.text[r.read%len(r.text):])
	r.read += n
	return n, nil
}

// TestEndlessEvents reads events that never end, in one line and in many.
func TestEndlessEvents(t *testing.T) {
	for _, text := range []string{"x", "data: x\n", "\r", ": comment\n"} {
		source := &repeatingReader{text: text}
		if _, err := newEventReader(source).next(); !errors.Is(err, errEventTooLong) {
			t.Errorf("%q: error %v, want %v", text, err, errEventTooLong)
		}
		if source.read > 2*maxEventBytes {
			t.Errorf("%q: %d bytes were read, want about %d", text, source.read, maxEventBytes)
		}
	}
}

// TestProgress checks which events continue a stream.
func TestProgress(t *testing.T) {
	for _, c := range []struct {
		text, last string
		want       bool
	}{
		{"id: 1\ndata: a\n\n", "", true}, {"id: 2\ndata: a\n\n", "1", true}, {"id: 2\ndata: a\n\n", "2", false},
		{"id: 1\ndata: a\n\n", "2", false}, {"id: x\ndata: a\n\n", "x", false}, {": comment\n\n", "", false},
		{": comment\n\n", "1", false}, {"data: a\n\n", "", true}, {"data: a\n\n", "1", false}, {"\n", "", false},
	} {
		e, err := newEventReader(strings.NewReader(c.text)).next()
		if err != nil || e.isProgress(c.last) != c.want {
			t.Errorf("%q after %q: %v, %v, want %v", c.text, c.last, e.isProgress(c.last), err, c.want)
		}
	}
}

func TestIsAfter(t *testing.T) {
	for _, c := range []struct {
		id, last string
		want     bool
	}{{"2", "1", true}, {"10", "9", true}, {"1", "1", false}, {"1", "2", false}, {"a", "b", true}} {
		if isAfter(c.id, c.last) != c.want {
			t.Errorf("%s after %s: %v", c.id, c.last, !c.want)
		}
	}
}

func BenchmarkEvents(b *testing.B) {
	text := strings.Repeat("id: 12\ndata: "+strings.Repeat("x", 60)+"\n\n", 100)
	for b.Loop() {
		r := newEventReader(strings.NewReader(text))
		for {
			if _, err := r.next(); err != nil {
				break
			}
		}
	}
}
