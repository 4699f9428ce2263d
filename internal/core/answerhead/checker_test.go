package answerhead

import (
	"bufio"
	"errors"
	"io"
	"maps"
	"net/http"
	"regexp"
	"strings"
	"testing"
)

const okLine = "HTTP/1.1 200 OK\r\n"

// soundHeads are heads that have to be accepted.
var soundHeads = map[string]string{
	"no fields":             okLine + "\r\n",
	"no reason":             "HTTP/1.1 200\r\n\r\n",
	"an empty reason":       "HTTP/1.1 200 \r\n\r\n",
	"a reason of Latin 1":   "HTTP/1.1 200 d\xe9j\xe0\tvu\r\n\r\n",
	"HTTP/1.0":              "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n",
	"another minor version": "HTTP/1.9 200 OK\r\n\r\n",
	"the lowest status":     "HTTP/1.1 100 Continue\r\n\r\n",
	"the highest status":    "HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\n",
	"bare LF":               "HTTP/1.1 200 OK\nContent-Length: 2\n\n",
	"all bytes of a token":  okLine + "!#$%&'*+-.^_`|~09azAZ: x\r\n\r\n",
	"no value":              okLine + "X-A:\r\n\r\n",
	"blanks round a value":  okLine + "X-A: \t b \t\r\n\r\n",
	"high bytes in a value": okLine + "X-A: \xff\x80\r\n\r\n",
	"a folded value":        okLine + "X-A: b\r\n  c\r\n\td\r\n\r\n",
	"a folded blank line":   okLine + "X-A: b\r\n \r\nContent-Length: 2\r\n\r\n",
	"a length in a fold":    okLine + "X-A: b\r\n Content-Length : 5\r\n\r\n",
	"equal lengths":         okLine + "Content-Length: 17\r\ncontent-length:17 \r\n\r\n",
	"chunks in any case":    okLine + "TRANSFER-ENCODING: Chunked\r\n\r\n",
	"no content":            "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
	"not modified":          "HTTP/1.1 304 Not Modified\r\nContent-Length: 17\r\n\r\n",
	"a longer name":         okLine + "Transfer-Encodings: x\r\nContent-Lengt: x\r\n\r\n",
}

func TestSoundHeadsAreAccepted(t *testing.T) {
	for name, head := range soundHeads {
		var c Checker
		n, err := c.Add([]byte(head + "body"))
		if err != nil || !c.Ended() || n != len(head) || c.Size().Bytes != int64(n) {
			t.Errorf("%s: %d of %d bytes, ended %v, %v", name, n, len(head), c.Ended(), err)
		}
		if lines := c.Size().Lines; lines != int64(strings.Count(head, "\n")) {
			t.Errorf("%s: %d lines", name, lines)
		}
	}
}

// Heads that have to be rejected, with the fault and its line, which the log tells.
var (
	brokenStatusLines = map[string]Error{
		"HTTP/1.1 000 \r\n":                    {Fault: FaultStatus, Line: 1},
		"HTTP/1.1 099 Odd\r\n":                 {Fault: FaultStatus, Line: 1},
		"HTTP/1.1 101 Switching Protocols\r\n": {Fault: FaultStatus, Line: 1},
		"HTTP/1.1 600\r\n":                     {Fault: FaultStatus, Line: 1},
		"HTTP/1.1 +12":                         {Fault: FaultStatusLine, Line: 1},
		"HTTP/1.1 -12":                         {Fault: FaultStatusLine, Line: 1},
		"HTTP/1.1 2 0":                         {Fault: FaultStatusLine, Line: 1},
		"HTTP/1.1 20\r\n":                      {Fault: FaultStatusLine, Line: 1},
		"HTTP/1.1 2000":                        {Fault: FaultStatusLine, Line: 1},
		"HTTP/1.1 200\tOK":                     {Fault: FaultStatusLine, Line: 1},
		"HTTP/1.1\t200":                        {Fault: FaultStatusLine, Line: 1},
		"HTTP/1.1  200":                        {Fault: FaultStatusLine, Line: 1},
		"HTTP/1.1 \u0662\u0660\u0660":          {Fault: FaultStatusLine, Line: 1},
		"HTTP/2.0":                             {Fault: FaultStatusLine, Line: 1},
		"HTTP/1.10":                            {Fault: FaultStatusLine, Line: 1},
		"http/1.1":                             {Fault: FaultStatusLine, Line: 1},
		" HTTP/1.1":                            {Fault: FaultStatusLine, Line: 1},
		"\r\nHTTP/1.1 200 OK":                  {Fault: FaultStatusLine, Line: 1},
		"HTTP/1.1 200 \x00":                    {Fault: FaultStatusLine, Line: 1},
	}
	brokenFields = map[string]Error{
		"HTTP/1.1 200 OK\rX":       {Fault: FaultLineEnd, Line: 1},
		"HTTP/1.1 200 OK\r\r":      {Fault: FaultLineEnd, Line: 1},
		okLine + " X-A: b":         {Fault: FaultFieldName, Line: 2},
		okLine + "Bad Name":        {Fault: FaultFieldName, Line: 2},
		okLine + "X-A: b\r\nX-B :": {Fault: FaultFieldName, Line: 3},
		okLine + ":":               {Fault: FaultFieldName, Line: 2},
		okLine + "X-A\r\n":         {Fault: FaultFieldName, Line: 2},
		okLine + "X-\x00":          {Fault: FaultFieldName, Line: 2},
		okLine + "X-\xe9":          {Fault: FaultFieldName, Line: 2},
		okLine + "X-A: \x0b":       {Fault: FaultFieldValue, Line: 2},
		okLine + "X-A: b\r\n \x7f": {Fault: FaultFieldValue, Line: 3},
		okLine + "X-A: b\rc":       {Fault: FaultLineEnd, Line: 2},
		okLine + "\rX":             {Fault: FaultLineEnd, Line: 2},
	}
	brokenFramings = map[string]Error{
		okLine + "Content-Length: 1\r\n 2":                                 {Fault: FaultFraming, Line: 3},
		okLine + "Content-Length: 1x\r\n\r\n":                              {Fault: FaultFraming},
		okLine + "Content-Length: 1, 1\r\n\r\n":                            {Fault: FaultFraming},
		okLine + "Content-Length: 0x1\r\n\r\n":                             {Fault: FaultFraming},
		okLine + "Content-Length: 1_0\r\n\r\n":                             {Fault: FaultFraming},
		okLine + "Content-Length: 1 0\r\n\r\n":                             {Fault: FaultFraming},
		okLine + "Content-Length: -1\r\n\r\n":                              {Fault: FaultFraming},
		okLine + "Content-Length: \r\n\r\n":                                {Fault: FaultFraming},
		okLine + "Content-Length: " + strings.Repeat("9", 30) + "\r\n\r\n": {Fault: FaultFraming},
		okLine + "Content-Length: " + strings.Repeat("0", 100):             {Fault: FaultFraming, Line: 2},
		okLine + "Content-Length: 1\r\nContent-Length: 01\r\n\r\n":         {Fault: FaultFraming},
		okLine + "Transfer-Encoding: gzip\r\n\r\n":                         {Fault: FaultFraming},
		okLine + "Transfer-Encoding: chunked, chunked\r\n\r\n":             {Fault: FaultFraming},
		okLine + "Transfer-Encoding: chunked;a=b\r\n\r\n":                  {Fault: FaultFraming},
		okLine + "Transfer-Encoding:\r\n\r\n":                              {Fault: FaultFraming},
		okLine + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n": {Fault: FaultFraming},
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":            {Fault: FaultFraming},
		"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n":               {Fault: FaultFraming},
		"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n":    {Fault: FaultFraming},
		"HTTP/1.1 204 No Content\r\nContent-Length: 1\r\n\r\n":             {Fault: FaultFraming},
	}
)

// brokenHeads are all of them.
func brokenHeads() map[string]Error {
	all := maps.Clone(brokenStatusLines)
	maps.Copy(all, brokenFields)
	maps.Copy(all, brokenFramings)
	return all
}

func TestBrokenHeadsAreRejected(t *testing.T) {
	for head, want := range brokenHeads() {
		var c Checker
		_, err := c.Add([]byte(head))
		var got *Error
		if !errors.As(err, &got) {
			got = &Error{}
		}
		if got.Fault != want.Fault || got.Line != want.Line {
			t.Errorf("%q: got %v, want %q in line %d", head, err, want.Fault, want.Line)
		}
	}
}

func TestTrailersAreChecked(t *testing.T) {
	for name, sound := range map[string]bool{"X-A": true, "Bad Name": false, "": false, "X\xff": false} {
		err := CheckTrailer(map[string][]string{name: {"x"}})
		if (err == nil) != sound || err != nil && !IsError(err) {
			t.Errorf("%q: %v", name, err)
		}
	}
	if err := CheckTrailer(nil); err != nil {
		t.Error(err)
	}
}

// grammar is that of a head by RFC 9112 and 9110, of characters of Latin 1, with folded lines and bare LF, without
// what frames a body.
var grammar = regexp.MustCompile(`^HTTP/1\.[0-9] (10[02-9]|1[1-9][0-9]|[2-5][0-9][0-9])( ` + text + `)?` + end +
	"([!#$%&'*+.^_`|~0-9A-Za-z-]+:" + text + end + `([ \t]` + text + end + `)*)*` + end)

const (
	text = `[\t -~\x{80}-\x{ff}]*`
	end  = `\r?\n`
)

// matchGrammar returns how many bytes match the grammar; -1: none do.
func matchGrammar(head []byte) int {
	latin1 := make([]rune, len(head))
	for i, b := range head {
		latin1[i] = rune(b)
	}
	match := grammar.FindString(string(latin1))
	if match == "" {
		return -1
	}
	return len([]rune(match))
}

// FuzzChecker checks that any bytes are judged as by the grammar, in pieces as in one, and that net/http reads what
// is accepted as the same head: the same length, status, and end.
func FuzzChecker(f *testing.F) {
	for _, head := range soundHeads {
		f.Add([]byte(head+"body"), 3)
	}
	for head := range brokenHeads() {
		f.Add([]byte(head), 11)
	}
	f.Fuzz(func(t *testing.T, p []byte, cut int) {
		var c Checker
		n, err := c.Add(p)
		checkInPieces(t, p, cut, n, err)
		length := matchGrammar(p)
		switch {
		case err == nil && !c.Ended():
			if length >= 0 {
				t.Fatalf("%q: %d bytes match, but the head has not ended", p, length)
			}
		case err == nil:
			if length != n {
				t.Fatalf("%q: %d bytes match, %d are the head", p, length, n)
			}
			checkAsNetHTTP(t, p, n, c.status)
		case length >= 0 && err.(*Error).Fault != FaultFraming:
			t.Fatalf("%q matches, but: %v", p, err)
		}
	})
}

// checkInPieces checks that two pieces are judged as the whole.
func checkInPieces(t *testing.T, p []byte, cut, n int, err error) {
	if cut < 0 || cut > len(p) {
		return
	}
	var c Checker
	first, err1 := c.Add(p[:cut])
	second, err2 := 0, err1
	if err1 == nil && !c.Ended() {
		second, err2 = c.Add(p[cut:])
	}
	if first+second != n || (err2 == nil) != (err == nil) {
		t.Fatalf("%q cut at %d: %d bytes, %v; whole: %d, %v", p, cut, first+second, err2, n, err)
	}
}

// checkAsNetHTTP checks that net/http reads an accepted head, of n bytes, in the same way.
func checkAsNetHTTP(t *testing.T, p []byte, n, status int) {
	br := bufio.NewReader(strings.NewReader(string(p[:n]) + "rest"))
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		if strings.Contains(strings.ToLower(string(p[:n])), "trailer:") {
			return // which may not announce some names
		}
		t.Fatalf("%q: %v", p, err)
	}
	if res.StatusCode != status {
		t.Fatalf("%q: status %d, net/http reads %d", p, status, res.StatusCode)
	}
	for name := range res.Header {
		if CheckTrailer(map[string][]string{name: nil}) != nil {
			t.Fatalf("%q: name %q", p, name)
		}
	}
	if rest, err := io.ReadAll(br); string(rest) != "rest" {
		t.Fatalf("%q: net/http has read up to %q, %v", p, rest, err)
	}
}
