package fleet

import (
	"strconv"
	"time"
)

// Incarnation identifies one run of a server. A server may restart under the same name, and
// keeps no state from its earlier runs.
type Incarnation struct {
	Name string // under which the server is registered
	Born int64  // start time in Unix milliseconds; zero: not reported
}

// ID returns the identifier of the incarnation, unique among all servers.
func (l Incarnation) ID() string {
	if l.Born == 0 {
		return l.Name
	}
	return l.Name + "@" + strconv.FormatInt(l.Born, 10)
}

// Upstream is one incarnation of a server. A later server at its address may be of another
// service.
type Upstream struct {
	ID string // see Incarnation.ID
	Incarnation
	Service   string
	Address   string // IP:port
	Domain    string // failure domain
	Slots     int    // number of requests that run at once
	Leaving   bool   // takes no new work
	Heartbeat int64  // number of the heartbeat, increases within an incarnation
	// ColdFor is how long the upstream stays cold according to its entry: until then it can
	// take only a few requests per second.
	ColdFor time.Duration
	// ColdUntil is the end of the cold time from all sources; for a warm upstream it is past
	// or zero.
	ColdUntil time.Time
	// Evacuated is set when operators have evacuated its failure domain.
	Evacuated bool
	// Rivals are the IDs of the other upstreams that are registered at the same address,
	// while it is unknown which of them runs there; see List.RecordResponder.
	Rivals []string
	// Displaced is set when a rival was listed later, which makes it the more likely to run
	// there. A displaced upstream gets work only when no other upstream can take it.
	Displaced bool
}

// TakesWork reports whether the upstream may get new work according to the store's records.
func (u *Upstream) TakesWork() bool { return !u.Leaving && !u.Evacuated }

// Change is one record of the store about a server.
type Change struct {
	Name     string
	Upstream *Upstream // nil: the entry was removed or is Invalid
	Invalid  bool      // the entry names no upstream: it cannot be read, or is another writer's
}
