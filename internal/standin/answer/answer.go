// Package answer generates the verifiable answers of the engine stand-in. Each token
// depends on the whole prompt and on its index, so that a caller can detect foreign,
// repeated and missing tokens.
package answer

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the number of prompt bytes that the stand-ins count as a token.
const bytesPerToken = 4

// Seed is the hash of a prompt. With it, a long prompt is hashed only once.
type Seed uint64

// NewSeed returns the seed of a prompt.
func NewSeed(prompt string) Seed {
	return Seed(xxhash.Sum64String(prompt))
}

// Token returns the token of the answer at an index that counts from 0.
func (s Seed) Token(index int) string {
	h := uint64(s) + uint64(index+1)*0x9e3779b97f4a7c15
	h ^= h >> 31
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	return fmt.Sprintf(" w%04x", h&0xffff)
}

// Token returns the token of a prompt's answer at an index that counts from 0.
func Token(prompt string, index int) string {
	return NewSeed(prompt).Token(index)
}

// FullText returns the first n tokens of a prompt's answer as one text.
func FullText(prompt string, n int) string {
	seed := NewSeed(prompt)
	var b strings.Builder
	for i := range n {
		b.WriteString(seed.Token(i))
	}
	return b.String()
}

// PromptTokens returns the length of a prompt in tokens, as the engine counts it.
func PromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}
