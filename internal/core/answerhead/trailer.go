package answerhead

import (
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// CheckTrailer checks the names of the fields behind the last chunk of a body. The error is an *Error.
func CheckTrailer(trailer map[string][]string) error {
	for name := range trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			const detailBytes = 40
			return &Error{Fault: FaultTrailer, Detail: strconv.QuoteToASCII(name[:min(len(name), detailBytes)])}
		}
	}
	return nil
}
