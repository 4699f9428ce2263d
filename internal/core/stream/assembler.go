package stream

import "strings"

// DefaultMaxHeld is the default bound of chunks held out of order.
const DefaultMaxHeld = 16

// unknownTotal says that no final marker has been seen.
const unknownTotal = -1

// Options configures an Assembler.
type Options struct {
	RequestID  string
	MaxHeld    int // chunks held out of order; DefaultMaxHeld when zero
	MaxTokens  int // longest answer that was asked for; no bound when zero
	FirstIndex int // index of the first token that is wanted
}

// Chunk is one token of an answer, or its final marker.
type Chunk struct {
	RequestID string
	Attempt   int
	Index     int    // position of the token in the answer, from 0
	Text      string // empty in a final marker
	Done      bool   // the final marker
	Total     int    // with Done: tokens of the whole answer, counted from index 0
}

// State is where an answer stands.
type State uint8

// States of an answer.
const (
	Streaming State = iota // more is to come
	Gap                    // tokens are missing: resume from NextIndex; chunks are still taken
	Complete               // the whole answer was handed out
	Faulty                 // the chunks contradict each other: give up
)

var stateNames = [...]string{"streaming", "gap", "complete", "faulty"}

// String returns the state's name for logs.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Output is what a chunk led to.
type Output struct {
	Text   string // to hand to the caller now; may be empty
	Tokens int    // tokens in Text
	State  State
}

// DropCounts tells what was dropped, since the answer began.
type DropCounts struct {
	ForeignRequest int // another request's id
	ForeignAttempt int // another attempt of this request
	Duplicate      int // already handed out or held
	TooFarAhead    int // too far ahead to be held
	AfterEnd       int // after the answer was complete or faulty
}

// Assembler puts one answer together. It is not safe for concurrent use.
type Assembler struct {
	opts    Options
	attempt int
	next    int // index of the next token to hand out
	total   int // of the running attempt, or unknownTotal
	held    map[int]string
	state   State
	err     error
	counts  DropCounts
}

// New returns an Assembler without a running attempt: all chunks are foreign
// until StartAttempt is called.
func New(o Options) *Assembler {
	if o.MaxHeld <= 0 {
		o.MaxHeld = DefaultMaxHeld
	}
	return &Assembler{opts: o, next: o.FirstIndex, total: unknownTotal}
}

// StartAttempt makes an attempt, numbered from 1, the only one whose chunks are
// taken. What the one before left out of order is forgotten, for another
// attempt's tokens may differ. Starting the running attempt again, to resume its
// stream on a new connection, keeps the total it has told. It returns false, and
// changes nothing, when the number is lower than the running one or the answer
// has ended.
func (a *Assembler) StartAttempt(attempt int) bool {
	if attempt < 1 || attempt < a.attempt || a.ended() {
		return false
	}
	if attempt > a.attempt {
		a.total = unknownTotal
	}
	a.attempt = attempt
	a.state = Streaming
	clear(a.held)
	return true
}

// NextIndex returns the index to resume from: that of the first token not yet
// handed out.
func (a *Assembler) NextIndex() int { return a.next }

// Attempt returns the number of the running attempt, zero before the first.
func (a *Assembler) Attempt() int { return a.attempt }

// State returns where the answer stands.
func (a *Assembler) State() State { return a.state }

// DropCounts returns what was dropped.
func (a *Assembler) DropCounts() DropCounts { return a.counts }

// Err returns a *FaultError when the state is Faulty, else nil.
func (a *Assembler) Err() error { return a.err }

// Accept takes one chunk and returns what to hand to the caller. It never fails:
// a chunk that has no place here is dropped and counted.
func (a *Assembler) Accept(c Chunk) Output {
	if a.drop(c) {
		return Output{State: a.state}
	}
	if c.Done {
		return a.acceptFinal(c)
	}
	if f := a.checkToken(c); f != FaultNone {
		return a.fault(f, c)
	}
	switch {
	case c.Index < a.next:
		a.counts.Duplicate++
		return Output{State: a.state}
	case c.Index > a.next:
		return a.hold(c)
	}
	return a.emit(c)
}

func (a *Assembler) ended() bool { return a.state == Complete || a.state == Faulty }

// drop counts and reports chunks that must not change the answer.
func (a *Assembler) drop(c Chunk) bool {
	switch {
	case c.RequestID != a.opts.RequestID:
		a.counts.ForeignRequest++
	case c.Attempt != a.attempt || a.attempt == 0:
		a.counts.ForeignAttempt++
	case a.ended():
		a.counts.AfterEnd++
	default:
		return false
	}
	return true
}

func (a *Assembler) checkToken(c Chunk) Fault {
	switch {
	case c.Index < 0:
		return FaultIndex
	case a.opts.MaxTokens > 0 && c.Index >= a.opts.MaxTokens:
		return FaultTooLong
	case a.total != unknownTotal && c.Index >= a.total:
		return FaultTotal
	}
	if text, ok := a.held[c.Index]; ok && text != c.Text {
		return FaultText
	}
	return FaultNone
}

func (a *Assembler) acceptFinal(c Chunk) Output {
	switch {
	case c.Text != "":
		return a.fault(FaultMarker, c)
	case c.Total < a.next || a.heldBeyond(c.Total):
		return a.fault(FaultTotal, c)
	case a.total != unknownTotal && a.total != c.Total:
		return a.fault(FaultTotal, c)
	case a.opts.MaxTokens > 0 && c.Total > a.opts.MaxTokens:
		return a.fault(FaultTooLong, c)
	}
	a.total = c.Total
	a.finishIfWhole()
	if a.state == Streaming {
		// A marker ends its stream, so what is missing comes only by a resume.
		a.state = Gap
	}
	return Output{State: a.state}
}

func (a *Assembler) heldBeyond(total int) bool {
	for i := range a.held {
		if i >= total {
			return true
		}
	}
	return false
}

func (a *Assembler) hold(c Chunk) Output {
	if _, ok := a.held[c.Index]; ok {
		a.counts.Duplicate++
		return Output{State: a.state}
	}
	if c.Index > a.next+a.opts.MaxHeld {
		a.counts.TooFarAhead++
		a.state = Gap
		return Output{State: a.state}
	}
	if a.held == nil {
		a.held = make(map[int]string)
	}
	a.held[c.Index] = c.Text
	return Output{State: a.state}
}

// emit hands out the next token and all held ones that follow it.
func (a *Assembler) emit(c Chunk) Output {
	a.next++
	text, tokens := c.Text, 1
	if len(a.held) > 0 {
		text, tokens = a.drain(c.Text)
	}
	a.finishIfWhole()
	return Output{Text: text, Tokens: tokens, State: a.state}
}

func (a *Assembler) drain(first string) (string, int) {
	var b strings.Builder
	b.WriteString(first)
	tokens := 1
	for {
		text, ok := a.held[a.next]
		if !ok {
			return b.String(), tokens
		}
		delete(a.held, a.next)
		b.WriteString(text)
		a.next++
		tokens++
	}
}

func (a *Assembler) finishIfWhole() {
	if a.total == a.next {
		a.state = Complete
	}
}

func (a *Assembler) fault(f Fault, c Chunk) Output {
	a.state = Faulty
	a.err = &FaultError{Fault: f, Attempt: c.Attempt, Index: c.Index, Next: a.next, Total: a.total, ChunkTotal: c.Total}
	clear(a.held)
	return Output{State: a.state}
}
