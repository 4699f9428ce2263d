package standin

import (
	"encoding/json"
	"net/http"
)

// Chunk is one line of an answer's stream, the schema Chunk of api/engine.yaml. The
// code generator omits this type because the operation writes its response raw.
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

// chunkWriter writes a run's chunks to one connection. Its stream faults are those
// that were on when the connection began.
type chunkWriter struct {
	run   *run
	next  int // index of the next token to send
	w     http.ResponseWriter
	flush func() error

	crossChunks bool // add chunks of another request and attempt
	garbage     bool // add a line that is not JSON
	truncate    bool // end halfway, without the last chunk
	truncated   bool // the stream has ended halfway
}

// applyStreamFaults sets the faults of a new stream.
func (e *Engine) applyStreamFaults(out *chunkWriter) {
	_, out.crossChunks = e.faults.trigger(FaultCrossChunks, generatePath)
	_, out.garbage = e.faults.trigger(FaultGarbage, generatePath)
	_, out.truncate = e.faults.trigger(FaultTruncate, generatePath)
}

// begin sends the headers, which tell the caller that the request is accepted.
func (c *chunkWriter) begin() {
	c.w.Header().Set("Content-Type", ndjson)
	c.w.WriteHeader(http.StatusOK)
	if c.garbage {
		_, _ = c.w.Write([]byte(garbageText))
	}
	_ = c.flush()
}

// send sends the new tokens and, at the end of the run, the last chunk. It reports
// whether the answer has ended.
func (c *chunkWriter) send(p progress) (ended bool, err error) {
	sent := c.next < p.produced
	for ; c.next < p.produced; c.next++ {
		if c.truncate && c.next >= (c.run.req.ResumeFrom+c.run.req.MaxTokens)/2 {
			c.truncated = true
			return false, c.flush()
		}
		if err := c.sendToken(p); err != nil {
			return false, err
		}
	}
	if end := c.finalChunk(p); end != nil {
		ended, sent = true, true
		err = c.write(end)
	}
	if sent && err == nil {
		err = c.flush()
	}
	return ended, err
}

// finalChunk returns the last chunk, or nil while the run goes on.
func (c *chunkWriter) finalChunk(p progress) *Chunk {
	last := c.newChunk()
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
	if c.crossChunks {
		if err := c.sendForeignChunks(); err != nil {
			return err
		}
	}
	x := c.newChunk()
	x.Text = c.run.seed.Token(c.next)
	if c.next == c.run.req.ResumeFrom {
		x.CachedTokens = &p.cached
	}
	return c.write(x)
}

// sendForeignChunks sends one chunk of another request and one of a later attempt.
func (c *chunkWriter) sendForeignChunks() error {
	other := c.newChunk()
	other.RequestID = foreignRequest + other.RequestID
	other.Text = c.run.seed.Token(c.next + 1)
	if err := c.write(other); err != nil {
		return err
	}
	late := c.newChunk()
	late.Attempt++
	late.Text = c.run.seed.Token(c.next + 2)
	late.Done = c.next%2 == 1
	return c.write(late)
}

func (c *chunkWriter) newChunk() *Chunk {
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
