package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// A dispatch is sent once: a redirect is not followed, and it does not prove that
// nothing ran.
func TestNoRedirectIsFollowed(t *testing.T) {
	var sent atomic.Int32
	var there *httptest.Server
	there = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sent.Add(1)
		http.Redirect(w, r, there.URL+"/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer there.Close()
	c := NewClient(Options{})
	permits := 1
	ctx := WithPermit(context.Background(), func() bool { permits--; return permits >= 0 })
	address := there.Listener.Addr().String()
	if _, err := c.Call(ctx, address, "confirm", "r", 1, []byte("{}")); err == nil || IsNotStarted(err) {
		t.Errorf("call: %v", err)
	}
	permits = 1
	_, err := c.Generate(ctx, address, &GenerateRequest{RequestID: "r", Attempt: 1, Model: "m", Prompt: "p", MaxTokens: 1})
	if err == nil || IsNotStarted(err) {
		t.Errorf("generation: %v", err)
	}
	if n := sent.Load(); n != 2 {
		t.Errorf("sent %d times for two dispatches", n)
	}
}
