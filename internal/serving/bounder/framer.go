package bounder

import (
	"bytes"
	"math"
	"strconv"
)

// event is what a framer has found at the end of the bytes that it consumed.
type event int

// The events of a framer.
const (
	// eventNone means that all bytes were consumed.
	eventNone event = iota
	// eventHead means that the blank line after a head was consumed, and eventEnd that a message with a body ends.
	eventHead
	eventEnd
	// eventTooLong and eventTooManyLines mean that the limits on a head or on the trailers are exceeded.
	eventTooLong
	eventTooManyLines
)

// part is the part of a message that a framer expects next.
type part int

// The parts of a message.
const (
	partHead part = iota
	partBody
	partChunkSize
	partChunk
	partChunkEnd
	partTrailers
	// partUnknown follows a head or chunk that net/http refuses: where the message ends is not known.
	partUnknown
)

// The sizes of a framer in bytes.
const (
	// prefixBytes is how much is kept of a line: what a line that states a length needs.
	prefixBytes = 64
	// versionBytes is the length of the version at the end of a request line.
	versionBytes = len("HTTP/1.0")
	// maxChunkLineBytes is the length beyond which net/http refuses a line with the size of a chunk.
	maxChunkLineBytes = 4096
)

// framer finds where the heads and bodies of a connection's requests begin and end, by the rules of net/http's server. It keeps no
// more than a part of the present line.
type framer struct {
	part part
	// bytes and lines are the size of the head and the trailers so far. The blank line after them and empty lines before a request do
	// not count; leading is the number of bytes of the latter.
	bytes, lines, leading int
	// headBytes and headLines are the size of the last complete head.
	headBytes, headLines int
	// remaining is the number of bytes left of a body or chunk.
	remaining int64

	// lineBytes is the length of the present line so far, and prefix holds its first bytes and tail its last.
	lineBytes int
	prefix    [prefixBytes]byte
	tail      []byte

	length                            int64
	hasLength, isChunked, isMalformed bool
	ignoresCoding                     bool
	// statesLength is true if the last line states a length or an encoding: such a line may not be continued.
	statesLength bool
}

// atHead reports whether the next byte belongs to a head.
func (f *framer) atHead() bool { return f.part == partHead }

// hasBegun reports whether a part of a head was consumed.
func (f *framer) hasBegun() bool { return f.bytes+f.leading > 0 }

// size returns the size of the head in progress, with the present line, or of the one whose end was the event e.
func (f *framer) size(e event) (bytes, lines int) {
	if e == eventHead {
		return f.headBytes, f.headLines
	}
	return f.bytes + f.lineBytes, f.lines
}

// feed consumes bytes up to the next event and returns how many.
func (f *framer) feed(b []byte, l Limits) (int, event) {
	used := 0
	for used < len(b) {
		var n int
		e := eventNone
		switch f.part {
		case partBody:
			if n = f.skip(b[used:]); f.remaining == 0 {
				e = f.endMessage()
			}
		case partChunk:
			if n = f.skip(b[used:]); f.remaining == 0 {
				f.part, f.remaining = partChunkEnd, 2
			}
		case partChunkEnd:
			if n = f.skip(b[used:]); f.remaining == 0 {
				f.part = partChunkSize
			}
		case partUnknown:
			n = len(b) - used
		default:
			n, e = f.feedLine(b[used:], l)
		}
		used += n
		if e != eventNone {
			return used, e
		}
	}
	return used, eventNone
}

// skip consumes bytes of a body or chunk and returns how many.
func (f *framer) skip(b []byte) int {
	n := int(min(int64(len(b)), f.remaining))
	f.remaining -= int64(n)
	return n
}

// feedLine consumes bytes up to the end of the present line.
func (f *framer) feedLine(b []byte, l Limits) (int, event) {
	n, ends := bytes.IndexByte(b, '\n'), true
	if n < 0 {
		n, ends = len(b), false
	}
	f.keep(b[:n])
	f.lineBytes += n
	if !ends {
		return n, f.checkSize(f.lineBytes, 0, l)
	}
	length := f.lineBytes
	if length > 0 && len(f.tail) > 0 && f.tail[len(f.tail)-1] == '\r' {
		length--
	}
	e := f.endLine(length, l)
	f.lineBytes, f.tail = 0, f.tail[:0]
	return n + 1, e
}

// keep keeps the first and the last bytes of a line.
func (f *framer) keep(b []byte) {
	if f.lineBytes < prefixBytes {
		copy(f.prefix[f.lineBytes:], b)
	}
	const kept = versionBytes + 1 // With the CR that may follow.
	if len(b) >= kept {
		f.tail = append(f.tail[:0], b[len(b)-kept:]...)
		return
	}
	if extra := len(f.tail) + len(b) - kept; extra > 0 {
		f.tail = append(f.tail[:0], f.tail[extra:]...)
	}
	f.tail = append(f.tail, b...)
}

// checkSize returns the limit that a head or trailers exceed with some more bytes and lines.
func (f *framer) checkSize(bytes, lines int, l Limits) event {
	switch {
	case f.part == partChunkSize:
		if bytes > maxChunkLineBytes {
			f.part = partUnknown
		}
	case f.bytes+bytes > l.HeadBytes:
		return eventTooLong
	case f.lines+lines > l.HeadLines:
		return eventTooManyLines
	}
	return eventNone
}

// endLine handles the end of a line of some length without its line end.
func (f *framer) endLine(length int, l Limits) event {
	if f.part == partChunkSize {
		f.endChunkSize(length)
		return eventNone
	}
	if length > 0 {
		if e := f.checkSize(f.lineBytes+1, 1, l); e != eventNone {
			return e
		}
		if f.part == partHead {
			f.readLine(length)
		}
		f.bytes += f.lineBytes + 1
		f.lines++
		return eventNone
	}
	if f.part == partTrailers {
		return f.endMessage()
	}
	if f.lines == 0 {
		if f.leading += f.lineBytes + 1; f.leading > maxLeadingBytes {
			return eventTooLong
		}
		return eventNone
	}
	f.endHead()
	return eventHead
}

// maxLeadingBytes is the length of empty lines before a request that net/http tolerates.
const maxLeadingBytes = 4

// readLine reads the version in a request line, and the length or encoding in a header line.
func (f *framer) readLine(length int) {
	if f.lines == 0 {
		version := bytes.TrimSuffix(f.tail, []byte("\r"))
		f.ignoresCoding = bytes.HasSuffix(version, []byte("HTTP/1.0"))
		return
	}
	line := f.prefix[:min(length, prefixBytes)]
	if line[0] == ' ' || line[0] == '\t' {
		f.isMalformed = f.isMalformed || f.statesLength
		return
	}
	f.statesLength = false
	if c := line[0] | 0x20; c != 'c' && c != 't' {
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	isLength := bytes.EqualFold(name, []byte("Content-Length"))
	if !isLength && !bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return
	}
	f.statesLength = true
	value = bytes.Trim(value, " \t")
	if isLength {
		n, err := strconv.ParseUint(string(value), 10, 63)
		f.isMalformed = f.isMalformed || err != nil || length > prefixBytes || f.hasLength && int64(n) != f.length
		f.length, f.hasLength = int64(n), true
		return
	}
	f.isMalformed = f.isMalformed || f.isChunked || !bytes.EqualFold(value, []byte("chunked")) || length > prefixBytes
	f.isChunked = true
}

// endHead sets what follows a head.
func (f *framer) endHead() {
	f.headBytes, f.headLines = f.bytes, f.lines
	switch {
	case f.isMalformed:
		f.part = partUnknown
	case f.isChunked && !f.ignoresCoding:
		f.part = partChunkSize
	case f.length > 0:
		f.part, f.remaining = partBody, f.length
	default:
		f.begin()
	}
}

// endChunkSize sets what follows a line with the size of a chunk.
func (f *framer) endChunkSize(length int) {
	line := f.prefix[:min(length, prefixBytes)]
	if end := bytes.IndexAny(line, "; \t"); end >= 0 {
		line = line[:end]
	}
	size, err := strconv.ParseUint(string(line), 16, 64)
	switch {
	case err != nil || size > math.MaxInt64:
		f.part = partUnknown
	case size == 0:
		f.part = partTrailers
	default:
		f.part, f.remaining = partChunk, int64(size)
	}
}

// endMessage begins the next message.
func (f *framer) endMessage() event {
	f.begin()
	return eventEnd
}

// begin begins a message.
func (f *framer) begin() {
	*f = framer{tail: f.tail[:0], headBytes: f.headBytes, headLines: f.headLines}
}
