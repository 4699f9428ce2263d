package paths

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/reach"
)

// ServiceName is the name of the net/rpc service for other daemons.
const ServiceName = "Paths"

// Times of the questions between daemons.
const (
	callTimeout = 100 * time.Millisecond
	// answerTimeout bounds the connection attempts for another daemon, so that the answer
	// comes within its callTimeout.
	answerTimeout = 50 * time.Millisecond
)

// ProbeRequest asks a daemon which of some upstreams it reaches.
type ProbeRequest struct {
	Domain    string   // their failure domain
	Addresses []string // IP:port
}

// ProbeReply holds the addresses that accept the daemon's own connections and those that refuse
// them. Both are empty if it does not reach the domain itself.
type ProbeReply struct {
	Reached []string
	Refused []string
	// Through holds the addresses of the daemons through which this one reaches the domain
	// while it does not do so itself.
	Through []string
}

func (t *Tracker) ask(ctx context.Context, d Daemon, domain string, addresses []string) (ProbeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply ProbeReply
	err := t.opts.Daemons.Call(ctx, d.Address, ServiceName+".Probe", &ProbeRequest{Domain: domain, Addresses: addresses}, &reply)
	return reply, err
}

// RPC returns the net/rpc receiver for other daemons.
func (t *Tracker) RPC() any { return &receiver{t} }

type receiver struct{ tracker *Tracker }

// maxAddresses bounds the addresses of one request.
const maxAddresses = 8

// Probe tries to connect to upstreams for another daemon. Addresses that are not listed are left
// out.
func (r *receiver) Probe(req *ProbeRequest, reply *ProbeReply) error {
	t := r.tracker
	if t.State(req.Domain) != reach.Direct {
		reply.Through = t.gatewayAddresses(req.Domain)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	var mu sync.Mutex
	var tries sync.WaitGroup
	for _, address := range req.Addresses[:min(maxAddresses, len(req.Addresses))] {
		if t.opts.DomainOf(address) != req.Domain {
			continue
		}
		tries.Go(func() {
			err := t.tryDirect(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				reply.Reached = append(reply.Reached, address)
			case errors.Is(err, syscall.ECONNREFUSED):
				reply.Refused = append(reply.Refused, address)
			}
		})
	}
	tries.Wait()
	if len(reply.Reached) == 0 {
		t.Suspect(req.Domain)
	}
	return nil
}

// Willing reports whether connections to an address may be opened for other daemons.
func (t *Tracker) Willing(address string) bool {
	domain := t.opts.DomainOf(address)
	return domain != "" && t.State(domain) == reach.Direct
}
