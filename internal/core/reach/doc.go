// Package reach tracks which failure domains a daemon can reach. The path to a domain is cut
// when several of its upstreams accept no connection at the same moment; a single one that
// does not has failed itself. It is indirect when they accept those of another daemon: then
// only this daemon's own connections are at fault. Signs of a fault (a connection that fails,
// answers that all stop at once) start a probe: a few connections at once. Only a probe changes
// the state of a path, so neither one lost message, nor one dead upstream, nor a message that
// arrives over a path cut in one direction does. It is pure: no I/O, goroutines or clocks.
package reach
