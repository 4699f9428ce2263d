package front

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/api/callerapi"
)

// prompt is a decoded prompt, with its length if known.
type prompt struct {
	text   string
	tokens int // 0 when unknown: estimated from the length of text
}

// completionPrompt decodes the prompt of a completion: a string, a list with one
// string, or a list of token ids.
func completionPrompt(raw callerapi.AnyJSON) (prompt, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return textPrompt(text)
	}
	var texts []string
	if json.Unmarshal(raw, &texts) == nil {
		if len(texts) != 1 {
			return prompt{}, merry.Errorf("prompt: %d prompts in one request, 1 is supported", len(texts))
		}
		return textPrompt(texts[0])
	}
	var ids []uint32
	if json.Unmarshal(raw, &ids) == nil {
		return tokenPrompt(ids)
	}
	return prompt{}, merry.New("prompt: neither a string, nor a list of one string, nor a list of token ids")
}

func textPrompt(text string) (prompt, error) {
	if text == "" {
		return prompt{}, merry.New("prompt: empty")
	}
	return prompt{text: text}, nil
}

func tokenPrompt(ids []uint32) (prompt, error) {
	if len(ids) == 0 {
		return prompt{}, merry.New("prompt: empty")
	}
	var b strings.Builder
	for _, id := range ids {
		b.WriteByte(' ')
		b.WriteString(strconv.FormatUint(uint64(id), 10))
	}
	return prompt{text: b.String(), tokens: len(ids)}, nil
}

// contentPart is one part of a chat message's content.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// chatPrompt joins the messages of a chat, each preceded by its role.
func chatPrompt(messages []callerapi.ChatMessage) (prompt, error) {
	var b strings.Builder
	empty := true
	for i, m := range messages {
		text, err := messageText(m.Content)
		if err != nil {
			return prompt{}, merry.Prependf(err, "messages[%d].content", i)
		}
		empty = empty && text == ""
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(text)
		b.WriteByte('\n')
	}
	if empty {
		return prompt{}, merry.New("messages: all empty")
	}
	b.WriteString("assistant:")
	return prompt{text: b.String()}, nil
}

func messageText(raw callerapi.AnyJSON) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []contentPart
	if json.Unmarshal(raw, &parts) != nil {
		return "", merry.New("neither a string nor a list of parts")
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", merry.Errorf("a part of type %q is not supported", p.Type)
		}
		b.WriteString(p.Text)
	}
	return b.String(), nil
}
