package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// Headers of the caller API.
const (
	headerKey        = "Idempotency-Key"
	headerRepeatable = "X-Repeatable"
	headerDeadline   = "X-Deadline-Ms"
	headerPriority   = "X-Priority"
	headerRequestID  = "X-Request-Id"
	headerRetryAfter = "Retry-After"
)

// Codes that the client itself gives, beside those of package request.
const (
	// CodeUnreachable: no connection was made, so that nothing was sent.
	CodeUnreachable request.Code = "unreachable"
	// CodeConnectionLost: the connection ended before the whole answer.
	CodeConnectionLost request.Code = "connection_lost"
	// CodeBadAnswer: the answer does not follow the API.
	CodeBadAnswer request.Code = "bad_answer"
)

// Call is one request. Exactly one of Completion, Chat and Service is set.
type Call struct {
	Address string // IP:port of the daemon
	Token   string

	Completion *Completion
	Chat       *Chat
	Service    *ServiceCall

	Deadline      time.Duration // zero: the daemon's default
	Priority      string        // empty: the daemon's default
	Key           string        // idempotency key, empty without one
	NotRepeatable bool
}

// Completion is the body of POST /v1/completions.
type Completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream,omitempty"`
}

// Chat is the body of POST /v1/chat/completions.
type Chat struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	Name      string
	Operation string
	Body      json.RawMessage
}

// Result is the end of a call.
type Result struct {
	RequestID  string          `json:"request_id,omitempty"`
	Outcome    request.Outcome `json:"outcome"`
	Code       request.Code    `json:"code,omitempty"`
	Message    string          `json:"message,omitempty"`
	RetryAfter time.Duration   `json:"-"` // zero: coming back does not help
	Status     int             `json:"status,omitempty"`
	Answer     string          `json:"answer"`
	Chunks     int             `json:"chunks,omitempty"` // of a streamed answer
	FirstToken time.Duration   `json:"-"`                // from the start of the call
	Total      time.Duration   `json:"-"`
	Gaps       []time.Duration `json:"-"` // between chunks
}

// Client sends calls. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

const (
	dialTimeout  = 2 * time.Second
	maxIdleConns = 1024
)

// NewClient returns a client whose calls are bounded by their contexts only.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	}}}
}

// Do sends a call and returns its end. Text is handed to onText, which may be
// nil, as it arrives.
func (c *Client) Do(ctx context.Context, call Call, onText func(string)) Result {
	start := time.Now()
	req, stream, err := newRequest(ctx, call)
	if err != nil {
		return Result{Outcome: request.NotRun, Code: request.CodeBadRequest, Message: err.Error()}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		res := call.lost(err)
		res.Total = time.Since(start)
		return res
	}
	defer resp.Body.Close()
	r := reader{call: call, start: start, onText: onText}
	r.result.RequestID = resp.Header.Get(headerRequestID)
	r.result.Status = resp.StatusCode
	switch {
	case resp.StatusCode != http.StatusOK:
		r.refusal(resp)
	case stream:
		r.events(resp.Body)
	default:
		r.whole(resp.Body)
	}
	r.result.Total = time.Since(start)
	return r.result
}

func newRequest(ctx context.Context, call Call) (req *http.Request, stream bool, err error) {
	u := url.URL{Scheme: "http", Host: call.Address}
	var body any
	switch {
	case call.Completion != nil:
		u.Path, body, stream = "/v1/completions", call.Completion, call.Completion.Stream
	case call.Chat != nil:
		u.Path, body, stream = "/v1/chat/completions", call.Chat, call.Chat.Stream
	case call.Service != nil:
		u = *u.JoinPath("v1", "services", url.PathEscape(call.Service.Name), url.PathEscape(call.Service.Operation))
		body = call.Service.Body
	default:
		return nil, false, errors.New("the call has no body")
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, false, err
	}
	req, err = http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(data))
	if err != nil {
		return nil, false, err
	}
	if call.Key != "" {
		// The transport would send a request with a key again by itself.
		req.GetBody = nil
	}
	call.setHeaders(req.Header)
	return req, stream, nil
}

func (c *Call) setHeaders(h http.Header) {
	h.Set("Content-Type", "application/json")
	if c.Token != "" {
		h.Set("Authorization", "Bearer "+c.Token)
	}
	if c.Key != "" {
		h.Set(headerKey, c.Key)
	}
	if c.NotRepeatable {
		h.Set(headerRepeatable, "false")
	}
	if c.Deadline > 0 {
		h.Set(headerDeadline, strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	}
	if c.Priority != "" {
		h.Set(headerPriority, c.Priority)
	}
}

// lost classifies a call whose answer did not come.
func (c *Call) lost(err error) Result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Result{Outcome: request.NotRun, Code: CodeUnreachable, Message: err.Error()}
	}
	return Result{Outcome: c.afterLoss(), Code: CodeConnectionLost, Message: err.Error()}
}

// afterLoss returns the outcome of a request that was sent and not answered.
func (c *Call) afterLoss() request.Outcome {
	if c.NotRepeatable {
		return request.Unknown
	}
	return request.Failed
}

// drain reads a body to its end, so that the connection can be used again.
func drain(r io.Reader) {
	_, _ = io.Copy(io.Discard, r)
}
