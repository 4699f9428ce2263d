package standin

import (
	"encoding/json"
	"net/http"
)

// Chunk is one line of an answer's stream, as Chunk of api/engine.yaml; the
// generator leaves out the type, for the stream is written raw.
type Chunk struct {
	RequestID    string `json:"request_id"`
	Attempt      int    `json:"attempt"`
	Index        int    `json:"index"`
	Text         string `json:"text"`
	Done         bool   `json:"done"`
	TotalTokens  *int   `json:"total_tokens,omitempty"`
	CachedTokens *int   `json:"cached_tokens,omitempty"`
	Error        string `json:"error,omitempty"`
}

// chunkWriter sends a run's chunks on one connection, with the faults that were
// on when it began.
type chunkWriter struct {
	run   *run
	next  int // index of the next token to send
	w     http.ResponseWriter
	flush func() error

	cross    bool // add chunks of others
	garbage  bool // add a line that is not JSON
	truncate bool // end half way
	cut      bool // it has ended half way
}

// faultStream notes the faults that strike a stream.
func (e *Engine) faultStream(out *chunkWriter) {
	_, out.cross = e.faults.strike(FaultCrossChunks, generatePath)
	_, out.garbage = e.faults.strike(FaultGarbage, generatePath)
	_, out.truncate = e.faults.strike(FaultTruncate, generatePath)
}

// begin sends the headers, so that the caller knows that it is accepted.
func (c *chunkWriter) begin() {
	c.w.Header().Set("Content-Type", ndjson)
	c.w.WriteHeader(http.StatusOK)
	if c.garbage {
		_, _ = c.w.Write([]byte(garbageText))
	}
	_ = c.flush()
}

// send sends what is new, and tells whether that was the end.
func (c *chunkWriter) send(p progress) (ended bool, err error) {
	sent := c.next < p.produced
	for ; c.next < p.produced; c.next++ {
		if c.truncate && c.next >= (c.run.req.ResumeFrom+c.run.req.MaxTokens)/2 {
			c.cut = true
			return false, c.flush()
		}
		if err := c.sendToken(p); err != nil {
			return false, err
		}
	}
	if end := c.end(p); end != nil {
		ended, sent = true, true
		err = c.write(end)
	}
	if sent && err == nil {
		err = c.flush()
	}
	return ended, err
}

// end returns the last chunk, or nil before the run's end.
func (c *chunkWriter) end(p progress) *Chunk {
	last := c.chunk()
	switch {
	case p.failure != "":
		last.Error = p.failure
	case p.phase == phaseFinished:
		last.Done = true
		last.TotalTokens = &c.run.req.MaxTokens
	default:
		return nil
	}
	return last
}

func (c *chunkWriter) sendToken(p progress) error {
	if c.cross {
		if err := c.sendForeign(); err != nil {
			return err
		}
	}
	x := c.chunk()
	x.Text = c.run.seed.Token(c.next)
	if c.next == c.run.req.ResumeFrom {
		x.CachedTokens = &p.cached
	}
	return c.write(x)
}

// sendForeign sends chunks of another request and of another attempt.
func (c *chunkWriter) sendForeign() error {
	other := c.chunk()
	other.RequestID = foreignRequest + other.RequestID
	other.Text = c.run.seed.Token(c.next + 1)
	if err := c.write(other); err != nil {
		return err
	}
	late := c.chunk()
	late.Attempt++
	late.Text = c.run.seed.Token(c.next + 2)
	late.Done = c.next%2 == 1
	return c.write(late)
}

func (c *chunkWriter) chunk() *Chunk {
	return &Chunk{RequestID: c.run.key.id, Attempt: c.run.key.attempt, Index: c.next}
}

func (c *chunkWriter) write(x *Chunk) error {
	line, err := json.Marshal(x)
	if err != nil {
		return err
	}
	_, err = c.w.Write(append(line, '\n'))
	return err
}
