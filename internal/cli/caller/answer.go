package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// maxEventBytes bounds one line of an event stream.
const maxEventBytes = 4 << 20

// maxErrorBytes bounds how much of the body of an error answer is read.
const maxErrorBytes = 1 << 20

// completion is an answer, or a chunk of a streamed one, to a completion or a chat.
type completion struct {
	ID      string `json:"id"`
	Choices []struct {
		Text         string  `json:"text"`
		Message      content `json:"message"`
		Delta        content `json:"delta"`
		FinishReason string  `json:"finish_reason"`
	} `json:"choices"`
	Error *errorDetail `json:"error"`
}

type content struct {
	Content string `json:"content"`
}

type errorDetail struct {
	Code        request.Code    `json:"code"`
	Message     string          `json:"message"`
	Outcome     request.Outcome `json:"outcome"`
	RetryAfterS float64         `json:"retry_after_s"`
	RequestID   string          `json:"request_id"`
}

// answerReader reads one answer and builds its result.
type answerReader struct {
	call       Call
	start      time.Time
	lastTextAt time.Time
	onText     func(string)
	result     Result
	text       bytes.Buffer
}

// readError reads an error answer.
func (r *answerReader) readError(resp *http.Response) {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	var body struct {
		Error *errorDetail `json:"error"`
	}
	if json.Unmarshal(data, &body) != nil || body.Error == nil {
		r.setOutcome(r.call.outcomeWithoutAnswer(), CodeBadAnswer, fmt.Sprintf("status %d without an error body", resp.StatusCode))
		return
	}
	r.endWithError(body.Error)
	if r.result.RetryAfter == 0 {
		r.result.RetryAfter = retryAfter(resp.Header.Get(headerRetryAfter))
	}
}

// endWithError sets the outcome from the error that the daemon returned.
func (r *answerReader) endWithError(e *errorDetail) {
	switch e.Outcome {
	case request.NotRun, request.Failed, request.Unknown:
	default:
		r.setOutcome(r.call.outcomeWithoutAnswer(), CodeBadAnswer, fmt.Sprintf("error with outcome %q", e.Outcome))
		return
	}
	r.setOutcome(e.Outcome, e.Code, e.Message)
	r.result.RetryAfter = time.Duration(e.RetryAfterS * float64(time.Second))
	if e.RequestID != "" {
		r.result.RequestID = e.RequestID
	}
}

func retryAfter(header string) time.Duration {
	s, err := strconv.ParseFloat(header, 64)
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// readWhole reads an answer that is not streamed.
func (r *answerReader) readWhole(body io.Reader) {
	data, err := io.ReadAll(body)
	if err != nil {
		r.setOutcome(r.call.outcomeWithoutAnswer(), CodeConnectionLost, err.Error())
		return
	}
	if r.call.Service != nil {
		r.addText(string(data))
		r.setOutcome(request.Complete, "", "")
		return
	}
	var c completion
	if err := json.Unmarshal(data, &c); err != nil || len(c.Choices) == 0 {
		r.setOutcome(r.call.outcomeWithoutAnswer(), CodeBadAnswer, "the answer has no choice")
		return
	}
	r.addChoice(&c)
	r.finish(c.Choices[0].FinishReason != "")
}

// readEvents reads an answer streamed as server-sent events. It is complete only with
// a finish reason and the final event [DONE].
func (r *answerReader) readEvents(body io.Reader) {
	sc := bufio.NewScanner(body)
	sc.Buffer(nil, maxEventBytes)
	finished := false
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), []byte("data:"))
		data = bytes.TrimSpace(data)
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			r.finish(finished)
			drain(body)
			return
		}
		var c completion
		if err := json.Unmarshal(data, &c); err != nil {
			r.setOutcome(r.call.outcomeWithoutAnswer(), CodeBadAnswer, "an event is not JSON")
			return
		}
		if c.Error != nil {
			r.endWithError(c.Error)
			return
		}
		r.addChoice(&c)
		finished = finished || (len(c.Choices) > 0 && c.Choices[0].FinishReason != "")
	}
	message := "the stream ended before its final event"
	if err := sc.Err(); err != nil {
		message = err.Error()
	}
	r.setOutcome(r.call.outcomeWithoutAnswer(), CodeConnectionLost, message)
}

func (r *answerReader) finish(finished bool) {
	if finished {
		r.setOutcome(request.Complete, "", "")
		return
	}
	r.setOutcome(r.call.outcomeWithoutAnswer(), CodeBadAnswer, "the answer has no finish reason")
}

// addChoice adds the text of an answer or a chunk to the result.
func (r *answerReader) addChoice(c *completion) {
	if r.result.RequestID == "" {
		r.result.RequestID = c.ID
	}
	if len(c.Choices) == 0 {
		return
	}
	ch := c.Choices[0]
	if text := ch.Text + ch.Message.Content + ch.Delta.Content; text != "" {
		r.addText(text)
	}
}

// addText appends text to the answer and records its arrival time.
func (r *answerReader) addText(text string) {
	now := time.Now()
	if r.result.Chunks == 0 {
		r.result.FirstToken = now.Sub(r.start)
	} else {
		r.result.Gaps = append(r.result.Gaps, now.Sub(r.lastTextAt))
	}
	r.lastTextAt = now
	r.result.Chunks++
	r.text.WriteString(text)
	if r.onText != nil {
		r.onText(text)
	}
}

// setOutcome sets the outcome and takes the text read so far as the answer.
func (r *answerReader) setOutcome(o request.Outcome, code request.Code, message string) {
	r.result.Outcome = o
	r.result.Code = code
	r.result.Message = message
	r.result.Answer = r.text.String()
}
