// Package flowsteer decides at a balancer where each packet of a flow goes. Packets go
// to agents: one agent runs beside each target and passes the packets on to it. The
// package does no I/O: packets, reports and the current time go in, verdicts come out.
// The flow table is a cache: the agent of a flow that it does not know is found by a
// search.
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
)

// Agent is a balancer's view of one agent.
type Agent struct {
	// VM is the address of the agent's VM, which identifies it.
	VM      netip.Addr
	Zone    model.Zone
	Service model.Service
	State   AgentState
	// LastReport is when the agent's last report, a heartbeat, arrived; ReportInterval
	// is the time between two reports.
	LastReport     model.Instant
	ReportInterval time.Duration
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
	// HasReported is set when the agent has ever sent a report. Otherwise it is known
	// from its registration only, and LastReport is when that was read.
	HasReported bool
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
	// ByService holds the agents of each service that have reported, sorted by VM.
	ByService map[model.Service][]*Agent
}

const (
	// maxMissedReports is how many reports an agent may miss before it gets no new
	// flows. Single datagrams are lost at times.
	maxMissedReports = 3
	// lostReports is how many reports in a row must be missing before the agent counts
	// as lost with its target.
	lostReports = 6
	// minLostSilence is the minimum time without a report for an agent to count as
	// lost. It exceeds the pause of a process whose CPU quota is used up.
	minLostSilence = 1200 * time.Millisecond
	// pauseThreshold is the time without activity after which the balancer counts as
	// having been paused. It checks for lost agents every 100 ms.
	pauseThreshold = 500 * time.Millisecond
	// restartTimeout is how long an agent that announced its restart may be away.
	restartTimeout = 5 * time.Second
	// discoveryTime is how long a balancer that could not read the registrations
	// assumes that it does not know all agents, and therefore treats no flow as lost.
	// It exceeds the time in which nodes discover each other after an outage of the
	// platform's service.
	discoveryTime = 5 * time.Second
	// absenceTimeout is the time without a report after which an agent no longer
	// counts when the balancer decides whether it is partitioned from the network.
	absenceTimeout = 6 * time.Second
)

// overdue reports whether an agent's reports are overdue.
func (a *Agent) overdue(now model.Instant) bool {
	return now.Sub(a.LastReport) > maxMissedReports*a.ReportInterval
}

// lost reports whether an agent is gone, or has not reported for so long that it
// counts as lost with its target. The time counts from when the balancer itself
// resumed after a pause.
func (a *Agent) lost(now, resumed model.Instant) bool {
	limit := max(lostReports*a.ReportInterval, minLostSilence)
	silence := now.Sub(max(a.LastReport, resumed))
	switch a.State {
	case AgentGone:
		return true
	case AgentRestarting:
		return silence > restartTimeout
	default:
		return silence > limit
	}
}

// acceptsFlows reports whether an agent accepts new flows.
func (a *Agent) acceptsFlows(now model.Instant, state *routing.State) bool {
	return a.State == AgentOpen && !state.ZonesOut[a.Zone] && !a.overdue(now)
}

// connected reports whether most agents report to the balancer, so that a silent agent
// is more likely lost than the balancer partitioned from the network.
func (v *View) connected(now model.Instant) bool {
	reporting, expected := 0, 0
	for _, agent := range v.Agents {
		if agent.State == AgentGone || agent.State == AgentRestarting || now.Sub(agent.LastReport) > absenceTimeout {
			continue
		}
		expected++
		if agent.HasReported && !agent.overdue(now) {
			reporting++
		}
	}
	return 2*reporting > expected
}
