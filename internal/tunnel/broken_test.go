package tunnel_test

import (
	"errors"
	"net"
	"testing"

	"github.com/buckthorndock/buckthorndock/internal/core/answerhead"
	"github.com/buckthorndock/buckthorndock/internal/inbound/inboundtest"
	"github.com/buckthorndock/buckthorndock/internal/tunnel"
)

// TestBrokenAnswerOpensNoTunnel guards against a tunnel that counts as open by a broken answer to CONNECT, whose
// rest would be read as the upstream's bytes.
func TestBrokenAnswerOpensNoTunnel(t *testing.T) {
	for name, text := range inboundtest.BrokenAnswers("", "") {
		if isSoundWithoutBody(name) {
			continue
		}
		conn, err := net.Dial("tcp", inboundtest.ServeText(t, text))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tunnel.Connect(t.Context(), conn, "127.0.0.1:1"); !errors.Is(err, tunnel.ErrUnwilling) || !answerhead.IsError(err) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// isSoundWithoutBody reports whether the fault of a broken answer is in the body, which an answer to CONNECT does
// not have.
func isSoundWithoutBody(name string) bool {
	switch name {
	case "status 204 with a body", "odd length of a chunk", "chunk without its end", "blank in a trailer", "control byte in trailer":
		return true
	}
	return false
}
