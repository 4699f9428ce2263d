package paths

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/reach"
	"github.com/buckthorndock/buckthorndock/internal/peer"
)

// gateways are the daemons through which a domain is reached.
type gateways struct {
	daemons  []Daemon
	answered time.Time // when daemons were last asked about the domain
}

// Numbers and times of the search for daemons that reach a domain. Where all upstreams of a domain
// have died, all daemons of the site search at once and for as long as that lasts.
const (
	askWidth      = 4  // daemons asked at once
	wantGateways  = 3  // daemons that share the connections to a domain
	maxAsked      = 16 // daemons asked in the probe that finds the domain unreachable
	maxAskedAgain = 8  // daemons asked in a later one
	// askInterval is the time after which one of the daemons found is asked again or, if there
	// is none, others are.
	askInterval = time.Second
)

// gatewayOf returns one of the daemons through which a domain is reached, drawn at random.
func (t *Tracker) gatewayOf(domain string) (Daemon, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.gateways[domain]
	if r == nil || len(r.daemons) == 0 {
		return Daemon{}, false
	}
	return r.daemons[rand.IntN(len(r.daemons))], true
}

// dropGateway removes a daemon that does not open connections to a domain, and has the domain
// probed.
func (t *Tracker) dropGateway(domain string, via Daemon) {
	t.mu.Lock()
	if r := t.gateways[domain]; r != nil {
		r.daemons = slices.DeleteFunc(r.daemons, func(d Daemon) bool { return d == via })
		r.answered = time.Time{}
	}
	t.mu.Unlock()
	t.Suspect(domain)
}

// gatewayHosts returns the names of the daemons through which a domain is reached.
func (t *Tracker) gatewayHosts(domain string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var hosts []string
	if r := t.gateways[domain]; r != nil {
		for _, d := range r.daemons {
			hosts = append(hosts, d.Host)
		}
	}
	return hosts
}

// gatewayAddresses returns the addresses of the daemons through which a domain is reached.
func (t *Tracker) gatewayAddresses(domain string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var addresses []string
	if r := t.gateways[domain]; r != nil {
		for _, d := range r.daemons {
			addresses = append(addresses, d.Address)
		}
	}
	return addresses
}

// askOthers asks other daemons whether they reach the targets, and completes the result of a
// probe with what they say.
func (t *Tracker) askOthers(domain string, targets []string, r *reach.ProbeResult) {
	if t.opts.Daemons == nil || len(targets) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	limit := maxAsked
	switch state := t.State(domain); {
	case state == reach.Indirect && t.confirm(ctx, domain, targets[:1]):
		r.Indirect, r.DaemonsAnswer = 1, true
		return
	case state == reach.Cut && t.askedLately(domain):
		return
	case state == reach.Cut:
		limit = maxAskedAgain
	}
	found := t.search(ctx, domain, targets, t.candidates(domain, limit), r)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gateways[domain] = &gateways{daemons: found, answered: time.Now()}
}

// askedLately reports whether daemons were asked about a domain within askInterval.
func (t *Tracker) askedLately(domain string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.gateways[domain]
	return r != nil && time.Since(r.answered) < askInterval
}

// confirm reports whether one of the daemons that were found earlier still reaches the domain.
func (t *Tracker) confirm(ctx context.Context, domain string, targets []string) bool {
	via, known := t.gatewayOf(domain)
	if !known {
		return false
	}
	if t.askedLately(domain) {
		return true
	}
	reply, err := t.ask(ctx, via, domain, targets)
	if err != nil || len(reply.Reached) == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.gateways[domain]; r != nil {
		r.answered = time.Now()
	}
	return true
}

// said is the answer of a daemon.
type said struct {
	by    Daemon
	reply ProbeReply
	err   error
}

// search asks the daemons of a list, and those that they name, until wantGateways of them reach the
// domain, all have been asked, or the context ends.
func (t *Tracker) search(ctx context.Context, domain string, targets []string, list []Daemon, r *reach.ProbeResult) (found []Daemon) {
	answers := make(chan said, askWidth)
	queue := newQueue(list, t.opts.Daemons.Others)
	pending := 0
	for len(found) < wantGateways {
		for next, ok := queue.pop(pending < askWidth); ok; next, ok = queue.pop(pending < askWidth) {
			pending++
			go func() {
				reply, err := t.ask(ctx, next, domain, targets)
				answers <- said{by: next, reply: reply, err: err}
			}()
		}
		if pending == 0 {
			return found
		}
		var a said
		select {
		case a = <-answers:
		case <-ctx.Done():
			return found
		}
		pending--
		if a.err != nil && !peer.IsRemote(a.err) {
			continue
		}
		r.DaemonsAnswer = r.DaemonsAnswer || a.by.Domain == domain // also one that knows no such question
		if len(a.reply.Reached) > 0 {
			r.Indirect = max(r.Indirect, len(a.reply.Reached))
			found = append(found, a.by)
		}
		queue.prefer(a.reply.Through)
	}
	return found
}

// queue holds the daemons that are to be asked. Each is asked once.
type queue struct {
	waiting []Daemon
	asked   map[string]bool // by address
	others  func() []Daemon
}

func newQueue(list []Daemon, others func() []Daemon) *queue {
	return &queue{waiting: list, asked: map[string]bool{}, others: others}
}

// pop returns the next daemon, if one may be asked now.
func (q *queue) pop(mayAsk bool) (next Daemon, ok bool) {
	for mayAsk && len(q.waiting) > 0 {
		next, q.waiting = q.waiting[0], q.waiting[1:]
		if !q.asked[next.Address] {
			q.asked[next.Address] = true
			return next, true
		}
	}
	return Daemon{}, false
}

// prefer puts the known daemons at some addresses first.
func (q *queue) prefer(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	for _, d := range q.others() {
		if slices.Contains(addresses, d.Address) {
			q.waiting = append([]Daemon{d}, q.waiting...)
		}
	}
}

// candidates returns up to limit other daemons in a random order in which those of the domain and
// the rest alternate: the daemons of a domain may have lost their paths together.
func (t *Tracker) candidates(domain string, limit int) []Daemon {
	var near, far []Daemon
	for _, d := range t.opts.Daemons.Others() {
		if d.Domain == domain {
			near = append(near, d)
		} else {
			far = append(far, d)
		}
	}
	for _, group := range [][]Daemon{near, far} {
		rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	}
	all := make([]Daemon, 0, len(near)+len(far))
	for i := range max(len(near), len(far)) {
		if i < len(near) {
			all = append(all, near[i])
		}
		if i < len(far) {
			all = append(all, far[i])
		}
	}
	return all[:min(limit, len(all))]
}
