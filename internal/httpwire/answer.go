package httpwire

import (
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"
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
}

// firstFinalStatus is the lowest status of a final response; lower ones are interim.
const firstFinalStatus = 200

// exchange writes the request and reads the head of the answer. It reads also after a
// failed write, since an upstream may answer before it has read a long body.
func (a *Answer) exchange(req *http.Request) error {
	c := a.conn
	err := writeRequest(c.bw, req)
	if err == nil {
		err = c.bw.Flush()
	}
	a.requestWritten = err == nil
	c.in.beginHead()
	defer c.in.endHead()
	for {
		res, readErr := http.ReadResponse(c.br, req)
		if readErr != nil {
			if err != nil {
				return err
			}
			return readErr
		}
		if res.StatusCode < firstFinalStatus && res.StatusCode != http.StatusSwitchingProtocols {
			buffered, _ := c.br.Peek(c.br.Buffered()) // never fails: no more is asked for than there is
			if err := c.in.nextHead(buffered); err != nil {
				return err
			}
			continue
		}
		a.Response = res
		return nil
	}
}

// errMaybeReset replaces io.EOF where the end of the connection would be that of the body: the failed
// write of the request has taken the error of a reset, after which a read tells of an ordinary end.
var errMaybeReset = merry.Wrap(ErrBroken, merry.WithMessage("the connection ended in the middle of the request"))

// Read reads the body. It returns io.EOF only at the end that the framing defines:
// if the answer has a length, after that many bytes.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if err != io.EOF {
		return n, err
	}
	if !a.requestWritten && !a.SelfDelimited() {
		return n, errMaybeReset
	}
	a.bodyEnded = true
	return n, err
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
	a.conn.in.release()
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
		a.conn.br.Buffered() == 0 && a.conn.canBeChecked()
}
