// Package order decides who may give orders to the engines of a pool and which
// orders are due.
//
// One order lease a failure domain and pool lives as records in the platform's
// log. Replaying them in offset order is pure, so all hosts that read the same
// prefix name the same holder. The offset of the holder's claim record is the
// fencing number of its orders.
//
// A lease runs by the time that the log writes to records. Its holder counts
// from the moment before it sent the record, by its own clock, less a margin: as
// the log writes its time later than that, the holder stops before the log's
// lease ends, whatever the two clocks show, so long as they run at like speeds.
//
// Engines that check fencing refuse a holder that acts after its lease, for
// instance because it was paused. For those that do not, a new holder waits a
// lease and the longest order before its first one, and then reads back and
// repairs: orders are desired states.
package order
