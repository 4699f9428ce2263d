package cli

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/buckthorndock/buckthorndock/internal/standin/answer"
)

// verifyCompletion reports whether got is the answer of a stand-in engine to the
// prompt.
func verifyCompletion(prompt string, answerTokens int, got string) bool {
	return got == answer.FullText(prompt, answerTokens)
}

// echoedRequest is the part of a stand-in service's answer that identifies its
// request by the hash of the body.
type echoedRequest struct {
	SHA256 string `json:"echo_sha256"`
	Result struct {
		SHA256 string `json:"echo_sha256"`
	} `json:"result"`
}

// verifyService reports whether got is the answer of a stand-in service to the body.
func verifyService(body, got string) bool {
	var e echoedRequest
	if json.Unmarshal([]byte(got), &e) != nil {
		return false
	}
	sum := sha256.Sum256([]byte(body))
	want := hex.EncodeToString(sum[:])
	return e.SHA256 == want || e.Result.SHA256 == want
}
