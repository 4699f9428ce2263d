package front

import "time"

// Point is a step of a dispatch at which a fault test can stop it.
type Point string

// Points at which Options.AtPoint is called.
const (
	// PointConnected: the connection to the upstream is open, the dispatch permit has
	// not been used.
	PointConnected Point = "connected"
	// PointPermitted: the dispatch is permitted, no byte has been written.
	PointPermitted Point = "permitted"
)

// dispatchPermit returns a function that reports whether a job may be dispatched. It is
// called when a connection is open and nothing has been written, so that an unreachable
// upstream does not use up the permit.
func (s *Server) dispatchPermit(j *job) func() bool {
	return func() bool {
		s.reachPoint(PointConnected)
		if j.permit != nil && !j.permit.Dispatch(time.Now()) {
			return false
		}
		s.reachPoint(PointPermitted)
		return true
	}
}

func (s *Server) reachPoint(p Point) {
	if s.opts.AtPoint != nil {
		s.opts.AtPoint(p)
	}
}
