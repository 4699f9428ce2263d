package inboundtest

import (
	"fmt"
	"maps"
	"net"
	"testing"
)

// BrokenAnswers returns answers that no reader may accept, by what is wrong with them. fields are the header lines
// of a sound answer but those of its framing, each ended by CRLF. Many have a sound answer where a reader that takes
// them for interim, or for shorter than they are, would look for the next one.
func BrokenAnswers(fields, body string) map[string]string {
	a := answer{fields: fields, body: body}
	all := a.brokenStatusLines()
	maps.Copy(all, a.brokenFields())
	maps.Copy(all, a.brokenFramings())
	return all
}

const okLine = "HTTP/1.1 200 OK"

// answer is a sound answer, from which broken ones are made.
type answer struct{ fields, body string }

func (a answer) sound() string { return a.framed(okLine, "") }

// framed returns an answer with a length, and more header lines.
func (a answer) framed(firstLine, more string) string {
	return fmt.Sprintf("%s\r\n%s%sContent-Length: %d\r\n\r\n%s", firstLine, a.fields, more, len(a.body), a.body)
}

// unframed returns an answer without a length, behind which a sound one follows.
func (a answer) unframed(firstLine, more string) string {
	return fmt.Sprintf("%s\r\n%s%s\r\n%s%s", firstLine, a.fields, more, a.body, a.sound())
}

// around returns an answer whose body is the sound one.
func (a answer) around(firstLine string) string {
	return fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", firstLine, len(a.sound()), a.sound())
}

// chunks returns the body in chunks, without the empty line at its end.
func (a answer) chunks() string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(a.body), a.body) }

const chunkedLine = "Transfer-Encoding: chunked\r\n"

// inChunks returns an answer with some header lines and a body that is encoded already.
func (a answer) inChunks(firstLine, fields, chunks string) string {
	return fmt.Sprintf("%s\r\n%s%s\r\n%s", firstLine, a.fields, fields, chunks)
}

// brokenStatusLines have a first line that is broken.
func (a answer) brokenStatusLines() map[string]string {
	return map[string]string{
		"status 000":                   a.framed("HTTP/1.1 000 ", ""),
		"status 000 before another":    "HTTP/1.1 000 \r\n\r\n" + a.sound(),
		"status 000 round another":     a.around("HTTP/1.1 000 "),
		"status 099 before another":    "HTTP/1.1 099 Odd\r\n\r\n" + a.sound(),
		"status +12 before another":    "HTTP/1.1 +12 Odd\r\n\r\n" + a.sound(),
		"status +99 round another":     a.around("HTTP/1.1 +99 Odd"),
		"status 600":                   a.framed("HTTP/1.1 600 Odd", ""),
		"status 999":                   a.framed("HTTP/1.1 999 Odd", ""),
		"status 101":                   a.framed("HTTP/1.1 101 Switching Protocols", "Upgrade: x\r\nConnection: Upgrade\r\n"),
		"status 101 unframed":          a.unframed("HTTP/1.1 101 Switching Protocols", ""),
		"two blanks before the status": a.framed("HTTP/1.1  200 OK", ""),
		"another version":              a.framed("HTTP/2.0 200 OK", ""),
		"HTTP/0.9":                     a.framed("HTTP/0.9 200 OK", ""),
		"control byte in the reason":   a.framed("HTTP/1.1 200 O\x01K", ""),
	}
}

// brokenFields have a header line that is broken.
func (a answer) brokenFields() map[string]string {
	return map[string]string{
		"blank in a name":                a.framed(okLine, "Bad Name: x\r\n"),
		"blank before the colon":         a.framed(okLine, "X-A : x\r\n"),
		"tab in a name":                  a.framed(okLine, "Bad\tName: x\r\n"),
		"control byte in a name":         a.framed(okLine, "Bad\x01Name: x\r\n"),
		"NUL in a name":                  a.framed(okLine, "Bad\x00Name: x\r\n"),
		"DEL in a name":                  a.framed(okLine, "Bad\x7fName: x\r\n"),
		"high byte in a name":            a.framed(okLine, "Bad\xffName: x\r\n"),
		"separator in a name":            a.framed(okLine, "Bad(Name): x\r\n"),
		"no name":                        a.framed(okLine, ": x\r\n"),
		"no colon":                       a.framed(okLine, "Bad\r\n"),
		"control byte in a value":        a.framed(okLine, "X-A: a\x01b\r\n"),
		"CR in a value":                  a.framed(okLine, "X-A: a\rX-B: b\r\n"),
		"blank in an interim head":       "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\n" + a.sound(),
		"a folded line at first":         fmt.Sprintf("%s\r\n X-A: b\r\n%sContent-Length: %d\r\n\r\n%s", okLine, a.fields, len(a.body), a.body),
		"blank in the length":            a.unframed(okLine, fmt.Sprintf("Content-Length : %d\r\n", len(a.body))),
		"blank in the encoding":          a.inChunks(okLine, "Transfer-Encoding : chunked\r\n", a.chunks()+"\r\n"),
		"control byte beside the length": a.unframed(okLine, fmt.Sprintf("Content-Length\x0b: %d\r\n", len(a.body))),
	}
}

// brokenFramings do not tell where their bodies end.
func (a answer) brokenFramings() map[string]string {
	return map[string]string{
		"interim round another":   a.around("HTTP/1.1 102 Processing"),
		"interim in chunks":       "HTTP/1.1 103 Early Hints\r\n" + chunkedLine + "\r\n" + a.sound(),
		"length and chunks":       a.inChunks(okLine, fmt.Sprintf("Content-Length: %d\r\n", len(a.chunks())+2)+chunkedLine, a.chunks()+"\r\n"),
		"chunks in HTTP/1.0":      a.inChunks("HTTP/1.0 200 OK", chunkedLine, a.chunks()+"\r\n"),
		"another encoding":        a.inChunks(okLine, "Transfer-Encoding: gzip, chunked\r\n", a.chunks()+"\r\n"),
		"two encodings":           a.inChunks(okLine, chunkedLine+chunkedLine, a.chunks()+"\r\n"),
		"two lengths":             a.unframed(okLine, fmt.Sprintf("Content-Length: %d\r\nContent-Length: %d\r\n", len(a.body), len(a.body)+1)),
		"a list of lengths":       a.unframed(okLine, fmt.Sprintf("Content-Length: %d, %d\r\n", len(a.body), len(a.body))),
		"signed length":           a.unframed(okLine, fmt.Sprintf("Content-Length: +%d\r\n", len(a.body))),
		"hexadecimal length":      a.unframed(okLine, "Content-Length: 0x2\r\n"),
		"no length":               a.unframed(okLine, "Content-Length:\r\n"),
		"huge length":             a.unframed(okLine, "Content-Length: 99999999999999999999\r\n"),
		"folded length":           a.unframed(okLine, fmt.Sprintf("Content-Length:\r\n %d\r\n", len(a.body))),
		"status 204 with a body":  a.framed("HTTP/1.1 204 No Content", ""),
		"status 204 in chunks":    a.inChunks("HTTP/1.1 204 No Content", chunkedLine, a.chunks()+"\r\n"),
		"odd length of a chunk":   a.inChunks(okLine, chunkedLine, "+"+a.chunks()+"\r\n"),
		"chunk without its end":   a.inChunks(okLine, chunkedLine, fmt.Sprintf("%x\r\n%s0\r\n\r\n", len(a.body), a.body)),
		"blank in a trailer":      a.inChunks(okLine, chunkedLine, a.chunks()+"Bad Name: x\r\n\r\n"),
		"control byte in trailer": a.inChunks(okLine, chunkedLine, a.chunks()+"Bad\x01Name: x\r\n\r\n"),
	}
}

// ServeText answers each client's request with a text, and ends when the client closes. It returns the server's
// IP:port.
func ServeText(t *testing.T, text string) (address string) {
	t.Helper()
	return serveEach(t, func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 4*requestBytes)) // what it asks for does not matter
		_, _ = c.Write([]byte(text))
		_, _ = c.Read(make([]byte, 1))
	})
}
