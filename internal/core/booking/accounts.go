package booking

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/fairshare"
)

// ServiceUse is the engine time of a service that a customer was granted through one daemon.
type ServiceUse struct {
	Service string
	fairshare.Use
}

// ServiceAccounts lists the shares of a service and the claims that wait, for operators.
type ServiceAccounts struct {
	Service string
	Shares  []fairshare.Share
	Waiting []fairshare.WaitingClaim // the most urgent first
}

// newClaim returns the claim of an attempt to engine time.
func newClaim(a *Request, s *Service) fairshare.Claim {
	return fairshare.Claim{
		ID: a.ID, Customer: a.Customer, Host: a.Host, Weight: a.Weight, Rank: a.Rank, Cost: s.engineTime(a),
	}
}

// engineTime returns the engine time that an attempt needs: the prefill, and its share of the decode
// on an engine whose slots are all taken.
func (s *Service) engineTime(a *Request) time.Duration {
	f := &s.Figures
	slots := cmp.Or(f.Slots, defaultSlots)
	context := int64(slots-1)*int64(f.UsualPrompt+f.UsualAnswer) + a.need()
	return f.PrefillTime(a.Prompt) + f.DecodeTime(a.Expected, slots, context)/time.Duration(slots)
}

// accountsOf returns the accounts of a service, and creates them if there are none.
func (b *Book) accountsOf(service string) *fairshare.Accounts {
	accounts := b.accounts[service]
	if accounts == nil {
		accounts = fairshare.New(fairshare.Options{Capacity: b.capacityOf(service)})
		b.accounts[service] = accounts
	}
	return accounts
}

// capacityOf returns the engine time that all engines of a service have within the window.
func (b *Book) capacityOf(service string) time.Duration {
	engines := 0
	for _, e := range b.packOrder {
		if e.up.Service == service {
			engines++
		}
	}
	return time.Duration(engines) * fairshare.Window
}

// setCapacities sets the capacities after a change of the engines.
func (b *Book) setCapacities() {
	for service, accounts := range b.accounts {
		accounts.SetCapacity(b.capacityOf(service))
	}
}

// charge records that an attempt was granted engine time.
func (b *Book) charge(a *Request, now time.Time) {
	if s := b.services[a.Service]; s != nil {
		b.accountsOf(a.Service).Grant(newClaim(a, s), now)
	}
}

// account enters the result of a placement in the accounts.
func (b *Book) account(t *placement, p Plan) {
	switch {
	case p.Verdict == Booked:
		b.charge(t.req, t.now)
	case t.scarce && t.req.knowsRanks():
		b.accountsOf(t.req.Service).Wait(t.claim(), t.now)
	default:
		if accounts := b.accounts[t.req.Service]; accounts != nil {
			accounts.Withdraw(t.req.ID)
		}
	}
}

func (b *Book) expireAccounts(now time.Time) {
	maps.DeleteFunc(b.accounts, func(_ string, accounts *fairshare.Accounts) bool {
		accounts.Expire(now)
		return accounts.Empty()
	})
}

// Use returns the engine time that was granted through a daemon within the window.
func (b *Book) Use(host string, now time.Time) []ServiceUse {
	var all []ServiceUse
	for _, service := range slices.Sorted(maps.Keys(b.accounts)) {
		for _, u := range b.accounts[service].Use(host, now) {
			all = append(all, ServiceUse{Service: service, Use: u})
		}
	}
	return all
}

// RestoreUse replaces the engine time that was granted through a daemon by the one that it reports.
func (b *Book) RestoreUse(host string, use []ServiceUse, now time.Time) {
	byService := map[string][]fairshare.Use{}
	for _, u := range use {
		byService[u.Service] = append(byService[u.Service], u.Use)
	}
	for service, reported := range byService {
		b.accountsOf(service).Restore(host, reported, now)
	}
}

// Accounts lists the shares and the waiting claims of all services, by name.
func (b *Book) Accounts(now time.Time) []ServiceAccounts {
	all := make([]ServiceAccounts, 0, len(b.accounts))
	for _, service := range slices.Sorted(maps.Keys(b.accounts)) {
		accounts := b.accounts[service]
		all = append(all, ServiceAccounts{Service: service, Shares: accounts.Shares(now), Waiting: accounts.Waiting(now)})
	}
	return all
}

// TakeInvalid returns the values of claims and reported uses that were ignored since the last call.
func (b *Book) TakeInvalid() []fairshare.Invalid {
	var all []fairshare.Invalid
	for _, accounts := range b.accounts {
		all = append(all, accounts.TakeInvalid()...)
	}
	return all
}
