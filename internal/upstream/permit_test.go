package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"
)

// TestCallEndsWhileItsPermitIsAsked guards against a call that goes on after its request has ended, because
// its permit is not answered yet, and against one that is sent by a permit that comes later.
func TestCallEndsWhileItsPermitIsAsked(t *testing.T) {
	called := make(chan struct{}, 1)
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		called <- struct{}{}
		_, _ = io.WriteString(w, "{}")
	})
	asked, held, late := make(chan struct{}), make(chan struct{}), make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-asked
		time.Sleep(2 * DefaultDialTimeout) // the permit may take longer than a connection
		cancel()
	}()
	permitted := func() bool {
		close(asked)
		<-held
		close(late)
		return true
	}
	_, err := NewClient(Options{}).Call(WithPermit(ctx, permitted), address, "confirm", "r1", 1, []byte(`{}`))
	if !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	close(held)
	<-late
	select {
	case <-called:
		t.Error("the call was sent after its request had ended")
	default:
	}
}
