package upstream

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/ogen-go/ogen/validate"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
	"github.com/buckthorndock/buckthorndock/internal/inbound"
)

// Sizes of the lines of a stream, in bytes. A longer line is an error of the engine.
const (
	lineBufferBytes = 4 << 10  // more than a typical line
	freeLineBytes   = 8 << 10  // held for every stream; what is above is counted
	maxChunkLine    = 64 << 10 // a line has the text of one token
)

// maxErrorBody bounds how much of a refusal's body is read, in bytes.
const maxErrorBody = 64 << 10

// Chunk is one line of an answer's stream, as api/engine.yaml describes it.
type Chunk struct {
	RequestID    string `json:"request_id"`
	Attempt      int    `json:"attempt"`
	Index        int    `json:"index"`
	Text         string `json:"text"`
	Done         bool   `json:"done"`          // the last chunk of a whole answer; Text is empty
	TotalTokens  int    `json:"total_tokens"`  // with Done
	CachedTokens int    `json:"cached_tokens"` // with the first chunk
	Error        string `json:"error"`
}

// GenerateRequest is the engine API's request to run one attempt.
type GenerateRequest = engineapi.GenerateRequest

// Stream is the answer to an attempt. It is used by one goroutine.
type Stream struct {
	body  io.ReadCloser
	lines *bufio.Reader
	line  *inbound.Buffer
}

// Generate dispatches an attempt on a new connection. The context bounds the whole
// stream. An error for which IsNotStarted reports true proves that the attempt did
// not run; after any other it may have run.
func (c *Client) Generate(ctx context.Context, address string, req *GenerateRequest) (*Stream, error) {
	ec, err := c.dispatchClient(address)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	ctx, backOff := withBackOff(ctx)
	res, err := ec.Generate(withStream(ctx), req)
	var refused *validate.UnexpectedStatusCodeError
	if errors.As(err, &refused) && refused.Payload != nil {
		return nil, readRefusal(refused.Payload, *backOff)
	}
	if err != nil {
		return nil, classify(err)
	}
	raw, ok := res.(*engineapi.GenerateOKRawApplicationXNdjson)
	if !ok {
		return nil, merry.Errorf("unexpected answer type %T", res)
	}
	resp := raw.GetResponse()
	return &Stream{
		body:  resp.Body,
		lines: bufio.NewReaderSize(resp.Body, lineBufferBytes),
		line:  inbound.NewBuffer(c.opts.Memory, freeLineBytes, maxChunkLine),
	}, nil
}

// Next returns the next chunk, or io.EOF at the end of the connection. The answer is
// whole only after a chunk with Done.
func (s *Stream) Next() (Chunk, error) {
	if err := s.readLine(); err != nil {
		return Chunk{}, err
	}
	var chunk Chunk
	if err := json.Unmarshal(s.line.Bytes(), &chunk); err != nil {
		return Chunk{}, merry.Prepend(err, "undecodable chunk")
	}
	return chunk, nil
}

// readLine reads the next line. The last one need not end; io.EOF comes after it.
func (s *Stream) readLine() error {
	s.line.Reset()
	for {
		part, err := s.lines.ReadSlice('\n')
		if lineErr := s.line.Append(part); lineErr != nil {
			return merry.Prepend(lineErr, "a line of the stream")
		}
		switch {
		case err == nil, err == io.EOF && s.line.Len() > 0:
			return nil
		case err != bufio.ErrBufferFull:
			return err
		}
	}
}

// Close ends the connection. It does not cancel the attempt on the engine.
func (s *Stream) Close() {
	s.line.Reset()
	_ = s.body.Close() // what is left of the answer is not needed
}

// readRefusal reads and closes the response of a refusal and returns it as an error.
func readRefusal(resp *http.Response, backOff time.Duration) error {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body) // refusalReader has bounded it
	if err != nil {
		return merry.Prependf(err, "read body of status %d", resp.StatusCode)
	}
	var refusal engineapi.Refusal
	if err := json.Unmarshal(body, &refusal); err != nil {
		return merry.Errorf("status %d with an undecodable body", resp.StatusCode)
	}
	return &RefusedError{Code: string(refusal.Code), Message: refusal.Message, BackOff: backOff}
}
