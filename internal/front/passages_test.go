package front

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/buckthorndock/buckthorndock/internal/core/quarantine"
)

// common returns the hashes that two prompts share.
func common(a, b string) []uint64 {
	parts := promptParts(b)
	return slices.DeleteFunc(promptParts(a), func(p uint64) bool { return !slices.Contains(parts, p) })
}

// passageOf returns n words on one line, which depend on a name.
func passageOf(name string, n int) string {
	var words []string
	for i := range n {
		words = append(words, fmt.Sprintf("%s%d", name, i))
	}
	return strings.Join(words, " ")
}

// TestPromptsWithOneTextInCommonShareParts guards against prompts whose common text is not seen: at
// their begin, behind other text, as a line, and in the middle of a line without a break.
func TestPromptsWithOneTextInCommonShareParts(t *testing.T) {
	line, long := passageOf("line", 6), passageOf("long", 1000)
	for name, texts := range map[string][2]string{
		"first line": {line + "\nmine is here first", line + "\nand yours comes second"},
		"later line": {"a b c d e\n" + line + "\nmine is here first", "other words\nand more of them\n" + line},
		"in a line":  {"some words " + long + " and other ones", "different beginning here with more words " + long + " end"},
	} {
		if len(common(texts[0], texts[1])) == 0 {
			t.Errorf("%s: no common part", name)
		}
	}
	if got := common(passageOf("a", 3000), passageOf("b", 3000)); len(got) > 0 {
		t.Errorf("prompts without a common text share %d parts", len(got))
	}
}

// TestPartsOfAPromptAreFew guards against memory that grows with the length of prompts.
func TestPartsOfAPromptAreFew(t *testing.T) {
	if got := len(promptParts(passageOf("a", 100_000))); got != quarantine.MaxParts {
		t.Errorf("%d parts", got)
	}
	if got := promptParts("hello there"); len(got) != 0 {
		t.Errorf("%d parts of two words", len(got))
	}
}
