package flowsteer

import (
	"net/netip"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/routing"
)

const (
	// busyWeight is how much a flow on which an answer is owed counts against one
	// that rests: it holds a slot now.
	busyWeight = 4
	// otherZoneFactor is how much more loaded an agent of the own zone may be
	// before a flow goes to another zone, whose bytes are paid for.
	otherZoneFactor = 1.25
	// otherZoneBase is added for another zone, in flows per slot.
	otherZoneBase = 0.5
	// coldPenalty keeps new flows away from cold targets while warm ones have
	// free slots, in flows per slot.
	coldPenalty = 8
	// waitPenalty keeps new flows away from targets at which they would wait while
	// others take them at once, in flows per slot. It exceeds every other cost.
	waitPenalty = 1000
	// sampleSize is how many agents are compared for one flow in the own zone, and
	// as many in the others.
	sampleSize = 2
	// assumedSlots stands in for the slots of a target that has not told them.
	assumedSlots = 4
)

// place returns the agent that a new flow is best served at, leaving out those
// that have refused it.
func (t *Table) place(now model.Instant, route *routing.Route, key flow.Key, tried []netip.Addr) *Agent {
	hash := key.Hash()
	chosen := route.Pick(hash)
	if agent := t.placeAt(now, chosen, hash, tried); agent != nil {
		return agent
	}
	for _, choice := range route.Choices {
		if choice.Service == chosen || choice.Weight == 0 {
			continue
		}
		if agent := t.placeAt(now, choice.Service, hash, tried); agent != nil {
			return agent
		}
	}
	return nil
}

func (t *Table) placeAt(now model.Instant, service model.Service, hash uint64, tried []netip.Addr) *Agent {
	agents := t.view.ByService[service]
	if len(agents) == 0 {
		return nil
	}
	own, others := pick{}, pick{}
	first := int(hash>>32) % len(agents)
	for i := range len(agents) {
		agent := agents[(first+i)%len(agents)]
		if !agent.takes(now, t.view.State) || contains(tried, agent.VM) || t.placed[agent.VM] >= agent.Room {
			continue
		}
		if agent.Zone == t.view.Zone {
			own.offer(agent, t.cost(agent))
		} else {
			others.offer(agent, t.cost(agent))
		}
		if own.settled() && others.settled() {
			break
		}
	}
	if own.best == nil || (others.best != nil && others.cost < own.cost) {
		return others.best
	}
	return own.best
}

// pick is the best of the first few agents that are offered. Balancers whose
// reports are equally old would all choose the same agent if they compared all;
// a few that differ by flow spread the flows.
type pick struct {
	best *Agent
	cost float64
	seen int
}

// settled reports whether no further agent is compared: enough were, and one of
// them need not let the flow wait.
func (p *pick) settled() bool { return p.seen >= sampleSize && p.cost < waitPenalty }

func (p *pick) offer(agent *Agent, cost float64) {
	if p.settled() {
		return
	}
	p.seen++
	if p.best == nil || cost < p.cost {
		p.best, p.cost = agent, cost
	}
}

// cost is the expected load of an agent's target with one more flow, in flows
// per slot.
func (t *Table) cost(agent *Agent) float64 {
	slots := agent.Slots
	if slots == 0 {
		slots = assumedSlots
	}
	cost := float64(agent.Flows+t.placed[agent.VM]+busyWeight*agent.Busy+1) / float64(slots)
	if agent.Cold {
		cost += coldPenalty
	}
	if t.placed[agent.VM] >= agent.Free {
		cost += waitPenalty
	}
	if agent.Zone != t.view.Zone {
		cost = cost*otherZoneFactor + otherZoneBase
	}
	return cost
}

func contains(addresses []netip.Addr, address netip.Addr) bool {
	for _, other := range addresses {
		if other == address {
			return true
		}
	}
	return false
}
