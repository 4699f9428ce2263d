package upstream

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/inbound"
	"github.com/buckthorndock/buckthorndock/internal/inbound/inboundtest"
)

const (
	jsonHead   = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	refusal    = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n\r\n"
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n\r\n"
)

// endlessAnswers are answers of a faulty upstream that do not end.
var endlessAnswers = map[string]inboundtest.Answer{
	"no line end":     {Piece: "0"},
	"many fields":     {Begin: "HTTP/1.1 200 OK\r\n", Piece: "a:\r\n"},
	"interim":         {Piece: "HTTP/1.1 102 Processing\r\n\r\n"},
	"body":            {Begin: jsonHead + `{"request_id":"r1","result":"`, Piece: "0"},
	"refusal":         {Begin: refusal + `{"message":"`, Piece: "0"},
	"line of stream":  {Begin: streamHead + `{"text":"`, Piece: "0"},
	"spaces in JSON":  {Begin: jsonHead, Piece: "\n"},
	"another's chunk": {Begin: streamHead, Piece: `{"request_id":"r2","attempt":1,"index":0,"text":"x"}` + "\n"},
}

// wholeLines is the number of lines that a stream must have to count as one that goes on: whole lines
// need no memory, so that such a stream lasts as long as its request.
const wholeLines = 10_000

var errGoesOn = errors.New("the stream goes on")

// TestEndlessAnswersEndTheExchange guards against a daemon that exceeds its memory because an upstream
// sends bytes without end in answer to a call, a stream, a poll or a cancellation. Nothing but the bounds
// ends the exchanges: the test's timeout shows one that goes on.
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
			for range wholeLines {
				if _, err := s.Next(); err != nil {
					return err
				}
			}
			return errGoesOn
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
		address := inboundtest.Serve(t, a)
		for name, call := range calls {
			t.Run(answer+"/"+name, func(t *testing.T) {
				memory := inbound.NewMemory("test", capacity)
				err := call(t.Context(), NewClient(Options{Memory: memory, PollTimeout: time.Hour}), address)
				if err == nil || IsNotStarted(err) {
					t.Errorf("got %v", err)
				}
				if goesOn := name == "stream" && answer == "another's chunk"; goesOn != errors.Is(err, errGoesOn) {
					t.Errorf("got %v", err)
				}
				if n := memory.Held(); n != 0 {
					t.Errorf("%d bytes are left", n)
				}
			})
		}
	}
}
