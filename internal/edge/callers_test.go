package edge

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/shutdown"
)

// TestDaemonThatWasHeldUpSendsItsLastAnswers guards against connections that are closed without an
// answer by a daemon that got no processor time until its grace period was over.
func TestDaemonThatWasHeldUpSendsItsLastAnswers(t *testing.T) {
	reached, closing := make(chan bool), make(chan bool)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(reached)
		<-closing
		time.Sleep(10 * time.Millisecond) // others get the processor first
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer s.Close()
	status := make(chan int)
	go func() {
		res, err := http.Get(s.URL)
		if err != nil {
			t.Error(err)
			close(status)
			return
		}
		res.Body.Close()
		status <- res.StatusCode
	}()
	<-reached
	const grace = time.Second
	times := shutdown.TimesOf(time.Now().Add(-grace), grace)
	close(closing)
	if err := closeServers([]*http.Server{s.Config}, times); err != nil {
		t.Error(err)
	}
	s.CloseClientConnections() // as the exit of the process does
	if got := <-status; got != http.StatusServiceUnavailable {
		t.Errorf("the caller got %d", got)
	}
}
