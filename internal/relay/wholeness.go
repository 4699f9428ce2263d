package relay

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/retry"
)

var (
	errEmptyStream = merry.Sentinel("the connection ended before the first event")
	// errEndUnknown breaks an answer off that would look whole, though nothing tells that it is.
	errEndUnknown = merry.Sentinel("only the connection has ended, and nothing tells whether the answer is whole")
	// errServerEnded is the same where the server did not answer any more after the end.
	errServerEnded = merry.Sentinel("only the connection has ended, and its server cannot be reached any more")
	// errTimeOver is the same where the server may have stopped because its time was over.
	errTimeOver = merry.Sentinel("the answer has ended when the time that its server was given was over")
)

// checkEnd returns an error unless an answer whose body has ended is whole, as far as can be known. The kernel
// closes the connections of a process that dies like those of one that is done, so a server whose answer
// ends with its connection has to answer once more. A server stops at its deadline, and may end its answer in good
// form then.
func (t *attempt) checkEnd(answer *Answer) error {
	switch {
	case answer.Framing == FramedByLength:
		return nil
	case !time.Now().Before(t.stopsAt):
		return errTimeOver
	case answer.Framing != FramedByConnection:
		return nil
	case t.headSent && t.headFraming != FramedByConnection:
		return errEndUnknown
	case !t.serverLives():
		return errServerEnded
	}
	return nil
}

// serverLives reports whether the incarnation that was asked still answers.
func (t *attempt) serverLives() bool {
	u := t.upstream
	id, err := t.relay.identify(t.ctx, u, t.req.Service.Engine != nil)
	restarted := id.Born != 0 && u.Born != 0 && id.Born != u.Born
	return err == nil && !id.Other && !restarted
}

// endedWith returns the result of an attempt whose answer has been passed on to its end, which doubt, unless it
// is nil, keeps from being whole.
func endedWith(doubt error) attemptResult {
	if doubt != nil {
		return attemptResult{end: retry.Broken, err: doubt}
	}
	return attemptResult{delivered: true}
}
