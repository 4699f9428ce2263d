// Package answer gives the verifiable answers of the engine stand-in: each token
// depends on the whole prompt and on its index, so that a caller can tell a
// foreign, doubled or missing token from its own.
package answer

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is how the stand-ins count a prompt's tokens.
const bytesPerToken = 4

// Seed condenses a prompt, so that a long one is hashed only once.
type Seed uint64

// NewSeed returns the seed of a prompt.
func NewSeed(prompt string) Seed {
	return Seed(xxhash.Sum64String(prompt))
}

// Token returns the token at an index counted from 0.
func (s Seed) Token(index int) string {
	h := uint64(s) + uint64(index+1)*0x9e3779b97f4a7c15
	h ^= h >> 31
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	return fmt.Sprintf(" w%04x", h&0xffff)
}

// Token returns the token of a prompt's answer at an index counted from 0.
func Token(prompt string, index int) string {
	return NewSeed(prompt).Token(index)
}

// FullText returns the first n tokens of a prompt's answer, joined.
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
