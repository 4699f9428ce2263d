package standin

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// endlessBlockBytes is the size of one write of an endless answer; endlessPause is between two.
const (
	endlessBlockBytes = 64 << 10
	endlessPause      = time.Millisecond
)

// answerEndlessly answers the call with bytes without end, after a sound head or in place of one, if a
// fault for that is on. It reports whether it did.
func (b *base) answerEndlessly(w http.ResponseWriter, r *http.Request) bool {
	if _, hit := b.faults.trigger(FaultEndlessHead, r.URL.Path); hit {
		b.writeEndlessly(w, "HTTP/1.1 200 ")
		return true
	}
	if _, hit := b.faults.trigger(FaultEndlessBody, r.URL.Path); hit {
		mediaType := "application/json"
		if r.URL.Path == generatePath {
			mediaType = "application/x-ndjson"
		}
		b.writeEndlessly(w, "HTTP/1.1 200 OK\r\nContent-Type: "+mediaType+"\r\n\r\n")
		return true
	}
	return false
}

// writeEndlessly writes a beginning, and zeros until the caller closes the connection.
func (b *base) writeEndlessly(w http.ResponseWriter, begin string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, err = io.WriteString(conn, begin)
	for block := strings.Repeat("0", endlessBlockBytes); err == nil; {
		_, err = io.WriteString(conn, block)
		time.Sleep(endlessPause)
	}
}
