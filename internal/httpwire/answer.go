package httpwire

import (
	"io"
	"net/http"
)

// Answer is the answer of an upstream. One goroutine reads it.
type Answer struct {
	*http.Response

	pool  *Pool
	conn  *conn
	stop  func() bool // of the context's watch
	wrote bool        // the whole request
	ended bool        // the body was read to its end
}

// firstFinal is the lowest status that ends an exchange; those below precede it.
const firstFinal = 200

// exchange writes the request and reads the head. An upstream may answer before it
// has read a long body, so a failed write is no reason not to read.
func (a *Answer) exchange(req *http.Request) error {
	c := a.conn
	err := req.Write(c.bw)
	if err == nil {
		err = c.bw.Flush()
	}
	a.wrote = err == nil
	for {
		res, readErr := http.ReadResponse(c.br, req)
		if readErr != nil {
			if err != nil {
				return err
			}
			return readErr
		}
		if res.StatusCode < firstFinal && res.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		a.Response = res
		return nil
	}
}

// Read reads the body. io.EOF is returned only at its proper end: where the answer
// has a length, after as many bytes.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if err == io.EOF {
		a.ended = true
	}
	return n, err
}

// SelfDelimited reports whether the answer says where it ends. One that does not ends with
// its connection.
func (a *Answer) SelfDelimited() bool {
	return a.ContentLength >= 0 || len(a.TransferEncoding) > 0
}

// Close ends the exchange. The connection is kept if nothing odd happened on it.
func (a *Answer) Close() {
	stopped := a.stop()
	if !stopped || !a.reusable() {
		a.conn.Close()
		return
	}
	if idle := a.pool.idleTime(a.Header); idle > 0 {
		a.pool.keep(a.conn, idle)
		return
	}
	a.conn.Close()
}

func (a *Answer) reusable() bool {
	return a.Response != nil && a.wrote && a.ended && !a.Response.Close && a.SelfDelimited() && a.conn.br.Buffered() == 0
}
