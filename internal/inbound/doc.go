// Package inbound bounds the memory of what a daemon reads from others: callers may be slow, and
// an upstream that is faulty may send bytes without end, in a head or a body. A Memory is
// shared by all exchanges in progress; each of them holds a Share of it. What is small enough for
// every exchange at once is not counted.
package inbound
