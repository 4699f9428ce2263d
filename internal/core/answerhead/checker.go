package answerhead

import (
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// Statuses. An interim response is followed by another head.
const (
	minStatus          = 100
	switchingProtocols = 101
	firstFinalStatus   = 200
	noContent          = 204
	maxStatus          = 599
)

// part is the part of a head that the next byte belongs to.
type part uint8

const (
	firstLine part = iota // up to the status
	reason
	fieldName
	fieldValue
	ended
)

// Checker checks one head. The zero value is at the beginning of a head.
type Checker struct {
	part    part
	afterCR bool
	line    int // that has begun, from 0
	column  int // bytes of it, without its end
	size    Size

	status  int
	minor   byte // of the version, as a digit
	name    []byte
	current *framingField // whose value is read; nil if the field frames nothing
	framing framing
}

// Size is the size of a head as far as it has come.
type Size struct {
	Bytes int64
	Lines int64 // ended
}

// Size returns the size of what has come.
func (c *Checker) Size() Size { return c.size }

// Ended reports whether the empty line at the end has come.
func (c *Checker) Ended() bool { return c.part == ended }

// IsInterim reports whether another head follows one that has ended.
func (c *Checker) IsInterim() bool { return c.status < firstFinalStatus }

// Add checks the bytes of p that belong to the head, and returns their number, up to the first that is at fault. The
// error is an *Error.
func (c *Checker) Add(p []byte) (n int, err error) {
	for i, b := range p {
		if c.part == ended {
			return i, nil
		}
		c.size.Bytes++
		if err := c.step(b); err != nil {
			return i + 1, err
		}
	}
	return len(p), nil
}

func (c *Checker) step(b byte) error {
	switch {
	case b == '\n':
		c.afterCR = false
		return c.endLine()
	case c.afterCR:
		return c.faultAt(FaultLineEnd, '\r', b)
	case b == '\r':
		c.afterCR = true
		return nil
	}
	c.column++
	return c.addByte(b)
}

// addByte checks a byte within a line.
func (c *Checker) addByte(b byte) error {
	switch c.part {
	case firstLine:
		return c.addToFirstLine(b)
	case fieldName:
		return c.addToName(b)
	}
	if isControl(b) {
		fault := FaultFieldValue
		if c.part == reason {
			fault = FaultStatusLine
		}
		return c.faultAt(fault, b)
	}
	if c.part == fieldValue && c.current != nil {
		return c.addToFraming(b)
	}
	return nil
}

func isControl(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f }

// firstLineForm is the form of a first line up to its status; d is any digit.
const (
	firstLineForm = "HTTP/1.d ddd"
	minorColumn   = len("HTTP/1.d")
	statusColumn  = len("HTTP/1.d d")
)

func (c *Checker) addToFirstLine(b byte) error {
	if c.column > len(firstLineForm) {
		c.part = reason
		if b != ' ' {
			return c.faultAt(FaultStatusLine, b)
		}
		return nil
	}
	want := firstLineForm[c.column-1]
	isDigit := b >= '0' && b <= '9'
	if want == 'd' && !isDigit || want != 'd' && b != want {
		return c.faultAt(FaultStatusLine, b)
	}
	switch {
	case c.column == minorColumn:
		c.minor = b
	case c.column >= statusColumn:
		c.status = 10*c.status + int(b-'0')
	}
	return nil
}

func (c *Checker) addToName(b byte) error {
	switch {
	case c.column == 1 && (b == ' ' || b == '\t'):
		return c.beginFoldedLine(b)
	case b == ':' && c.column > 1:
		c.part = fieldValue
		c.current = c.framing.field(c.name)
		return nil
	case !httpguts.IsTokenRune(rune(b)):
		return c.faultAt(FaultFieldName, b)
	}
	if len(c.name) <= maxFramingName {
		c.name = append(c.name, lower(b))
	}
	return nil
}

func lower(b byte) byte {
	if b >= 'A' && b <= 'Z' {
		b += 'a' - 'A'
	}
	return b
}

// beginFoldedLine goes on with the value of the line before.
func (c *Checker) beginFoldedLine(b byte) error {
	const firstFieldLine = 1
	switch {
	case c.line == firstFieldLine:
		return c.faultAt(FaultFieldName, b)
	case c.current != nil:
		return c.fault(FaultFraming, "a folded line")
	}
	c.part = fieldValue
	return nil
}

func (c *Checker) addToFraming(b byte) error {
	if !c.current.add(b) {
		return c.fault(FaultFraming, "a long value")
	}
	return nil
}

func (c *Checker) endLine() error {
	c.size.Lines++
	switch {
	case c.part == firstLine && c.column < len(firstLineForm):
		return c.fault(FaultStatusLine, "cut short")
	case c.part == firstLine, c.part == reason:
		if err := c.checkStatus(); err != nil {
			return err
		}
	case c.part == fieldName && c.column > 0:
		return c.fault(FaultFieldName, "no colon")
	case c.part == fieldName:
		return c.end()
	}
	c.part = fieldName
	c.line++
	c.column = 0
	c.name = c.name[:0]
	return nil
}

func (c *Checker) checkStatus() error {
	if c.status < minStatus || c.status > maxStatus || c.status == switchingProtocols {
		return c.fault(FaultStatus, strconv.Itoa(c.status))
	}
	return nil
}

// end ends the head.
func (c *Checker) end() error {
	if detail := c.framing.check(c.status, c.minor); detail != "" {
		return &Error{Fault: FaultFraming, Detail: detail}
	}
	c.part = ended
	return nil
}

func (c *Checker) fault(f Fault, detail string) error {
	return &Error{Fault: f, Line: c.line + 1, Detail: detail}
}

// faultAt returns a fault at some bytes.
func (c *Checker) faultAt(f Fault, p ...byte) error {
	return c.fault(f, strconv.QuoteToASCII(string(p)))
}
