package membership

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a host as another host sees it.
type State uint8

// States of a member.
const (
	Live    State = iota // heard from recently
	Suspect              // silent for longer than usual
	Dead                 // silent for so long that only probes are sent to it
	Leaving              // heard from recently, takes no new work
)

var stateNames = [...]string{"live", "suspect", "dead", "leaving"}

// String returns the name used in logs and in the operator API.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", uint8(s))
	}
	return stateNames[s]
}

// Identity holds the properties of a host that do not change during one
// incarnation of its daemon.
type Identity struct {
	Host        string
	Domain      string
	Region      string
	Address     string // IP:port of the peer listener
	Incarnation uint64 // increases with each start of the daemon
}

// keyBits keeps keys short on the wire. The probability that any two of 420
// hosts share a key is 3e-10.
const keyBits = 48

// key returns the hash that identifies one incarnation of a host in digests.
func (id *Identity) key() uint64 {
	h := xxhash.Sum64String(id.Host)
	h ^= id.Incarnation * 0x9e3779b97f4a7c15
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return h >> (64 - keyBits)
}

// Member is one host as this host sees it.
type Member struct {
	Identity
	Version   uint64 // version of the host up to which all its sections are held here
	State     State
	LastHeard time.Time // local time at which the newest heartbeat known here was made
}

// SectionView is a section of one host as it is known here.
type SectionView struct {
	Host        string
	Domain      string
	Incarnation uint64
	Version     uint64    // increases with each change, comparable within an incarnation
	PublishedAt time.Time // local time of publication, off by up to the transmission time
	Data        []byte    // shared, must not be modified
}

// ListedHost is one host of the platform's list.
type ListedHost struct {
	Host    string
	Domain  string
	Region  string
	Address string
	Leaving bool
}
