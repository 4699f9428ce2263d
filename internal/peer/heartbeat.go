package peer

import (
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/platform"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// Names of the heartbeat service and its methods.
const (
	heartbeatService = "Heartbeat"
	exchangeMethod   = heartbeatService + ".Exchange"
	pushMethod       = heartbeatService + ".Push"
)

// Ack is an empty reply.
type Ack struct{}

// heartbeats is the net/rpc receiver of the heartbeat service. It passes messages to
// the state machine.
type heartbeats struct {
	node *Node
}

// Exchange answers another host's exchange request.
func (h *heartbeats) Exchange(req *membership.Request, resp *membership.Response) error {
	var answer *membership.Response
	var err error
	h.node.step(func(m *membership.Members, now time.Time) {
		answer, err = m.HandleRequest(now, req, h.node.rng)
	})
	if err != nil {
		return err
	}
	*resp = *answer
	return nil
}

// Push takes records that another host pushes.
func (h *heartbeats) Push(push *membership.Push, _ *Ack) error {
	var err error
	h.node.step(func(m *membership.Members, now time.Time) {
		err = m.HandlePush(now, push)
	})
	return err
}

// step applies one input to the state machine and sends the pushes that it produces.
func (n *Node) step(input func(m *membership.Members, now time.Time)) {
	n.mu.Lock()
	before := n.members.SectionsVersion()
	input(n.members, time.Now())
	if n.members.SectionsVersion() != before {
		select {
		case n.sectionsChanged <- struct{}{}:
		default:
		}
	}
	forwards := n.members.TakePushes(n.rng)
	if len(forwards) > 0 {
		n.refreshView()
	}
	n.mu.Unlock()
	for _, out := range forwards {
		n.send(out)
	}
}

// tick starts the exchanges that are due and closes idle connections.
func (n *Node) tick() {
	var due []membership.Outgoing
	n.step(func(m *membership.Members, now time.Time) {
		due = m.Tick(now, n.rng)
		n.refreshView()
	})
	for _, out := range due {
		n.send(out)
	}
	n.pool.sweep(time.Now())
}

// refreshView updates the view that Members returns. The caller holds the lock.
func (n *Node) refreshView() {
	view := n.members.View(time.Now())
	n.view.Store(&view)
	if n.members.Superseded() && !n.superseded.Swap(true) {
		n.log.WithError(errSuperseded).Error("host_superseded")
	}
}

// send delivers one message of the state machine in the background. It drops an
// exchange request while another exchange with the address is under way.
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

// deliver sends one message of the state machine, within Options.HeartbeatTimeout,
// and reports a failure to the state machine.
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
		heartbeatErrors.Inc()
		n.log.WithError(err).Debug("heartbeat_failed")
		n.step(func(m *membership.Members, now time.Time) { m.DeliveryFailed(now, out.Address) })
	}
	return err
}

// deliverExchange sends an exchange request, applies the response, and sends the push
// that completes the exchange, if any.
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

// pollHostList reads the platform's list of hosts from time to time until the
// context ends. A failed read changes nothing.
func (n *Node) pollHostList(ctx context.Context) {
	for ctx.Err() == nil {
		n.readHostList(ctx)
		wait.For(ctx, n.jitter(min(n.opts.ListEvery, hostListInterval(len(n.Members())))))
	}
}

// hostListInterval returns the time between two reads of the list, such that the
// whole site reads it about equally often at any size. A change that is only in the
// list then reaches all hosts within seconds, from the first host that reads it.
func hostListInterval(hosts int) time.Duration {
	if hosts <= 1 {
		return hostListIntervalAlone
	}
	return max(minHostListInterval, time.Duration(hosts)*time.Second/hostListReadsPerSecond)
}

const (
	hostListIntervalAlone  = time.Second // while no other host is known
	minHostListInterval    = 2 * time.Second
	hostListReadsPerSecond = 14 // by the whole site
)

func (n *Node) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.opts.CallTimeout)
	defer cancel()
	hosts, err := n.opts.HostList(ctx)
	if err != nil {
		n.log.WithError(err).Warn("host_list_read_failed")
		return
	}
	listed := listedHosts(hosts)
	n.step(func(m *membership.Members, now time.Time) {
		m.ApplyHostList(now, listed)
		n.refreshView()
	})
}

// listedHosts returns the daemons' hosts in the platform's list.
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
