package packetlb

import (
	"errors"
	"net"
	"net/netip"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/flowsteer"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/packetnode"
	"github.com/balsamlink/balsamlink/internal/targetgate"
)

// readClientPackets receives the packets that the fabric delivers.
func (b *balancer) readClientPackets() {
	buffer := make([]byte, flow.MaxPacket)
	sender := newSender(b)
	for {
		size, _, err := b.fabricSocket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.metrics.readFailed.Inc()
			continue
		}
		b.packets.Add(1)
		b.handleClientPacket(sender, buffer[:size])
	}
}

// handleClientPacket has the flow table decide on a packet, and executes the
// verdict. While a flow is searched for, the table keeps a copy of one of its
// packets.
func (b *balancer) handleClientPacket(sender *sender, packet []byte) {
	p, err := b.codec.Parse(packet)
	if err != nil {
		b.metrics.malformed.Inc()
		return
	}
	now := model.Now()
	b.mu.Lock()
	verdict := b.table.ClientPacket(now, p)
	if verdict.Action == flowsteer.ActionSearch || verdict.Action == flowsteer.ActionLookup {
		b.table.HoldPacket(p.KeyFromClient(), packet)
	}
	b.mu.Unlock()
	sender.execute(p.KeyFromClient(), verdict, packet)
}

// handleReturn handles a packet that an agent returned: its target did not admit
// the new flow, or does not hold the flow.
func (b *balancer) handleReturn(from netip.Addr, datagram []byte) {
	returned, err := packetnode.ParseReturnedPacket(datagram)
	if err != nil {
		b.metrics.malformed.Inc()
		return
	}
	p, err := b.codec.Parse(returned.Packet)
	if err != nil {
		b.metrics.malformed.Inc()
		return
	}
	if !b.isKnownAgent(from) {
		return
	}
	b.node.ObserveStateVersion(returned.StateVersion)
	b.metrics.returned[returned.Reason].Inc()
	now := model.Now()
	b.mu.Lock()
	var verdict flowsteer.Verdict
	if p.Opening() {
		verdict = b.table.OpeningRefused(now, p, from, returned.Reason)
	} else if returned.Reason == targetgate.ReasonUnknownFlow {
		verdict = b.table.PacketReturned(now, p, from)
	}
	b.mu.Unlock()
	b.reportSender.execute(p.KeyFromClient(), verdict, returned.Packet)
}

// isKnownAgent reports whether a datagram came from the VM of a known agent, and
// counts the datagram as foreign if not: only agents may report where flows are.
func (b *balancer) isKnownAgent(from netip.Addr) bool {
	known := b.view.Load().steering.Agents[from] != nil
	if !known {
		b.metrics.foreign.Inc()
	}
	return known
}

// sender executes verdicts. Each goroutine has its own, so that its buffer is
// reused and forwarding a packet allocates no memory.
type sender struct {
	*balancer
	buffer []byte
}

func newSender(b *balancer) *sender {
	return &sender{balancer: b, buffer: make([]byte, 0, packetnode.MaxDatagram)}
}

// execute carries out a verdict on a packet of a flow. The packet may be nil if
// the verdict does not forward it. A search for the flow's agent begins with
// ActionSearch: copies of the packet go to the agents that most likely hold the
// flow. If none does, ActionLookup sends the flow's key to all agents, and
// ActionSearch the packet to those that can't tell from their tables.
func (s *sender) execute(key flow.Key, verdict flowsteer.Verdict, packet []byte) {
	s.record(key, verdict)
	switch verdict.Action {
	case flowsteer.ActionForward:
		s.forward(verdict.Agent, packet, false)
	case flowsteer.ActionSearch:
		for _, vm := range verdict.Agents {
			s.forward(vm, packet, true)
		}
	case flowsteer.ActionLookup:
		s.wakeLookups()
	case flowsteer.ActionReset:
		s.reset(key, verdict.Sequence)
	}
}

// forward sends a packet to the agent on a VM. The agent answers a packet that
// is marked as part of a search with whether its target holds the flow.
func (s *sender) forward(vm netip.Addr, packet []byte, search bool) {
	s.buffer = packetnode.AppendForwardedPacket(s.buffer[:0], packetnode.ForwardedPacket{
		Search: search, StateVersion: s.view.Load().version, Packet: packet,
	})
	s.node.Send(vm, s.buffer)
	if !s.forwarded.Load() && s.forwarded.CompareAndSwap(false, true) {
		s.log.WithField("since_start_ms", model.Now().Sub(s.created).Milliseconds()).Info("first_packet_forwarded")
	}
}

// reset notifies a flow's client that the flow has ended. Clients receive packets
// at the UDP port at which the fabric delivers them to the balancers; the port of
// key.Client is only in the packet's header.
func (b *balancer) reset(key flow.Key, sequence uint32) {
	address := netip.AddrPortFrom(netip.AddrFrom4(key.Client.IP), b.settings.Packets.Port())
	if _, err := b.fabricSocket.WriteToUDPAddrPort(b.codec.AppendReset(nil, key, sequence), address); err != nil {
		b.metrics.sendFailed.Inc()
	}
}

// record counts a verdict, and logs one that concerns a flow as a whole. Those
// on single packets of a flow that is known, has ended or is being searched for
// are only counted.
func (b *balancer) record(key flow.Key, verdict flowsteer.Verdict) {
	b.metrics.verdicts[verdict.Action][verdict.Reason].Inc()
	if verdict.Reason == flowsteer.ReasonKnown || verdict.Reason == flowsteer.ReasonEnded || verdict.Reason == flowsteer.ReasonSearching ||
		verdict.Reason == flowsteer.ReasonSearchBudget {
		return
	}
	current := b.view.Load()
	fields := logrus.Fields{
		"flow": key, "action": verdict.Action, "reason": verdict.Reason, "as_of": current.version.AsOf,
		"state_age_ms": model.Now().Sub(current.steering.VerifiedAt).Milliseconds(),
	}
	if verdict.Action == flowsteer.ActionReset {
		fields["evidence"] = verdict.Evidence
	}
	if verdict.Agent.IsValid() {
		fields["agent"] = verdict.Agent
	}
	if len(verdict.Agents) > 0 {
		fields["asked"] = len(verdict.Agents)
	}
	if current.steering.State != nil && current.steering.State.Config != nil {
		fields["version"] = current.steering.State.Config.Version
	}
	b.metrics.logs[verdict.Action].Info("flow_steered", fields)
}
