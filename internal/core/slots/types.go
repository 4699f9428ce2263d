package slots

import "time"

// Request asks for a lease on a slot of one of some servers.
type Request struct {
	// ID identifies the call and the lease; asking again with the same ID is the same request.
	ID       string
	Host     string   // that has the call
	Service  string   // of the servers
	Route    string   // of the call; the calls of one route take about as long
	Servers  []string // IDs, the preferred ones first
	Rank     int      // 0 is the most urgent; negative counts as 0
	Arrived  time.Time
	Deadline time.Time
}

// Verdict is the answer to a Request.
type Verdict uint8

// Verdicts.
const (
	// Unavailable: nothing is known of the servers; the host chooses one by its own calls.
	Unavailable Verdict = iota
	// Granted: the lease is on Grant.Server until the deadline.
	Granted
	// Wait: no slot is free; the host asks again after Grant.Wait.
	Wait
	// Refused: no slot is expected before the deadline.
	Refused
)

var verdictNames = [...]string{"unavailable", "granted", "wait", "refused"}

// String returns the name used in logs and metrics.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return "unknown"
	}
	return verdictNames[v]
}

// Grant answers a Request.
type Grant struct {
	Verdict Verdict
	Server  string // with Granted
	// Wait is the time after which to ask again or, with Refused, until a slot is expected.
	Wait time.Duration
}

// Lease is a slot of a server that a call uses.
type Lease struct {
	ID     string
	Server string
	Until  time.Time // the deadline of the call
}

// ServerUsage is what is known of a server.
type ServerUsage struct {
	Server   string
	Service  string
	Slots    int
	Leasable int       // slots that are leased at most
	Leased   int       // slots that are leased
	LastFull time.Time // when the server last turned a call away; zero: never
}

// WaitingUsage counts the requests that wait for a slot of a service.
type WaitingUsage struct {
	Service string
	Rank    int
	Waiting int
}
