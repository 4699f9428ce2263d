package upstream

import (
	"context"
	"strings"
	"testing"

	"github.com/buckthorndock/buckthorndock/internal/core/answerhead"
	"github.com/buckthorndock/buckthorndock/internal/inbound/inboundtest"
)

// TestBrokenAnswersOfUpstreamsAreErrors guards against a broken answer that counts as the answer to a call, as a
// stream, as a load report or, worst, as a refusal or as proof that nothing ran.
func TestBrokenAnswersOfUpstreamsAreErrors(t *testing.T) {
	t.Parallel()
	call := func(c *Client, address string) error {
		_, err := c.Call(context.Background(), address, "stock", "r1", 1, []byte(`{}`))
		return err
	}
	const jsonField, streamField = "Content-Type: application/json\r\n", "Content-Type: application/x-ndjson\r\n"
	const refusalBody = `{"code":"overloaded","message":"m"}`
	for name, x := range map[string]struct {
		send         func(c *Client, address string) error
		fields, body string
		status       string // in place of 200
	}{
		"call":           {send: call, fields: jsonField, body: callAnswer},
		"refusal":        {send: call, fields: jsonField + "Retry-After: 60\r\n", body: refusalBody, status: "503"},
		"stream":         {send: readStream, fields: streamField, body: streamAnswer},
		"stream refused": {send: readStream, fields: jsonField, body: refusalBody, status: "503"},
		"poll": {send: func(c *Client, address string) error {
			_, err := c.Load(context.Background(), address)
			return err
		}, fields: jsonField, body: `{"incarnation":"e1"}`},
		"cancel": {send: func(c *Client, address string) error {
			_, err := c.Cancel(context.Background(), address, "r1", 1)
			return err
		}, fields: jsonField, body: `{"known":true}`},
	} {
		for form, text := range inboundtest.BrokenAnswers(x.fields, x.body) {
			if name == "stream" && isBehindTheBody(form) {
				continue // its last line tells that it is whole, and nothing behind that is read
			}
			if x.status != "" {
				text = strings.ReplaceAll(text, "200 OK", x.status+" X")
			}
			err := x.send(NewClient(Options{}), inboundtest.ServeText(t, text))
			_, refused := RefusalCode(err)
			if !answerhead.IsError(err) || IsNotStarted(err) || refused {
				t.Errorf("%s, %s: got %v", name, form, err)
			}
		}
	}
}

// isBehindTheBody reports whether the fault of a broken answer comes behind its body.
func isBehindTheBody(form string) bool {
	return strings.Contains(form, "trailer") || form == "chunk without its end"
}
