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
	id  string // empty if it has none
	raw []byte // including the blank line at its end; valid until the next call of next
}

// eventReader splits a stream into events. It returns only complete events, so that a stream
// that stops inside one can be continued by another upstream.
type eventReader struct {
	br  *bufio.Reader
	buf *inbound.Buffer
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

var idField = []byte("id:")

// next returns the next event. The error is io.EOF after the last event, if that is
// complete.
func (r *eventReader) next() (event, error) {
	r.buf.Reset()
	var ev event
	for {
		line, err := r.readLine()
		if err == io.EOF && r.buf.Len() > 0 {
			return event{}, errEventCut
		}
		if err != nil {
			return event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			ev.raw = r.buf.Bytes()
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(text, idField); ok {
			if len(id) > maxEventIDBytes {
				return event{}, merry.Prepend(inbound.ErrTooLong, "the ID of an event of the stream")
			}
			ev.id = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
}

// readLine adds a line to the event and returns it. It is valid until the next call.
func (r *eventReader) readLine() ([]byte, error) {
	start := r.buf.Len()
	for {
		part, err := r.br.ReadSlice('\n')
		if bufErr := r.buf.Append(part); bufErr != nil {
			return nil, merry.Prepend(bufErr, "an event of the stream")
		}
		if err == nil {
			return r.buf.Bytes()[start:], nil
		}
		if err != bufio.ErrBufferFull {
			return nil, err
		}
	}
}
