package flowsteer

import (
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	// maxCopies is how many packets of a flow are sent to the agents of one round
	// of a search.
	maxCopies = 3
	// roundTime is how long the answers to one round may take. It is the client's
	// first retransmission timeout.
	roundTime = 200 * time.Millisecond
	// searchTime is how long the answers count. A target does not come to hold an
	// open flow later on.
	searchTime = 3 * time.Second
	// copyRate and copyBurst bound the copies that go to all agents, in copies a
	// second and at once. A copy costs about 5 us: the rate is a third of the
	// processor of the smallest entry VM, 0.06 cores.
	copyRate  = 4000
	copyBurst = 4000
)

// search is the state of a search for a flow's agent. The first round asks the
// agents at which the flow most likely is, further ones all that have not denied
// it.
type search struct {
	since model.Instant
	round model.Instant
	// wide tells that the present round asks all agents.
	wide   bool
	copies int
	asked  []netip.Addr
	// denied are the agents that do not hold the flow.
	denied map[netip.Addr]bool
}

// find searches for the agent of a flow with a packet at hand. An agent that has
// just denied the flow is named.
func (t *Table) find(now model.Instant, key flow.Key, known *record, denying netip.Addr) Verdict {
	s := known.search
	if s == nil || now.Sub(s.since) >= searchTime {
		s = &search{since: now, round: now, asked: t.likely(key), denied: map[netip.Addr]bool{}}
		known.search = s
	}
	if denying.IsValid() {
		s.denied[denying] = true
	}
	if t.notFound(now, s) {
		return t.giveUp(key, known, ReasonNotFound)
	}
	if now.Sub(s.round) >= roundTime || (!s.wide && s.exhausted()) {
		s.widen(now, t.view)
	}
	if s.copies >= maxCopies || len(s.asked) == 0 {
		return Verdict{Reason: ReasonSearching}
	}
	if s.wide && !t.spend(now, len(s.asked)) {
		return Verdict{Reason: ReasonSearchBudget}
	}
	s.copies++
	return Verdict{Action: ActionSearch, Reason: ReasonUnknownFlow, Agents: s.asked}
}

// exhausted reports whether all agents of the round have denied the flow.
func (s *search) exhausted() bool {
	for _, vm := range s.asked {
		if !s.denied[vm] {
			return false
		}
	}
	return true
}

// widen begins a round that asks all agents that have not denied the flow.
func (s *search) widen(now model.Instant, view *View) {
	s.wide, s.round, s.copies, s.asked = true, now, 0, nil
	for vm, agent := range view.Agents {
		if agent.State != AgentGone && !s.denied[vm] {
			s.asked = append(s.asked, vm)
		}
	}
}

// spend takes copies from the budget, unless it is used up.
func (t *Table) spend(now model.Instant, copies int) bool {
	t.credit = min(copyBurst, t.credit+copyRate*now.Sub(t.credited).Seconds())
	t.credited = now
	if t.credit < float64(copies) {
		return false
	}
	t.credit -= float64(copies)
	return true
}

// Denied takes an agent's word that it does not hold a flow. The packet is one
// that the agent was sent because the table named it, or a copy of a search.
func (t *Table) Denied(now model.Instant, p flow.Packet, agent netip.Addr) Verdict {
	t.wake(now)
	key := p.FromClient()
	known := t.records[key]
	if known == nil || !known.heard {
		return Verdict{Reason: ReasonEnded}
	}
	if known.agent == agent {
		known.agent = netip.Addr{}
		return t.find(now, key, known, agent)
	}
	if known.agent.IsValid() || known.search == nil {
		return Verdict{Reason: ReasonKnown}
	}
	s := known.search
	s.denied[agent] = true
	if t.notFound(now, s) {
		return t.giveUp(key, known, ReasonNotFound)
	}
	if !s.wide && s.exhausted() {
		return t.find(now, key, known, agent)
	}
	return Verdict{Reason: ReasonSearching}
}

// notFound reports whether it is proven that no target holds a flow: every agent
// has denied it or is lost, and the balancer knows all agents.
func (t *Table) notFound(now model.Instant, s *search) bool {
	if !t.settled(now) || !t.view.connected(now) {
		return false
	}
	for vm, agent := range t.view.Agents {
		if !s.denied[vm] && !agent.lost(now, t.resumed) {
			return false
		}
	}
	return true
}

// settled reports whether the balancer knows all agents that may hold a flow.
func (t *Table) settled(now model.Instant) bool {
	return t.view.Listed || now.Sub(t.started) >= unsettledTime
}

// likely returns the agents that an open flow is most likely found at: those in
// each zone at which its services would have been placed.
func (t *Table) likely(key flow.Key) []netip.Addr {
	if t.view.State == nil || t.view.State.Config == nil {
		return nil
	}
	route := t.view.State.Config.Routes[key.Service]
	if route == nil {
		return nil
	}
	var vms []netip.Addr
	for _, choice := range route.Choices {
		zones := map[model.Zone]*nearest{}
		for _, agent := range t.view.ByService[choice.Service] {
			if agent.State == AgentGone {
				continue
			}
			if zones[agent.Zone] == nil {
				zones[agent.Zone] = &nearest{}
			}
			zones[agent.Zone].offer(agent, key.Rank(agent.VM), false)
		}
		for _, zone := range zones {
			for _, agent := range zone.agents() {
				vms = append(vms, agent.VM)
			}
		}
	}
	return vms
}
