// Package reach keeps what a daemon believes of the ways to the failure domains. A way is
// cut when several upstreams at its end give no connection at the same moment; one that
// fails alone is that upstream's matter. Doubt (a connection that is not made, answers that
// fall silent together) leads to a look, a few connections at once; only a look changes the
// belief, so one lost message or one dead upstream does not, and one message that passes a
// way cut in one direction does not either. It is pure: no I/O, goroutines or clocks.
package reach
