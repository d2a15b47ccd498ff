package flowsteer

import (
	"net/netip"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/routing"
)

const (
	// activeFlowWeight is the weight of a flow with an outstanding request relative to
	// an idle flow, because it occupies a slot now.
	activeFlowWeight = 4
	// otherZoneFactor is how much higher the load of an agent in the balancer's own
	// zone may be before a flow goes to another zone, where traffic is billed.
	otherZoneFactor = 1.25
	// otherZoneOffset is added to the cost of agents in other zones, in flows per
	// slot.
	otherZoneOffset = 0.5
	// coldPenalty keeps new flows away from cold targets while warm targets have free
	// slots, in flows per slot.
	coldPenalty = 8
	// queueingPenalty keeps new flows away from targets that would queue them while
	// other targets accept them immediately, in flows per slot. It exceeds every other
	// cost.
	queueingPenalty = 1000
	// sampleSize is the number of agents compared for one flow in the own zone, and
	// again in all other zones together.
	sampleSize = 2
	// defaultSlots is assumed for targets that have not reported their number of
	// slots.
	defaultSlots = 4
)

// place returns the agent with the lowest cost for a new flow, leaving out those that
// have refused it. When no agent of the service that the route picks for the flow has
// capacity, it tries the route's other services in order, and returns nil when none of
// them has any.
func (t *Table) place(now model.Instant, route *routing.Route, key flow.Key, refusedBy []netip.Addr) *Agent {
	chosen := route.PickService(key.Hash())
	if agent := t.placeAt(now, chosen, key, refusedBy); agent != nil {
		return agent
	}
	for _, choice := range route.Services {
		if choice.Service == chosen || choice.Weight == 0 {
			continue
		}
		if agent := t.placeAt(now, choice.Service, key, refusedBy); agent != nil {
			return agent
		}
	}
	return nil
}

func (t *Table) placeAt(now model.Instant, service model.Service, key flow.Key, refusedBy []netip.Addr) *Agent {
	own, others := topRanked{}, topRanked{}
	for _, agent := range t.view.ByService[service] {
		if !agent.acceptsFlows(now, t.view.State) || contains(refusedBy, agent.VM) || t.placed[agent.VM] >= agent.Capacity {
			continue
		}
		mustQueue := t.placed[agent.VM] >= agent.ImmediateCapacity
		if agent.Zone == t.view.Zone {
			own.add(agent, key.RendezvousWeight(agent.VM), mustQueue)
		} else {
			others.add(agent, key.RendezvousWeight(agent.VM), mustQueue)
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

// topRanked keeps the sampleSize agents with the largest rendezvous weights for a
// flow; agents that would serve it immediately come before those that would queue it.
// Balancers with equally old reports would all choose the same agent if they compared
// the loads of all agents. A small per-flow sample spreads the flows, and later indicates
// where an unknown flow is most likely held.
type topRanked struct {
	entries [sampleSize]ranked
	count   int
}

type ranked struct {
	agent     *Agent
	weight    uint64
	mustQueue bool
}

func (r ranked) before(other ranked) bool {
	if r.mustQueue != other.mustQueue {
		return other.mustQueue
	}
	return r.weight > other.weight
}

func (n *topRanked) add(agent *Agent, weight uint64, mustQueue bool) {
	next := ranked{agent: agent, weight: weight, mustQueue: mustQueue}
	for i := range n.count {
		if next.before(n.entries[i]) {
			n.entries[i], next = next, n.entries[i]
		}
	}
	if n.count < sampleSize {
		n.entries[n.count] = next
		n.count++
	}
}

func (n *topRanked) agents() []*Agent {
	agents := make([]*Agent, 0, 2*sampleSize)
	for i := range n.count {
		agents = append(agents, n.entries[i].agent)
	}
	return agents
}

// cost returns the expected load of an agent's target with one more flow, in flows per
// slot, plus penalties.
func (t *Table) cost(agent *Agent) float64 {
	slots := agent.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	cost := float64(agent.Flows+t.placed[agent.VM]+activeFlowWeight*agent.ActiveFlows+1) / float64(slots)
	if agent.Cold {
		cost += coldPenalty
	}
	if t.placed[agent.VM] >= agent.ImmediateCapacity {
		cost += queueingPenalty
	}
	if agent.Zone != t.view.Zone {
		cost = cost*otherZoneFactor + otherZoneOffset
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
