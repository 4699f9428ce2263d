// Package schedule lets all daemons of a site plan on one book of the engines, see
// package booking. The daemon that comes first by rendezvous hashing keeps the book;
// the others ask it for each plan and tell it of first events and ends. It holds no
// authority: a daemon that cannot reach it asks the next one, or plans on what it
// knows itself, which costs speed and never a promise.
package schedule
