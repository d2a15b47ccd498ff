package steering

import (
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	// decisionRetention is how long the decision on a new flow is kept for further
	// packets of its first flight.
	decisionRetention = 10 * time.Second
	// handOverTimeout is the time after which a repeated first packet of a flow that
	// was handed over is accepted here: the alternate has not answered.
	handOverTimeout = 300 * time.Millisecond
	// unusedFlowTime is how long an accepted flow counts as load before its first
	// request.
	unusedFlowTime = time.Second
	// maxDecisions limits the number of decisions kept.
	maxDecisions = 1 << 16
	// LoadScale is the load of a target with all slots in use.
	LoadScale = 1000
	maxLoad   = 1<<16 - 1
)

// Arrival is how a packet of a new flow reached the agent.
type Arrival uint8

// The ways in which a packet of a new flow arrives.
const (
	// ArrivalFromBalancer packets come from a balancer.
	ArrivalFromBalancer Arrival = iota + 1
	// ArrivalHandedOver packets come from an agent that compared loads.
	ArrivalHandedOver
	// ArrivalHandedBack packets were handed back by the alternate and are not sent on
	// again.
	ArrivalHandedBack
)

// Occupancy is the exact utilisation of the agent's own target.
type Occupancy struct {
	InFlight int
	// Limit is the number of requests that the target can currently run at once.
	Limit int
	// Open is set while the agent accepts new flows.
	Open bool
}

// FirstPacket is a packet of a new flow.
type FirstPacket struct {
	// ID is the packet's destination connection ID.
	ID      string
	Arrival Arrival
	// From is the agent that handed the packet over, for ArrivalHandedOver.
	From netip.AddrPort
	// FromLoad is that agent's load, in units of 1/LoadScale.
	FromLoad uint16
	// Alternate is the second agent that the balancer chose; invalid if there is none.
	Alternate netip.AddrPort
}

// Choice is the decision on a packet of a new flow.
type Choice struct {
	Action ChoiceAction
	// To is the agent to send the packet to, unless it is accepted or dropped.
	To netip.AddrPort
	// Load is the load to send along, in units of 1/LoadScale.
	Load uint16
}

// ChoiceAction is the action of a Choice.
type ChoiceAction uint8

// The actions.
const (
	// TakeFlow delivers the packet to the agent's own target.
	TakeFlow ChoiceAction = iota + 1
	// HandOverFlow sends the packet to the alternate as ArrivalHandedOver.
	HandOverFlow
	// HandBackFlow sends the packet back as ArrivalHandedBack.
	HandBackFlow
	// DropFlow drops the packet; the caller retries.
	DropFlow
)

// Chooser decides whether an agent accepts a new flow or hands it over to the
// alternate, from the exact loads of both. Its decision stays the same for all packets
// of the flow's first flight. It is not safe for concurrent use.
type Chooser struct {
	// decisions holds the past choices by connection ID, and order the IDs by the
	// time of their first decision.
	decisions map[string]pastChoice
	order     []string
	// unused holds the times of accepted flows that have not sent a request yet.
	unused []model.Instant
}

type pastChoice struct {
	choice Choice
	at     model.Instant
}

// NewChooser returns a chooser without past decisions.
func NewChooser() *Chooser {
	return &Chooser{decisions: map[string]pastChoice{}}
}

// Decide decides on one packet.
func (c *Chooser) Decide(now model.Instant, packet FirstPacket, use Occupancy) Choice {
	c.expire(now)
	past, known := c.decisions[packet.ID]
	if known && c.stillValid(now, past, packet) {
		return past.choice
	}
	choice := c.choose(now, packet, use)
	c.remember(now, packet.ID, choice)
	return choice
}

// RequestStarted records that a request on an accepted flow has started, so that the
// flow does not count in addition to its request.
func (c *Chooser) RequestStarted() {
	if len(c.unused) > 0 {
		c.unused = c.unused[1:]
	}
}

// Load returns the agent's load, in units of 1/LoadScale.
func (c *Chooser) Load(use Occupancy) uint16 {
	if use.Limit <= 0 {
		return maxLoad
	}
	load := (use.InFlight + len(c.unused)) * LoadScale / use.Limit
	return uint16(min(load, maxLoad))
}

func (c *Chooser) stillValid(now model.Instant, past pastChoice, packet FirstPacket) bool {
	if past.choice.Action == TakeFlow {
		return true
	}
	return packet.Arrival != ArrivalHandedBack && now.Sub(past.at) < handOverTimeout
}

func (c *Chooser) choose(now model.Instant, packet FirstPacket, use Occupancy) Choice {
	load := c.Load(use)
	_, repeated := c.decisions[packet.ID]
	switch {
	case packet.Arrival == ArrivalHandedOver && (!use.Open || load > packet.FromLoad):
		return Choice{Action: HandBackFlow, To: packet.From, Load: load}
	case packet.Arrival == ArrivalFromBalancer && c.shouldHandOver(packet, use, load, repeated):
		return Choice{Action: HandOverFlow, To: packet.Alternate, Load: c.loadToSend(use, load)}
	case !use.Open:
		return Choice{Action: DropFlow}
	}
	c.unused = append(c.unused, now)
	return Choice{Action: TakeFlow}
}

func (c *Chooser) shouldHandOver(packet FirstPacket, use Occupancy, load uint16, repeated bool) bool {
	if !packet.Alternate.IsValid() {
		return false
	}
	if !use.Open {
		return true
	}
	return load > 0 && !repeated
}

// loadToSend returns the load that the alternate compares with its own: an agent that
// accepts no new flows sends the maximum, so that any open alternate accepts the flow.
func (c *Chooser) loadToSend(use Occupancy, load uint16) uint16 {
	if !use.Open {
		return maxLoad
	}
	return load
}

func (c *Chooser) remember(now model.Instant, id string, choice Choice) {
	if _, known := c.decisions[id]; !known {
		if len(c.order) >= maxDecisions {
			c.removeOldest()
		}
		c.order = append(c.order, id)
	}
	c.decisions[id] = pastChoice{choice: choice, at: now}
}

func (c *Chooser) expire(now model.Instant) {
	for len(c.order) > 0 && now.Sub(c.decisions[c.order[0]].at) > decisionRetention {
		c.removeOldest()
	}
	for len(c.unused) > 0 && now.Sub(c.unused[0]) > unusedFlowTime {
		c.unused = c.unused[1:]
	}
}

func (c *Chooser) removeOldest() {
	delete(c.decisions, c.order[0])
	c.order = c.order[1:]
}
