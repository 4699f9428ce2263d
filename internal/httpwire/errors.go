package httpwire

import "github.com/ansel1/merry/v2"

// ErrNotSent is wrapped by the errors of requests of which no byte was written.
var ErrNotSent = merry.Sentinel("not sent")

// ErrBroken is wrapped by the errors of requests that were written, in part or whole,
// and whose answer cannot be read.
var ErrBroken = merry.Sentinel("connection broken")
