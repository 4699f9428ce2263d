package front

import "time"

// DispatchPoint is a step of a dispatch at which a fault test can stop it.
type DispatchPoint string

// Points at which Options.OnDispatchPoint is called.
const (
	// DispatchConnected: the connection to the upstream is open, the dispatch permit has
	// not been used.
	DispatchConnected DispatchPoint = "connected"
	// DispatchPermitted: the dispatch is permitted, no byte has been written.
	DispatchPermitted DispatchPoint = "permitted"
)

// dispatchPermit returns a function that reports whether a job may be dispatched. It is
// called when a connection is open and nothing has been written, so that an unreachable
// upstream does not use up the permit.
func (s *Server) dispatchPermit(j *job) func() bool {
	return func() bool {
		s.reachPoint(DispatchConnected)
		if j.permit != nil && !j.permit.Dispatch(time.Now()) {
			return false
		}
		s.reachPoint(DispatchPermitted)
		return true
	}
}

func (s *Server) reachPoint(p DispatchPoint) {
	if s.opts.OnDispatchPoint != nil {
		s.opts.OnDispatchPoint(p)
	}
}
