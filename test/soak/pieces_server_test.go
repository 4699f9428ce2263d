package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/buckthorndock/buckthorndock/platform/standin"
)

// piecesQuery is the query field of requests whose answers are sent in numbered pieces, by the other
// fields. Its value is the number of pieces.
const piecesQuery = "pieces"

// Ways in which a server frames an answer.
const (
	byChunks     = "chunks"
	byLength     = "length"
	byConnection = "connection"
)

// Where a server goes on with a stream that is resumed.
const (
	goesOnAfter = "after"
	goesOnAt    = "at"   // repeats the last event
	goesOnAnew  = "anew" // repeats all
)

// How events are named, and how their lines end.
const (
	numberedIDs = "numbers"
	textIDs     = "texts"
	noIDs       = "none"

	endLF   = "lf"
	endCRLF = "crlf"
	endCR   = "cr"
)

// pieceStyle is how the servers answer one request.
type pieceStyle struct {
	pieces          int
	framing, goesOn string
	ids, lineEnd    string
	pause           time.Duration // before each piece
	cutAfter        int           // the first run stops inside the piece after this one; 0: it does not
	endsAtDeadline  bool          // the server ends its answer as if it were whole when its time is over
	padding         int           // bytes of each piece beside its name
	versioned       bool          // the servers' weights have different versions
	extra           bool          // the same answer comes once more on the connection after the whole one
}

func (p pieceStyle) query() string {
	q := url.Values{
		piecesQuery: {strconv.Itoa(p.pieces)}, "framing": {p.framing}, "on": {p.goesOn}, "ids": {p.ids}, "line": {p.lineEnd},
		"pause": {p.pause.String()}, "cut": {strconv.Itoa(p.cutAfter)}, "deadline": {strconv.FormatBool(p.endsAtDeadline)},
		"padding": {strconv.Itoa(p.padding)}, "versioned": {strconv.FormatBool(p.versioned)}, "extra": {strconv.FormatBool(p.extra)},
	}
	return q.Encode()
}

// styleOf reads the style from the query of a request.
func styleOf(q url.Values) pieceStyle {
	number := func(name string) int {
		n, err := strconv.Atoi(q.Get(name))
		if err != nil {
			panic(err)
		}
		return n
	}
	pause, err := time.ParseDuration(q.Get("pause"))
	if err != nil {
		panic(err)
	}
	return pieceStyle{
		pieces: number(piecesQuery), framing: q.Get("framing"), goesOn: q.Get("on"), ids: q.Get("ids"), lineEnd: q.Get("line"),
		pause: pause, cutAfter: number("cut"), endsAtDeadline: q.Get("deadline") == "true",
		padding: number("padding"), versioned: q.Get("versioned") == "true", extra: q.Get("extra") == "true",
	}
}

var (
	framings = []string{byChunks, byLength, byConnection}
	goingsOn = []string{goesOnAfter, goesOnAfter, goesOnAt, goesOnAnew}
	idKinds  = []string{numberedIDs, numberedIDs, numberedIDs, textIDs, noIDs}
	lineEnds = []string{endLF, endLF, endCRLF, endCR}
)

// Sizes and times of answers in pieces.
const (
	minPieces     = 6
	maxPieces     = 30
	maxPiecePause = 40 * time.Millisecond
	longPadding   = 20 << 10 // makes a plain answer longer than what a daemon holds
)

// drawStyle returns the style of a request.
func drawStyle(rng *rand.Rand) pieceStyle {
	pick := func(list []string) string { return list[rng.IntN(len(list))] }
	p := pieceStyle{
		pieces: minPieces + rng.IntN(maxPieces-minPieces), framing: pick(framings), goesOn: pick(goingsOn), ids: pick(idKinds),
		lineEnd: pick(lineEnds), pause: time.Duration(rng.Int64N(int64(maxPiecePause))), versioned: rng.IntN(4) == 0,
	}
	switch rng.IntN(8) {
	case 0, 1:
		p.cutAfter = 1 + rng.IntN(p.pieces-1)
	case 2:
		p.endsAtDeadline = true
	case 3:
		p.padding = longPadding
	case 4:
		p.extra = true
	}
	return p
}

var lineEndBytes = map[string]string{endLF: "\n", endCRLF: "\r\n", endCR: "\r"}

// pieceID returns the id of a piece, empty if it has none.
func (p pieceStyle) pieceID(n int) string {
	switch p.ids {
	case textIDs:
		return fmt.Sprintf("p%x", n*7919)
	case noIDs:
		return ""
	}
	return strconv.Itoa(n)
}

// piece returns a piece of a request's answer. It names the server.
func (p pieceStyle) piece(request string, n int, server string, event bool) string {
	name := fmt.Sprintf("%s-%d-%s-%s", request, n, server, strings.Repeat("x", p.padding))
	end := lineEndBytes[p.lineEnd]
	switch id := p.pieceID(n); {
	case !event:
		return name + "\n"
	case id == "":
		return "data: " + name + end + end
	default:
		return "id: " + id + end + "data: " + name + end + end
	}
}

// firstPiece returns the first piece of a run that has been asked to go on after the event last.
func (p pieceStyle) firstPiece(last string) int {
	all := make([]string, p.pieces)
	for i := range all {
		all[i] = p.pieceID(i + 1)
	}
	at := slices.Index(all, last) + 1 // 0: unknown
	switch {
	case last == "" || at == 0 || p.goesOn == goesOnAnew:
		return 1
	case p.goesOn == goesOnAt:
		return at
	}
	return at + 1
}

// headLines returns the lines of the head that the style needs for a body.
func (p pieceStyle) headLines(body []string, server string) string {
	lines := "Content-Type: text/event-stream\r\n"
	switch p.framing {
	case byChunks:
		lines += "Transfer-Encoding: chunked\r\n"
	case byLength:
		lines += fmt.Sprintf("Content-Length: %d\r\n", len(strings.Join(body, "")))
	}
	if p.versioned {
		version := 1 + strings.Count(server, "1")%2
		lines += fmt.Sprintf("Weight-Versions: %d\r\n", version)
	}
	return lines
}

// answerInPieces answers a request in the style that its query asks for. It returns whether the answer
// is whole and the connection can be kept.
func answerInPieces(s *standin.Server, w *bufio.Writer, r *http.Request, request, server string) bool {
	p := styleOf(r.URL.Query())
	until := time.Now().Add(standin.Timeout(r.Header))
	last := standin.LastEvent(r.Header)
	event := strings.HasPrefix(r.URL.Path, "/"+kindStream) || strings.HasPrefix(r.URL.Path, "/"+kindSingle)
	var body []string
	for n := p.firstPiece(last); n <= p.pieces; n++ {
		body = append(body, p.piece(request, n, server, event))
	}
	whole := p.send(s, w, r, body, server, until)
	if whole && p.extra {
		time.Sleep(extraDelay)
		p.pause = 0
		p.send(s, w, r, body, server, until)
	}
	return whole
}

// extraDelay is how long after an answer an extra one comes.
const extraDelay = 3 * time.Millisecond

// send sends the pieces of an answer. It returns whether the answer is whole and the connection can be kept.
func (p pieceStyle) send(s *standin.Server, w *bufio.Writer, r *http.Request, body []string, server string, until time.Time) bool {
	last := standin.LastEvent(r.Header)
	s.WriteHead(w, r, p.headLines(body, server))
	write := func(text string) bool {
		if p.framing == byChunks {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		_, _ = w.WriteString(text) // Flush tells
		return w.Flush() == nil
	}
	for i, piece := range body {
		time.Sleep(p.pause)
		switch {
		case last == "" && p.cutAfter == i && i > 0:
			_, _ = w.WriteString(cutChunk(p, piece))
			_ = w.Flush()
			return false
		case p.endsAtDeadline && !time.Now().Before(until):
			return p.framing == byChunks && endChunks(w)
		case !write(piece):
			return false
		}
	}
	switch p.framing {
	case byChunks:
		return endChunks(w)
	case byLength:
		return w.Flush() == nil
	}
	return false
}

func endChunks(w *bufio.Writer) bool {
	_, _ = w.WriteString("0\r\n\r\n")
	return w.Flush() == nil
}

// cutChunk returns the first half of a piece, as it is framed.
func cutChunk(p pieceStyle, piece string) string {
	half := piece[:len(piece)/2]
	if p.framing == byChunks {
		return fmt.Sprintf("%x\r\n%s", len(piece), half)
	}
	return half
}
