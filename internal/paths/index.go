package paths

import "sync"

// AddressIndex finds the failure domain of an upstream by its address, in a list that is
// replaced as a whole. It is safe for concurrent use.
type AddressIndex[List comparable] struct {
	list    func() List
	domains func(List) map[string]string

	mu        sync.Mutex
	of        List // that byAddress was made of
	filled    bool
	byAddress map[string]string
}

// NewAddressIndex returns an index of the list that list returns; domains returns the failure
// domains in a list by address.
func NewAddressIndex[List comparable](list func() List, domains func(List) map[string]string) *AddressIndex[List] {
	return &AddressIndex[List]{list: list, domains: domains}
}

// DomainOf returns the failure domain of the upstream that is listed at an address, or "".
func (x *AddressIndex[List]) DomainOf(address string) string {
	list := x.list()
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.filled || x.of != list {
		x.of, x.byAddress, x.filled = list, x.domains(list), true
	}
	return x.byAddress[address]
}
