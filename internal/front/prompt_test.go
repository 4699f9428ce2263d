package front

import (
	"strings"
	"testing"

	"github.com/buckthorndock/buckthorndock/internal/api/callerapi"
)

func TestCompletionPrompt(t *testing.T) {
	cases := []struct {
		raw, text string
		tokens    int
		fault     string
	}{
		{raw: `"milk"`, text: "milk"},
		{raw: `["milk"]`, text: "milk"},
		{raw: `[7, 8, 9]`, text: " 7 8 9", tokens: 3},
		{raw: `""`, fault: "empty"},
		{raw: `[]`, fault: "0 prompts"},
		{raw: `["a", "b"]`, fault: "2 prompts"},
		{raw: `[-1]`, fault: "neither"},
		{raw: `{"a": 1}`, fault: "neither"},
		{raw: `null`, fault: "empty"},
	}
	for _, c := range cases {
		p, err := completionPrompt(callerapi.AnyJSON(c.raw))
		switch {
		case c.fault != "":
			if err == nil || !strings.Contains(err.Error(), c.fault) {
				t.Errorf("%s: error %v, want %q", c.raw, err, c.fault)
			}
		case err != nil || p.text != c.text || p.tokens != c.tokens:
			t.Errorf("%s: got %+v, %v", c.raw, p, err)
		}
	}
}

func TestChatPromptJoinsTextParts(t *testing.T) {
	p, err := chatPrompt([]callerapi.ChatMessage{
		{Role: "system", Content: callerapi.AnyJSON(`"Be brief."`)},
		{Role: "user", Content: callerapi.AnyJSON(`[{"type":"text","text":"milk, "},{"type":"text","text":"eggs"}]`)},
	})
	want := "system: Be brief.\nuser: milk, eggs\nassistant:"
	if err != nil || p.text != want {
		t.Errorf("got %q, %v", p.text, err)
	}
	if _, err := chatPrompt([]callerapi.ChatMessage{{Role: "user", Content: callerapi.AnyJSON(`""`)}}); err == nil {
		t.Error("an empty chat is accepted")
	}
}

func FuzzPrompt(f *testing.F) {
	for _, raw := range []string{`"milk"`, `["a"]`, `[1,2]`, `{}`, `null`, `[{"type":"text","text":"a"}]`, "\xff"} {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		if p, err := completionPrompt(callerapi.AnyJSON(raw)); err == nil && p.text == "" {
			t.Error("an empty prompt is accepted")
		}
		if p, err := chatPrompt([]callerapi.ChatMessage{{Role: "user", Content: callerapi.AnyJSON(raw)}}); err == nil && p.text == "user: \nassistant:" {
			t.Error("an empty chat is accepted")
		}
	})
}
