package flowsteer

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
)

// A search for the agent that holds a flow has two stages. First, the packet is copied
// to the agents at which the flow most likely is, so that most flows are found without
// delay. If none of them holds it, all agents get a lookup request with the flow's key
// only, for many flows in one datagram: copies of packets to all agents would saturate
// the link of a small VM. An agent that cannot answer from its flow table gets the
// packet itself, because its target knows.

const (
	// maxCopies is the maximum number of a flow's packets that are copied in the first
	// stage, and of those that one uncertain agent gets in the second. An uncertain
	// agent is one that cannot answer from its flow table.
	maxCopies = 3
	// maxCopiesOutstanding is the number of uncertain agents that may have an
	// unanswered copy of a flow's packet at the same time. After a restart of all
	// agents, copies to all of them would saturate the link of a small VM.
	maxCopiesOutstanding = 4
	// copyTimeout is how long the first stage waits for answers. It equals the
	// client's first retransmission timeout.
	copyTimeout = 200 * time.Millisecond
	// searchTimeout is how long a search lasts. Its negative answers stay valid for all
	// of that time, because a target does not begin to hold a flow that is already open.
	searchTimeout = 3 * time.Second
	// copyRate, in copies per second, and copyBurst limit the copies sent to uncertain
	// agents. A copy costs about 5 us of CPU: the rate takes a third of the CPU of the
	// smallest VM that runs a balancer, 0.06 cores.
	copyRate  = 4000
	copyBurst = 4000
	// flowsPerLookup is the maximum number of flows in one lookup round, so that the
	// request to each agent fits one datagram (packetnode.MaxKeys).
	flowsPerLookup = 90
	// lookupInterval is the minimum time between two lookup rounds. It is lookupSpacing
	// times the number of agents where that is longer: at most a thousand datagrams a
	// second.
	lookupInterval = 10 * time.Millisecond
	lookupSpacing  = time.Millisecond
	// lookupRetryAfter is how long an agent may take to answer a lookup request or a
	// copy before it is asked again. It exceeds the round trip between zones, and the
	// pause of a process whose CPU quota is used up.
	lookupRetryAfter = 100 * time.Millisecond
	// noAnswerTimeout is how long an agent must neither have answered a lookup nor
	// sent a heartbeat to count as lost. In large deployments heartbeats are rare.
	noAnswerTimeout = 1500 * time.Millisecond
	// endedNoAnswerTimeout is noAnswerTimeout for an agent whose target had ended when it
	// was last heard of. It holds flows only if a new incarnation of the target has opened
	// some since, and then answers within a few lookups. VMs are often removed some time
	// after their target.
	endedNoAnswerTimeout = 400 * time.Millisecond
	// maxHeldPackets limits the packets held until a search ends. Clients retransmit
	// packets that are not held.
	maxHeldPackets = 256
)

// search is the state of one search for a flow's agent.
type search struct {
	started model.Instant
	// likely are the agents that get copies in the first stage; copies is the number
	// of packets copied to them so far.
	likely []netip.Addr
	copies int
	// lookupStarted is set when the second stage has begun; lastLookup is when the
	// last lookup request for the flow was sent.
	lookupStarted bool
	lastLookup    model.Instant
	// notHeldBy are the agents that do not hold the flow; uncertain are those that
	// cannot answer from their flow table, with the copies that each was sent.
	notHeldBy map[netip.Addr]bool
	uncertain map[netip.Addr]sentCopies
	// heldPacket is the client's last packet, nil if none is held.
	heldPacket []byte
}

// sentCopies counts the copies sent to an uncertain agent; last is when the last one
// was sent.
type sentCopies struct {
	copies int
	last   model.Instant
}

// searchFlow starts or continues the search for a flow when a packet of it arrives. If
// the packet was returned by an agent that does not hold the flow, notHolding is that
// agent.
func (t *Table) searchFlow(now model.Instant, key flow.Key, known *record, notHolding netip.Addr) Verdict {
	if known.search != nil && now.Sub(known.search.started) >= searchTimeout {
		t.endSearch(key, known)
	}
	if known.search == nil {
		known.search = &search{started: now, likely: t.likely(key), notHeldBy: map[netip.Addr]bool{}, uncertain: map[netip.Addr]sentCopies{}}
	}
	s := known.search
	if notHolding.IsValid() {
		s.notHeldBy[notHolding] = true
	}
	if evidence := t.notFound(now, s); evidence != EvidenceNone {
		return t.abandon(key, known, ReasonNotFound, evidence)
	}
	if !s.lookupStarted && (s.likelyExhausted() || now.Sub(s.started) >= copyTimeout) {
		return t.startLookup(key, known)
	}
	if s.lookupStarted {
		return t.copyNext(now, key, s)
	}
	if s.copies >= maxCopies {
		return Verdict{Reason: ReasonSearching}
	}
	s.copies++
	return Verdict{Action: ActionSearch, Reason: ReasonUnknownFlow, Agents: s.likely}
}

// likelyExhausted reports whether no likely agent holds the flow.
func (s *search) likelyExhausted() bool {
	for _, vm := range s.likely {
		if !s.notHeldBy[vm] {
			return false
		}
	}
	return true
}

// startLookup begins the second stage.
func (t *Table) startLookup(key flow.Key, known *record) Verdict {
	known.search.lookupStarted = true
	t.lookups[key] = known
	return Verdict{Action: ActionLookup, Reason: ReasonUnknownFlow}
}

// copyNext sends a copy to the uncertain agent with the largest rendezvous weight for
// the flow, unless maxCopiesOutstanding copies are unanswered.
func (t *Table) copyNext(now model.Instant, key flow.Key, s *search) Verdict {
	var next netip.Addr
	var nextWeight uint64
	outstanding := 0
	for vm, sent := range s.uncertain {
		switch {
		case s.notHeldBy[vm] || sent.copies >= maxCopies:
			// The agent gets no further copy.
		case sent.copies > 0 && now.Sub(sent.last) < lookupRetryAfter:
			outstanding++
		default:
			if weight := key.RendezvousWeight(vm); !next.IsValid() || weight > nextWeight {
				next, nextWeight = vm, weight
			}
		}
	}
	if !next.IsValid() || outstanding >= maxCopiesOutstanding {
		return Verdict{Reason: ReasonSearching}
	}
	if !t.takeCopyBudget(now) {
		return Verdict{Reason: ReasonSearchBudget}
	}
	s.uncertain[next] = sentCopies{copies: s.uncertain[next].copies + 1, last: now}
	return Verdict{Action: ActionSearch, Reason: ReasonUnknownFlow, Agents: []netip.Addr{next}}
}

// copyHeld is copyNext for the held packet, if there is one.
func (t *Table) copyHeld(now model.Instant, key flow.Key, s *search) Verdict {
	if !s.lookupStarted || s.heldPacket == nil {
		return Verdict{Reason: ReasonSearching}
	}
	verdict := t.copyNext(now, key, s)
	verdict.Packet = s.heldPacket
	return verdict
}

// takeCopyBudget takes one copy from the rate limit and reports whether one was left.
func (t *Table) takeCopyBudget(now model.Instant) bool {
	t.copyBudget = min(copyBurst, t.copyBudget+copyRate*now.Sub(t.budgetUpdated).Seconds())
	t.budgetUpdated = now
	if t.copyBudget < 1 {
		return false
	}
	t.copyBudget--
	return true
}

// HoldPacket keeps a copy of the client's last packet until the search for its flow
// ends. It does nothing when no search is running or maxHeldPackets are held.
func (t *Table) HoldPacket(key flow.Key, packet []byte) {
	known := t.records[key]
	if known == nil || known.search == nil || (known.search.heldPacket == nil && t.heldPackets >= maxHeldPackets) {
		return
	}
	if known.search.heldPacket == nil {
		t.heldPackets++
	}
	known.search.heldPacket = bytes.Clone(packet)
}

// endSearch removes a flow's search and returns the held packet, or nil.
func (t *Table) endSearch(key flow.Key, known *record) []byte {
	if known.search == nil {
		return nil
	}
	held := known.search.heldPacket
	if held != nil {
		t.heldPackets--
	}
	known.search = nil
	delete(t.lookups, key)
	return held
}

// LookupRequest asks an agent which of the listed flows its target holds.
type LookupRequest struct {
	Agent netip.Addr
	Keys  []flow.Key
}

// LookupRequests returns the lookup requests to send now, and when to call again; the
// duration is 0 while no lookup is running.
func (t *Table) LookupRequests(now model.Instant) ([]LookupRequest, time.Duration) {
	keys := map[netip.Addr][]flow.Key{}
	flows := 0
	for key, known := range t.lookups {
		s := known.search
		if now.Sub(s.started) >= searchTimeout {
			t.endSearch(key, known)
			continue
		}
		if flows == flowsPerLookup || (s.lastLookup != 0 && now.Sub(s.lastLookup) < lookupRetryAfter) {
			continue
		}
		flows++
		s.lastLookup = now
		for vm, agent := range t.view.Agents {
			if agent.State != AgentGone && !s.notHeldBy[vm] && s.uncertain[vm].copies < maxCopies {
				keys[vm] = append(keys[vm], key)
				if _, waiting := t.unansweredSince[vm]; !waiting {
					t.unansweredSince[vm] = now
				}
			}
		}
	}
	if len(t.lookups) == 0 {
		clear(t.unansweredSince)
		return nil, 0
	}
	requests := make([]LookupRequest, 0, len(keys))
	for vm, list := range keys {
		requests = append(requests, LookupRequest{Agent: vm, Keys: list})
	}
	return requests, max(lookupInterval, time.Duration(len(t.view.Agents))*lookupSpacing)
}

// FlowNotHeld processes an agent's report that it does not hold a flow.
func (t *Table) FlowNotHeld(now model.Instant, key flow.Key, agent netip.Addr) Verdict {
	t.noteActivity(now)
	delete(t.unansweredSince, agent)
	known := t.records[key]
	if known == nil || known.search == nil {
		return Verdict{Reason: ReasonEnded}
	}
	s := known.search
	s.notHeldBy[agent] = true
	if evidence := t.notFound(now, s); evidence != EvidenceNone {
		return t.abandon(key, known, ReasonNotFound, evidence)
	}
	if !s.lookupStarted && s.likelyExhausted() {
		return t.startLookup(key, known)
	}
	return t.copyHeld(now, key, s)
}

// FlowUncertain processes an agent's report that only its target knows whether it
// holds a flow. The held packet is copied there when its turn comes.
func (t *Table) FlowUncertain(now model.Instant, key flow.Key, agent netip.Addr) Verdict {
	t.noteActivity(now)
	delete(t.unansweredSince, agent)
	known := t.records[key]
	if known == nil || known.search == nil {
		return Verdict{Reason: ReasonEnded}
	}
	s := known.search
	if _, exists := s.uncertain[agent]; !exists {
		s.uncertain[agent] = sentCopies{}
	}
	return t.copyHeld(now, key, s)
}

// PacketReturned decides on a packet of an open flow that was forwarded to an agent
// and returned because its target does not hold the flow.
func (t *Table) PacketReturned(now model.Instant, p flow.Packet, agent netip.Addr) Verdict {
	t.noteActivity(now)
	key := p.KeyFromClient()
	known := t.records[key]
	if known == nil || !known.fromClient {
		return Verdict{Reason: ReasonEnded}
	}
	if known.agent == agent {
		known.forgetAgent()
		return t.searchFlow(now, key, known, agent)
	}
	return t.FlowNotHeld(now, key, agent)
}

// notFound returns the evidence that no target holds a flow: every agent reported that
// it does not hold it or is lost, and the balancer knows all agents.
func (t *Table) notFound(now model.Instant, s *search) Evidence {
	if !t.knowsAllAgents(now) || !t.view.connected(now) {
		return EvidenceNone
	}
	for vm, agent := range t.view.Agents {
		lost := agent.loss(now, t.resumed, t.limits.MaxLifetime) != EvidenceNone
		if !s.notHeldBy[vm] && !lost && !t.unresponsive(now, vm, agent) {
			return EvidenceNone
		}
	}
	return EvidenceAllDeny
}

// unresponsive reports whether an agent neither answers lookups nor sends heartbeats.
func (t *Table) unresponsive(now model.Instant, vm netip.Addr, agent *Agent) bool {
	since, asked := t.unansweredSince[vm]
	silence := now.Sub(max(since, agent.LastHeartbeat, t.resumed))
	switch agent.State {
	case AgentRestarting:
		return false
	case AgentTargetEnded:
		return asked && silence > endedNoAnswerTimeout
	default:
		return asked && silence > noAnswerTimeout
	}
}

// knowsAllAgents reports whether the balancer knows all agents that may hold a flow.
func (t *Table) knowsAllAgents(now model.Instant) bool {
	return t.view.RegistrationsRead || now.Sub(t.started) >= discoveryTime
}

// likely returns the agents at which an open flow is most likely held: for each of the
// route's services and each zone, the agents with the largest rendezvous weights,
// between which a balancer of that zone chooses when it places the flow.
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
		zones := map[model.Zone]*topRanked{}
		for _, agent := range t.view.ByService[choice.Service] {
			if agent.State == AgentGone {
				continue
			}
			if zones[agent.Zone] == nil {
				zones[agent.Zone] = &topRanked{}
			}
			zones[agent.Zone].add(agent, key.RendezvousWeight(agent.VM), false)
		}
		for _, zone := range zones {
			for _, agent := range zone.agents() {
				vms = append(vms, agent.VM)
			}
		}
	}
	return vms
}
