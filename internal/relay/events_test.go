package relay

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
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

// TestAllLineEndsEndEvents guards against streams that are held back whole, or whose events have no ID,
// because their lines end with CR or begin with a byte order mark.
func TestAllLineEndsEndEvents(t *testing.T) {
	for name, end := range map[string]string{"LF": "\n", "CRLF": "\r\n", "CR": "\r"} {
		for start, mark := range map[string]string{"": "", "marked ": "\xef\xbb\xbf"} {
			text := mark + strings.ReplaceAll("id: 1|data: a||: comment||id:2|data: b|data||data||", "|", end)
			for pieces, r := range map[string]io.Reader{"whole": strings.NewReader(text), "bytes": iotest.OneByteReader(strings.NewReader(text))} {
				events := newEventReader(r, nil)
				var got, ids string
				for {
					ev, err := events.next()
					if err == io.EOF {
						break
					}
					if err != nil {
						t.Fatalf("%s%s, %s: %v", start, name, pieces, err)
					}
					got += string(ev.raw)
					if ev.isPiece {
						ids += "<" + ev.id + ">"
					}
				}
				if got != text || ids != "<1><2><>" {
					t.Errorf("%s%s, %s: got IDs %s and %q", start, name, pieces, ids, got)
				}
			}
		}
	}
}

// TestEventWithCRIsNotHeldBack guards against an event that is passed on only when the next one comes.
func TestEventWithCRIsNotHeldBack(t *testing.T) {
	r, w := io.Pipe()
	defer w.Close()
	go func() { _, _ = w.Write([]byte("id: 1\rdata: a\r\r")) }() // ends with the pipe
	if ev, err := newEventReader(r, nil).next(); err != nil || ev.id != "1" {
		t.Errorf("got ID %q, %v", ev.id, err)
	}
}

// TestStreamCutInsideALineEnd covers streams that end between CR and LF: those of a whole event are whole.
func TestStreamCutInsideALineEnd(t *testing.T) {
	for text, want := range map[string]error{"data: a\r\n\r": io.EOF, "data: a\r\n": errEventCut, "data: a\r": errEventCut} {
		events := newEventReader(strings.NewReader(text), nil)
		_, err := events.next()
		if err == nil {
			_, err = events.next()
		}
		if !errors.Is(err, want) {
			t.Errorf("%q: got %v, want %v", text, err, want)
		}
	}
}
