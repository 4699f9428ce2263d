package peer

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync/atomic"
	"time"
)

// keptBuffer is the largest write buffer that a quiet connection keeps.
const keptBuffer = 64 << 10

// budgetReader fails when one part of a message is longer than allowed.
type budgetReader struct {
	r    *bufio.Reader
	left int64
}

// Read reads within the budget.
func (b *budgetReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLarge
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.r.Read(p)
	b.left -= int64(n)
	return n, err
}

// ReadByte keeps gob from wrapping the reader in a buffer of its own, which
// would read past the budget.
func (b *budgetReader) ReadByte() (byte, error) {
	if b.left <= 0 {
		return 0, errTooLarge
	}
	b.left--
	return b.r.ReadByte()
}

// stream is one end of a connection: gob both ways, bounded and counted. The
// reading half is used by one goroutine, and net/rpc serialises the writing one.
type stream struct {
	link     *link
	in       budgetReader
	dec      *gob.Decoder
	out      bytes.Buffer
	enc      *gob.Encoder
	maxBytes int64
}

func newStream(l *link, maxBytes int64) *stream {
	s := &stream{link: l, maxBytes: maxBytes}
	s.in.r = bufio.NewReader(l.tls)
	s.dec = gob.NewDecoder(&s.in)
	s.enc = gob.NewEncoder(&s.out)
	return s
}

func (s *stream) read(v any) error {
	s.in.left = s.maxBytes
	return s.dec.Decode(v)
}

// write sends a header and a body at once. After an error the encoder may have
// told its types only to the buffer, so the connection is of no use any more.
func (s *stream) write(header, body any, purpose string) error {
	s.out.Reset()
	err := s.enc.Encode(header)
	if err == nil {
		err = s.enc.Encode(body)
	}
	if err == nil && int64(s.out.Len()) > s.maxBytes {
		err = errTooLarge
	}
	if err == nil {
		_, err = s.link.tls.Write(s.out.Bytes())
		s.link.countSent(purpose)
	}
	if s.out.Cap() > keptBuffer {
		s.out = bytes.Buffer{}
	}
	if err != nil {
		s.link.close()
	}
	return err
}

// States of a call's body.
const (
	bodyWaiting int32 = iota
	bodyStarted       // bytes of it may have left
	bodyDropped       // the caller gave up before that
)

// body carries a call's arguments to the codec and tells whether they left.
type body struct {
	args  any
	state atomic.Int32
}

// drop gives up on a body and reports false when it may have left already.
func (b *body) drop() bool {
	return b.state.CompareAndSwap(bodyWaiting, bodyDropped) || b.state.Load() == bodyDropped
}

type clientCodec struct {
	*stream
	method string // of the response being read
}

// WriteRequest sends a call, unless its caller has given up.
func (c *clientCodec) WriteRequest(r *rpc.Request, v any) error {
	b := v.(*body)
	if !b.state.CompareAndSwap(bodyWaiting, bodyStarted) {
		return errDropped
	}
	return c.write(r, b.args, purposeOf(r.ServiceMethod))
}

// ReadResponseHeader reads the next header.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	if err := c.read(r); err != nil {
		return err
	}
	c.method = r.ServiceMethod
	return nil
}

// ReadResponseBody reads the body that follows a header.
func (c *clientCodec) ReadResponseBody(v any) error {
	err := c.read(v)
	c.link.countReceived(purposeOf(c.method))
	return err
}

// Close closes the connection.
func (c *clientCodec) Close() error {
	c.link.close()
	return nil
}

type serverCodec struct {
	*stream
	idle     time.Duration // longest silence between two calls
	body     time.Duration // longest wait for the rest of a call
	method   string        // of the request being read
	inFlight chan struct{}
}

// ReadRequestHeader waits for the next call, for a place among those in flight
// first.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.inFlight <- struct{}{}
	if err := c.readHeader(r); err != nil {
		<-c.inFlight
		return err
	}
	c.method = r.ServiceMethod
	return nil
}

func (c *serverCodec) readHeader(r *rpc.Request) error {
	if err := c.link.tls.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
		return err
	}
	if err := c.read(r); err != nil {
		return err
	}
	return c.link.tls.SetReadDeadline(time.Now().Add(c.body))
}

// ReadRequestBody reads the body that follows a header.
func (c *serverCodec) ReadRequestBody(v any) error {
	err := c.read(v)
	c.link.countReceived(purposeOf(c.method))
	if err != nil {
		// What follows cannot be told apart from the rest of this body.
		c.link.close()
	}
	return err
}

// WriteResponse sends an answer.
func (c *serverCodec) WriteResponse(r *rpc.Response, v any) error {
	defer func() { <-c.inFlight }()
	return c.write(r, v, purposeOf(r.ServiceMethod))
}

// Close closes the connection.
func (c *serverCodec) Close() error {
	c.link.close()
	return nil
}

var (
	_ rpc.ClientCodec = (*clientCodec)(nil)
	_ rpc.ServerCodec = (*serverCodec)(nil)
	_ io.ByteReader   = (*budgetReader)(nil)
)
