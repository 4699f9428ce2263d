// Package speed estimates how fast each upstream is relative to its figures, from the times that
// requests took there. An upstream is compared with the others of its service, so that load which
// slows all of them is not held against one. It is pure: no I/O, goroutines or clocks.
package speed
