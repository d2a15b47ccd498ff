package targetgate

import (
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
)

// entry is the state of one flow of the target.
type entry struct {
	// balancer is the balancer that last forwarded a packet of the flow.
	balancer netip.Addr
	// incarnation is the target's incarnation that holds the flow; 0 means unknown.
	incarnation int64
	// open is set when the client has acknowledged the target's SYN-ACK, or the target has
	// sent packets of the flow beyond it.
	open bool
	// synAck is the sequence number of the target's SYN-ACK, valid if synAckSeen is set.
	synAck     uint32
	synAckSeen bool
	// clientAcked is set when the client has sent a packet after the opening one. Until
	// then the flow may have opened elsewhere, through another copy of its opening
	// packet.
	clientAcked bool
	// clientAck is the client's last acknowledgement number, at which it accepts a
	// reset.
	clientAck      uint32
	lastFromClient model.Instant
	lastFromTarget model.Instant
	// openedAt is when the flow was seen first.
	openedAt model.Instant
	// inFlight is set while a request is outstanding; requestedAt is when its first
	// packet arrived. A request begins with data that the client has not sent before,
	// that is, data beyond nextSequence. requestSeen is set once nextSequence is valid.
	inFlight     bool
	requestedAt  model.Instant
	nextSequence uint32
	requestSeen  bool
	// awaitingRequest is set until the client's first request arrives or
	// firstRequestTimeout ends.
	awaitingRequest bool
	// endedByClient and endedByTarget are set when that side has closed its direction.
	endedByClient bool
	endedByTarget bool
	// notified is set when the balancers have been notified of the flow.
	notified bool
	// unconfirmed is set while only the target knows whether it holds the flow: the client
	// has neither completed the handshake in time nor sent anything else that shows where
	// the flow is, or it has sent a reset, which the target may have ignored. Such a flow
	// counts neither as load nor against the target's limit.
	unconfirmed bool
}

// Delivery is what to do with a packet of a flow.
type Delivery uint8

// The deliveries.
const (
	// Deliver passes the packet to the target.
	Deliver Delivery = iota
	// DeliverAndNotify passes the packet, with which the flow opens, to the target. The
	// balancers are to be notified that the target holds the flow.
	DeliverAndNotify
	// DeliverUnconfirmed passes the packet to the target, which may or may not hold the flow.
	DeliverUnconfirmed
	// ReturnPacket returns the packet to the balancer: the target does not hold the
	// flow.
	ReturnPacket
	// ResetFlow resets the flow: the incarnation of the target that held it has ended.
	ResetFlow
)

// ClientPacket decides on a client's packet that does not open a flow. With search
// set, the packet is a copy from a balancer that does not know the flow's agent.
func (g *Gate) ClientPacket(now model.Instant, p flow.Packet, balancer netip.Addr, search bool) Delivery {
	key := p.KeyFromClient()
	known := g.flows[key]
	evidence := g.notHeld(known)
	switch {
	case known == nil && (evidence == EvidenceNone || (evidence == EvidenceNotInTable && !search)):
		g.addUnconfirmed(now, key, p)
		return DeliverUnconfirmed
	case known == nil:
		return ReturnPacket
	case evidence != EvidenceNone && known.unconfirmed:
		g.remove(key, known, RemovedOrphaned)
		return ReturnPacket
	case evidence != EvidenceNone:
		return ResetFlow
	}
	known.lastFromClient, known.clientAck = now, p.Acknowledged
	if known.completedBy(p) {
		g.markOpen(known)
	}
	if !known.open && (search || known.unconfirmed) {
		return DeliverUnconfirmed
	}
	known.balancer, known.clientAcked = balancer, true
	if p.Flags.Has(flow.End) {
		known.endedByClient = true
	}
	if p.Length > 0 {
		g.clearAwaiting(known)
		g.recordRequest(now, known, p)
	}
	if p.Flags.Has(flow.Reset) {
		g.markUnconfirmed(known)
		return Deliver
	}
	if known.notificationDue() {
		return DeliverAndNotify
	}
	return Deliver
}

// addUnconfirmed adds a flow of which a packet is passed to the target without knowing
// whether the target holds it. The target does not answer each packet, so that without an
// entry a flow that it holds could be missing from a complete table.
func (g *Gate) addUnconfirmed(now model.Instant, key flow.Key, p flow.Packet) {
	if len(g.flows) >= g.config.MaxFlows {
		g.leftOut(now)
		return
	}
	g.flows[key] = &entry{incarnation: g.target.Incarnation, clientAck: p.Acknowledged, lastFromClient: now, openedAt: now, unconfirmed: true}
	g.unconfirmed++
}

// leftOut records that the full table lacks a flow that the target may hold.
func (g *Gate) leftOut(now model.Instant) {
	g.flowsComplete, g.trackedSince = false, now
}

// markOpen records that the target holds a flow.
func (g *Gate) markOpen(known *entry) {
	known.open = true
	if known.unconfirmed {
		known.unconfirmed = false
		g.unconfirmed--
	}
}

// markUnconfirmed records that only the target knows whether it still holds a flow.
func (g *Gate) markUnconfirmed(known *entry) {
	g.clearLoad(known)
	known.open = false
	if !known.unconfirmed {
		known.unconfirmed = true
		g.unconfirmed++
	}
}

// completedBy reports whether a client's packet completes the handshake with the target.
func (e *entry) completedBy(p flow.Packet) bool {
	return e.synAckSeen && p.Flags.Has(flow.Ack) && p.Acknowledged == e.synAck+1
}

// notificationDue reports, once for each flow, whether the balancers are to be notified that
// the target holds the flow.
func (e *entry) notificationDue() bool {
	due := e.open && !e.notified
	e.notified = e.notified || due
	return due
}

// LookupResult is whether the target holds a flow, according to the agent's table.
type LookupResult uint8

// The lookup results.
const (
	// FlowUncertain is used when only the target knows.
	FlowUncertain LookupResult = iota
	// FlowHeld is used when the target holds the flow.
	FlowHeld
	// FlowNotHeld is used when the target does not hold the flow.
	FlowNotHeld
	lookupResultCount
)

// LookupResultCount is the number of lookup results.
const LookupResultCount = int(lookupResultCount)

// Lookup returns whether the target holds a flow. A flow is held once it is open: until
// then its client may have opened it elsewhere.
func (g *Gate) Lookup(key flow.Key) LookupResult {
	known := g.flows[key]
	switch {
	case g.notHeld(known) != EvidenceNone:
		return FlowNotHeld
	case known != nil && known.open:
		return FlowHeld
	default:
		return FlowUncertain
	}
}

// recordRequest marks a request as outstanding for a client's data, unless it is a
// retransmission.
func (g *Gate) recordRequest(now model.Instant, known *entry, p flow.Packet) {
	end := p.Sequence + uint32(p.Length)
	if known.requestSeen && int32(end-known.nextSequence) <= 0 {
		return
	}
	known.requestSeen, known.nextSequence = true, end
	if !known.inFlight {
		known.inFlight, known.requestedAt = true, now
		g.inFlight++
	}
}

// updateComplete marks the table as complete once every flow with a packet has been added to
// it for longer than the flows' idle timeout: it then has every flow that the target holds.
func (g *Gate) updateComplete(now model.Instant, idle time.Duration) {
	if idle > 0 && now.Sub(g.trackedSince) > idle {
		g.flowsComplete = true
	}
}

// TargetPacketResult is what follows from a packet that the target sent.
type TargetPacketResult struct {
	// Notify is set when the balancers are to be notified that the target holds the
	// flow.
	Notify bool
	// ResponseStarted is set when the packet begins the response to a request, and
	// Latency is the time since that request arrived.
	ResponseStarted bool
	Latency         time.Duration
}

// TargetPacket records a packet that the target sent to a client.
func (g *Gate) TargetPacket(now model.Instant, p flow.Packet) TargetPacketResult {
	var result TargetPacketResult
	key := p.KeyToClient()
	known := g.flows[key]
	if known == nil {
		if p.Flags.Has(flow.Reset) {
			return TargetPacketResult{}
		}
		if len(g.flows) >= g.config.MaxFlows {
			g.leftOut(now)
			return TargetPacketResult{}
		}
		known = &entry{incarnation: g.target.Incarnation, lastFromClient: now, openedAt: now}
		g.flows[key] = known
	}
	known.lastFromTarget = now
	if p.Flags.Has(flow.Reset) {
		g.remove(key, known, RemovedReset)
		return TargetPacketResult{}
	}
	if p.Flags.Has(flow.End) {
		known.endedByTarget = true
	}
	if known.inFlight && (p.Length > 0 || known.endedByTarget) {
		result.ResponseStarted, result.Latency = p.Length > 0, now.Sub(known.requestedAt)
		if result.ResponseStarted {
			work := g.pace.observe(result.Latency, g.inFlight, g.slots())
			g.ramp.responded(now, work > overloadFactor*g.pace.estimate(), inFlightFactor*g.slots())
		}
		known.inFlight = false
		g.inFlight--
	}
	if p.Flags.Has(flow.Open) {
		known.synAck, known.synAckSeen = p.Sequence, true
	} else {
		g.markOpen(known)
	}
	result.Notify = known.notificationDue()
	return result
}

// PacketReturned removes a flow of which the target returned a packet. A target that
// returns an opening packet has no capacity left; if the flow is open, the packet was a late
// copy, and proves nothing.
func (g *Gate) PacketReturned(now model.Instant, p flow.Packet) {
	key := p.KeyFromClient()
	known := g.flows[key]
	if known == nil || (p.Opening() && known.open) {
		return
	}
	if p.Opening() {
		g.ramp.overloaded(now)
	}
	g.remove(key, known, RemovedReturned)
}

// LastBalancer returns the balancer that last forwarded a packet of the flow, or the
// zero address.
func (g *Gate) LastBalancer(key flow.Key) netip.Addr {
	if known := g.flows[key]; known != nil {
		return known.balancer
	}
	return netip.Addr{}
}

// OrphanedFlow is an open flow whose target incarnation has ended.
type OrphanedFlow struct {
	Key flow.Key
	// Sequence is the sequence number of a reset that the client accepts.
	Sequence uint32
	// Evidence is what shows that the flow has ended.
	Evidence Evidence
}

// RemoveOrphaned removes the flows whose target incarnation has ended, and returns
// those to reset: the ones that were open and that the target had not closed itself.
// Flows that had a packet within the settling time remain until a later call, because
// a last response may still be on its way.
func (g *Gate) RemoveOrphaned(now model.Instant, settling time.Duration) []OrphanedFlow {
	var orphaned []OrphanedFlow
	for key, known := range g.flows {
		if now.Sub(max(known.lastFromClient, known.lastFromTarget)) < settling {
			continue
		}
		if evidence := g.notHeld(known); evidence != EvidenceNone {
			if !known.endedByTarget && !known.unconfirmed && (known.clientAcked || known.open) {
				orphaned = append(orphaned, OrphanedFlow{Key: key, Sequence: known.clientAck, Evidence: evidence})
			}
			g.remove(key, known, RemovedOrphaned)
		}
	}
	return orphaned
}

// EachOpenFlow calls visit for each open flow with the balancer that last forwarded
// it.
func (g *Gate) EachOpenFlow(visit func(key flow.Key, balancer netip.Addr)) {
	for key, known := range g.flows {
		if known.open {
			visit(key, known.balancer)
		}
	}
}

// Expire removes the flows that have closed, never opened, or were idle for longer than
// the idle timeout; 0 means that there is none. It must be called about once a second.
func (g *Gate) Expire(now model.Instant, idle time.Duration) {
	g.updateComplete(now, idle)
	for key, known := range g.flows {
		lastPacket := max(known.lastFromClient, known.lastFromTarget)
		idleFor := now.Sub(lastPacket)
		switch {
		case known.endedByClient && known.endedByTarget && idleFor > closedFlowRetention:
			g.remove(key, known, RemovedClosed)
		case !known.open && !known.unconfirmed && idleFor > openTimeout:
			g.expireUnopened(key, known)
		case idle > 0 && idleFor > idle+closedFlowRetention:
			g.remove(key, known, RemovedIdle)
		}
	}
}

// expireUnopened removes a flow that has not opened in time, unless the target has accepted
// it. Its client may then have completed the handshake with a packet that was lost, and does
// not send another one before its first request.
func (g *Gate) expireUnopened(key flow.Key, known *entry) {
	if known.synAckSeen {
		g.markUnconfirmed(known)
		return
	}
	g.remove(key, known, RemovedUnopened)
}

// Load is the target's load as its agent reports it.
type Load struct {
	// Flows is the number of flows in the table and in the queue, without the unconfirmed ones.
	Flows int
	// ActiveFlows is the number of flows with a request outstanding, awaiting their
	// first request, or queued.
	ActiveFlows int
}

// Load returns the current load.
func (g *Gate) Load() Load {
	return Load{Flows: len(g.flows) - g.unconfirmed + len(g.queued), ActiveFlows: g.inFlight + g.awaitingRequest + len(g.queued)}
}

// clearAwaiting records that a flow's first request has arrived or is no longer
// expected.
func (g *Gate) clearAwaiting(known *entry) {
	if known.awaitingRequest {
		known.awaitingRequest = false
		g.awaitingRequest--
	}
}

// clearLoad records that no request is outstanding or expected on a flow.
func (g *Gate) clearLoad(known *entry) {
	g.clearAwaiting(known)
	if known.inFlight {
		known.inFlight = false
		g.inFlight--
	}
}

// remove removes a flow from the table and the counts.
func (g *Gate) remove(key flow.Key, known *entry, removal Removal) {
	g.removals[removal]++
	g.clearLoad(known)
	if known.unconfirmed {
		g.unconfirmed--
	}
	delete(g.flows, key)
}
