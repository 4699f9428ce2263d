package answer

import (
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func TestAnswerBelongsToItsPrompt(t *testing.T) {
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(7))
	props.Property("tokens join to the whole", prop.ForAll(func(prompt string, n int) bool {
		text := ""
		for i := range n {
			text += Token(prompt, i)
		}
		return text == FullText(prompt, n) && len(strings.Fields(text)) == n
	}, gen.AnyString(), gen.IntRange(0, 50)))
	props.Property("another prompt has another answer", prop.ForAll(func(prompt string) bool {
		return FullText(prompt, 8) != FullText(prompt+"x", 8) && FullText(prompt, 8) != FullText("x"+prompt, 8)
	}, gen.AnyString()))
	props.Property("no token stands for its neighbours", prop.ForAll(func(prompt string) bool {
		tokens := strings.Fields(FullText(prompt, 20))
		return strings.Join(tokens[:10], " ") != strings.Join(tokens[10:], " ")
	}, gen.AnyString()))
	props.TestingRun(t)
}

func TestPromptTokens(t *testing.T) {
	for prompt, want := range map[string]int{"": 0, "a": 1, "abcd": 1, "abcde": 2} {
		if got := PromptTokens(prompt); got != want {
			t.Errorf("%q: %d, want %d", prompt, got, want)
		}
	}
}
