package hardclose

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

// TestConnectionIsResetUntilTheAnswerIsWhole guards against a broken answer whose connection ends as that of a
// whole one does.
func TestConnectionIsResetUntilTheAnswerIsWhole(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for _, isWhole := range []bool{false, true} {
		caller, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer caller.Close()
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		whole := Begin(Context(t.Context(), conn))
		if _, err := conn.Write([]byte("part")); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(caller, make([]byte, len("part"))); err != nil {
			t.Fatal(err)
		}
		if isWhole {
			whole()
		}
		_ = conn.Close()
		if _, err := caller.Read(make([]byte, 1)); isWhole != (err == io.EOF) || !isWhole && !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("whole %v: the connection ended with %v", isWhole, err)
		}
	}
}
