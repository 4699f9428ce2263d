// Package reach tracks which failure domains a daemon can reach. The path to a domain is cut
// when several of its upstreams accept no connection at the same moment; a single one that
// does not has failed itself. Signs of a cut (a connection that fails, answers that all stop
// at once) start a probe: a few connections at once. Only a probe changes the state of a path,
// so neither one lost message, nor one dead upstream, nor a message that arrives over a path
// cut in one direction does. It is pure: no I/O, goroutines or clocks.
package reach
