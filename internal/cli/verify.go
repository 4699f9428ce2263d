package cli

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/buckthorndock/buckthorndock/internal/standin/answer"
)

// verifyCompletion says whether an answer is the one that a stand-in engine gives
// to the prompt.
func verifyCompletion(prompt string, answerTokens int, got string) bool {
	return got == answer.FullText(prompt, answerTokens)
}

// echo is the part of a stand-in service's answer that names its request.
type echo struct {
	SHA256 string `json:"echo_sha256"`
	Result struct {
		SHA256 string `json:"echo_sha256"`
	} `json:"result"`
}

// verifyService says whether an answer is the one that a stand-in service gives
// to the body.
func verifyService(body, got string) bool {
	var e echo
	if json.Unmarshal([]byte(got), &e) != nil {
		return false
	}
	sum := sha256.Sum256([]byte(body))
	want := hex.EncodeToString(sum[:])
	return e.SHA256 == want || e.Result.SHA256 == want
}
