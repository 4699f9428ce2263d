package caller

import (
	"math/rand/v2"
	"strings"
)

// BytesPerToken is the length of a generated token in bytes, its space included.
const BytesPerToken = 4

const letters = "abcdefghijklmnopqrstuvwxyz"

// Prompt returns random words of about the given number of tokens in total. The text
// is determined by the seed; a shorter prompt is a prefix of a longer one.
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
