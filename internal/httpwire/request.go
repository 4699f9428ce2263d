package httpwire

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
)

// writeRequest writes a request. Its RequestURI, unless it is empty, is the target as it is sent, byte for
// byte: a url.URL writes some targets in another form.
func writeRequest(w *bufio.Writer, req *http.Request) error {
	if req.RequestURI == "" {
		return req.Write(w)
	}
	if _, err := fmt.Fprintf(w, "%s %s HTTP/1.1\r\n", req.Method, req.RequestURI); err != nil {
		return err
	}
	return req.Write(&afterFirstLine{Writer: w})
}

// afterFirstLine writes what follows the first line.
type afterFirstLine struct {
	*bufio.Writer
	begun bool // the first line has ended
}

// Write implements io.Writer.
func (w *afterFirstLine) Write(p []byte) (int, error) {
	if w.begun {
		return w.Writer.Write(p)
	}
	i := bytes.IndexByte(p, '\n')
	if i < 0 {
		return len(p), nil
	}
	w.begun = true
	n, err := w.Writer.Write(p[i+1:])
	return i + 1 + n, err
}

// WriteByte implements io.ByteWriter, which keeps net/http from buffering once more.
func (w *afterFirstLine) WriteByte(c byte) error {
	_, err := w.Write([]byte{c})
	return err
}

// WriteString implements io.StringWriter.
func (w *afterFirstLine) WriteString(s string) (int, error) { return w.Write([]byte(s)) }
