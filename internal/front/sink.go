package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// DefaultWriteTimeout is the maximum time that one write to a caller may block. A
// caller that does not read is disconnected, so that it holds no memory of the daemon.
const DefaultWriteTimeout = 10 * time.Second

// answerShape is the format of an answer: OpenAI completion or chat completion.
type answerShape uint8

const (
	shapeCompletion answerShape = iota
	shapeChat
)

// answerMeta holds the fields of an answer besides its text, and how to write it.
type answerMeta struct {
	shape        answerShape
	id           string
	model        string
	created      int64 // Unix seconds
	promptTokens int
	writeTimeout time.Duration
}

// sink delivers an answer to its caller, token by token.
type sink interface {
	// token delivers the text of the next token or tokens. An error means that the
	// caller has disconnected.
	token(text string) error
	// finish ends a complete answer of the given number of tokens.
	finish(tokens int) error
	// refuse ends an incomplete answer with an error.
	refuse(r *request.Refusal)
}

// usage holds token counts as in OpenAI's answers.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// chatText is a chat message or a part of one.
type chatText struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// choice is the one choice of an answer or a chunk.
type choice struct {
	Index        int       `json:"index"`
	Text         *string   `json:"text,omitempty"`
	Message      *chatText `json:"message,omitempty"`
	Delta        *chatText `json:"delta,omitempty"`
	FinishReason *string   `json:"finish_reason"`
}

// answer is a complete answer or a chunk of one.
type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// finishLength is the finish reason of an answer that used all its tokens.
const finishLength = "length"

func (m *answerMeta) usage(tokens int) *usage {
	return &usage{PromptTokens: m.promptTokens, CompletionTokens: tokens, TotalTokens: m.promptTokens + tokens}
}

func (m *answerMeta) complete(text string, tokens int) answer {
	reason := finishLength
	c := choice{FinishReason: &reason}
	a := answer{ID: m.id, Created: m.created, Model: m.model, Usage: m.usage(tokens)}
	if m.shape == shapeChat {
		a.Object = "chat.completion"
		c.Message = &chatText{Role: "assistant", Content: text}
	} else {
		a.Object = "text_completion"
		c.Text = &text
	}
	a.Choices = []choice{c}
	return a
}

// chunk returns one chunk of an answer; reason is set on the last.
func (m *answerMeta) chunk(text string, reason *string, u *usage) answer {
	c := choice{FinishReason: reason}
	a := answer{ID: m.id, Created: m.created, Model: m.model, Usage: u}
	if m.shape == shapeChat {
		a.Object = "chat.completion.chunk"
		c.Delta = &chatText{Content: text}
	} else {
		a.Object = "text_completion"
		c.Text = &text
	}
	a.Choices = []choice{c}
	return a
}

// jsonSink collects an answer and writes it as one JSON document.
type jsonSink struct {
	w    http.ResponseWriter
	meta answerMeta
	text strings.Builder
}

func (s *jsonSink) token(text string) error {
	s.text.WriteString(text)
	return nil
}

func (s *jsonSink) finish(tokens int) error {
	body, err := json.Marshal(s.meta.complete(s.text.String(), tokens))
	if err != nil {
		return err
	}
	setWriteDeadline(s.w, s.meta.writeTimeout)
	s.w.Header().Set(headerRequestID, s.meta.id)
	return writeJSON(s.w, body)
}

// writeJSON writes a whole answer. Its length tells callers without chunks whether they have got all of it.
func writeJSON(w http.ResponseWriter, body []byte) error {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err := w.Write(body)
	return err
}

func (s *jsonSink) refuse(r *request.Refusal) {
	setWriteDeadline(s.w, s.meta.writeTimeout)
	writeRefusal(s.w, s.meta.id, r)
}

// eventSink writes each token as a server-sent event. Nothing is written before
// the first token, so that a refusal before it is an ordinary error response.
type eventSink struct {
	w       http.ResponseWriter
	meta    answerMeta
	started bool
}

const eventDone = "data: [DONE]\n\n"

func (s *eventSink) token(text string) error {
	return s.send(s.meta.chunk(text, nil, nil))
}

func (s *eventSink) finish(tokens int) error {
	reason := finishLength
	if err := s.send(s.meta.chunk("", &reason, s.meta.usage(tokens))); err != nil {
		return err
	}
	return s.write([]byte(eventDone))
}

// refuse ends a started stream with an error event and without the final [DONE].
func (s *eventSink) refuse(r *request.Refusal) {
	if !s.started {
		setWriteDeadline(s.w, s.meta.writeTimeout)
		writeRefusal(s.w, s.meta.id, r)
		return
	}
	body, err := errorBody(s.meta.id, r).MarshalJSON()
	if err != nil {
		return
	}
	_ = s.write(event(body))
}

func (s *eventSink) send(a answer) error {
	body, err := json.Marshal(a)
	if err != nil {
		return err
	}
	return s.write(event(body))
}

func (s *eventSink) write(b []byte) error {
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.Header().Set(headerRequestID, s.meta.id)
	}
	setWriteDeadline(s.w, s.meta.writeTimeout)
	if _, err := s.w.Write(b); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

func event(body []byte) []byte {
	b := make([]byte, 0, len(body)+8)
	b = append(b, "data: "...)
	b = append(b, body...)
	return append(b, "\n\n"...)
}

// setWriteDeadline sets the timeout of the next write. It has no effect on writers
// without deadlines, as in tests.
func setWriteDeadline(w http.ResponseWriter, timeout time.Duration) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
}
