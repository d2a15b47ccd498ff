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
	chosen := route.PickService(key.Hash())
	if agent := t.placeAt(now, chosen, key, tried); agent != nil {
		return agent
	}
	for _, choice := range route.Services {
		if choice.Service == chosen || choice.Weight == 0 {
			continue
		}
		if agent := t.placeAt(now, choice.Service, key, tried); agent != nil {
			return agent
		}
	}
	return nil
}

func (t *Table) placeAt(now model.Instant, service model.Service, key flow.Key, tried []netip.Addr) *Agent {
	own, others := nearest{}, nearest{}
	for _, agent := range t.view.ByService[service] {
		if !agent.takes(now, t.view.State) || contains(tried, agent.VM) || t.placed[agent.VM] >= agent.Capacity {
			continue
		}
		waits := t.placed[agent.VM] >= agent.ImmediateCapacity
		if agent.Zone == t.view.Zone {
			own.offer(agent, key.RendezvousWeight(agent.VM), waits)
		} else {
			others.offer(agent, key.RendezvousWeight(agent.VM), waits)
		}
	}
	var best *Agent
	for _, agent := range append(own.agents(), others.agents()...) {
		if best == nil || t.cost(agent) < t.cost(best) {
			best = agent
		}
	}
	return best
}

// nearest keeps the agents with the largest rendezvous weights for a flow, those
// first at which it need not wait. Balancers whose reports are equally old would
// all choose the same agent if they compared the loads of all; a few that differ
// by flow spread the flows, and tell where a flow is most likely found again.
type nearest struct {
	found [sampleSize]ranked
	count int
}

type ranked struct {
	agent  *Agent
	weight uint64
	waits  bool
}

func (r ranked) before(other ranked) bool {
	if r.waits != other.waits {
		return other.waits
	}
	return r.weight > other.weight
}

func (n *nearest) offer(agent *Agent, weight uint64, waits bool) {
	next := ranked{agent: agent, weight: weight, waits: waits}
	for i := range n.count {
		if next.before(n.found[i]) {
			n.found[i], next = next, n.found[i]
		}
	}
	if n.count < sampleSize {
		n.found[n.count] = next
		n.count++
	}
}

func (n *nearest) agents() []*Agent {
	agents := make([]*Agent, 0, 2*sampleSize)
	for i := range n.count {
		agents = append(agents, n.found[i].agent)
	}
	return agents
}

// cost is the expected load of an agent's target with one more flow, in flows
// per slot.
func (t *Table) cost(agent *Agent) float64 {
	slots := agent.Slots
	if slots == 0 {
		slots = assumedSlots
	}
	cost := float64(agent.Flows+t.placed[agent.VM]+busyWeight*agent.ActiveFlows+1) / float64(slots)
	if agent.Cold {
		cost += coldPenalty
	}
	if t.placed[agent.VM] >= agent.ImmediateCapacity {
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
