package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
	"unicode"

	"github.com/ansel1/merry/v2"
)

// maxEventBytes bounds one event. Each stream in progress may hold one.
const maxEventBytes = 256 << 10

// errEventTooLong means that an event is longer than maxEventBytes.
var errEventTooLong = merry.New("event longer than the limit")

// errTruncated means that a stream ends in the middle of an event.
var errTruncated = merry.New("stream ends in the middle of an event")

// errInvalidID means that an event's id has a control byte: it could not be sent in the header of a request that resumes the stream.
var errInvalidID = merry.New("control byte in the id of an event")

// event is one event of a stream: its bytes, and its id. HasData is false for an event of comments alone.
type event struct {
	bytes   []byte
	id      string
	hasData bool
}

// eventReader reads whole events of a stream.
type eventReader struct {
	lines  *bufio.Reader
	buffer []byte
}

// newEventReader returns a reader of the events of a response body.
func newEventReader(body io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(body, 4<<10)}
}

// next returns the next event; its bytes are valid until the next call. The error is io.EOF after the last whole event.
func (r *eventReader) next() (event, error) {
	r.buffer = r.buffer[:0]
	var e event
	start := 0
	for {
		line, err := r.lines.ReadSlice('\n')
		r.buffer = append(r.buffer, line...)
		if len(r.buffer) > maxEventBytes {
			return event{}, errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(r.buffer)) > 0 {
				return event{}, errTruncated
			}
			return event{}, err
		}
		content := bytes.TrimRight(r.buffer[start:], "\r\n")
		if len(content) == 0 {
			e.bytes = r.buffer
			return e, nil
		}
		if value, ok := bytes.CutPrefix(content, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(value))
			if strings.ContainsFunc(e.id, unicode.IsControl) {
				return event{}, errInvalidID
			}
		}
		e.hasData = e.hasData || bytes.HasPrefix(content, []byte("data"))
		start = len(r.buffer)
	}
}

// buffered reports whether more of the stream has been received already.
func (r *eventReader) buffered() bool { return r.lines.Buffered() > 0 }

// isProgress reports whether the event continues a stream whose last event had the id last: it has a later id or, in a
// stream without ids, data. An endpoint that sends comments or events again makes no progress.
func (e event) isProgress(last string) bool {
	if e.id == "" {
		return last == "" && e.hasData
	}
	return last == "" || isAfter(e.id, last)
}

// isAfter reports whether an event id is later than another in a stream. Ids that are not numbers count as later unless
// they are the same.
func isAfter(id, last string) bool {
	if id == last {
		return false
	}
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA != nil || errB != nil || a > b
}
