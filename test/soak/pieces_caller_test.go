package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/platform/standin"
)

// kindSingle is the kind of streams that may not be resumed.
const kindSingle = "single"

// Versions of HTTP that callers speak.
const (
	http10 = "HTTP/1.0"
	http11 = "HTTP/1.1"
)

// pieceCall is one request for an answer in pieces.
type pieceCall struct {
	id, kind, proto string
	style           pieceStyle
	deadline        time.Duration
	tokens          int // of the prompt
}

// pieceAnswer is what its caller got.
type pieceAnswer struct {
	pieceCall
	sent   time.Time
	status int
	framed bool // a length or chunks tell the end
	whole  bool // it ended as a whole answer does
	text   string
	err    error
}

// piecesCaller sends such requests to a daemon, over a connection that it keeps while it can.
type piecesCaller struct {
	rig   *rig
	d     *daemon
	rng   *rand.Rand
	name  string
	count int
	conn  net.Conn // nil: none is kept
	br    *bufio.Reader
}

// Times of the callers of answers in pieces.
const (
	piecesDeadline  = 12 * time.Second
	shortDeadline   = 250 * time.Millisecond
	piecesPatience  = 20 * time.Second
	shortTokens     = 2000
	longTokens      = 210_000
	noAnswerPause   = 500 * time.Millisecond
	longPromptShare = 1.0 / 12
	http10Share     = 1.0 / 5
)

func (c *piecesCaller) draw() pieceCall {
	c.count++
	call := pieceCall{
		id: fmt.Sprintf("%s_%d", c.name, c.count), proto: http11, style: drawStyle(c.rng), deadline: piecesDeadline, tokens: shortTokens,
	}
	switch n := c.rng.IntN(10); {
	case n < 5:
		call.kind = kindStream
	case n < 7:
		call.kind = kindSingle
	case n < 9:
		call.kind = kindAgain
	default:
		call.kind = kindOnce
	}
	if c.rng.Float64() < http10Share {
		call.proto = http10
	}
	if call.style.endsAtDeadline {
		call.deadline = shortDeadline
	}
	if call.isStream() && c.rng.Float64() < longPromptShare {
		call.tokens = longTokens
	}
	return call
}

func (c pieceCall) isStream() bool { return c.kind == kindStream || c.kind == kindSingle }

// run sends requests, one after the other, until the context ends.
func (c *piecesCaller) run(ctx context.Context, got func(pieceAnswer)) {
	defer c.drop()
	for ctx.Err() == nil {
		a := c.send(c.draw())
		got(a)
		switch a.status {
		case http.StatusOK:
		case 0:
			time.Sleep(noAnswerPause)
		default:
			time.Sleep(queuePause)
		}
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(callerPause)))
	}
}

// drop closes the connection that is kept.
func (c *piecesCaller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

func (c *piecesCaller) send(call pieceCall) pieceAnswer {
	a := pieceAnswer{pieceCall: call, sent: time.Now()}
	kept, err := c.exchange(&a)
	a.err = err
	if !kept {
		c.drop()
	}
	return a
}

// exchange sends a request and reads its answer. It reports whether the connection can be used again.
func (c *piecesCaller) exchange(a *pieceAnswer) (kept bool, err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.d.address, time.Second); err != nil {
			return false, err
		}
		c.br = bufio.NewReader(c.conn)
	}
	if err := c.conn.SetDeadline(time.Now().Add(piecesPatience)); err != nil {
		return false, err
	}
	if _, err := io.WriteString(c.conn, c.requestText(a.pieceCall)); err != nil {
		return false, err
	}
	res, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return false, err
	}
	a.status, a.framed = res.StatusCode, res.ContentLength >= 0 || len(res.TransferEncoding) > 0
	text, err := io.ReadAll(res.Body)
	a.text, a.whole = string(text), err == nil
	return err == nil && a.framed && !res.Close, err
}

func (c *piecesCaller) requestText(call pieceCall) string {
	h := http.Header{}
	s := standin.Call{ID: call.id, Key: customerKey("", c.rig.history.newestVersion()-1), Timeout: call.deadline}
	if call.isStream() {
		s.PromptTokens, s.MaxTokens, s.PromptPart = call.tokens, 100, c.rng.Uint32()
	}
	s.SetHeaders(h)
	var text strings.Builder
	fmt.Fprintf(&text, "POST /%s/x?%s %s\r\nHost: h\r\nContent-Length: 0\r\n", call.kind, call.style.query(), call.proto)
	_ = h.Write(&text) // a Builder does not fail
	return text.String() + "\r\n"
}

// piecePattern matches the name of a piece: request, number and server.
var piecePattern = regexp.MustCompile(`([\w]+)-(\d+)-(i-\w+-\d+)-`)

// orderFault is a broken promise about the pieces of an answer.
type orderFault string

// Ways to break the order of pieces.
const (
	pieceMissing orderFault = "a piece is missing"
	pieceTwice   orderFault = "a piece comes twice or goes back"
	runsJoined   orderFault = "pieces of two runs are joined"
	endTooSoon   orderFault = "it ends as whole before its last piece"
	framedWhole  orderFault = "its framing tells an end that nobody knows"
	foreign      orderFault = "a piece of another answer"
)

// judge returns what is wrong with an answer, nil if nothing is.
func (a *pieceAnswer) judge() []orderFault {
	if a.status != http.StatusOK {
		return nil
	}
	var faults []orderFault
	last, server := 0, ""
	for _, m := range piecePattern.FindAllStringSubmatch(a.text, -1) {
		n, err := strconv.Atoi(m[2])
		switch {
		case err != nil, m[1] != a.id:
			faults = append(faults, foreign)
		case n <= last:
			faults = append(faults, pieceTwice)
		case n > last+1:
			faults = append(faults, pieceMissing)
		}
		if server != "" && server != m[3] && a.kind != kindStream {
			faults = append(faults, runsJoined)
		}
		last, server = n, m[3]
	}
	if a.whole && last < a.style.pieces {
		switch {
		case a.framed && a.proto == http11 && a.style.framing == byConnection:
			faults = append(faults, framedWhole)
		case !a.mayEndUnseen():
			faults = append(faults, endTooSoon)
		}
	}
	return faults
}

// mayEndUnseen reports whether nothing could tell that the answer broke off: a server that lives on closes the
// connection in the middle of a plain answer without framing.
func (a *pieceAnswer) mayEndUnseen() bool {
	return !a.framed && !a.isStream() && a.style.framing == byConnection && a.style.cutAfter > 0
}

// piecesTally is what a soak of answers in pieces has seen. It is safe for concurrent use.
type piecesTally struct {
	mu      sync.Mutex
	answers int
	whole   int
	cut     int
	refused int
	noneYet int // no answer at all
	faults  map[orderFault]int
	bySort  map[string]int // faults by what they have in common
	samples []string
}

func (t *piecesTally) add(a pieceAnswer) {
	faults := a.judge()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case a.status == 0:
		t.noneYet++
	case a.status != http.StatusOK:
		t.refused++
	case a.whole:
		t.whole++
	default:
		t.cut++
	}
	t.answers++
	for _, f := range faults {
		t.faults[f]++
	}
	if len(faults) == 0 {
		return
	}
	t.bySort[fmt.Sprintf("%s %s framing=%s on=%s ids=%s line=%s deadline=%v: %s", a.kind, a.proto, a.style.framing, a.style.goesOn, a.style.ids, a.style.lineEnd, a.style.endsAtDeadline, faults[0])]++
	const maxSamples = 12
	if len(t.samples) < maxSamples {
		t.samples = append(t.samples, fmt.Sprintf("%s sent %s: %v, %d of them; framed %v, whole %v, %v", a.id, a.sent.Format(time.TimeOnly), faults[0], len(faults), a.framed, a.whole, a.err))
	}
}

func (t *piecesTally) summary() string {
	return fmt.Sprintf("%d answers: %d whole, %d cut, %d refused, %d none", t.answers, t.whole, t.cut, t.refused, t.noneYet)
}
