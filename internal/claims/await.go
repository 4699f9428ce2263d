package claims

import (
	"context"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

const (
	awaitCallWait = 5 * time.Second // longest wait of one call for more of an answer
	awaitTries    = 3               // failed calls in a row after which the holder counts as unreachable
)

var errNoAddress = merry.Sentinel("no address known for the holder's host")

// Await writes to w the answer of the run of Result.Holder, on this host or another,
// and returns how it ended. The answer is whole only with
// AnswerComplete; with any other state the bytes written so far must not be taken
// for an answer. The error is that of w, or of the context.
func (s *Service) Await(ctx context.Context, r Result, w io.Writer) (Ending, error) {
	return Relay(ctx, w, func(from int) Chunk { return s.nextChunk(ctx, r, from) })
}

// Relay writes an answer chunk by chunk and returns how it ended, as Await does.
// The function next returns the chunk that starts at byte from.
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

// nextChunk reads the next chunk from the holder, with up to awaitTries calls when
// it cannot be reached.
func (s *Service) nextChunk(ctx context.Context, r Result, from int) Chunk {
	if r.Holder.Host == s.o.Host {
		if r.Holder.Incarnation != s.o.Incarnation {
			return Chunk{State: AnswerMissing}
		}
		return s.readLocal(ctx, answerKey{r.record.Customer, r.record.Key, r.Offset}, r.Holder.ID, from)
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

// callAwait makes one Await call to the holder's host.
func (s *Service) callAwait(ctx context.Context, r Result, from int) (Chunk, error) {
	address, ok := s.peers.Address(r.Holder.Host)
	if !ok {
		return Chunk{}, errNoAddress // the host may have just started, so this is retried
	}
	ctx, cancel := context.WithTimeout(ctx, awaitCallWait+s.o.CallTimeout)
	defer cancel()
	args := AwaitArgs{
		Customer:    r.record.Customer,
		Key:         r.record.Key,
		Offset:      r.Offset,
		ID:          r.Holder.ID,
		Incarnation: r.Holder.Incarnation,
		From:        from,
		Wait:        awaitCallWait,
	}
	var chunk Chunk
	if err := s.peers.Call(ctx, address, ServiceName+".Await", args, &chunk); err != nil {
		return Chunk{}, err
	}
	return chunk, nil
}
