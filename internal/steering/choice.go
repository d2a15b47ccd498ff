package steering

import (
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	// choiceRetention is how long the choice for a new flow is kept for further packets
	// of its first flight.
	choiceRetention = 10 * time.Second
	// handOverTimeout is the time after which a flow that was handed over is decided on
	// again when a further packet of it arrives, because the alternate has not answered.
	// This agent then accepts the flow if it accepts new flows.
	handOverTimeout = 300 * time.Millisecond
	// unusedFlowTime is how long an accepted flow counts as load before its first
	// request.
	unusedFlowTime = time.Second
	// maxChoices is the maximum number of choices kept.
	maxChoices = 1 << 16
	// LoadScale is the load of a target with all slots in use.
	LoadScale = 1000
	// maxLoad is the largest load; it fits the 16 bits that datagrams have for a load.
	maxLoad = 1<<16 - 1
)

// Origin is the sender of a packet of a new flow.
type Origin uint8

// The origins.
const (
	// OriginBalancer packets come from a balancer.
	OriginBalancer Origin = iota + 1
	// OriginHandOver packets were handed over by the agent that the balancer chose, for
	// a comparison of both loads.
	OriginHandOver
	// OriginHandBack packets were handed back by the alternate and are not forwarded
	// again.
	OriginHandBack
)

// Occupancy is the exact utilization of the agent's own target.
type Occupancy struct {
	// Requests is the number of requests that the target runs or that wait for it.
	Requests int
	// Limit is the number of requests that the target can currently run at once.
	Limit int
	// AcceptsNewFlows is set while the agent accepts new flows.
	AcceptsNewFlows bool
}

// NewFlowPacket is a packet of a new flow.
type NewFlowPacket struct {
	// ID is the packet's destination connection ID.
	ID     string
	Origin Origin
	// From is the agent that handed the packet over; used only with OriginHandOver.
	From netip.AddrPort
	// FromLoad is that agent's load, in units of 1/LoadScale.
	FromLoad uint16
	// Alternate is the second agent that the balancer chose; invalid if there is none.
	Alternate netip.AddrPort
}

// Choice is what an agent does with a packet of a new flow.
type Choice struct {
	Action ChoiceAction
	// To is the agent to send the packet to, if it is handed over or back.
	To netip.AddrPort
	// Load is the load to send with a packet that is handed over or back, in units of
	// 1/LoadScale.
	Load uint16
}

// ChoiceAction is the action of a Choice.
type ChoiceAction uint8

// The actions.
const (
	// AcceptFlow delivers the packet to the agent's own target.
	AcceptFlow ChoiceAction = iota + 1
	// HandOverFlow sends the packet to the alternate, which receives it with
	// OriginHandOver.
	HandOverFlow
	// HandBackFlow sends the packet back to the agent that handed it over, which
	// receives it with OriginHandBack.
	HandBackFlow
	// DropFlow drops the packet; the caller retries.
	DropFlow
)

// Chooser decides whether an agent accepts a new flow or hands it over to the
// alternate, from the exact loads of both. Its choice stays the same for all packets of
// the flow's first flight, except that a flow that was not accepted is reconsidered after
// handOverTimeout or when the packet has been handed back. It is not safe for concurrent
// use.
type Chooser struct {
	// choices holds the past choices by connection ID, and order the IDs by the time of
	// their first choice.
	choices map[string]pastChoice
	order   []string
	// unusedFlows holds the times at which flows were accepted that have not sent a
	// request yet.
	unusedFlows []model.Instant
}

type pastChoice struct {
	choice Choice
	at     model.Instant
}

// NewChooser returns a chooser without past choices.
func NewChooser() *Chooser {
	return &Chooser{choices: map[string]pastChoice{}}
}

// Decide returns the choice for one packet: the past choice for its flow while that is
// valid, otherwise a new one.
func (c *Chooser) Decide(now model.Instant, packet NewFlowPacket, occupancy Occupancy) Choice {
	c.expire(now)
	past, known := c.choices[packet.ID]
	if known && c.stillValid(now, past, packet) {
		return past.choice
	}
	choice := c.choose(now, packet, occupancy)
	c.remember(now, packet.ID, choice)
	return choice
}

// RequestStarted records that a request on an accepted flow has started, so that the
// flow does not count in addition to its request. The chooser does not know which flow it
// is and removes the one that was accepted first.
func (c *Chooser) RequestStarted() {
	if len(c.unusedFlows) > 0 {
		c.unusedFlows = c.unusedFlows[1:]
	}
}

// Load returns the agent's load, in units of 1/LoadScale. It counts accepted flows that
// have not sent a request yet.
func (c *Chooser) Load(occupancy Occupancy) uint16 {
	if occupancy.Limit <= 0 {
		return maxLoad
	}
	load := (occupancy.Requests + len(c.unusedFlows)) * LoadScale / occupancy.Limit
	return uint16(min(load, maxLoad))
}

// stillValid reports whether a past choice for a packet's flow applies to the packet.
func (c *Chooser) stillValid(now model.Instant, past pastChoice, packet NewFlowPacket) bool {
	if past.choice.Action == AcceptFlow {
		return true
	}
	return packet.Origin != OriginHandBack && now.Sub(past.at) < handOverTimeout
}

func (c *Chooser) choose(now model.Instant, packet NewFlowPacket, occupancy Occupancy) Choice {
	load := c.Load(occupancy)
	_, repeated := c.choices[packet.ID]
	switch {
	case packet.Origin == OriginHandOver && (!occupancy.AcceptsNewFlows || load > packet.FromLoad):
		return Choice{Action: HandBackFlow, To: packet.From, Load: load}
	case packet.Origin == OriginBalancer && c.shouldHandOver(packet, occupancy, load, repeated):
		return Choice{Action: HandOverFlow, To: packet.Alternate, Load: c.loadToSend(occupancy, load)}
	case !occupancy.AcceptsNewFlows:
		return Choice{Action: DropFlow}
	}
	c.unusedFlows = append(c.unusedFlows, now)
	return Choice{Action: AcceptFlow}
}

// shouldHandOver reports whether a packet from a balancer goes to the alternate, if there
// is one: always if this agent accepts no new flows, otherwise once for each flow if this
// agent has any load.
func (c *Chooser) shouldHandOver(packet NewFlowPacket, occupancy Occupancy, load uint16, repeated bool) bool {
	if !packet.Alternate.IsValid() {
		return false
	}
	if !occupancy.AcceptsNewFlows {
		return true
	}
	return load > 0 && !repeated
}

// loadToSend returns the load that the alternate compares with its own: an agent that
// accepts no new flows sends the maximum, so that any alternate that accepts new flows
// accepts this one.
func (c *Chooser) loadToSend(occupancy Occupancy, load uint16) uint16 {
	if !occupancy.AcceptsNewFlows {
		return maxLoad
	}
	return load
}

func (c *Chooser) remember(now model.Instant, id string, choice Choice) {
	if _, known := c.choices[id]; !known {
		if len(c.order) >= maxChoices {
			c.removeOldest()
		}
		c.order = append(c.order, id)
	}
	c.choices[id] = pastChoice{choice: choice, at: now}
}

// expire removes the choices and the unused flows whose time has passed.
func (c *Chooser) expire(now model.Instant) {
	for len(c.order) > 0 && now.Sub(c.choices[c.order[0]].at) > choiceRetention {
		c.removeOldest()
	}
	for len(c.unusedFlows) > 0 && now.Sub(c.unusedFlows[0]) > unusedFlowTime {
		c.unusedFlows = c.unusedFlows[1:]
	}
}

func (c *Chooser) removeOldest() {
	delete(c.choices, c.order[0])
	c.order = c.order[1:]
}
