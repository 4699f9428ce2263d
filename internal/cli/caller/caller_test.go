package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

const (
	chunkA     = `data: {"id":"r1","choices":[{"text":"a","finish_reason":null}]}` + "\n\n"
	chunkB     = `data: {"id":"r1","choices":[{"text":"b","finish_reason":null}]}` + "\n\n"
	finalChunk = `data: {"id":"r1","choices":[{"text":"","finish_reason":"stop"}]}` + "\n\n"
	doneMarker = "data: [DONE]\n\n"
	errorEvent = `data: {"error":{"code":"deadline","message":"m","outcome":"failed","request_id":"r2"}}` + "\n\n"
)

func TestStreamIsCompleteOnlyWithFinalEvent(t *testing.T) {
	cases := []struct {
		name, body    string
		notRepeatable bool
		outcome       request.Outcome
		code          request.Code
		answer        string
	}{
		{"whole", chunkA + chunkB + finalChunk + doneMarker, false, request.Complete, "", "ab"},
		{"comments and empty lines", ": ping\n\n" + chunkA + finalChunk + doneMarker, false, request.Complete, "", "a"},
		{"cut", chunkA + chunkB, false, request.Failed, CodeConnectionLost, "ab"},
		{"cut, at most once", chunkA, true, request.Unknown, CodeConnectionLost, "a"},
		{"no finish reason", chunkA + doneMarker, false, request.Failed, CodeBadAnswer, "a"},
		{"error event", chunkA + errorEvent, false, request.Failed, request.CodeDeadline, "a"},
		{"garbage", chunkA + "data: {\n\n", false, request.Failed, CodeBadAnswer, "a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				fmt.Fprint(w, c.body)
			}))
			defer s.Close()
			res := NewClient().Do(context.Background(), Call{
				Address:       s.Listener.Addr().String(),
				Completion:    &Completion{Model: "m", Prompt: "p", Stream: true},
				NotRepeatable: c.notRepeatable,
			}, nil)
			if res.Outcome != c.outcome || res.Code != c.code || res.Answer != c.answer {
				t.Errorf("got %s %q, answer %q", res.Outcome, res.Code, res.Answer)
			}
		})
	}
}

func TestPromptIsDeterminedBySeed(t *testing.T) {
	a, b, other := Prompt(1000, 1), Prompt(1000, 1), Prompt(1000, 2)
	if a != b || a == other || len(a) != 1000*BytesPerToken {
		t.Errorf("equal seeds give equal prompts: %v, different seeds different prompts: %v, length %d", a == b, a != other, len(a))
	}
}
