package membership

import (
	"errors"
	"time"
)

// ErrMalformed is returned for a message whose parts do not fit together.
var ErrMalformed = errors.New("malformed membership message")

// ageUnit is the unit of ages on the wire. Ages are rounded up, so that news
// never gets younger on its way.
const ageUnit = 20 * time.Millisecond

// Digest says which versions the sender holds. The slices run in parallel,
// which gob encodes in fewer bytes than a slice of structs.
type Digest struct {
	Keys     []uint64
	Versions []uint64
}

// Section is one published section on the wire.
type Section struct {
	Name    string
	Version uint64
	Age     uint32 // since it was published, in units of 20 ms
	Wide    bool
	Data    []byte
}

// Record tells of one host. ID is left out when the receiver knows the key.
type Record struct {
	Key          uint64
	ID           *Identity
	Version      uint64 // all sections up to it are held by a receiver that applies this
	LeaveVersion uint64 // version at which the host said that it leaves, 0 if it did not
	Age          uint32 // since the version was made, in units of 20 ms
	Sections     []Section
}

// Delta is news. Keys, Versions and Ages run in parallel and tell of hosts of
// which only the version rose.
type Delta struct {
	Keys     []uint64
	Versions []uint64
	Ages     []uint32
	Records  []Record
}

// Request opens an exchange.
type Request struct {
	From  Identity
	Other string // domain beside the sender's own that Have covers, may be empty
	Have  Digest
}

// Hint is an address to try. It says nothing of the state of the host there.
type Hint struct {
	Domain  string
	Address string
}

// Response answers a request.
type Response struct {
	From    Identity
	News    Delta
	Want    Digest   // of the request's keys, with the versions that the answerer holds
	Domains []string // other domains known, when the request named none
	Hints   []Hint   // for an asker of another domain
}

// Push gives news without being asked, or what a response wanted.
type Push struct {
	From Identity
	News Delta
}

func (d *Digest) check() error {
	if len(d.Keys) != len(d.Versions) {
		return ErrMalformed
	}
	return nil
}

func (d *Digest) add(key, version uint64) {
	d.Keys = append(d.Keys, key)
	d.Versions = append(d.Versions, version)
}

func (d *Delta) check() error {
	if len(d.Keys) != len(d.Versions) || len(d.Keys) != len(d.Ages) {
		return ErrMalformed
	}
	for i := range d.Records {
		if id := d.Records[i].ID; id != nil && !id.valid() {
			return ErrMalformed
		}
	}
	return nil
}

func (d *Delta) empty() bool {
	return len(d.Keys) == 0 && len(d.Records) == 0
}

func (id *Identity) valid() bool {
	return id.Host != "" && id.Domain != "" && id.Address != ""
}

func encodeAge(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	const most = 1<<32 - 1
	return uint32(min((d+ageUnit-1)/ageUnit, most))
}

func decodeAge(age uint32) time.Duration {
	return time.Duration(age) * ageUnit
}
