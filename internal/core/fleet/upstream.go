package fleet

import (
	"strconv"
	"time"
)

// Incarnation names one life of a server: it may start again under the name that it had, and
// holds and knows nothing of before then.
type Incarnation struct {
	Name string // under which the server is registered
	Born int64  // Unix milliseconds of the start; zero: not told
}

// ID returns the identifier of the life, unique among all lives of all servers.
func (l Incarnation) ID() string {
	if l.Born == 0 {
		return l.Name
	}
	return l.Name + "@" + strconv.FormatInt(l.Born, 10)
}

// Upstream is one life of a server. An address may pass to a server of another service.
type Upstream struct {
	ID string // of the life
	Incarnation
	Service   string
	Address   string // IP:port
	Domain    string // failure domain
	Slots     int    // requests that run at once
	Leaving   bool   // takes no new work
	Heartbeat int64  // rises with each heartbeat of this life
	// ColdFor is for how long its entry says that it bears few requests a second.
	ColdFor time.Duration
	// ColdUntil is when it is warm again, by all that is known; in the past where it is.
	ColdUntil time.Time
	// Evacuated says that operators want nothing new sent to its failure domain.
	Evacuated bool
	// Rivals are the IDs of the other upstreams whose entries stand at the address, while
	// it is not known which of them lives there; see List.Identified.
	Rivals []string
	// Displaced says that one of the rivals was listed later and most likely lives. This
	// one is to get work only where no other upstream can take it.
	Displaced bool
}

// TakesWork reports whether the upstream may get new work, by the store's records.
func (u *Upstream) TakesWork() bool { return !u.Leaving && !u.Evacuated }

// Change is one record of the store about a server.
type Change struct {
	Name     string
	Upstream *Upstream // nil: the entry was removed, or is Void
	Invalid  bool      // the entry names no upstream: it cannot be read, or is another writer's
}
