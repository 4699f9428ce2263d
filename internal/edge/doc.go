// Package edge is the daemon of a site whose platform keeps the settings and the list
// of upstreams: it wires the entry, the request path, the schedule of the engines and
// the followers of the platform's store, and runs them from start to a graceful end.
package edge
