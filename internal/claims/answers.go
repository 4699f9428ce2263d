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
	chunkBytes = 256 << 10
	// unreachableRetry is when a caller may ask again for an outcome whose
	// holder is away.
	unreachableRetry = 10 * time.Second
)

// AnswerOptions bound what a holder keeps for repeats of its keys.
type AnswerOptions struct {
	MaxTotalBytes  int           // of all answers together. Default 32 MiB
	MaxAnswerBytes int           // of one answer. Default 4 MiB
	MaxAge         time.Duration // of an ended answer's bytes. Default the replay's window
	MaxRecords     int           // of keys whose outcome is known. Default 50,000
}

// AnswerState says how the run of a key stands.
type AnswerState uint8

// States of an answer. All but AnswerRunning are final.
const (
	AnswerMissing     AnswerState = iota // the holder does not know of the run
	AnswerRunning                        // claimed or dispatched
	AnswerComplete                       // the whole answer is here
	AnswerFailed                         // it may have run and gave no whole answer
	AnswerUnknown                        // dispatched, and its end was lost
	AnswerReleased                       // never dispatched: ask again
	AnswerDropped                        // completed, answer no longer kept
	AnswerUnreachable                    // the holder's host cannot be asked
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

// Refusal returns what to tell a caller whose repeat met this ending, nil for a
// whole answer.
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
		return request.Refuse(request.CodeKeyUnavailable, awayRetry, "not run; the key is free again")
	default:
		r.RetryAfter = unreachableRetry
		r.Message = "the host that may have run the request cannot be asked"
	}
	if r.Code == "" {
		r.Code = request.CodeOutcomeLost
	}
	return r
}

// Chunk is a piece of an answer.
type Chunk struct {
	State  AnswerState // AnswerRunning: more may come
	Data   []byte
	Ending Ending // when State is final
}

type answerKey struct {
	customer, key string
	offset        int64
}

// kept is one run's answer. A dropped one has lost its bytes but not its end.
type kept struct {
	key     answerKey
	data    []byte
	size    int
	dropped bool
	ending  Ending
	ended   time.Time
	changed chan struct{} // closed and replaced at each change
}

// Answers keeps the answers of this host's runs, bounded in bytes and age.
type Answers struct {
	o   AnswerOptions
	now func() time.Time

	mu    sync.Mutex
	bytes int
	runs  map[answerKey]*kept
	ended *list.List // of *kept, oldest end first
	asked map[scopedKey]*asked
}

// scopedKey is an idempotency key of a customer.
type scopedKey struct {
	customer, key string
}

// asked counts this host's claims of a key whose verdict is on its way.
type asked struct {
	claims int
	fewer  chan struct{} // closed and replaced when claims falls
}

// NewAnswers returns an empty Answers for a use beside the claims. The window is
// the default of Age.
func NewAnswers(o AnswerOptions, window time.Duration, now func() time.Time) *Answers {
	return newAnswers(o, window, now)
}

// Begin starts the answer of one run. Its name must be unique to it.
func (a *Answers) Begin(customer, key string, offset int64) *AnswerWriter {
	return a.begin(answerKey{customer, key, offset})
}

// Read returns what is there of a run's answer beyond from bytes; it waits for
// more of a run that goes on until the context ends.
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
	return &Answers{o: o, now: now, runs: map[answerKey]*kept{}, ended: list.New(), asked: map[scopedKey]*asked{}}
}

// expect has reads of a run that is not known wait until done is called: another
// host may have read a claim as the holder's before the holder itself did.
func (a *Answers) expect(customer, key string) (done func()) {
	k := scopedKey{customer, key}
	a.mu.Lock()
	defer a.mu.Unlock()
	x := a.asked[k]
	if x == nil {
		x = &asked{fewer: make(chan struct{})}
		a.asked[k] = x
	}
	x.claims++
	return func() { a.verdictCame(k, x) }
}

func (a *Answers) verdictCame(k scopedKey, x *asked) {
	a.mu.Lock()
	defer a.mu.Unlock()
	x.claims--
	if x.claims == 0 {
		delete(a.asked, k)
	}
	close(x.fewer)
	x.fewer = make(chan struct{})
}

// AnswerWriter takes the answer of one run as it comes.
type AnswerWriter struct {
	a *Answers
	k *kept
}

func (a *Answers) begin(key answerKey) *AnswerWriter {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := &kept{key: key, ending: Ending{State: AnswerRunning}, changed: make(chan struct{})}
	a.runs[key] = k
	return &AnswerWriter{a: a, k: k}
}

// Write adds bytes to the answer. It never fails: what does not fit the bounds
// is not kept, and repeats of the key are told so.
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
		a.shrink(k)
	}
	k.signal()
	return len(p), nil
}

// Finish ends the answer. Only the first call counts.
func (r *AnswerWriter) Finish(e Ending) {
	a, k := r.a, r.k
	a.mu.Lock()
	defer a.mu.Unlock()
	if k.ending.State != AnswerRunning {
		return
	}
	e.Size = k.size
	k.ending = e
	k.ended = a.now()
	a.ended.PushBack(k)
	k.signal()
	a.expire()
}

func (k *kept) signal() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// shrink drops the bytes of the oldest ended answers, and those of the growing
// one last.
func (a *Answers) shrink(growing *kept) {
	for e := a.ended.Front(); e != nil && a.bytes > a.o.MaxTotalBytes; e = e.Next() {
		a.drop(e.Value.(*kept))
	}
	if a.bytes > a.o.MaxTotalBytes {
		a.drop(growing)
	}
}

func (a *Answers) drop(k *kept) {
	if k.dropped {
		return
	}
	a.bytes -= len(k.data)
	k.data = nil
	k.dropped = true
	answersDropped.Inc()
}

// sweep drops what has grown too old.
func (a *Answers) sweep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire()
}

// expire drops bytes older than Age, and outcomes older than twice that or
// beyond Records.
func (a *Answers) expire() {
	now := a.now()
	for e := a.ended.Front(); e != nil; {
		k, next := e.Value.(*kept), e.Next()
		age := now.Sub(k.ended)
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

// read returns what is there beyond from bytes, waiting for more of a run that
// goes on.
func (a *Answers) read(ctx context.Context, key answerKey, from int) Chunk {
	for {
		chunk, changed := a.look(key, from)
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

// look returns a chunk, and a channel to wait on when there is nothing new.
func (a *Answers) look(key answerKey, from int) (Chunk, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := a.runs[key]
	if x := a.asked[scopedKey{key.customer, key.key}]; k == nil && x != nil {
		return Chunk{State: AnswerRunning}, x.fewer
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
