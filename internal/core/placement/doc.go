// Package placement chooses the engine or service of a request.
//
// A View holds what one front knows of the upstreams: their states, their last
// load reports, the prefixes that they have cached, and the front's own
// placements that no report includes yet. Place estimates the time to the first
// token on a few candidates and takes the best; a boundary per pool and failure
// domain keeps long prefill off some engines, so that short requests always find
// one without it.
//
// The view is soft state and may be out of date or wrong. That costs performance
// but breaks no guarantee, because each engine's own accounting decides on its
// memory.
//
// The package is pure: no I/O, goroutines or clocks. A View is not safe for
// concurrent use.
package placement
