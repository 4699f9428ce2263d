// Package router chooses upstreams for a front. It guards the view of package placement with
// a lock, feeds it with settings, load reports and the front's own observations, and keeps
// the latest decisions for operators.
package router
