package flowsteer

import (
	"fmt"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
)

// Explain returns a few lines of text that say how the table would treat a packet of
// the flow now, and which agents a new flow could go to. It does not change the table.
func (t *Table) Explain(now model.Instant, key flow.Key) []string {
	var lines []string
	add := func(format string, values ...any) { lines = append(lines, fmt.Sprintf(format, values...)) }
	if known := t.records[key]; known != nil && known.agent.IsValid() {
		add("known: agent %s, open %t, last packet %d ms ago, agent lost %t",
			known.agent, known.opened, now.Sub(known.lastPacket).Milliseconds(), t.agentLoss(now, known.agent) != EvidenceNone)
	} else if known != nil && known.search != nil {
		add("searching: all agents asked %t, denied by %d of %d agents, only the targets of %d can tell",
			known.search.lookupStarted, len(known.search.notHeldBy), len(t.view.Agents), len(known.search.uncertain))
	} else {
		add("unknown: a packet of an open flow would be searched for at %d agents", len(t.view.Agents))
	}
	if t.view.State == nil || t.view.State.Config == nil {
		return append(lines, "the operators' state is not known")
	}
	add("configuration %d, proven %d ms ago", t.view.State.Config.Version, now.Sub(t.view.VerifiedAt).Milliseconds())
	route := t.view.State.Config.Routes[key.Service]
	if route == nil {
		return append(lines, "no route leads to "+key.Service.String())
	}
	add("route %s; a new flow would go to service %s", route.Name, route.PickService(key.Hash()))
	for _, choice := range route.Services {
		for _, agent := range t.view.ByService[choice.Service] {
			add("agent %s of %s in %s: takes new flows %t, zone out %t, silent %t, cold %t, room %d, free %d, cost %.2f flows per slot",
				agent.VM, agent.Service, agent.Zone, agent.acceptsFlows(now, t.view.State), t.view.State.ZonesOut[agent.Zone], agent.overdue(now),
				agent.Cold, agent.Capacity, agent.ImmediateCapacity, t.cost(agent))
		}
	}
	return lines
}
