package stream

import "strings"

// DefaultMaxHeld is the default of Options.MaxHeld, in chunks.
const DefaultMaxHeld = 16

// unknownTotal is the total while no final marker has been received.
const unknownTotal = -1

// Options configures an Assembler.
type Options struct {
	RequestID  string
	MaxHeld    int // max chunks held, and how far ahead of NextIndex; DefaultMaxHeld when zero
	MaxTokens  int // max tokens of the answer; no bound when zero
	FirstIndex int // index of the first token to hand out
}

// Chunk is one token of an answer or the final marker of its stream.
type Chunk struct {
	RequestID string
	Attempt   int
	Index     int    // position of the token in the answer, from 0
	Text      string // empty in a final marker
	Done      bool   // this is the final marker
	Total     int    // with Done: number of tokens of the whole answer, counted from index 0
}

// State is the progress of an answer.
type State uint8

// States of an answer.
const (
	Streaming State = iota // more chunks are expected
	Gap                    // tokens are missing: resume from NextIndex; chunks are still accepted
	Complete               // the whole answer was handed out
	Faulty                 // the chunks contradict each other; no more are accepted
)

var stateNames = [...]string{"streaming", "gap", "complete", "faulty"}

// String returns the name of the state for logs, "unknown" for an undefined one.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Output is the result of accepting a chunk.
type Output struct {
	Text   string // text to hand to the caller now; may be empty
	Tokens int    // number of tokens in Text
	State  State
}

// DropCounts holds the numbers of chunks dropped since the start of the answer, by reason.
type DropCounts struct {
	ForeignRequest int // the id is that of another request
	ForeignAttempt int // not of the running attempt
	Duplicate      int // already handed out or held
	TooFarAhead    int // more than MaxHeld tokens ahead of NextIndex
	AfterEnd       int // received when the answer was complete or faulty
}

// Assembler assembles one answer from chunks. It is not safe for concurrent use.
type Assembler struct {
	opts    Options
	attempt int
	next    int            // index of the next token to hand out
	total   int            // total tokens by the final marker of the running attempt, or unknownTotal
	held    map[int]string // texts of chunks ahead of next, by index
	state   State
	err     error
	counts  DropCounts
}

// New returns an Assembler without a running attempt. It drops all chunks as ForeignAttempt
// until StartAttempt is called.
func New(o Options) *Assembler {
	if o.MaxHeld <= 0 {
		o.MaxHeld = DefaultMaxHeld
	}
	return &Assembler{opts: o, next: o.FirstIndex, total: unknownTotal}
}

// StartAttempt makes attempt, numbered from 1, the only one whose chunks are accepted. It
// discards the chunks held out of order, as the tokens of another attempt may differ. Starting
// the running attempt again, to resume its stream on a new connection, keeps the total from its
// final marker. StartAttempt returns false, and changes nothing, when the number is below 1 or
// lower than that of the running attempt, or when the answer has ended.
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

// NextIndex returns the index of the first token not yet handed out, from which to resume.
func (a *Assembler) NextIndex() int { return a.next }

// Attempt returns the number of the running attempt, 0 before the first.
func (a *Assembler) Attempt() int { return a.attempt }

// State returns the state of the answer.
func (a *Assembler) State() State { return a.state }

// DropCounts returns the numbers of dropped chunks.
func (a *Assembler) DropCounts() DropCounts { return a.counts }

// Err returns a *FaultError when the state is Faulty, and otherwise nil.
func (a *Assembler) Err() error { return a.err }

// Accept processes one chunk and returns the text to hand to the caller. It never fails: a
// chunk that does not belong to the answer is dropped and counted, and a contradiction makes
// the state Faulty.
func (a *Assembler) Accept(c Chunk) Output {
	if a.dropped(c) {
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

// dropped reports whether the chunk must not change the answer, and counts it if so.
func (a *Assembler) dropped(c Chunk) bool {
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

// checkToken returns the contradiction between a token and what is known of the answer.
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
	case c.Total < a.next || a.hasHeldFrom(c.Total):
		return a.fault(FaultTotal, c)
	case a.total != unknownTotal && a.total != c.Total:
		return a.fault(FaultTotal, c)
	case a.opts.MaxTokens > 0 && c.Total > a.opts.MaxTokens:
		return a.fault(FaultTooLong, c)
	}
	a.total = c.Total
	a.completeIfAll()
	if a.state == Streaming {
		// A final marker ends its stream, so missing tokens arrive only after a resume.
		a.state = Gap
	}
	return Output{State: a.state}
}

// hasHeldFrom reports whether a held chunk has an index of total or above.
func (a *Assembler) hasHeldFrom(total int) bool {
	for i := range a.held {
		if i >= total {
			return true
		}
	}
	return false
}

// hold stores a chunk that is ahead of the next one.
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

// emit returns the next token and all held ones that follow it.
func (a *Assembler) emit(c Chunk) Output {
	a.next++
	text, tokens := c.Text, 1
	if len(a.held) > 0 {
		text, tokens = a.emitHeld(c.Text)
	}
	a.completeIfAll()
	return Output{Text: text, Tokens: tokens, State: a.state}
}

// emitHeld returns first and the texts of the held chunks that follow it, and their number of
// tokens.
func (a *Assembler) emitHeld(first string) (string, int) {
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

func (a *Assembler) completeIfAll() {
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
