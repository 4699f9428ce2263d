package soak

import (
	"syscall"
	"time"
)

// startServer starts a server under its next id, at its old address.
func (r *rig) startServer(s *server) {
	r.mu.Lock()
	s.instance++
	r.mu.Unlock()
	r.startLife(s)
}

// startLife starts a server's next life under the id that it has.
func (r *rig) startLife(s *server) {
	r.mu.Lock()
	name := s.id()
	r.mu.Unlock()
	r.mu.Lock()
	former := s.proc
	r.mu.Unlock()
	if former != nil {
		former.signal(syscall.SIGKILL) // one that was started again meanwhile
	}
	p := r.spawn("server", name, "")
	direct := (<-p.heard).Address
	address := direct
	if !r.direct {
		address = r.link(s.name, direct)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s.proc, s.direct, s.address = p, direct, address
	s.leaving, s.entered, s.seq, s.beat, s.cold = false, false, 0, time.Now(), time.Time{}
	r.history.lives(name, s.domain)
	s.born = s.beat.UnixMilli()
	r.reviving.Go(func() { r.revive(s, p) })
	if r.mutant != nil {
		r.tellMutant()
	}
}

// revive starts a server again when the life that a process is has ended by a request, unless
// another life has begun meanwhile.
func (r *rig) revive(s *server, life *proc) {
	select {
	case <-life.ended:
	case <-r.stopBeats:
		return
	}
	if life.cmd.ProcessState.ExitCode() != deadlyExit {
		return
	}
	select {
	case <-time.After(reviveAfter):
	case <-r.stopBeats:
		return
	}
	r.mu.Lock()
	same := s.proc == life
	r.mu.Unlock()
	if same {
		r.startServer(s)
	}
}

// plainServers returns the ids of the plain servers that live, stay and are registered.
func (r *rig) plainServers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for _, s := range r.servers {
		if s.service == "shop" && s.entered && !s.leaving {
			ids = append(ids, s.id())
		}
	}
	return ids
}

func (r *rig) heartbeat(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		if s.id() == id {
			s.beat = time.Now()
		}
	}
}
