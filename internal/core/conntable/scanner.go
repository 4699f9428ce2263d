package conntable

import "bytes"

// Memory that a head takes once net/http has parsed it and a copy of its fields has been made, in bytes.
// Each line may become an entry of a map with a key of its own.
const (
	headMemory = 512
	lineMemory = 256
	byteMemory = 3
)

// scanner follows a head of HTTP/1 line by line while it arrives. The zero value is ready for one.
type scanner struct {
	bytes int // of the head
	lines int
	begun bool // a line that is not empty has been read

	line int  // bytes of the present line
	cr   bool // the present line begins with a carriage return
}

// scan reads the next bytes of a connection. It returns whether the head has ended; what follows
// in p is not counted.
func (s *scanner) scan(p []byte) (done bool) {
	for {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			s.extend(p)
			s.bytes += len(p)
			return false
		}
		s.extend(p[:i])
		s.bytes += i + 1
		s.lines++
		empty := s.line == 0 || s.line == 1 && s.cr
		if empty && s.begun {
			return true
		}
		s.begun = s.begun || !empty
		s.line = 0
		p = p[i+1:]
	}
}

// extend adds bytes to the present line.
func (s *scanner) extend(p []byte) {
	if s.line == 0 && len(p) > 0 {
		s.cr = p[0] == '\r'
	}
	s.line += len(p)
}

// memory returns what the head takes, in bytes.
func (s *scanner) memory() int64 {
	return headMemory + byteMemory*int64(s.bytes) + lineMemory*int64(s.lines)
}

// maxReadAhead is the size of the buffer, in bytes, through which net/http reads a connection. It
// may have the start of a head that arrived behind the request before.
const maxReadAhead = 4 << 10

// linesAhead returns how many lines of the next head may be in the buffer after p was read, given the
// lines before.
func linesAhead(before int, p []byte) int {
	if len(p) >= maxReadAhead {
		return bytes.Count(p[len(p)-maxReadAhead:], newline)
	}
	return min(before+bytes.Count(p, newline), maxReadAhead)
}

var newline = []byte("\n")
