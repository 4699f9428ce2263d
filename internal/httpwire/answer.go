package httpwire

import (
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/answerhead"
)

// Answer is the answer of an upstream. It is used by one goroutine.
type Answer struct {
	*http.Response

	pool           *Pool
	conn           *conn
	newConnection  bool
	stopWatch      func() bool // cancels the close of conn at the context's end
	requestWritten bool        // whole, without an error
	bodyEnded      bool        // the body was read to its end
	rejected       bool        // the body is broken
}

// exchange writes the request and reads the head of the answer. It reads also after a
// failed write, since an upstream may answer before it has read a long body.
func (a *Answer) exchange(req *http.Request) error {
	c := a.conn
	writeErr := writeRequest(c.bw, req)
	if writeErr == nil {
		writeErr = c.bw.Flush()
	}
	a.requestWritten = writeErr == nil
	res, err := c.reader.ReadHead(req)
	switch {
	case err == nil:
		a.Response = res
		return nil
	case writeErr != nil && !IsRejected(err):
		return writeErr
	}
	return err
}

// errMaybeReset replaces io.EOF where the end of the connection would be that of the body: the failed
// write of the request has taken the error of a reset, after which a read tells of an ordinary end.
var errMaybeReset = merry.Wrap(ErrBroken, merry.WithMessage("the connection ended in the middle of the request"))

// Read reads the body. It returns io.EOF only at the end that the framing defines:
// if the answer has a length, after that many bytes. The error of a broken body is an *answerhead.Error.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case err != io.EOF:
		return n, a.reject(a.conn.reader.faultOf(err, answerhead.FaultChunk))
	case !a.requestWritten && !a.SelfDelimited():
		return n, errMaybeReset
	}
	if err := answerhead.CheckTrailer(a.Trailer); err != nil {
		return n, a.reject(err)
	}
	a.bodyEnded = true
	return n, err
}

// reject counts and logs a broken body. It returns err.
func (a *Answer) reject(err error) error {
	if !a.rejected {
		a.rejected = IsRejected(err)
		countRejected(err)
		a.pool.rejected.add(a.conn.address, err)
	}
	return err
}

// NewConnection reports whether the connection was opened for this exchange.
func (a *Answer) NewConnection() bool { return a.newConnection }

// SelfDelimited reports whether the answer's head or encoding says where the body
// ends, or that there is none. Otherwise the body ends with the connection.
func (a *Answer) SelfDelimited() bool {
	return a.ContentLength >= 0 || len(a.TransferEncoding) > 0 || a.Response.Body == http.NoBody
}

// Close ends the exchange. The connection is kept if it is reusable, and closed
// otherwise.
func (a *Answer) Close() {
	stopped := a.stopWatch()
	a.conn.reader.in.release()
	if !stopped || !a.reusable() {
		a.conn.Close()
		return
	}
	if idle := a.pool.idleTime(a.Header); idle > 0 {
		a.pool.putIdle(a.conn, idle)
		return
	}
	a.conn.Close()
}

// reusable reports whether request and answer were transferred whole and the
// connection can carry another exchange.
func (a *Answer) reusable() bool {
	return a.Response != nil && a.requestWritten && a.bodyEnded && !a.Response.Close && a.SelfDelimited() &&
		len(a.conn.reader.Buffered()) == 0 && a.conn.canBeChecked()
}
