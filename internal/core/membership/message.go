package membership

import (
	"errors"
	"time"
)

// ErrMalformed is returned for a message whose parts do not fit together.
var ErrMalformed = errors.New("malformed membership message")

// ageUnit is the unit of ages on the wire. Ages are rounded up, so that
// information never gets younger in transit.
const ageUnit = 20 * time.Millisecond

// Digest lists the versions that the sender holds, in parallel slices, which
// gob encodes in fewer bytes than a slice of structs.
type Digest struct {
	Keys     []uint64
	Versions []uint64
}

// Section is one published section on the wire.
type Section struct {
	Name    string
	Version uint64
	Age     uint32 // since it was published, in units of 20 ms
	Wide    bool   // sent to all domains
	Data    []byte
}

// Record describes one host. ID is nil when the receiver knows the key.
type Record struct {
	Key          uint64
	ID           *Identity
	Version      uint64 // a receiver that applies this record holds all sections up to it
	LeaveVersion uint64 // version at which the host announced that it leaves, 0 if it did not
	Age          uint32 // since the version was made, in units of 20 ms
	Sections     []Section
}

// Delta holds what a receiver lacks. Keys, Versions and Ages are parallel slices
// for hosts of which only the version has risen.
type Delta struct {
	Keys     []uint64
	Versions []uint64
	Ages     []uint32
	Records  []Record
}

// Request opens an exchange.
type Request struct {
	From  Identity
	Other string // domain that Have covers besides the sender's own, may be empty
	Have  Digest
}

// Hint is an address to try. It implies nothing about the state of the host.
type Hint struct {
	Domain  string
	Address string
}

// Response answers a request.
type Response struct {
	From    Identity
	News    Delta
	Want    Digest   // keys of the request, with the versions that the responder holds
	Domains []string // other domains known to the responder, when Request.Other is empty
	Hints   []Hint   // for a requester of another domain
}

// Push sends records unasked, or those that a response wanted.
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
	const maxAge = 1<<32 - 1
	return uint32(min((d+ageUnit-1)/ageUnit, maxAge))
}

func decodeAge(age uint32) time.Duration {
	return time.Duration(age) * ageUnit
}
