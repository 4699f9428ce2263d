package httpwire

import (
	"bufio"
	"errors"
	"io"
	"net/http"

	"github.com/buckthorndock/buckthorndock/internal/core/answerhead"
	"github.com/buckthorndock/buckthorndock/internal/inbound"
)

// HeadReader reads the heads of the answers on a connection strictly; package answerhead tells what it refuses. All
// answers of others are read by one. It is used by one goroutine.
type HeadReader struct {
	in *source
	br *bufio.Reader
}

// NewHeadReader returns a reader of a connection. m bounds the memory of long heads, of all connections together; it
// may be nil.
func NewHeadReader(r io.Reader, m *inbound.Memory) *HeadReader {
	in := newSource(r, m)
	return &HeadReader{in: in, br: bufio.NewReaderSize(in, readBuffer)}
}

// ReadHead reads the head of the final answer to a request, after any interim ones. The body is read from the
// response. The error of a broken head is an *answerhead.Error, that of a long one wraps inbound.ErrTooLong or
// inbound.ErrNoMemory.
func (h *HeadReader) ReadHead(req *http.Request) (*http.Response, error) {
	res, err := h.readHead(req)
	countRejected(err)
	return res, err
}

func (h *HeadReader) readHead(req *http.Request) (*http.Response, error) {
	h.in.beginHead()
	defer h.in.endHead()
	for {
		res, err := http.ReadResponse(h.br, req)
		if err != nil {
			return nil, h.faultOf(err, answerhead.FaultOther)
		}
		if !h.in.head.IsInterim() {
			return res, nil
		}
		if err := h.in.nextHead(h.Buffered()); err != nil {
			return nil, err
		}
	}
}

// faultOf returns the error of a reader of net/http: that of the connection if it has one, else a fault of what
// has come.
func (h *HeadReader) faultOf(err error, f answerhead.Fault) error {
	switch {
	case h.in.err != nil && !errors.Is(h.in.err, io.EOF):
		return h.in.err
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return err
	}
	return &answerhead.Error{Fault: f, Detail: err.Error()}
}

// Buffered returns what has been received and not been read yet. It is valid until the next read.
func (h *HeadReader) Buffered() []byte {
	p, _ := h.br.Peek(h.br.Buffered()) // never fails: no more is asked for than there is
	return p
}
