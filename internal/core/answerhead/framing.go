package answerhead

import (
	"strconv"
	"strings"
)

// Names of the fields that frame a body, in lower case.
const (
	contentLength    = "content-length"
	transferEncoding = "transfer-encoding"
	maxFramingName   = len(transferEncoding)
)

// maxFramingValue is more bytes than any valid value has, with blanks round it.
const maxFramingValue = 64

const chunked = "chunked"

// framing collects the fields of a head that frame its body.
type framing struct {
	lengths, codings framingField
}

// field begins a line of the field with a name in lower case. It returns nil if that frames nothing.
func (f *framing) field(name []byte) *framingField {
	switch string(name) {
	case contentLength:
		return f.lengths.begin()
	case transferEncoding:
		return f.codings.begin()
	}
	return nil
}

// check returns what is wrong with the framing of an answer; empty if nothing is.
func (f *framing) check(status int, minor byte) string {
	length, lengthOK := f.lengths.length()
	hasLength, hasCoding := len(f.lengths.values) > 0, len(f.codings.values) > 0
	switch {
	case !lengthOK:
		return "Content-Length"
	case hasLength && hasCoding:
		return "both Content-Length and Transfer-Encoding"
	case hasCoding && !f.codings.isChunked():
		return "Transfer-Encoding"
	case hasCoding && minor == '0':
		return "Transfer-Encoding with HTTP/1.0"
	case status < firstFinalStatus && (hasLength || hasCoding):
		return "an interim response with a body"
	case status == noContent && (hasCoding || length > 0):
		return "status 204 with a body"
	}
	return ""
}

// framingField has the values of one field, a line each.
type framingField struct{ values [][]byte }

func (f *framingField) begin() *framingField {
	f.values = append(f.values, nil)
	return f
}

// add adds a byte to the last value. It returns false if that is too long.
func (f *framingField) add(b byte) bool {
	last := &f.values[len(f.values)-1]
	*last = append(*last, b)
	return len(*last) <= maxFramingValue
}

func (f *framingField) value(i int) string { return strings.Trim(string(f.values[i]), " \t") }

// length returns the length in bytes that all values tell, 0 if there are none. ok is false if they are not equal
// decimal numbers.
func (f *framingField) length() (n int64, ok bool) {
	for i := range f.values {
		first := f.value(0)
		if f.value(i) != first || strings.Trim(first, "0123456789") != "" {
			return 0, false
		}
		var err error
		if n, err = strconv.ParseInt(first, 10, 64); err != nil {
			return 0, false
		}
	}
	return n, true
}

func (f *framingField) isChunked() bool {
	return len(f.values) == 1 && strings.EqualFold(f.value(0), chunked)
}
