package relay

import (
	"bufio"
	"bytes"
	"io"

	"github.com/ansel1/merry/v2"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

// eventBufferBytes is larger than a typical event.
const eventBufferBytes = 2 << 10

var (
	errEventTooLong = merry.Sentinel("an event of the stream is too long")
	errEventCut     = merry.Sentinel("the stream ends inside an event")
)

// event is one event of a text/event-stream.
type event struct {
	id  string // empty if it has none
	raw []byte // including the blank line at its end; valid until the next call of next
}

// eventReader splits a stream into events. It returns only complete events, so that a stream
// that stops inside one can be continued by another upstream.
type eventReader struct {
	br  *bufio.Reader
	buf bytes.Buffer
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{br: bufio.NewReaderSize(r, eventBufferBytes)}
}

var idField = []byte("id:")

// next returns the next event. The error is io.EOF after the last event, if that is
// complete.
func (r *eventReader) next() (event, error) {
	r.buf.Reset()
	var ev event
	for {
		line, err := r.br.ReadSlice('\n')
		r.buf.Write(line)
		if r.buf.Len() > maxEventBytes {
			return event{}, errEventTooLong
		}
		if err == bufio.ErrBufferFull {
			continue
		}
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
			ev.id = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
}
