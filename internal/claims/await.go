package claims

import (
	"context"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

const (
	awaitPoll  = 5 * time.Second // longest wait of one call for more
	awaitTries = 3               // failed calls in a row before the holder is given up
)

var errNoAddress = merry.Sentinel("the holder's host is not known")

// Await relays the answer of a run that Result.Holder holds, here or at another
// host, and returns how it ended. The answer is whole only with AnswerComplete;
// with any other state the bytes written so far are no answer. The error is that
// of w, or of the context.
func (s *Service) Await(ctx context.Context, r Result, w io.Writer) (Ending, error) {
	return Relay(ctx, w, func(from int) Chunk { return s.nextChunk(ctx, r, from) })
}

// Relay writes an answer that comes in chunks and returns how it ended, as Await
// does. The function next returns what is there beyond from bytes.
func Relay(ctx context.Context, w io.Writer, next func(from int) Chunk) (Ending, error) {
	from := 0
	for {
		chunk := next(from)
		if err := ctx.Err(); err != nil {
			return Ending{State: AnswerUnknown}, err
		}
		n, err := w.Write(chunk.Data)
		if err != nil {
			return Ending{State: AnswerUnknown}, err
		}
		from += n
		if chunk.State == AnswerRunning {
			continue
		}
		end := chunk.Ending
		end.State = chunk.State
		if end.State == AnswerComplete && from != end.Size {
			end.State = AnswerUnknown
		}
		return end, nil
	}
}

// nextChunk asks the holder, trying again a few times when it cannot be reached.
func (s *Service) nextChunk(ctx context.Context, r Result, from int) Chunk {
	if r.Holder.Host == s.o.Host {
		if r.Holder.Incarnation != s.o.Incarnation {
			return Chunk{State: AnswerMissing}
		}
		return s.readOwn(ctx, answerKey{r.record.Customer, r.record.Key, r.Offset}, r.Holder.ID, from)
	}
	for range awaitTries {
		chunk, err := s.callAwait(ctx, r, from)
		if err == nil {
			return chunk
		}
		if !wait.For(ctx, s.o.RetryEvery) {
			break
		}
	}
	return Chunk{State: AnswerUnreachable}
}

func (s *Service) callAwait(ctx context.Context, r Result, from int) (Chunk, error) {
	address, ok := s.peers.Address(r.Holder.Host)
	if !ok {
		return Chunk{}, errNoAddress // it may have started a moment ago
	}
	ctx, cancel := context.WithTimeout(ctx, awaitPoll+s.o.CallTimeout)
	defer cancel()
	args := AwaitArgs{
		Customer:    r.record.Customer,
		Key:         r.record.Key,
		Offset:      r.Offset,
		ID:          r.Holder.ID,
		Incarnation: r.Holder.Incarnation,
		From:        from,
		Wait:        awaitPoll,
	}
	var chunk Chunk
	if err := s.peers.Call(ctx, address, ServiceName+".Await", args, &chunk); err != nil {
		return Chunk{}, err
	}
	return chunk, nil
}
