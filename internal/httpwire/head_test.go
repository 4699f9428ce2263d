package httpwire

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/buckthorndock/buckthorndock/internal/core/answerhead"
	"github.com/buckthorndock/buckthorndock/internal/inbound"
	"github.com/buckthorndock/buckthorndock/internal/inbound/inboundtest"
)

// endlessHeads are beginnings of answers that a faulty upstream repeats without end.
var endlessHeads = map[string]inboundtest.Answer{
	"no first line":     {Piece: "0"},
	"a long reason":     {Begin: "HTTP/1.1 200 ", Piece: "0"},
	"a long field":      {Begin: "HTTP/1.1 200 OK\r\nA: ", Piece: "0"},
	"many fields":       {Begin: "HTTP/1.1 200 OK\r\n", Piece: "a:\r\n"},
	"folded lines":      {Begin: "HTTP/1.1 200 OK\r\nA: b\r\n", Piece: " c\r\n"},
	"interim responses": {Piece: "HTTP/1.1 100 Continue\r\n\r\n"},
	"empty lines":       {Piece: "\r\n"},
}

// TestEndlessHeadEndsTheExchange guards against daemons that exceed their memory, and lose the requests
// of other callers, because one upstream sends bytes without end where the head of an answer is due.
func TestEndlessHeadEndsTheExchange(t *testing.T) {
	for name, h := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			address := inboundtest.Serve(t, h)
			memory := inbound.NewMemory("test", 1<<20)
			p := newTestPoolWith(memory)
			_, err := p.Do(t.Context(), address, get(), false)
			if !errors.Is(err, ErrBroken) {
				t.Errorf("got %v", err)
			}
			notHTTP := name == "no first line" || name == "empty lines" // rejected before they are long
			if notHTTP != answerhead.IsError(err) || notHTTP == errors.Is(err, inbound.ErrTooLong) {
				t.Errorf("the error does not tell the cause: %v", err)
			}
			if n := memory.Held(); n != 0 {
				t.Errorf("%d bytes are left", n)
			}
		})
	}
}

func newTestPoolWith(m *inbound.Memory) *Pool {
	p := newTestPool()
	p.opts.Memory = m
	return p
}

// TestHeadsInProgressShareTheirMemory guards against many unfinished heads that are bounded each and
// not in all.
func TestHeadsInProgressShareTheirMemory(t *testing.T) {
	const capacity, exchanges, unfinished = 256 << 10, 40, 32 << 10
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nA: "+strings.Repeat("0", unfinished)) // and no more
		}
	}()
	memory := inbound.NewMemory("test", capacity)
	p := newTestPoolWith(memory)
	ended := make(chan error, exchanges)
	for range exchanges {
		go func() {
			_, err := p.Do(t.Context(), l.Addr().String(), get(), true)
			ended <- err
		}()
	}
	for range exchanges - capacity/unfinished {
		if err := <-ended; !errors.Is(err, inbound.ErrNoMemory) {
			t.Errorf("got %v", err)
		}
		if n := memory.Held(); n > capacity {
			t.Errorf("%d bytes are held", n)
		}
	}
}

// TestLongSoundHeadsAndBodiesArrive guards against a bound on heads that rejects sound answers: long
// heads, and bodies of many short lines that arrive with the head.
func TestLongSoundHeadsAndBodiesArrive(t *testing.T) {
	var fields strings.Builder
	for i := range 100 {
		fmt.Fprintf(&fields, "X-Field-%d: %s\r\n", i, strings.Repeat("v", 100))
	}
	lines := strings.Repeat("\n", 1<<20)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(lines))
	for name, text := range map[string]string{
		"long head":      head + fields.String() + "\r\n" + lines,
		"short head":     head + "\r\n" + lines,
		"after interims": strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20) + head + "\r\n" + lines,
	} {
		srv := newScriptedServer(t, func(int, int) (string, bool) { return text, true })
		memory := inbound.NewMemory("test", 1<<20)
		p := newTestPoolWith(memory)
		for range 2 {
			body, err := exchange(t, p, srv.listener.Addr().String(), false)
			if err != nil || body != lines {
				t.Errorf("%s: %d bytes, %v", name, len(body), err)
			}
		}
		if n := memory.Held(); n != 0 || srv.conns.Load() != 1 {
			t.Errorf("%s: %d bytes are left, %d connections", name, n, srv.conns.Load())
		}
	}
}
