package steering

import (
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	// handshakeMemory is how long the choice for a new flow is remembered.
	handshakeMemory = 10 * time.Second
	// retakeAfter is the time after which a repeated first packet of a flow that
	// was handed over is taken here: the alternate has not answered.
	retakeAfter = 300 * time.Millisecond
	// unusedFlowTime is how long a flow without a request counts as load.
	unusedFlowTime = time.Second
	// maxRemembered bounds the choices in memory.
	maxRemembered = 1 << 16
	// LoadScale is the load of a target whose slots are all in use.
	LoadScale = 1000
	maxLoad   = 1<<16 - 1
)

// Arrival tells how a packet of a new flow reached the agent.
type Arrival uint8

// The ways in which a packet of a new flow arrives.
const (
	// ArrivalFromBalancer packets come from a balancer.
	ArrivalFromBalancer Arrival = iota + 1
	// ArrivalHandedOver packets come from an agent that compared its load.
	ArrivalHandedOver
	// ArrivalHandedBack packets were handed back and go no further.
	ArrivalHandedBack
)

// Occupancy is the exact use of the agent's own target.
type Occupancy struct {
	InFlight int
	// Limit is the number of requests that the target can bear now.
	Limit int
	// Open is true while the agent takes new flows.
	Open bool
}

// FirstPacket is a packet of a new flow.
type FirstPacket struct {
	ID      string
	Arrival Arrival
	// From is the agent that handed the packet over, for OfferHanded.
	From netip.AddrPort
	// FromLoad is that agent's load, in parts of LoadScale.
	FromLoad  uint16
	Alternate netip.AddrPort
}

// Choice is what to do with a packet of a new flow.
type Choice struct {
	Action ChoiceAction
	// To is the agent to send the packet to, unless it is taken or dropped.
	To netip.AddrPort
	// Load is the own load to send along, in parts of LoadScale.
	Load uint16
}

// ChoiceAction is one of the actions of a Choice.
type ChoiceAction uint8

// The actions.
const (
	// TakeFlow delivers the packet here.
	TakeFlow ChoiceAction = iota + 1
	// HandOverFlow sends the packet to the alternate as OfferHanded.
	HandOverFlow
	// HandBackFlow sends the packet back as OfferFinal.
	HandBackFlow
	// DropFlow drops the packet; the caller will try again.
	DropFlow
)

// Chooser decides whether an agent takes a new flow or hands it to the
// alternate, from the exact loads of both, and keeps to its decision for all
// packets of the flow's first flight. It is not safe for concurrent use.
type Chooser struct {
	made   map[string]madeChoice
	order  []string
	unused []model.Instant
}

type madeChoice struct {
	choice Choice
	at     model.Instant
}

// NewChooser makes a chooser without memory.
func NewChooser() *Chooser {
	return &Chooser{made: map[string]madeChoice{}}
}

// Decide decides on one packet.
func (c *Chooser) Decide(now model.Instant, packet FirstPacket, use Occupancy) Choice {
	c.forget(now)
	made, known := c.made[packet.ID]
	if known && c.keeps(now, made, packet) {
		return made.choice
	}
	choice := c.choose(now, packet, use)
	c.remember(now, packet.ID, choice)
	return choice
}

// RequestStarted tells that a flow taken earlier has sent a request, so that it
// no longer counts beside the request.
func (c *Chooser) RequestStarted() {
	if len(c.unused) > 0 {
		c.unused = c.unused[1:]
	}
}

// Load returns the agent's load, in parts of LoadScale.
func (c *Chooser) Load(use Occupancy) uint16 {
	if use.Limit <= 0 {
		return maxLoad
	}
	load := (use.InFlight + len(c.unused)) * LoadScale / use.Limit
	return uint16(min(load, maxLoad))
}

func (c *Chooser) keeps(now model.Instant, made madeChoice, packet FirstPacket) bool {
	if made.choice.Action == TakeFlow {
		return true
	}
	return packet.Arrival != ArrivalHandedBack && now.Sub(made.at) < retakeAfter
}

func (c *Chooser) choose(now model.Instant, packet FirstPacket, use Occupancy) Choice {
	load := c.Load(use)
	_, repeated := c.made[packet.ID]
	switch {
	case packet.Arrival == ArrivalHandedOver && (!use.Open || load > packet.FromLoad):
		return Choice{Action: HandBackFlow, To: packet.From, Load: load}
	case packet.Arrival == ArrivalFromBalancer && c.shouldHand(packet, use, load, repeated):
		return Choice{Action: HandOverFlow, To: packet.Alternate, Load: c.offered(use, load)}
	case !use.Open:
		return Choice{Action: DropFlow}
	}
	c.unused = append(c.unused, now)
	return Choice{Action: TakeFlow}
}

func (c *Chooser) shouldHand(packet FirstPacket, use Occupancy, load uint16, repeated bool) bool {
	if !packet.Alternate.IsValid() {
		return false
	}
	if !use.Open {
		return true
	}
	return load > 0 && !repeated
}

// offered is the load that the alternate compares with: an agent that takes no
// new flows offers the highest, so that any open alternate takes the flow.
func (c *Chooser) offered(use Occupancy, load uint16) uint16 {
	if !use.Open {
		return maxLoad
	}
	return load
}

func (c *Chooser) remember(now model.Instant, id string, choice Choice) {
	if _, known := c.made[id]; !known {
		if len(c.order) >= maxRemembered {
			c.drop()
		}
		c.order = append(c.order, id)
	}
	c.made[id] = madeChoice{choice: choice, at: now}
}

func (c *Chooser) forget(now model.Instant) {
	for len(c.order) > 0 && now.Sub(c.made[c.order[0]].at) > handshakeMemory {
		c.drop()
	}
	for len(c.unused) > 0 && now.Sub(c.unused[0]) > unusedFlowTime {
		c.unused = c.unused[1:]
	}
}

func (c *Chooser) drop() {
	delete(c.made, c.order[0])
	c.order = c.order[1:]
}
