package notice

import (
	"math"
	"strconv"
	"time"
)

// maxBackOff bounds what an answer may ask for.
const maxBackOff = time.Hour

// ParseBackOff reads a number of seconds, fractions among them, for which an upstream wants
// nothing; what is none is zero.
func ParseBackOff(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(math.Min(seconds, maxBackOff.Seconds()) * float64(time.Second))
}
