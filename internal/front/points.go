package front

import "time"

// Point is a step of a request's way at which a scenario may stop it.
type Point string

// Points that Options.AtPoint is told of.
const (
	// PointConnected: the connection to the upstream is open, the permit to
	// dispatch has not been asked for.
	PointConnected Point = "connected"
	// PointPermitted: the permit was given, no byte has been written.
	PointPermitted Point = "permitted"
)

// dispatchPermit returns what a dispatch of a job asks before its first byte. It is asked
// when a connection is open and nothing has been written, so that an upstream
// which cannot be reached does not use the permit up.
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
