// Package conntable decides which connections of HTTP clients a process keeps. It follows the head of
// each request while it arrives, bounds what the unfinished heads and those of requests in progress
// take of the process's memory, as parsed, over all listeners together, and names the connections to
// let go: the longest unfinished first. It is a state machine without I/O; its callers report what
// happens to the connections and close those that it names.
//
// Invariants: the heads counted never exceed the capacity between two calls; a connection is in one
// list of its listener at most; a request in progress is let go only if its client sends on behind it;
// up to FreeHeadMemory of each head are not counted, so that an ordinary one always has room.
package conntable
