// Package edge is the daemon of a site whose platform stores the settings and the list of
// upstreams: it connects the callers' HTTP server, the relay, the schedule of the engines and the
// followers of the platform's store, and runs them from the start to a graceful shutdown.
package edge
