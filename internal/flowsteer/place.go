package flowsteer

import (
	"net/netip"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/routing"
)

const (
	// activeFlowWeight is what an active flow counts in addition to the 1 that every
	// flow counts, because its request occupies a slot now.
	activeFlowWeight = 4
	// otherZoneFactor multiplies the cost of agents in zones other than the balancer's,
	// because traffic between zones is billed: an agent in the balancer's own zone is
	// preferred even with that much more load.
	otherZoneFactor = 1.25
	// otherZoneOffset is added to the cost of agents in other zones, in flows per
	// slot.
	otherZoneOffset = 0.5
	// coldPenalty keeps new flows away from cold targets while warm targets accept them
	// immediately, in flows per slot. It exceeds the cost of every warm target: a cold
	// one holds no flows yet, so that all balancers would choose it at the same time, and
	// most of their flows would wait for its limit.
	coldPenalty = 10_000
	// queueingPenalty keeps new flows away from targets that would queue them while
	// other targets accept them immediately, in flows per slot. It exceeds every other
	// cost.
	queueingPenalty = 100_000
	// sampleSize is the number of agents of a service that are compared for one flow in
	// the balancer's own zone, and again in all other zones together.
	sampleSize = 2
	// defaultSlots is assumed for targets that have not reported their number of
	// slots.
	defaultSlots = 4
)

// place returns the agent for a new flow, leaving out those that have refused it. When
// no agent of the service that the route picks for the flow has capacity, it tries the
// route's other services in order, and returns nil when none of them has any.
func (t *Table) place(now model.Instant, route *routing.Route, key flow.Key, refusedBy []netip.Addr) *Agent {
	chosen := route.PickService(key.Hash())
	if agent := t.placeAtService(now, chosen, key, refusedBy); agent != nil {
		return agent
	}
	for _, choice := range route.Services {
		if choice.Service == chosen || choice.Weight == 0 {
			continue
		}
		if agent := t.placeAtService(now, choice.Service, key, refusedBy); agent != nil {
			return agent
		}
	}
	return nil
}

// placeAtService returns the agent with the lowest cost among those that the samples of
// the balancer's own zone and of the other zones contain, or nil if no agent of the
// service has capacity.
func (t *Table) placeAtService(now model.Instant, service model.Service, key flow.Key, refusedBy []netip.Addr) *Agent {
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
// Balancers with equally old heartbeats would all choose the same agent if they compared
// the loads of all agents. A small sample that depends on the flow spreads the flows,
// and later indicates where a flow whose agent is unknown is most likely held.
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

func (top *topRanked) add(agent *Agent, weight uint64, mustQueue bool) {
	next := ranked{agent: agent, weight: weight, mustQueue: mustQueue}
	for i := range top.count {
		if next.before(top.entries[i]) {
			top.entries[i], next = next, top.entries[i]
		}
	}
	if top.count < sampleSize {
		top.entries[top.count] = next
		top.count++
	}
}

// agents returns the agents in order, in a slice with room for a second sample that the
// caller appends.
func (top *topRanked) agents() []*Agent {
	agents := make([]*Agent, 0, 2*sampleSize)
	for i := range top.count {
		agents = append(agents, top.entries[i].agent)
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
	if agent.Zone != t.view.Zone {
		cost = cost*otherZoneFactor + otherZoneOffset
	}
	if agent.Cold {
		cost += coldPenalty
	}
	if t.placed[agent.VM] >= agent.ImmediateCapacity {
		cost += queueingPenalty
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
