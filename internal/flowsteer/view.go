// Package flowsteer decides at a balancer where each packet of a flow goes. Packets go
// to agents: one agent runs beside each target and passes the packets on to it. The
// package does no I/O: packets, the agents' heartbeats and flow reports, and the current
// time go in, verdicts come out. The flow table is a cache: the agent of a flow that it
// does not know is found by a search.
package flowsteer

import (
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/routing"
)

// AgentState is the state that an agent reports of itself.
type AgentState uint8

// The states.
const (
	// AgentClosed accepts no new flows.
	AgentClosed AgentState = iota
	// AgentOpen accepts new flows.
	AgentOpen
	// AgentRestarting has announced a restart; its target keeps running.
	AgentRestarting
	// AgentGone has ended permanently together with its target.
	AgentGone
	// AgentTargetEnded runs, but its target has ended.
	AgentTargetEnded
)

// Agent is a balancer's view of one agent.
type Agent struct {
	// VM is the address of the agent's VM, which identifies it.
	VM      netip.Addr
	Zone    model.Zone
	Service model.Service
	State   AgentState
	// LastHeartbeat is when the agent's last heartbeat arrived; HeartbeatInterval is the
	// maximum time between two heartbeats.
	LastHeartbeat     model.Instant
	HeartbeatInterval time.Duration
	// Slots is the number of requests that the target runs at once; 0 means unknown.
	Slots int
	// Flows is the number of the target's flows, and ActiveFlows the number of those
	// that have a request outstanding, are awaiting their first request, or are
	// queued.
	Flows       int
	ActiveFlows int
	// Cold is set while the target warms up after its start.
	Cold bool
	// Capacity is the number of new flows that the agent would accept, and
	// ImmediateCapacity the number of those that the target would not queue.
	Capacity          int
	ImmediateCapacity int
	// HeartbeatReceived is set when any heartbeat of the agent has arrived. Otherwise the
	// agent is known only from its registration or from another node, and LastHeartbeat is
	// when it became known.
	HeartbeatReceived bool
}

// View is what a balancer knows apart from its flows: the agents and the operators'
// state. It is immutable.
type View struct {
	Zone model.Zone
	// State is the operators' state: their configuration and the zones that are out of
	// service. It is nil while unknown.
	State *routing.State
	// VerifiedAt is when State was last verified to be current.
	VerifiedAt model.Instant
	// RegistrationsRead is set when the registrations of all nodes have been read
	// since the balancer's start. A node stays registered for some seconds after its
	// end.
	RegistrationsRead bool
	Agents            map[netip.Addr]*Agent
	// ByService holds the agents of each service, sorted by VM. It leaves out those
	// of which no heartbeat has arrived yet.
	ByService map[model.Service][]*Agent
}

const (
	// maxMissedHeartbeats is how many heartbeats an agent may miss before it gets no new
	// flows. Single datagrams are lost at times.
	maxMissedHeartbeats = 3
	// lostHeartbeats is how many heartbeats in a row must be missing before the agent
	// counts as lost with its target.
	lostHeartbeats = 6
	// minLostSilence is the minimum time without a heartbeat for an agent to count as
	// lost. It exceeds the pause of a process whose CPU quota is used up.
	minLostSilence = 1200 * time.Millisecond
	// pauseThreshold is the time without activity after which the balancer counts as
	// having been paused. It checks for lost agents every 100 ms.
	pauseThreshold = 500 * time.Millisecond
	// discoveryTime is how long a balancer that could not read the registrations
	// assumes that it does not know all agents, and therefore treats no flow as lost.
	// It exceeds the time in which nodes discover each other after an outage of the
	// platform's service.
	discoveryTime = 5 * time.Second
	// absenceTimeout is the time without a heartbeat after which an agent no longer
	// counts when the balancer decides whether it is partitioned from the network.
	absenceTimeout = 6 * time.Second
)

// overdue reports whether an agent's heartbeats are overdue.
func (a *Agent) overdue(now model.Instant) bool {
	return now.Sub(a.LastHeartbeat) > maxMissedHeartbeats*a.HeartbeatInterval
}

// loss returns the evidence that an agent is lost with its target: it is gone, or has sent no
// heartbeat for too long. The time counts from when the balancer itself resumed after a pause.
// The silence of an agent that announced its restart shows nothing about its target, however
// long it lasts: only flows that have exceeded their maximum lifetime meanwhile are not held
// any more.
func (a *Agent) loss(now, resumed model.Instant, maxLifetime time.Duration) Evidence {
	limit := max(lostHeartbeats*a.HeartbeatInterval, minLostSilence)
	silence := now.Sub(max(a.LastHeartbeat, resumed))
	switch {
	case a.State == AgentGone:
		return EvidenceAgentGone
	case a.State == AgentRestarting && silence > maxLifetime:
		return EvidenceLifetime
	case a.State != AgentRestarting && silence > limit:
		return EvidenceAgentSilent
	default:
		return EvidenceNone
	}
}

// acceptsFlows reports whether an agent accepts new flows.
func (a *Agent) acceptsFlows(now model.Instant, state *routing.State) bool {
	return a.State == AgentOpen && !state.ZonesOut[a.Zone] && !a.overdue(now)
}

// connected reports whether most agents' heartbeats reach the balancer, so that a silent
// agent is more likely lost than the balancer partitioned from the network.
func (v *View) connected(now model.Instant) bool {
	present, expected := 0, 0
	for _, agent := range v.Agents {
		if agent.State == AgentGone || agent.State == AgentRestarting || now.Sub(agent.LastHeartbeat) > absenceTimeout {
			continue
		}
		expected++
		if agent.HeartbeatReceived && !agent.overdue(now) {
			present++
		}
	}
	return 2*present > expected
}
