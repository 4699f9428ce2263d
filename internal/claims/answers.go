package claims

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/option"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// Defaults of AnswerOptions.
const (
	DefaultMaxTotalBytes    = 32 << 20
	DefaultMaxAnswerBytes   = 4 << 20
	DefaultMaxAnswerRecords = 50_000
)

const (
	chunkBytes = 256 << 10 // of an answer in one Chunk
	// unreachableRetry is the Retry-After of a repeat whose holder cannot be
	// reached.
	unreachableRetry = 10 * time.Second
)

// AnswerOptions bound what a holder keeps for repeats of its keys.
type AnswerOptions struct {
	MaxTotalBytes  int           // stored for all answers together. Default 32 MiB
	MaxAnswerBytes int           // stored for one answer. Default 4 MiB
	MaxAge         time.Duration // an ended answer's bytes are kept this long. Default the replay's window
	MaxRecords     int           // ended runs whose outcome is kept. Default 50,000
}

// AnswerState is the state of the run of a key and of its stored answer.
type AnswerState uint8

// States of an answer. All but AnswerRunning are final.
const (
	AnswerMissing     AnswerState = iota // the holder has no record of the run
	AnswerRunning                        // claimed or dispatched, not ended
	AnswerComplete                       // ended with a whole answer, which is kept
	AnswerFailed                         // may have run, ended without a whole answer
	AnswerUnknown                        // dispatched, the end was not seen
	AnswerReleased                       // never dispatched: the key can be claimed again
	AnswerDropped                        // completed, answer no longer kept
	AnswerUnreachable                    // the holder's host cannot be reached
)

var answerStateNames = [...]string{
	"missing", "running", "complete", "failed", "unknown", "released", "dropped", "unreachable",
}

// String returns the state's name for logs.
func (s AnswerState) String() string {
	if int(s) >= len(answerStateNames) {
		return "invalid"
	}
	return answerStateNames[s]
}

// Ending is how a run ended.
type Ending struct {
	State   AnswerState
	Code    request.Code // with AnswerFailed and AnswerUnknown
	Message string
	Status  int // HTTP status of the upstream's answer, 0 if there is none
	Size    int // bytes of the whole answer; set by Finish
}

// Refusal returns the refusal for a caller whose repeat found a run that ended
// this way, nil for a whole answer.
func (e Ending) Refusal() *request.Refusal {
	r := &request.Refusal{Outcome: request.Unknown, Code: request.CodeOutcomeLost, Message: e.Message}
	switch e.State {
	case AnswerComplete:
		return nil
	case AnswerFailed:
		r.Outcome, r.Code = request.Failed, e.Code
	case AnswerUnknown:
		r.Code = e.Code
	case AnswerDropped:
		r.Outcome, r.Code = request.Complete, request.CodeAnswerDropped
		r.Message = "completed, answer no longer kept"
	case AnswerReleased:
		return request.Refuse(request.CodeKeyUnavailable, logRetry, "not run; the key is free again")
	default:
		r.RetryAfter = unreachableRetry
		r.Message = "the host that may have run the request cannot be reached"
	}
	if r.Code == "" {
		r.Code = request.CodeOutcomeLost
	}
	return r
}

// Chunk is a piece of an answer.
type Chunk struct {
	State  AnswerState // AnswerRunning: more may follow
	Data   []byte
	Ending Ending // when State is final
}

// answerKey identifies one run by its key and the log offset of its claim.
type answerKey struct {
	customer, key string
	offset        int64
}

// storedAnswer is one run's answer. A dropped one keeps its ending, not its bytes.
type storedAnswer struct {
	key     answerKey
	data    []byte
	size    int // bytes written, dropped ones included
	dropped bool
	ending  Ending
	endedAt time.Time
	changed chan struct{} // closed and replaced at each change
}

// Answers keeps the answers of this host's runs, bounded in bytes and age.
type Answers struct {
	o   AnswerOptions
	now func() time.Time

	mu        sync.Mutex
	bytes     int // stored in all answers
	runs      map[answerKey]*storedAnswer
	ended     *list.List // of *storedAnswer, oldest end first
	undecided map[scopedKey]*undecidedClaims
}

// scopedKey is an idempotency key of a customer.
type scopedKey struct {
	customer, key string
}

// undecidedClaims counts this host's claims of a key that still wait for a verdict.
type undecidedClaims struct {
	count     int
	decreased chan struct{} // closed and replaced when count falls
}

// NewAnswers returns an empty Answers for a use other than claims. The window is
// the default of MaxAge.
func NewAnswers(o AnswerOptions, window time.Duration, now func() time.Time) *Answers {
	return newAnswers(o, window, now)
}

// Begin starts the answer of one run, which the customer, key and offset identify.
func (a *Answers) Begin(customer, key string, offset int64) *AnswerWriter {
	return a.begin(answerKey{customer, key, offset})
}

// Read returns the next piece of a run's answer, starting at byte from. While the
// run goes on it waits for more bytes until the context ends.
func (a *Answers) Read(ctx context.Context, customer, key string, offset int64, from int) Chunk {
	return a.read(ctx, answerKey{customer, key, offset}, from)
}

func newAnswers(o AnswerOptions, window time.Duration, now func() time.Time) *Answers {
	if o.MaxTotalBytes <= 0 {
		o.MaxTotalBytes = DefaultMaxTotalBytes
	}
	if o.MaxAnswerBytes <= 0 {
		o.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if o.MaxRecords <= 0 {
		o.MaxRecords = DefaultMaxAnswerRecords
	}
	option.Default(&o.MaxAge, window)
	return &Answers{o: o, now: now, runs: map[answerKey]*storedAnswer{}, ended: list.New(), undecided: map[scopedKey]*undecidedClaims{}}
}

// expectVerdict makes reads of an unknown run of the key wait until done is
// called: another host may read from the log that this host holds the key before
// this host does.
func (a *Answers) expectVerdict(customer, key string) (done func()) {
	k := scopedKey{customer, key}
	a.mu.Lock()
	defer a.mu.Unlock()
	x := a.undecided[k]
	if x == nil {
		x = &undecidedClaims{decreased: make(chan struct{})}
		a.undecided[k] = x
	}
	x.count++
	return func() { a.removeUndecided(k, x) }
}

// removeUndecided ends the wait of one claim of a key and wakes the readers.
func (a *Answers) removeUndecided(k scopedKey, x *undecidedClaims) {
	a.mu.Lock()
	defer a.mu.Unlock()
	x.count--
	if x.count == 0 {
		delete(a.undecided, k)
	}
	close(x.decreased)
	x.decreased = make(chan struct{})
}

// AnswerWriter stores the answer of one run as it is written.
type AnswerWriter struct {
	a *Answers
	k *storedAnswer
}

func (a *Answers) begin(key answerKey) *AnswerWriter {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := &storedAnswer{key: key, ending: Ending{State: AnswerRunning}, changed: make(chan struct{})}
	a.runs[key] = k
	return &AnswerWriter{a: a, k: k}
}

// Write adds bytes to the answer. It never fails: an answer that exceeds the bounds
// is dropped, and repeats of the key get AnswerDropped.
func (r *AnswerWriter) Write(p []byte) (int, error) {
	a, k := r.a, r.k
	a.mu.Lock()
	defer a.mu.Unlock()
	if k.ending.State != AnswerRunning {
		return len(p), nil
	}
	k.size += len(p)
	if k.size > a.o.MaxAnswerBytes {
		a.drop(k)
	}
	if !k.dropped {
		k.data = append(k.data, p...)
		a.bytes += len(p)
		a.evict(k)
	}
	k.signal()
	return len(p), nil
}

// Finish ends the answer. Only the first call has an effect.
func (r *AnswerWriter) Finish(e Ending) {
	a, k := r.a, r.k
	a.mu.Lock()
	defer a.mu.Unlock()
	if k.ending.State != AnswerRunning {
		return
	}
	e.Size = k.size
	k.ending = e
	k.endedAt = a.now()
	a.ended.PushBack(k)
	k.signal()
	a.expire()
}

// signal wakes the readers that wait for a change.
func (k *storedAnswer) signal() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// evict drops the bytes of ended answers, oldest first, until the total is within
// bounds; if that is not enough, also those of the growing one.
func (a *Answers) evict(growing *storedAnswer) {
	for e := a.ended.Front(); e != nil && a.bytes > a.o.MaxTotalBytes; e = e.Next() {
		a.drop(e.Value.(*storedAnswer))
	}
	if a.bytes > a.o.MaxTotalBytes {
		a.drop(growing)
	}
}

// drop frees an answer's bytes and keeps its ending.
func (a *Answers) drop(k *storedAnswer) {
	if k.dropped {
		return
	}
	a.bytes -= len(k.data)
	k.data = nil
	k.dropped = true
	answersDropped.Inc()
}

// sweep expires old bytes and outcomes.
func (a *Answers) sweep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire()
}

// expire drops the bytes of answers that ended more than MaxAge ago, and removes
// outcomes older than twice that or in excess of MaxRecords.
func (a *Answers) expire() {
	now := a.now()
	for e := a.ended.Front(); e != nil; {
		k, next := e.Value.(*storedAnswer), e.Next()
		age := now.Sub(k.endedAt)
		if age <= a.o.MaxAge && a.ended.Len() <= a.o.MaxRecords {
			return
		}
		a.drop(k)
		if age > 2*a.o.MaxAge || a.ended.Len() > a.o.MaxRecords {
			a.ended.Remove(e)
			delete(a.runs, k.key)
		}
		e = next
	}
}

// read implements Read.
func (a *Answers) read(ctx context.Context, key answerKey, from int) Chunk {
	for {
		chunk, changed := a.chunkAt(key, from)
		if changed == nil {
			return chunk
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return chunk
		}
	}
}

// chunkAt returns the chunk that starts at byte from. If there is nothing new yet,
// the channel is not nil and is closed at the next change.
func (a *Answers) chunkAt(key answerKey, from int) (Chunk, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := a.runs[key]
	if x := a.undecided[scopedKey{key.customer, key.key}]; k == nil && x != nil {
		return Chunk{State: AnswerRunning}, x.decreased
	}
	if k == nil || from < 0 {
		return Chunk{State: AnswerMissing}, nil
	}
	state := k.ending.State
	switch {
	case k.dropped && state == AnswerComplete:
		end := k.ending
		end.State = AnswerDropped
		return Chunk{State: AnswerDropped, Ending: end}, nil
	case k.dropped && state == AnswerRunning:
		return Chunk{State: AnswerRunning}, k.changed
	case from < len(k.data):
		data := k.data[from:min(from+chunkBytes, len(k.data))]
		return Chunk{State: AnswerRunning, Data: data}, nil
	case state == AnswerRunning:
		return Chunk{State: AnswerRunning}, k.changed
	}
	return Chunk{State: state, Ending: k.ending}, nil
}
