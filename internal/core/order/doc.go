// Package order decides which host may give orders to the engines of a pool and
// which orders are due.
//
// For each failure domain and pool there is one order lease, stored as records in
// the platform's log. Replaying them in offset order is deterministic, so all
// hosts that have read the same prefix agree on the holder. The offset of the
// holder's claim record is the fencing number of its orders.
//
// A lease expires by the timestamps that the log gives to records. Its holder
// measures from just before it sent the record, by its own clock, and stops a
// margin earlier. As the log's timestamp is later than that, the holder stops
// before the lease ends in the log, whatever the two clocks show, as long as they
// run at similar speeds.
//
// Engines that check fencing refuse a holder that acts after its lease, for
// example because it was paused. For engines that do not, a new holder waits for
// the length of a lease plus that of the longest order before its first one. It
// then reads back the engines' states and repairs them: orders are desired states.
package order
