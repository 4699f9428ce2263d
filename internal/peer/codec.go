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

// keptBuffer is the largest write buffer in bytes that a connection keeps between
// messages.
const keptBuffer = 64 << 10

// budgetReader returns errTooLarge when one part of a message is longer than allowed.
type budgetReader struct {
	r    *bufio.Reader
	left int64 // bytes that the part may still have
}

// Read implements io.Reader within the budget.
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

// ReadByte implements io.ByteReader. Without it gob would wrap the reader in a buffer
// of its own, which would read past the budget.
func (b *budgetReader) ReadByte() (byte, error) {
	if b.left <= 0 {
		return 0, errTooLarge
	}
	b.left--
	return b.r.ReadByte()
}

// stream encodes and decodes the gob messages of one connection, bounds their size
// and counts their bytes. One goroutine does all reads, and net/rpc serialises
// writes.
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

// read decodes one part of a message, of at most maxBytes.
func (s *stream) read(v any) error {
	s.in.left = s.maxBytes
	return s.dec.Decode(v)
}

// write sends a header and a body in one write. After an error it closes the
// connection: the encoder may have written type definitions that were never sent.
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

// States of a callBody.
const (
	bodyWaiting   int32 = iota
	bodyStarted         // some of its bytes may have been sent
	bodyAbandoned       // the caller gave up before any were sent
)

// callBody passes a call's arguments to the codec and records whether they may have
// been sent.
type callBody struct {
	args  any
	state atomic.Int32
}

// abandon prevents the body from being sent. It returns false when some of it may
// have been sent already.
func (b *callBody) abandon() bool {
	return b.state.CompareAndSwap(bodyWaiting, bodyAbandoned) || b.state.Load() == bodyAbandoned
}

// clientCodec is the rpc.ClientCodec of an outgoing connection.
type clientCodec struct {
	*stream
	method string // of the response being read
}

// WriteRequest sends a call. It returns errCallAbandoned when the caller has given up.
func (c *clientCodec) WriteRequest(r *rpc.Request, v any) error {
	b := v.(*callBody)
	if !b.state.CompareAndSwap(bodyWaiting, bodyStarted) {
		return errCallAbandoned
	}
	return c.write(r, b.args, purposeOf(r.ServiceMethod))
}

// ReadResponseHeader reads the header of the next response.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	if err := c.read(r); err != nil {
		return err
	}
	c.method = r.ServiceMethod
	return nil
}

// ReadResponseBody reads the body that follows a response header.
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

// serverCodec is the rpc.ServerCodec of an incoming connection.
type serverCodec struct {
	*stream
	idleTimeout time.Duration // longest wait for the next call
	bodyTimeout time.Duration // longest wait for the rest of a call
	method      string        // of the request being read
	inFlight    chan struct{} // one element per call being served
}

// ReadRequestHeader waits until fewer than Options.MaxInFlight calls are being
// served, then for the header of the next call.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.inFlight <- struct{}{}
	if err := c.readHeader(r); err != nil {
		<-c.inFlight
		return err
	}
	c.method = r.ServiceMethod
	return nil
}

// readHeader reads a header within the idle timeout and starts the timeout of its
// body.
func (c *serverCodec) readHeader(r *rpc.Request) error {
	if err := c.link.tls.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return err
	}
	if err := c.read(r); err != nil {
		return err
	}
	return c.link.tls.SetReadDeadline(time.Now().Add(c.bodyTimeout))
}

// ReadRequestBody reads the body that follows a request header.
func (c *serverCodec) ReadRequestBody(v any) error {
	err := c.read(v)
	c.link.countReceived(purposeOf(c.method))
	if err != nil {
		// The start of the next message cannot be found.
		c.link.close()
	}
	return err
}

// WriteResponse sends a response.
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
