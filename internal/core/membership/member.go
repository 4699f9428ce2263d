package membership

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what a host thinks of another one.
type State uint8

// States of a member.
const (
	Live    State = iota // heard lately
	Suspect              // silent for longer than is usual
	Dead                 // silent for so long that nothing is sent there but probes
	Leaving              // heard lately, takes no new work
)

var stateNames = [...]string{"live", "suspect", "dead", "leaving"}

// String returns the name used in logs and in the operator API.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", uint8(s))
	}
	return stateNames[s]
}

// Identity is what does not change during one life of a host's daemon.
type Identity struct {
	Host        string
	Domain      string
	Region      string
	Address     string // IP:port of the peer listener
	Incarnation uint64 // rises with each start of the daemon
}

// keyBits keeps keys short on the wire. Two of 420 hosts share a key with a
// chance of 3e-10.
const keyBits = 48

// key names one life of a host in digests.
func (id *Identity) key() uint64 {
	h := xxhash.Sum64String(id.Host)
	h ^= id.Incarnation * 0x9e3779b97f4a7c15
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return h >> (64 - keyBits)
}

// Member is one host as it is seen from here.
type Member struct {
	Identity
	Version   uint64 // version of the host up to which everything is known here
	State     State
	LastHeard time.Time // when the newest beat known here was made, by the local clock
}

// SectionView is one host's section as it is known here.
type SectionView struct {
	Host        string
	Domain      string
	Incarnation uint64
	Version     uint64    // rises with each change, comparable within an incarnation
	PublishedAt time.Time // when it was published, by the local clock, give or take the way
	Data        []byte    // shared, not to be changed
}

// ListedHost is one entry host of the platform's list.
type ListedHost struct {
	Host    string
	Domain  string
	Region  string
	Address string
	Leaving bool
}
