package front

import "time"

// DispatchPoint is a step of a request's way at which a scenario may stop it.
type DispatchPoint string

// Points that Options.AtPoint is told of.
const (
	// DispatchConnected: the connection to the upstream is open, the permit to
	// dispatch has not been asked for.
	DispatchConnected DispatchPoint = "connected"
	// DispatchPermitted: the permit was given, no byte has been written.
	DispatchPermitted DispatchPoint = "permitted"
)

// permit returns what a dispatch of a job asks before its first byte. It is asked
// when a connection is open and nothing has been written, so that an upstream
// which cannot be reached does not use the permit up.
func (s *Server) permit(j *job) func() bool {
	return func() bool {
		s.reach(DispatchConnected)
		if j.permit != nil && !j.permit.Dispatch(time.Now()) {
			return false
		}
		s.reach(DispatchPermitted)
		return true
	}
}

func (s *Server) reach(p DispatchPoint) {
	if s.opts.OnDispatchPoint != nil {
		s.opts.OnDispatchPoint(p)
	}
}
