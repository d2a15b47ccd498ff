package door

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
	// NotHere returns the packet: the target does not hold the flow.
	NotHere
	// Dead resets the flow: the incarnation of the target that held it has ended.
	Dead
)

// Packet decides on a client's packet that does not open a flow. A search is a
// packet of which the balancer does not know the agent.
func (d *Door) Packet(now model.Instant, p flow.Packet, balancer netip.Addr, search bool) Delivery {
	known := d.flows[p.FromClient()]
	if known == nil {
		switch {
		case d.target.Gone:
			return NotHere
		case search && d.complete:
			return NotHere
		default:
			return Probe
		}
	}
	if d.target.Gone || (known.born != 0 && known.born != d.target.Born) {
		return Dead
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
		d.remove(p.FromClient(), known)
	}
	return Deliver
}

// Holding tells whether the target holds a flow, as far as the agent knows.
type Holding uint8

// The holdings.
const (
	// Unsure tells that only the target can tell.
	Unsure Holding = iota
	// Held tells that the target holds the flow.
	Held
	// Absent tells that the target does not hold the flow.
	Absent
	holdingCount
)

// HoldingCount is the number of holdings.
const HoldingCount = int(holdingCount)

// Holds tells whether the target holds a flow.
func (d *Door) Holds(key flow.Key) Holding {
	known := d.flows[key]
	switch {
	case d.target.Gone:
		return Absent
	case known == nil && d.complete:
		return Absent
	case known == nil:
		return Unsure
	case known.born != 0 && known.born != d.target.Born:
		return Absent
	case known.open:
		return Held
	default:
		return Unsure
	}
}

// request notes a client's data, unless it was sent before.
func (d *Door) request(now model.Instant, known *entry, p flow.Packet) {
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
func (d *Door) settle(now model.Instant, idle time.Duration) {
	if idle > 0 && now.Sub(d.started) > idle {
		d.complete = true
	}
}

// Outgoing is what a packet of the target tells.
type Outgoing struct {
	// Tell asks to tell the balancers that the flow is here.
	Tell bool
	// Answered tells that the packet begins the answer to a request that came After
	// before.
	Answered bool
	After    time.Duration
}

// Sent takes note of a packet that the target sent to a client.
func (d *Door) Sent(now model.Instant, p flow.Packet) Outgoing {
	var out Outgoing
	key := p.ToClient()
	known := d.flows[key]
	if known == nil {
		if p.Flags.Has(flow.Reset) || len(d.flows) >= d.config.MaxFlows {
			return Outgoing{}
		}
		known = &entry{born: d.target.Born, lastIn: now}
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
		out.Answered, out.After = p.Length > 0, now.Sub(known.asked)
	}
	known.open = known.open || !p.Flags.Has(flow.Open)
	out.Tell = known.open && !known.told
	known.told = known.told || known.open
	return out
}

// Returned takes note that the target returned a packet of a flow.
func (d *Door) Returned(key flow.Key) {
	if known := d.flows[key]; known != nil {
		d.remove(key, known)
	}
}

// Balancer returns the balancer that last forwarded a packet of the flow, or the
// zero address.
func (d *Door) Balancer(key flow.Key) netip.Addr {
	if known := d.flows[key]; known != nil {
		return known.balancer
	}
	return netip.Addr{}
}

// Loss is a flow that has ended with its target.
type Loss struct {
	Key flow.Key
	// Sequence is a sequence number that the client takes for a reset's.
	Sequence uint32
}

// Losses removes the flows whose incarnation of the target has ended, and returns
// those that were open and that the target had not closed itself. Flows that had a packet within the
// settling time are left for later: a last answer may still be on its way.
func (d *Door) Losses(now model.Instant, settling time.Duration) []Loss {
	var losses []Loss
	for key, known := range d.flows {
		if now.Sub(max(known.lastIn, known.lastOut)) < settling {
			continue
		}
		if d.target.Gone || (known.born != 0 && known.born != d.target.Born) {
			if !known.endedByTarget && (known.acked || known.open) {
				losses = append(losses, Loss{Key: key, Sequence: known.clientAck})
			}
			d.remove(key, known)
		}
	}
	return losses
}

// Each calls visit for each flow that balancers should know.
func (d *Door) Each(visit func(key flow.Key, balancer netip.Addr)) {
	for key, known := range d.flows {
		if known.open {
			visit(key, known.balancer)
		}
	}
}

// Expire removes the flows that have ended or rested for too long. It is called
// about every second.
func (d *Door) Expire(now model.Instant, idle time.Duration) {
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
	// Busy is the number of flows on which the target owes an answer, and of those
	// whose first request is about to come.
	Busy int
}

// Load returns the present load.
func (d *Door) Load() Load {
	return Load{Flows: len(d.flows) + len(d.waiting), Busy: d.busy + d.fresh + len(d.waiting)}
}

// spend notes that a flow's first request has come, or will not.
func (d *Door) spend(known *entry) {
	if known.fresh {
		known.fresh = false
		d.fresh--
	}
}

func (d *Door) remove(key flow.Key, known *entry) {
	d.spend(known)
	if known.busy {
		d.busy--
	}
	delete(d.flows, key)
}
