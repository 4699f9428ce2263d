package front

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/quarantine"
)

// Bounds of the passages into which a prompt is divided.
const (
	maxDividedBytes  = 256 << 10 // of the prompt; passages beyond are not looked at
	minPassageWords  = 4         // shorter ones are too common to tell prompts apart
	meanPassageWords = 64        // of a line without a break
)

// promptParts returns hashes of passages of a prompt that other prompts may share, wherever they
// stand there. Passages end with lines, and after words that only their own hash selects, so that
// the same text is divided in the same way in all prompts. Of too many, the lowest hashes are kept,
// which are the same ones for the same text.
func promptParts(text string) []uint64 {
	text = text[:min(len(text), maxDividedBytes)]
	var parts []uint64
	for line := range strings.Lines(text) {
		parts = appendPassages(parts, line)
	}
	slices.Sort(parts)
	parts = slices.Compact(parts)
	return slices.Clone(parts[:min(len(parts), quarantine.MaxParts)])
}

// appendPassages appends the hashes of a line's passages.
func appendPassages(parts []uint64, line string) []uint64 {
	passage, words := xxhash.New(), 0
	for word := range strings.FieldsSeq(line) {
		// A write to a digest never fails.
		_, _ = passage.WriteString(word)
		_, _ = passage.WriteString(" ")
		words++
		if words >= minPassageWords && xxhash.Sum64String(word)%meanPassageWords == 0 {
			parts = append(parts, passage.Sum64())
			passage.Reset()
			words = 0
		}
	}
	if words >= minPassageWords {
		parts = append(parts, passage.Sum64())
	}
	return parts
}
