package upstream

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/buckthorndock/buckthorndock/internal/inbound/inboundtest"
)

const (
	callAnswer   = `{"request_id":"r1","attempt":1,"result":{"ok":true}}`
	streamAnswer = `{"request_id":"r1","attempt":1,"index":0,"text":"x"}` + "\n" + `{"request_id":"r1","attempt":1,"index":1,"done":true,"tokens":1}` + "\n"
)

// framings return a whole answer with a body, by name.
var framings = map[string]func(head, body string) string{
	"length": func(head, body string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	},
	"chunks": func(head, body string) string {
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	},
	"unframed": func(head, body string) string { return head + "\r\n" + body },
	"interim":  func(head, body string) string { return "HTTP/1.1 102 Processing\r\n\r\n" + head + "\r\n" + body },
}

// readStream reads a stream to its final marker.
func readStream(c *Client, address string) error {
	s, err := c.Generate(context.Background(), address, &GenerateRequest{RequestID: "r1", Attempt: 1})
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		chunk, err := s.Next()
		if err != nil {
			return err
		}
		if chunk.Done {
			return nil
		}
	}
}

// TestAnswerThatIsCutIsAnError guards against an empty or short answer that counts as whole, and against
// a refusal that counts as proof that nothing ran, from an upstream that stopped at any byte of the head or
// body and closed or reset the connection.
func TestAnswerThatIsCutIsAnError(t *testing.T) {
	call := func(c *Client, address string) error {
		_, err := c.Call(context.Background(), address, "stock", "r1", 1, []byte(`{}`))
		return err
	}
	load := func(c *Client, address string) error {
		_, err := c.Load(context.Background(), address)
		return err
	}
	for name, x := range map[string]struct {
		send       func(c *Client, address string) error
		head, body string
		marked     bool // it is whole once the line with its final marker has come
	}{
		"call":    {call, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n", callAnswer, false},
		"refusal": {call, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n", `{"code":"overloaded","message":"m"}`, false},
		"stream":  {readStream, "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n", streamAnswer, true},
		"poll":    {load, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n", `{"incarnation":"e1"}`, false},
	} {
		for framing, frame := range framings {
			t.Run(name+"/"+framing, func(t *testing.T) {
				t.Parallel()
				whole := frame(x.head, x.body)
				cuts := len(whole)
				if x.marked {
					cuts = strings.LastIndex(whole, "}") + 1
				}
				for cut := range cuts {
					for _, reset := range []bool{false, true} {
						checkCut(t, x.send, whole[:cut], reset)
					}
				}
			})
		}
	}
}

func checkCut(t *testing.T, send func(c *Client, address string) error, part string, reset bool) {
	t.Helper()
	err := send(NewClient(Options{}), inboundtest.ServeCut(t, inboundtest.Cut{Part: part, Reset: reset}))
	if err == nil || IsNotStarted(err) {
		t.Errorf("cut after %q, reset %v: error %v", part, reset, err)
	}
}
