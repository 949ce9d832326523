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
