// Package router chooses upstreams for a front. It guards the placement core's
// view by a lock, feeds it with settings, load reports and own observations, and
// keeps the latest decisions for operators.
package router
