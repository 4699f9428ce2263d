package upstream

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"
)

func TestRefusalCarriesBackOff(t *testing.T) {
	for status, want := range map[int]time.Duration{
		http.StatusServiceUnavailable:  1500 * time.Millisecond,
		http.StatusTooManyRequests:     1500 * time.Millisecond,
		http.StatusInternalServerError: 0,
	} {
		address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Retry-After", "1.5")
			w.WriteHeader(status)
			_, _ = w.Write([]byte(`{"code":"overloaded","message":"m"}`))
		})
		c := NewClient(Options{})
		_, callErr := c.Call(context.Background(), address, "confirm", "r1", 1, []byte(`{}`))
		_, generateErr := c.Generate(context.Background(), address, &GenerateRequest{RequestID: "r1", Attempt: 1})
		for _, err := range []error{callErr, generateErr} {
			var r *RefusedError
			if !errors.As(err, &r) || r.BackOff != want {
				t.Errorf("%d: %v", status, err)
			}
		}
	}
}
