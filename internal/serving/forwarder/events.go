package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/ansel1/merry/v2"
)

// maxEvent bounds an event, in bytes.
const maxEvent = 1 << 20

// errTorn is the error of a stream that ends in the middle of an event.
var errTorn = merry.New("stream ends in the middle of an event")

// event is one event of a stream, as its bytes, and its id.
type event struct {
	bytes []byte
	id    string
}

// reader reads whole events of a stream.
type reader struct {
	lines  *bufio.Reader
	buffer []byte
}

// newReader returns a reader of a body.
func newReader(body io.Reader) *reader {
	return &reader{lines: bufio.NewReaderSize(body, 4<<10)}
}

// next returns the next event; its bytes are valid until the next call. The error is io.EOF after the last whole event.
func (r *reader) next() (event, error) {
	r.buffer = r.buffer[:0]
	var e event
	start := 0
	for {
		line, err := r.lines.ReadSlice('\n')
		r.buffer = append(r.buffer, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(r.buffer) > maxEvent {
				return event{}, merry.Prepend(err, "event too large")
			}
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(r.buffer)) > 0 {
				return event{}, errTorn
			}
			return event{}, err
		}
		whole := bytes.TrimRight(r.buffer[start:], "\r\n")
		if len(whole) == 0 {
			e.bytes = r.buffer
			return e, nil
		}
		if value, ok := bytes.CutPrefix(whole, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(value))
		}
		start = len(r.buffer)
	}
}

// buffered reports whether more of the stream has come in already.
func (r *reader) buffered() bool { return r.lines.Buffered() > 0 }

// after reports whether an event's id follows another in the order of a stream. Ids that are no numbers follow.
func after(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA != nil || errB != nil || a > b
}
