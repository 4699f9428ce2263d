package paths

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/reach"
	"github.com/buckthorndock/buckthorndock/internal/peer"
)

// relays are the daemons through which a domain is reached.
type relays struct {
	daemons   []Daemon
	confirmed time.Time // when one of them last said that it reaches the domain
}

// Numbers and times of the search for daemons that reach a domain.
const (
	askWidth   = 4  // daemons asked at once
	wantRelays = 3  // daemons that share the connections to a domain
	maxAsked   = 64 // daemons asked in one probe
	// confirmInterval is the time after which one of the daemons found is asked again.
	confirmInterval = time.Second
)

// relayOf returns one of the daemons through which a domain is reached, drawn at random.
func (t *Tracker) relayOf(domain string) (Daemon, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.relays[domain]
	if r == nil || len(r.daemons) == 0 {
		return Daemon{}, false
	}
	return r.daemons[rand.IntN(len(r.daemons))], true
}

// dropRelay removes a daemon that does not open connections to a domain, and has the domain
// probed.
func (t *Tracker) dropRelay(domain string, via Daemon) {
	t.mu.Lock()
	if r := t.relays[domain]; r != nil {
		r.daemons = slices.DeleteFunc(r.daemons, func(d Daemon) bool { return d == via })
		r.confirmed = time.Time{}
	}
	t.mu.Unlock()
	t.Suspect(domain)
}

// relayHosts returns the names of the daemons through which a domain is reached.
func (t *Tracker) relayHosts(domain string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var hosts []string
	if r := t.relays[domain]; r != nil {
		for _, d := range r.daemons {
			hosts = append(hosts, d.Host)
		}
	}
	return hosts
}

// askOthers asks other daemons whether they reach the targets, and completes the result of a
// probe with what they say.
func (t *Tracker) askOthers(domain string, targets []string, r *reach.ProbeResult) {
	if t.opts.Daemons == nil || len(targets) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	if t.confirm(ctx, domain, targets[:1]) {
		r.Indirect, r.DaemonsAnswer = 1, true
		return
	}
	found := t.search(ctx, domain, targets, r)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relays[domain] = &relays{daemons: found, confirmed: time.Now()}
}

// confirm reports whether one of the daemons that were found earlier still reaches the domain.
func (t *Tracker) confirm(ctx context.Context, domain string, targets []string) bool {
	if t.State(domain) != reach.Indirect {
		return false
	}
	via, known := t.relayOf(domain)
	if !known {
		return false
	}
	t.mu.Lock()
	recent := time.Since(t.relays[domain].confirmed) < confirmInterval
	t.mu.Unlock()
	if recent {
		return true
	}
	reply, err := t.ask(ctx, via, domain, targets)
	if err != nil || len(reply.Reached) == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if rs := t.relays[domain]; rs != nil {
		rs.confirmed = time.Now()
	}
	return true
}

// said is the answer of a daemon.
type said struct {
	by    Daemon
	reply ProbeReply
	err   error
}

// search asks daemons until wantRelays of them reach the domain, all have been asked, or the
// context ends.
func (t *Tracker) search(ctx context.Context, domain string, targets []string, r *reach.ProbeResult) (found []Daemon) {
	candidates := t.candidates(domain)
	answers := make(chan said, askWidth)
	pending := 0
	for len(found) < wantRelays && (pending > 0 || len(candidates) > 0) {
		for pending < askWidth && len(candidates) > 0 {
			next := candidates[0]
			candidates = candidates[1:]
			pending++
			go func() {
				reply, err := t.ask(ctx, next, domain, targets)
				answers <- said{by: next, reply: reply, err: err}
			}()
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
	}
	return found
}

// candidates returns other daemons in a random order in which those of the domain and the rest
// alternate: the daemons of a domain may have lost their paths together.
func (t *Tracker) candidates(domain string) []Daemon {
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
	return all[:min(maxAsked, len(all))]
}
