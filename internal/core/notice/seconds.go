package notice

import (
	"math"
	"strconv"
	"time"
)

// maxBackOff is the longest back-off that an answer may ask for.
const maxBackOff = time.Hour

// ParseBackOff parses a back-off in seconds, which may have a fraction, and bounds it to an
// hour. It returns zero for text that is not a positive number.
func ParseBackOff(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(math.Min(seconds, maxBackOff.Seconds()) * float64(time.Second))
}
