// Package entrypoint serves HTTP/1.1 to clients that need not behave. All servers of a process share
// Bounds: what the heads of requests take of its memory, as parsed, is bounded for all of them together,
// and the connection whose head has been unfinished for longest is let go first. The decisions are those
// of package conntable.
//
// The division of the process's memory among heads, connections and what the kernel holds unread is that
// of Memory; package inbound bounds bodies and answers beside them.
package entrypoint
