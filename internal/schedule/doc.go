// Package schedule lets all daemons of a site plan with one book of the engines, see
// package booking. The daemon that ranks first by rendezvous hashing, the keeper,
// keeps the book; the others ask it for each plan and report first events and ends
// of attempts to it. The keeper has no authority: a daemon that cannot reach it asks
// the next one, or plans with its own book, which may cost speed but never
// correctness.
package schedule
