package standin

import (
	"fmt"
	"io"
	"net/http"
)

// refusalBody is the body of a sound refusal.
const refusalBody = `{"code":"overloaded","message":"the answer was broken"}`

// brokenRefusals returns answers with broken heads. Whoever accepts one takes it for a refusal.
func brokenRefusals() []string {
	const firstLine, mediaType = "HTTP/1.1 503 Service Unavailable\r\n", "Content-Type: application/json\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(refusalBody))
	sound := firstLine + mediaType + length + "\r\n" + refusalBody
	return []string{
		"HTTP/1.1 000 \r\n\r\n" + sound,
		"HTTP/1.1 +12 Odd\r\n\r\n" + sound,
		fmt.Sprintf("HTTP/1.1 102 Processing\r\nContent-Length: %d\r\n\r\n%s", len(sound), sound),
		firstLine + mediaType + "Bad Name: x\r\n" + length + "\r\n" + refusalBody,
		firstLine + mediaType + fmt.Sprintf("Content-Length : %d\r\n\r\n", len(refusalBody)) + refusalBody,
		"HTTP/1.0 503 Service Unavailable\r\n" + mediaType + "Transfer-Encoding: chunked\r\n\r\n" + refusalBody,
	}
}

// answerBroken answers the call with a broken refusal if the fault for that is on, each time with another one. It
// reports whether it did.
func (b *base) answerBroken(w http.ResponseWriter, r *http.Request) bool {
	if _, hit := b.faults.trigger(FaultBrokenHead, r.URL.Path); !hit {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return true
	}
	defer conn.Close()
	answers := brokenRefusals()
	n := int(b.brokenHeads.Add(1)-1) % len(answers)
	_, _ = io.WriteString(conn, answers[n]) // a caller that has gone needs none
	return true
}
