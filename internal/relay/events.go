package relay

import (
	"bufio"
	"bytes"
	"io"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/inbound"
)

// Sizes of the events of a stream, in bytes.
const (
	eventBufferBytes = 2 << 10 // more than a typical event
	freeEventBytes   = 8 << 10 // held for every stream; what is above is counted
	maxEventBytes    = 1 << 20
	maxEventIDBytes  = 4 << 10 // an ID is sent back in a header
)

var errEventCut = merry.Sentinel("the stream ends inside an event")

// event is one event of a text/event-stream.
type event struct {
	id      string // empty if it has none
	isPiece bool   // it is a part of the answer: a comment, or a name or pause between retries alone, is none
	raw     []byte // including the blank line at its end; valid until the next call of next
}

// eventReader splits a stream into events. It returns only complete events, so that a stream
// that stops inside one can be continued by another upstream. Lines end with LF, CRLF or CR.
type eventReader struct {
	br      *bufio.Reader
	buf     *inbound.Buffer
	begun   bool // the first line has been read
	afterCR bool // a line has ended with CR, and whether LF follows is not known yet
}

// newEventReader returns a reader of the events of r. close must be called after its last event.
func newEventReader(r io.Reader, m *inbound.Memory) *eventReader {
	return &eventReader{
		br:  bufio.NewReaderSize(r, eventBufferBytes),
		buf: inbound.NewBuffer(m, freeEventBytes, maxEventBytes),
	}
}

// close returns the memory of the last event.
func (r *eventReader) close() { r.buf.Reset() }

// Parts of a stream's lines.
var (
	lineEnds      = "\r\n"
	lineFeed      = []byte("\n")
	byteOrderMark = []byte("\xef\xbb\xbf")
)

// Names of fields of an event. That of a comment is empty.
const (
	commentField = ""
	idField      = "id"
	nameField    = "event"
	retryField   = "retry"
)

// next returns the next event. The error is io.EOF after the last event, if that is
// complete.
func (r *eventReader) next() (event, error) {
	r.buf.Reset()
	var ev event
	for {
		line, err := r.readLine()
		if err == io.EOF && bytes.Equal(r.buf.Bytes(), lineFeed) { // the last byte of the last event
			return event{raw: r.buf.Bytes()}, nil
		}
		if err == io.EOF && r.buf.Len() > 0 {
			return event{}, errEventCut
		}
		if err != nil {
			return event{}, err
		}
		if len(line) == 0 {
			ev.raw = r.buf.Bytes()
			return ev, nil
		}
		if err := ev.readField(line); err != nil {
			return event{}, err
		}
	}
}

// readField takes in a line of the event.
func (ev *event) readField(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case commentField, nameField, retryField:
		return nil
	case idField:
		if len(value) > maxEventIDBytes {
			return merry.Prepend(inbound.ErrTooLong, "the ID of an event of the stream")
		}
		if bytes.IndexByte(value, 0) >= 0 { // the format ignores such an ID
			return nil
		}
		ev.id = string(bytes.TrimPrefix(value, []byte(" ")))
	}
	ev.isPiece = true
	return nil
}

// readLine adds a line to the event and returns it without its end. It is valid until the next call.
func (r *eventReader) readLine() ([]byte, error) {
	if err := r.endCRLF(); err != nil {
		return nil, err
	}
	start := r.buf.Len()
	for {
		if _, err := r.br.Peek(1); err != nil {
			return nil, err
		}
		held, _ := r.br.Peek(r.br.Buffered()) // never fails: no more is asked for than there is
		i := bytes.IndexAny(held, lineEnds)
		part := held[:i+1]
		if i < 0 {
			part = held
		}
		if err := r.take(part); err != nil {
			return nil, err
		}
		if i >= 0 {
			return r.endLine(start, part[i])
		}
	}
}

// take moves bytes that were peeked at to the event.
func (r *eventReader) take(part []byte) error {
	if err := r.buf.Append(part); err != nil {
		return merry.Prepend(err, "an event of the stream")
	}
	_, err := r.br.Discard(len(part))
	return err
}

// endLine returns the line that began at start and has ended with a byte. An event is complete at its
// CR: that of the next event may be long in coming.
func (r *eventReader) endLine(start int, with byte) ([]byte, error) {
	end := r.buf.Len() - 1
	r.afterCR = with == '\r'
	if r.afterCR && r.br.Buffered() > 0 {
		if err := r.endCRLF(); err != nil {
			return nil, err
		}
	}
	line := r.buf.Bytes()[start:end]
	if !r.begun {
		line = bytes.TrimPrefix(line, byteOrderMark)
	}
	r.begun = true
	return line, nil
}

// endCRLF takes the LF of a CRLF.
func (r *eventReader) endCRLF() error {
	if !r.afterCR {
		return nil
	}
	next, err := r.br.Peek(1)
	if err != nil {
		return err
	}
	r.afterCR = false
	if next[0] != '\n' {
		return nil
	}
	return r.take(next)
}
