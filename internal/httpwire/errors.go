package httpwire

import "github.com/ansel1/merry/v2"

// ErrNotSent is wrapped by errors of requests of which not one byte was written.
var ErrNotSent = merry.Sentinel("not sent")

// ErrBroken is wrapped by errors of requests that were written, in part or whole,
// and have no answer that can be read.
var ErrBroken = merry.Sentinel("connection broken")
