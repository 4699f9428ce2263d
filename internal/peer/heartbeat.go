package peer

import (
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/platform"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// Names of the heartbeat service.
const (
	heartbeatService = "Heartbeat"
	exchangeMethod   = heartbeatService + ".Exchange"
	pushMethod       = heartbeatService + ".Push"
)

// Ack is an empty reply.
type Ack struct{}

// heartbeats is the net/rpc face of the state machine.
type heartbeats struct {
	n *Node
}

// Exchange answers an exchange.
func (h *heartbeats) Exchange(req *membership.Request, resp *membership.Response) error {
	var answer *membership.Response
	var err error
	h.n.step(func(m *membership.Members, now time.Time) {
		answer, err = m.HandleRequest(now, req, h.n.rng)
	})
	if err != nil {
		return err
	}
	*resp = *answer
	return nil
}

// Push takes news.
func (h *heartbeats) Push(push *membership.Push, _ *Ack) error {
	var err error
	h.n.step(func(m *membership.Members, now time.Time) {
		err = m.HandlePush(now, push)
	})
	return err
}

// step runs one input of the state machine and sends what it wants to pass on.
func (n *Node) step(input func(m *membership.Members, now time.Time)) {
	n.mu.Lock()
	before := n.members.SectionsVersion()
	input(n.members, time.Now())
	if n.members.SectionsVersion() != before {
		select {
		case n.news <- struct{}{}:
		default:
		}
	}
	forwards := n.members.TakePushes(n.rng)
	if len(forwards) > 0 {
		n.refresh()
	}
	n.mu.Unlock()
	for _, out := range forwards {
		n.send(out)
	}
}

// tick opens the exchanges that are due.
func (n *Node) tick() {
	var due []membership.Outgoing
	n.step(func(m *membership.Members, now time.Time) {
		due = m.Tick(now, n.rng)
		n.refresh()
	})
	for _, out := range due {
		n.send(out)
	}
	n.pool.sweep(time.Now())
}

// refresh makes the view that readers see; the caller holds the lock.
func (n *Node) refresh() {
	view := n.members.View(time.Now())
	n.view.Store(&view)
	if n.members.Superseded() && !n.superseded.Swap(true) {
		n.log.WithError(errSuperseded).Error("host_superseded")
	}
}

// send delivers one message of the state machine in the background. While an
// exchange with an address is under way no other is opened there.
func (n *Node) send(out membership.Outgoing) {
	if out.Request != nil {
		if _, busy := n.exchanging.LoadOrStore(out.Address, true); busy {
			return
		}
	}
	n.inBackground(func() {
		if out.Request != nil {
			defer n.exchanging.Delete(out.Address)
		}
		_ = n.deliver(n.background, out)
	})
}

func (n *Node) deliver(ctx context.Context, out membership.Outgoing) error {
	ctx, cancel := context.WithTimeout(ctx, n.opts.HeartbeatTimeout)
	defer cancel()
	var err error
	if out.Request != nil {
		err = n.deliverExchange(ctx, out)
	} else {
		err = n.Call(ctx, out.Address, pushMethod, out.Push, &Ack{})
	}
	if err != nil {
		exchangeErr.Inc()
		n.log.WithError(err).Debug("heartbeat_failed")
		n.step(func(m *membership.Members, now time.Time) { m.DeliveryFailed(now, out.Address) })
	}
	return err
}

func (n *Node) deliverExchange(ctx context.Context, out membership.Outgoing) error {
	var resp membership.Response
	if err := n.Call(ctx, out.Address, exchangeMethod, out.Request, &resp); err != nil {
		return err
	}
	var push *membership.Push
	var err error
	n.step(func(m *membership.Members, now time.Time) {
		push, err = m.HandleResponse(now, &resp)
	})
	if err != nil || push == nil {
		return err
	}
	return n.Call(ctx, out.Address, pushMethod, push, &Ack{})
}

// followList reads the platform's list now and then. A failed read changes
// nothing.
func (n *Node) followList(ctx context.Context) {
	for ctx.Err() == nil {
		n.readList(ctx)
		wait.For(ctx, n.jitter(min(n.opts.ListEvery, listEvery(len(n.Members())))))
	}
}

// listEvery returns the time between two reads of the list, so that the whole
// site reads it about as often whatever its size: what the list alone tells is
// then heard within seconds, as the first to read of it tells the others.
func listEvery(hosts int) time.Duration {
	if hosts <= 1 {
		return listEveryAlone
	}
	return max(listEveryLeast, time.Duration(hosts)*time.Second/listReadsPerSecond)
}

const (
	listEveryAlone     = time.Second // while no other host is known
	listEveryLeast     = 2 * time.Second
	listReadsPerSecond = 14 // of the whole site
)

func (n *Node) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.opts.CallTimeout)
	defer cancel()
	hosts, err := n.opts.HostList(ctx)
	if err != nil {
		n.log.WithError(err).Warn("host_list_unreadable")
		return
	}
	listed := listedHosts(hosts)
	n.step(func(m *membership.Members, now time.Time) {
		m.ApplyHostList(now, listed)
		n.refresh()
	})
}

func listedHosts(hosts []platform.Host) []membership.ListedHost {
	var listed []membership.ListedHost
	for _, h := range hosts {
		if h.Kind != platform.HostEntry {
			continue
		}
		listed = append(listed, membership.ListedHost{
			Host:    h.Name,
			Domain:  h.Domain,
			Region:  h.Region,
			Address: h.Address,
			Leaving: h.State == platform.HostLeaving,
		})
	}
	return listed
}
