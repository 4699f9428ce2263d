package relay

import (
	"io"
	"strings"
	"testing"
)

// TestLongLinesAreOneLine guards against events that are taken for complete, or get another ID, where a
// line is longer than the reader's buffer: its last part is not a line.
func TestLongLinesAreOneLine(t *testing.T) {
	for name, line := range map[string]string{
		"a part is empty":         "data: " + strings.Repeat("x", eventBufferBytes-len("data: ")),
		"a part looks like an ID": "data: " + strings.Repeat("x", eventBufferBytes-len("data: ")) + "id: 9",
		"twice the buffer":        "data: " + strings.Repeat("x", 2*eventBufferBytes-len("data: ")),
	} {
		text := "id: 1\n" + line + "\ndata: y\n\n"
		events := newEventReader(strings.NewReader(text+text), nil)
		for range 2 {
			// The reader's buffer holds the whole line only if it begins there.
			ev, err := events.next()
			if err != nil || string(ev.raw) != text || ev.id != "1" {
				t.Errorf("%s: got ID %q and %d of %d bytes, %v", name, ev.id, len(ev.raw), len(text), err)
			}
		}
		if _, err := events.next(); err != io.EOF {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// TestLongIDIsRead covers an ID that is longer than the reader's buffer.
func TestLongIDIsRead(t *testing.T) {
	id := strings.Repeat("7", eventBufferBytes+1)
	if ev, err := newEventReader(strings.NewReader("id: "+id+"\n\n"), nil).next(); err != nil || ev.id != id {
		t.Errorf("got an ID of %d bytes, %v", len(ev.id), err)
	}
}
