package tunnel_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// longUpload is longer than the kernel's buffers on the way.
var longUpload = strings.Repeat("upload--", 3<<20)

// uploadEnds are the ends of an upstream that has begun an answer without a length while a long request is still
// being written.
var uploadEnds = map[string]func(c *net.TCPConn, stop <-chan struct{}){
	"reset": func(c *net.TCPConn, _ <-chan struct{}) { _ = c.SetLinger(0) },
	"close": func(*net.TCPConn, <-chan struct{}) {},
	"half": func(c *net.TCPConn, stop <-chan struct{}) { // and it reads no more
		_ = c.CloseWrite()
		<-stop
	},
	"half, some read": func(c *net.TCPConn, stop <-chan struct{}) {
		_ = c.CloseWrite()
		_, _ = io.CopyN(io.Discard, c, 1<<20)
		<-stop
	},
}

// TestEndBesideAnUploadDoesNotLookWhole guards against an answer without a length that looks whole though its upstream
// has ended it before it has taken the request, and against one that is whole and looks broken.
func TestEndBesideAnUploadDoesNotLookWhole(t *testing.T) {
	const part = "part"
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	ends := map[string]func(*net.TCPConn, <-chan struct{}){
		"half, then all is read": func(c *net.TCPConn, _ <-chan struct{}) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		},
	}
	for name, end := range uploadEnds {
		ends[name] = end
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, func(c *net.TCPConn) {
				defer c.Close()
				readRequest(c)
				_, _ = io.WriteString(c, part)
				time.Sleep(time.Millisecond) // a reset could overtake the bytes
				end(c, stop)
			})
			c := s.open()
			_, writeErr := io.WriteString(c, longUpload)
			got, err := io.ReadAll(c)
			_, broken := uploadEnds[name]
			if looksWhole := writeErr == nil && err == nil && string(got) == part; looksWhole == broken {
				t.Errorf("%q, written: %v, read: %v", got, writeErr, err)
			}
		})
	}
}
