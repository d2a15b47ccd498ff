package packetagent

import (
	"bytes"
	"errors"
	"net"
	"net/netip"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/packetnode"
	"github.com/balsamlink/balsamlink/internal/targetgate"
)

// deliveryRingSize is how many deliveries to the target are remembered. A target
// returns a packet within a few milliseconds.
const deliveryRingSize = 4096

// delivery is a packet that was handed to the target.
type delivery struct {
	tag      uint32
	balancer netip.Addr
	key      flow.Key
	// search is set if the balancer does not know the flow's agent and searches
	// for it.
	search bool
}

// deliveryRing is a ring of the latest deliveries to the target. They are found
// by the tag that the target copies into a packet that it returns.
type deliveryRing struct {
	lastTag uint32
	ring    []delivery
}

func newDeliveryRing() deliveryRing { return deliveryRing{ring: make([]delivery, deliveryRingSize)} }

func (r *deliveryRing) add(d delivery) uint32 {
	r.lastTag++
	d.tag = r.lastTag
	r.ring[r.lastTag%deliveryRingSize] = d
	return r.lastTag
}

// take removes and returns the delivery with a tag and a flow key. It reports
// false if a later delivery has replaced it or it was taken before.
func (r *deliveryRing) take(tag uint32, key flow.Key) (delivery, bool) {
	entry := &r.ring[tag%deliveryRingSize]
	if entry.tag != tag || entry.key != key || !entry.balancer.IsValid() {
		return delivery{}, false
	}
	found := *entry
	*entry = delivery{}
	return found, true
}

// handleForward handles a client's packet that a balancer forwarded.
func (a *agent) handleForward(from netip.Addr, datagram []byte) {
	forwarded, err := packetnode.ParseForwardedPacket(datagram)
	if err != nil {
		a.metrics.malformed.Inc()
		return
	}
	p, err := a.codec.Parse(forwarded.Packet)
	if err != nil {
		a.metrics.malformed.Inc()
		return
	}
	a.node.ObserveStateVersion(forwarded.StateVersion)
	if p.Opening() {
		a.openFlow(from, p, forwarded)
		return
	}
	a.handleFlowPacket(from, p, forwarded)
}

// openFlow handles a packet that opens a flow: admission control admits it now,
// queues it or refuses it.
func (a *agent) openFlow(from netip.Addr, p flow.Packet, forwarded packetnode.ForwardedPacket) {
	view := a.view.Load()
	key := p.KeyFromClient()
	now := model.Now()
	a.mu.Lock()
	reason := a.gate.Open(now, view.state, targetgate.Opening{
		Key: key, Balancer: from, Age: p.OpeningAge(), Packet: bytes.Clone(forwarded.Packet),
	})
	a.admit(now, view)
	a.mu.Unlock()
	if reason != targetgate.ReasonNone {
		a.refuse(from, key, forwarded.Packet, reason, view)
	}
}

// admit hands the opening packets that are admitted now to the target. The
// caller holds the lock.
func (a *agent) admit(now model.Instant, view *trafficView) {
	for _, opening := range a.gate.Admit(now, view.state) {
		a.metrics.opened.Inc()
		a.deliver(delivery{balancer: opening.Balancer, key: opening.Key}, opening.Packet)
	}
}

// refuse returns a packet to its balancer with the reason.
func (a *agent) refuse(to netip.Addr, key flow.Key, packet []byte, reason targetgate.Reason, view *trafficView) {
	a.metrics.refused[reason].Inc()
	if reason != targetgate.ReasonUnknownFlow {
		now := model.Now()
		a.mu.Lock()
		admission := a.gate.AdmissionState(now)
		a.mu.Unlock()
		a.metrics.refusalLog.Info("flow_refused", logrus.Fields{
			"flow": key, "reason": reason, "balancer": to, "as_of": view.version.AsOf,
			"state_age_ms": now.Sub(view.verifiedAt).Milliseconds(), "slots": admission.Slots, "busy": admission.InFlight,
			"fresh": admission.AwaitingRequest, "waiting": admission.Queued, "opened": admission.RecentlyOpened, "cold": admission.Cold,
		})
	}
	// 16 bytes are enough for the header that AppendReturnedPacket adds.
	buffer := make([]byte, 0, len(packet)+16)
	a.node.Send(to, packetnode.AppendReturnedPacket(buffer, packetnode.ReturnedPacket{Reason: reason, StateVersion: view.version, Packet: packet}))
}

// handleFlowPacket handles a packet that does not open a flow.
func (a *agent) handleFlowPacket(from netip.Addr, p flow.Packet, forwarded packetnode.ForwardedPacket) {
	key := p.KeyFromClient()
	a.mu.Lock()
	decision := a.gate.ClientPacket(model.Now(), p, from, forwarded.Search)
	if decision == targetgate.DeliverAndNotify {
		a.reports.add(key, from)
	}
	evidence := targetgate.EvidenceNone
	switch decision {
	case targetgate.Deliver, targetgate.DeliverAndNotify, targetgate.DeliverUnconfirmed:
		a.deliver(delivery{balancer: from, key: key, search: forwarded.Search}, forwarded.Packet)
	case targetgate.ReturnPacket:
		evidence = a.gate.NotHeld(key)
	}
	a.mu.Unlock()
	switch decision {
	case targetgate.Deliver, targetgate.DeliverAndNotify:
		if forwarded.Search {
			a.reportHeld(from, key)
		}
	case targetgate.DeliverUnconfirmed:
		// The agent does not know whether the target holds the flow. If it does
		// not, the target returns the packet.
		a.metrics.unconfirmed.Inc()
	case targetgate.ReturnPacket:
		a.reportNotHeld(delivery{balancer: from, key: key, search: forwarded.Search}, forwarded.Packet, evidence)
	case targetgate.ResetFlow:
		a.resetFlows("target_ended", 0)
	}
}

// deliver hands a packet to the target. The caller holds the lock.
func (a *agent) deliver(d delivery, packet []byte) {
	a.codec.Prepare(packet, a.pending.add(d))
	if _, err := a.outbound.WriteToUDPAddrPort(packet, a.settings.Target.Address); err != nil {
		a.metrics.sendFailed.Inc()
		return
	}
	a.metrics.delivered.Inc()
}

// readOutbound receives the target's packets. They may come from a loopback
// address, since the target is on the same VM.
func (a *agent) readOutbound() {
	buffer := make([]byte, flow.MaxPacket)
	for {
		size, from, err := a.outbound.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			a.metrics.readFailed.Inc()
			continue
		}
		if from.Addr().Unmap() != a.settings.Target.Address.Addr() && !from.Addr().Unmap().IsLoopback() {
			a.metrics.foreign.Inc()
			continue
		}
		a.handleOutbound(buffer[:size])
	}
}

// handleOutbound sends a packet of the target to its client, and admits waiting
// flows if the packet made that possible.
func (a *agent) handleOutbound(packet []byte) {
	p, err := a.codec.Parse(packet)
	if err != nil {
		a.metrics.malformed.Inc()
		return
	}
	if p.Flags.Has(flow.Bounced) {
		a.handleBounced(p, packet)
		return
	}
	key := p.KeyToClient()
	a.mu.Lock()
	now := model.Now()
	out := a.gate.TargetPacket(now, p)
	a.admit(now, a.view.Load())
	balancer := a.gate.LastBalancer(key)
	if out.Notify {
		a.reports.add(key, balancer)
	}
	a.mu.Unlock()
	a.metrics.sent.Inc()
	if out.ResponseStarted {
		a.metrics.answer.Observe(out.Latency)
	}
	a.sendToClient(p.Destination, packet)
}

// handleBounced handles a packet that the target returned because it could not
// use it.
func (a *agent) handleBounced(p flow.Packet, packet []byte) {
	key := p.KeyFromClient()
	a.mu.Lock()
	delivered, known := a.pending.take(p.Tag, key)
	if known {
		a.gate.PacketReturned(model.Now(), p)
	}
	a.mu.Unlock()
	if !known {
		a.metrics.untracked.Inc()
		return
	}
	if p.Opening() {
		a.refuse(delivered.balancer, key, packet, targetgate.ReasonFull, a.view.Load())
		return
	}
	a.reportNotHeld(delivered, packet, targetgate.EvidenceReturned)
}
