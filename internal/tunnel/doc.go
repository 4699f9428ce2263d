// Package tunnel carries connections to upstreams through another daemon, by the method
// CONNECT of HTTP/1.1. The daemon at the far end opens the connection to the upstream and
// copies bytes; it reads none of them. What may be sent, and whether it has run, is decided
// where the request is.
//
// A clean end of the upstream's answer arrives as a clean end (io.EOF) if the upstream has taken all
// that the client has sent. Whatever else ends the tunnel is an error for the reader, so that an
// answer whose length is told only by its end is never taken for whole when a daemon has died.
package tunnel
