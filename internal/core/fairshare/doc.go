// Package fairshare decides which claim goes first when there is too little engine time for all.
// It keeps the accounts of one service: how much engine time each customer was granted lately,
// and which claims wait. It is pure: no I/O, goroutines or clocks; time is an argument.
//
// A claim goes before another one if its rank is more urgent. Within a rank, the claims of
// customers that are below their fair share go before those of customers above theirs. Fair
// shares are weighted max-min shares of the engine time that was granted within the window: what
// a customer does not demand is lent to the others until it demands it. While no claim waits,
// there is no order.
//
// The accounts are soft state: wrong, duplicate or lost ones cost fairness for the time of one
// window.
package fairshare
