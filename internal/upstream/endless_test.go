package upstream

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/inbound"
)

// serveEndless sends a beginning, and then a piece again and again, to each client until it closes.
func serveEndless(t *testing.T, begin, piece string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = c.Read(make([]byte, 1<<10))
				_, _ = io.WriteString(c, begin)
				for block := strings.Repeat(piece, 4<<10/len(piece)); err == nil; {
					_, err = io.WriteString(c, block)
				}
			}()
		}
	}()
	return l.Addr().String()
}

const (
	jsonHead   = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	refusal    = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n\r\n"
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n\r\n"
)

// endlessAnswers are answers of a faulty upstream that do not end.
var endlessAnswers = map[string]struct{ begin, piece string }{
	"no line end":     {"", "0"},
	"many fields":     {"HTTP/1.1 200 OK\r\n", "a:\r\n"},
	"interim":         {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"body":            {jsonHead + `{"request_id":"r1","result":"`, "0"},
	"refusal":         {refusal + `{"message":"`, "0"},
	"line of stream":  {streamHead + `{"text":"`, "0"},
	"spaces in JSON":  {jsonHead, "\n"},
	"another's chunk": {streamHead, `{"request_id":"r2","attempt":1,"index":0,"text":"x"}` + "\n"},
}

// TestEndlessAnswersEndTheExchange guards against a daemon that exceeds its memory because an upstream
// sends bytes without end in answer to a call, a stream, a poll or a cancellation.
func TestEndlessAnswersEndTheExchange(t *testing.T) {
	const capacity = 1 << 20
	calls := map[string]func(ctx context.Context, c *Client, address string) error{
		"call": func(ctx context.Context, c *Client, address string) error {
			_, err := c.Call(ctx, address, "stock", "r1", 1, []byte(`{}`))
			return err
		},
		"stream": func(ctx context.Context, c *Client, address string) error {
			s, err := c.Generate(ctx, address, &GenerateRequest{RequestID: "r1", Attempt: 1})
			if err != nil {
				return err
			}
			defer s.Close()
			for err == nil {
				_, err = s.Next()
			}
			return err
		},
		"poll": func(ctx context.Context, c *Client, address string) error {
			_, err := c.Load(ctx, address)
			return err
		},
		"probe": func(ctx context.Context, c *Client, address string) error {
			_, err := c.Probe(ctx, address, "r1", 1)
			return err
		},
		"cancel": func(ctx context.Context, c *Client, address string) error {
			_, err := c.Cancel(ctx, address, "r1", 1)
			return err
		},
	}
	for answer, a := range endlessAnswers {
		address := serveEndless(t, a.begin, a.piece)
		for name, call := range calls {
			t.Run(answer+"/"+name, func(t *testing.T) {
				memory := inbound.NewMemory("test", capacity)
				ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond) // a stream of whole lines lasts as long as its request
				defer cancel()
				if err := call(ctx, NewClient(Options{Memory: memory}), address); err == nil || IsNotStarted(err) {
					t.Errorf("got %v", err)
				}
				if ctx.Err() != nil && (name != "stream" || answer != "another's chunk") {
					t.Error("only the deadline has ended it")
				}
				if n := memory.Held(); n != 0 {
					t.Errorf("%d bytes are left", n)
				}
			})
		}
	}
}
