package flowsteer

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
)

// A search for the agent of a flow has two stages. First the packet is copied to
// the agents at which the flow most likely is, so that most flows are found
// without a delay. If none of them holds it, all agents are asked with the
// flow's key alone, many flows in one datagram: copies of packets to all agents
// would fill the link of a small VM. An agent that can't tell from its table is
// sent the packet, since its target can.

const (
	// maxCopies is how many packets of a flow are copied in one round, and how
	// often an agent that can't tell is sent one.
	maxCopies = 3
	// copiesAway is how many agents that can't tell have a copy of a flow's packet at
	// a time. With all agents restarted at once, copies to all of them would fill the
	// link of a small VM.
	copiesAway = 4
	// roundTime is how long the answers to copies may take. It is the client's
	// first retransmission timeout.
	roundTime = 200 * time.Millisecond
	// searchTime is how long the answers count. A target does not come to hold an
	// open flow later on.
	searchTime = 3 * time.Second
	// copyRate and copyBurst bound the copies that go to agents that can't tell, in
	// copies a second and at once. A copy costs about 5 us: the rate is a third of
	// the processor of the smallest entry VM, 0.06 cores.
	copyRate  = 4000
	copyBurst = 4000
	// flowsPerRound is how many flows the agents are asked about at a time, so that
	// the question to each fits one datagram.
	flowsPerRound = 90
	// askInterval is the shortest time between two rounds of questions, and
	// askSpacing that for each agent: a thousand datagrams a second.
	askInterval = 10 * time.Millisecond
	askSpacing  = time.Millisecond
	// askAgain is when an agent that has not answered is asked again. It exceeds
	// the round trip between zones, and the pause of a process whose share of the
	// processor is used up for a while.
	askAgain = 100 * time.Millisecond
	// unansweredTime is how long an agent must have answered no question and sent no
	// report to be taken as lost. In large deployments reports are rare.
	unansweredTime = 1500 * time.Millisecond
	// maxHeld bounds the packets that wait for the end of a search. Clients repeat
	// those that are not held.
	maxHeld = 256
)

// search is the state of a search for a flow's agent.
type search struct {
	since model.Instant
	// likely are the agents that copies go to in the first stage, and copies is the
	// number of packets that were copied.
	likely []netip.Addr
	copies int
	// wide tells that the second stage has begun; asked is when the agents were
	// last asked.
	wide  bool
	asked model.Instant
	// denied are the agents that do not hold the flow, and unsure those that can't
	// tell.
	denied map[netip.Addr]bool
	unsure map[netip.Addr]sent
	// held is the client's last packet.
	held []byte
}

// sent is what an agent that can't tell was sent.
type sent struct {
	copies int
	last   model.Instant
}

// find searches for the agent of a flow with a packet at hand. An agent that has
// just denied the flow is named.
func (t *Table) find(now model.Instant, key flow.Key, known *record, denying netip.Addr) Verdict {
	if known.search != nil && now.Sub(known.search.since) >= searchTime {
		t.endSearch(key, known)
	}
	if known.search == nil {
		known.search = &search{since: now, likely: t.likely(key), denied: map[netip.Addr]bool{}, unsure: map[netip.Addr]sent{}}
	}
	s := known.search
	if denying.IsValid() {
		s.denied[denying] = true
	}
	if t.notFound(now, s) {
		return t.giveUp(key, known, ReasonNotFound)
	}
	if !s.wide && (s.exhausted() || now.Sub(s.since) >= roundTime) {
		return t.askAll(key, known)
	}
	if s.wide {
		return t.copyNext(now, key, s)
	}
	if s.copies >= maxCopies {
		return Verdict{Reason: ReasonSearching}
	}
	s.copies++
	return Verdict{Action: ActionSearch, Reason: ReasonUnknownFlow, Agents: s.likely}
}

// exhausted reports whether all likely agents have denied the flow.
func (s *search) exhausted() bool {
	for _, vm := range s.likely {
		if !s.denied[vm] {
			return false
		}
	}
	return true
}

// askAll begins the second stage.
func (t *Table) askAll(key flow.Key, known *record) Verdict {
	known.search.wide = true
	t.asking[key] = known
	return Verdict{Action: ActionLookup, Reason: ReasonUnknownFlow}
}

// copyNext sends a packet to the next agent that can't tell, unless enough have
// one: the agents at which the flow is more likely come first.
func (t *Table) copyNext(now model.Instant, key flow.Key, s *search) Verdict {
	var next netip.Addr
	var best uint64
	away := 0
	for vm, sent := range s.unsure {
		switch {
		case s.denied[vm] || sent.copies >= maxCopies:
		case sent.copies > 0 && now.Sub(sent.last) < askAgain:
			away++
		default:
			if rank := key.RendezvousWeight(vm); !next.IsValid() || rank > best {
				next, best = vm, rank
			}
		}
	}
	if !next.IsValid() || away >= copiesAway {
		return Verdict{Reason: ReasonSearching}
	}
	if !t.spend(now) {
		return Verdict{Reason: ReasonSearchBudget}
	}
	s.unsure[next] = sent{copies: s.unsure[next].copies + 1, last: now}
	return Verdict{Action: ActionSearch, Reason: ReasonUnknownFlow, Agents: []netip.Addr{next}}
}

// copyHeld does the same with the packet that is held, if there is one.
func (t *Table) copyHeld(now model.Instant, key flow.Key, s *search) Verdict {
	if !s.wide || s.held == nil {
		return Verdict{Reason: ReasonSearching}
	}
	verdict := t.copyNext(now, key, s)
	verdict.Packet = s.held
	return verdict
}

// spend takes a copy from the budget, unless it is used up.
func (t *Table) spend(now model.Instant) bool {
	t.credit = min(copyBurst, t.credit+copyRate*now.Sub(t.credited).Seconds())
	t.credited = now
	if t.credit < 1 {
		return false
	}
	t.credit--
	return true
}

// HoldPacket keeps a copy of the client's last packet of a flow that is searched for,
// unless too many are kept.
func (t *Table) HoldPacket(key flow.Key, packet []byte) {
	known := t.records[key]
	if known == nil || known.search == nil || (known.search.held == nil && t.held >= maxHeld) {
		return
	}
	if known.search.held == nil {
		t.held++
	}
	known.search.held = bytes.Clone(packet)
}

// endSearch forgets a flow's search and returns the packet that was held.
func (t *Table) endSearch(key flow.Key, known *record) []byte {
	if known.search == nil {
		return nil
	}
	held := known.search.held
	if held != nil {
		t.held--
	}
	known.search = nil
	delete(t.asking, key)
	return held
}

// LookupRequest asks an agent which of some flows its target holds.
type LookupRequest struct {
	Agent netip.Addr
	Keys  []flow.Key
}

// LookupRequests returns what the agents are to be asked now, and when to call again;
// 0 tells that no search is on.
func (t *Table) LookupRequests(now model.Instant) ([]LookupRequest, time.Duration) {
	keys := map[netip.Addr][]flow.Key{}
	flows := 0
	for key, known := range t.asking {
		s := known.search
		if now.Sub(s.since) >= searchTime {
			t.endSearch(key, known)
			continue
		}
		if flows == flowsPerRound || (s.asked != 0 && now.Sub(s.asked) < askAgain) {
			continue
		}
		flows++
		s.asked = now
		for vm, agent := range t.view.Agents {
			if agent.State != AgentGone && !s.denied[vm] && s.unsure[vm].copies < maxCopies {
				keys[vm] = append(keys[vm], key)
				if _, waits := t.unanswered[vm]; !waits {
					t.unanswered[vm] = now
				}
			}
		}
	}
	if len(t.asking) == 0 {
		clear(t.unanswered)
		return nil, 0
	}
	questions := make([]LookupRequest, 0, len(keys))
	for vm, list := range keys {
		questions = append(questions, LookupRequest{Agent: vm, Keys: list})
	}
	return questions, max(askInterval, time.Duration(len(t.view.Agents))*askSpacing)
}

// FlowNotHeld takes an agent's word that it does not hold a flow that is searched for.
func (t *Table) FlowNotHeld(now model.Instant, key flow.Key, agent netip.Addr) Verdict {
	t.wake(now)
	delete(t.unanswered, agent)
	known := t.records[key]
	if known == nil || known.search == nil {
		return Verdict{Reason: ReasonEnded}
	}
	s := known.search
	s.denied[agent] = true
	if t.notFound(now, s) {
		return t.giveUp(key, known, ReasonNotFound)
	}
	if !s.wide && s.exhausted() {
		return t.askAll(key, known)
	}
	return t.copyHeld(now, key, s)
}

// FlowUncertain takes an agent's word that only its target can tell whether it holds a
// flow. The packet that is held goes there when its turn has come.
func (t *Table) FlowUncertain(now model.Instant, key flow.Key, agent netip.Addr) Verdict {
	t.wake(now)
	delete(t.unanswered, agent)
	known := t.records[key]
	if known == nil || known.search == nil {
		return Verdict{Reason: ReasonEnded}
	}
	s := known.search
	if _, told := s.unsure[agent]; !told {
		s.unsure[agent] = sent{}
	}
	return t.copyHeld(now, key, s)
}

// PacketReturned decides on a packet of an open flow that the agent which the table
// named returned: its target does not hold the flow.
func (t *Table) PacketReturned(now model.Instant, p flow.Packet, agent netip.Addr) Verdict {
	t.wake(now)
	key := p.KeyFromClient()
	known := t.records[key]
	if known == nil || !known.heard {
		return Verdict{Reason: ReasonEnded}
	}
	if known.agent == agent {
		known.agent = netip.Addr{}
		return t.find(now, key, known, agent)
	}
	return t.FlowNotHeld(now, key, agent)
}

// notFound reports whether it is proven that no target holds a flow: every agent
// has denied it or is lost, and the balancer knows all agents.
func (t *Table) notFound(now model.Instant, s *search) bool {
	if !t.settled(now) || !t.view.connected(now) {
		return false
	}
	for vm, agent := range t.view.Agents {
		if !s.denied[vm] && !agent.lost(now, t.resumed) && !t.unanswering(now, vm, agent) {
			return false
		}
	}
	return true
}

// unanswering reports whether an agent neither answers questions nor reports.
func (t *Table) unanswering(now model.Instant, vm netip.Addr, agent *Agent) bool {
	since, asked := t.unanswered[vm]
	return asked && agent.State != AgentRestarting && now.Sub(max(since, agent.LastReport, t.resumed)) > unansweredTime
}

// settled reports whether the balancer knows all agents that may hold a flow.
func (t *Table) settled(now model.Instant) bool {
	return t.view.RegistrationsRead || now.Sub(t.started) >= unsettledTime
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
	for _, choice := range route.Services {
		zones := map[model.Zone]*nearest{}
		for _, agent := range t.view.ByService[choice.Service] {
			if agent.State == AgentGone {
				continue
			}
			if zones[agent.Zone] == nil {
				zones[agent.Zone] = &nearest{}
			}
			zones[agent.Zone].offer(agent, key.RendezvousWeight(agent.VM), false)
		}
		for _, zone := range zones {
			for _, agent := range zone.agents() {
				vms = append(vms, agent.VM)
			}
		}
	}
	return vms
}
