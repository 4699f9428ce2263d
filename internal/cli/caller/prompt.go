package caller

import (
	"math/rand/v2"
	"strings"
)

// BytesPerToken is the length of a generated token in bytes, its space included.
const BytesPerToken = 4

const letters = "abcdefghijklmnopqrstuvwxyz"

// Prompt returns pseudo-words that make up about the given number of tokens. The
// text follows from the seed; a longer prompt starts with the shorter one.
func Prompt(tokens int, seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 0))
	var b strings.Builder
	b.Grow(tokens * BytesPerToken)
	for range tokens {
		word := rng.Uint64()
		for range BytesPerToken - 1 {
			b.WriteByte(letters[word%uint64(len(letters))])
			word /= uint64(len(letters))
		}
		b.WriteByte(' ')
	}
	return b.String()
}
