package targetgate

import (
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
)

// entry is one flow of the target.
type entry struct {
	// balancer last forwarded a packet of the flow.
	balancer netip.Addr
	// born is the incarnation of the target that holds the flow; 0 is unknown.
	born int64
	// open tells that the target has sent packets of the flow beyond its consent.
	open bool
	// acked tells that the client has acknowledged the target's consent. Until then
	// the flow may have opened elsewhere, by another copy of its opening packet.
	acked bool
	// clientAck is the client's last acknowledgement number.
	clientAck uint32
	lastIn    model.Instant
	lastOut   model.Instant
	// busy tells that the target owes the client an answer. It begins with data
	// that the client has not sent before, up to the sequence number next.
	busy    bool
	asked   model.Instant
	next    uint32
	started bool
	// fresh tells that the client's first request is still to come.
	fresh         bool
	endedByClient bool
	endedByTarget bool
	// told tells that the balancers were told of the flow.
	told bool
}

// Delivery tells what becomes of a packet of a flow.
type Delivery uint8

// The deliveries.
const (
	// Deliver hands the packet to the target.
	Deliver Delivery = iota
	// Probe hands the packet to the target, which may hold the flow or not.
	Probe
	// ReturnPacket returns the packet: the target does not hold the flow.
	ReturnPacket
	// ResetFlow resets the flow: the incarnation of the target that held it has ended.
	ResetFlow
)

// ClientPacket decides on a client's packet that does not open a flow. A search is a
// packet of which the balancer does not know the agent.
func (d *Gate) ClientPacket(now model.Instant, p flow.Packet, balancer netip.Addr, search bool) Delivery {
	known := d.flows[p.KeyFromClient()]
	if known == nil {
		switch {
		case d.target.Ended:
			return ReturnPacket
		case search && d.complete:
			return ReturnPacket
		default:
			return Probe
		}
	}
	if d.target.Ended || (known.born != 0 && known.born != d.target.Incarnation) {
		return ResetFlow
	}
	known.balancer, known.lastIn = balancer, now
	known.acked, known.clientAck = true, p.Acknowledged
	if p.Flags.Has(flow.End) {
		known.endedByClient = true
	}
	if p.Length > 0 {
		d.spend(known)
		d.request(now, known, p)
	}
	if p.Flags.Has(flow.Reset) {
		d.remove(p.KeyFromClient(), known)
	}
	return Deliver
}

// LookupResult tells whether the target holds a flow, as far as the agent knows.
type LookupResult uint8

// The holdings.
const (
	// Uncertain tells that only the target can tell.
	Uncertain LookupResult = iota
	// Held tells that the target holds the flow.
	Held
	// Absent tells that the target does not hold the flow.
	Absent
	holdingCount
)

// LookupResultCount is the number of holdings.
const LookupResultCount = int(holdingCount)

// Lookup tells whether the target holds a flow.
func (d *Gate) Lookup(key flow.Key) LookupResult {
	known := d.flows[key]
	switch {
	case d.target.Ended:
		return Absent
	case known == nil && d.complete:
		return Absent
	case known == nil:
		return Uncertain
	case known.born != 0 && known.born != d.target.Incarnation:
		return Absent
	case known.open:
		return Held
	default:
		return Uncertain
	}
}

// request notes a client's data, unless it was sent before.
func (d *Gate) request(now model.Instant, known *entry, p flow.Packet) {
	next := p.Sequence + uint32(p.Length)
	if known.started && int32(next-known.next) <= 0 {
		return
	}
	known.started, known.next = true, next
	if !known.busy {
		known.busy, known.asked = true, now
		d.busy++
	}
}

// settle notes when the agent has run for longer than a flow may rest: it has
// then seen a packet of every flow that the target holds.
func (d *Gate) settle(now model.Instant, idle time.Duration) {
	if idle > 0 && now.Sub(d.started) > idle {
		d.complete = true
	}
}

// Outgoing is what a packet of the target tells.
type Outgoing struct {
	// Notify asks to tell the balancers that the flow is here.
	Notify bool
	// ResponseStarted tells that the packet begins the answer to a request that came After
	// before.
	ResponseStarted bool
	Latency         time.Duration
}

// TargetPacket takes note of a packet that the target sent to a client.
func (d *Gate) TargetPacket(now model.Instant, p flow.Packet) Outgoing {
	var out Outgoing
	key := p.KeyToClient()
	known := d.flows[key]
	if known == nil {
		if p.Flags.Has(flow.Reset) || len(d.flows) >= d.config.MaxFlows {
			return Outgoing{}
		}
		known = &entry{born: d.target.Incarnation, lastIn: now}
		d.flows[key] = known
	}
	known.lastOut = now
	if p.Flags.Has(flow.Reset) {
		d.remove(key, known)
		return Outgoing{}
	}
	if p.Flags.Has(flow.End) {
		known.endedByTarget = true
	}
	if known.busy && (p.Length > 0 || known.endedByTarget) {
		known.busy = false
		d.busy--
		out.ResponseStarted, out.Latency = p.Length > 0, now.Sub(known.asked)
	}
	known.open = known.open || !p.Flags.Has(flow.Open)
	out.Notify = known.open && !known.told
	known.told = known.told || known.open
	return out
}

// PacketReturned takes note that the target returned a packet of a flow.
func (d *Gate) PacketReturned(key flow.Key) {
	if known := d.flows[key]; known != nil {
		d.remove(key, known)
	}
}

// LastBalancer returns the balancer that last forwarded a packet of the flow, or the
// zero address.
func (d *Gate) LastBalancer(key flow.Key) netip.Addr {
	if known := d.flows[key]; known != nil {
		return known.balancer
	}
	return netip.Addr{}
}

// OrphanedFlow is a flow that has ended with its target.
type OrphanedFlow struct {
	Key flow.Key
	// Sequence is a sequence number that the client takes for a reset's.
	Sequence uint32
}

// RemoveOrphaned removes the flows whose incarnation of the target has ended, and returns
// those that were open and that the target had not closed itself. Flows that had a packet within the
// settling time are left for later: a last answer may still be on its way.
func (d *Gate) RemoveOrphaned(now model.Instant, settling time.Duration) []OrphanedFlow {
	var losses []OrphanedFlow
	for key, known := range d.flows {
		if now.Sub(max(known.lastIn, known.lastOut)) < settling {
			continue
		}
		if d.target.Ended || (known.born != 0 && known.born != d.target.Incarnation) {
			if !known.endedByTarget && (known.acked || known.open) {
				losses = append(losses, OrphanedFlow{Key: key, Sequence: known.clientAck})
			}
			d.remove(key, known)
		}
	}
	return losses
}

// EachOpenFlow calls visit for each flow that balancers should know.
func (d *Gate) EachOpenFlow(visit func(key flow.Key, balancer netip.Addr)) {
	for key, known := range d.flows {
		if known.open {
			visit(key, known.balancer)
		}
	}
}

// Expire removes the flows that have ended or rested for too long. It is called
// about every second.
func (d *Gate) Expire(now model.Instant, idle time.Duration) {
	d.settle(now, idle)
	for key, known := range d.flows {
		last := max(known.lastIn, known.lastOut)
		quiet := now.Sub(last)
		switch {
		case known.endedByClient && known.endedByTarget && quiet > closedLinger,
			!known.open && quiet > openTimeout,
			idle > 0 && quiet > idle+closedLinger:
			d.remove(key, known)
		}
	}
}

// Load is what an agent reports of its target.
type Load struct {
	// Flows are those that are open and those that wait.
	Flows int
	// ActiveFlows is the number of flows on which the target owes an answer, and of those
	// whose first request is about to come.
	ActiveFlows int
}

// Load returns the present load.
func (d *Gate) Load() Load {
	return Load{Flows: len(d.flows) + len(d.waiting), ActiveFlows: d.busy + d.fresh + len(d.waiting)}
}

// spend notes that a flow's first request has come, or will not.
func (d *Gate) spend(known *entry) {
	if known.fresh {
		known.fresh = false
		d.fresh--
	}
}

func (d *Gate) remove(key flow.Key, known *entry) {
	d.spend(known)
	if known.busy {
		d.busy--
	}
	delete(d.flows, key)
}
