// Package flowsteer decides at a balancer where each packet of a flow goes. It
// is pure: packets, reports and the time go in, verdicts come out. The table of
// flows is a cache: a flow that it does not know is searched for.
package flowsteer

import (
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/routing"
)

// AgentState tells what an agent says of itself.
type AgentState uint8

// The states.
const (
	// AgentClosed takes no new flows.
	AgentClosed AgentState = iota
	// AgentOpen takes new flows.
	AgentOpen
	// AgentRestarting has announced that it ends and comes back; its target lives
	// on.
	AgentRestarting
	// AgentGone has ended for good together with its target.
	AgentGone
)

// Agent is what a balancer knows of one agent.
type Agent struct {
	// VM is the address of the agent's VM, which identifies it.
	VM      netip.Addr
	Zone    model.Zone
	Service model.Service
	State   AgentState
	// LastReport is when its last report came; Interval is the time between two.
	LastReport     model.Instant
	ReportInterval time.Duration
	// Slots is the number of requests that the target runs at once; 0 is unknown.
	Slots int
	// Flows and Busy are the flows of the target and those on which it owes an
	// answer.
	Flows       int
	ActiveFlows int
	// Cold tells that the target has just started.
	Cold bool
	// Capacity is the number of new flows that the agent would take, and Free that of
	// those which need not wait for the target.
	Capacity          int
	ImmediateCapacity int
	// HasReported tells that the agent was ever heard. One that was not is known from its
	// registration only, and Heard is when that was read.
	HasReported bool
}

// View is what a balancer knows besides its flows. It is immutable.
type View struct {
	Zone model.Zone
	// State is what the operators have declared; nil while it is unknown.
	State *routing.State
	// VerifiedAt is when the state was last known to be the newest.
	VerifiedAt model.Instant
	// RegistrationsRead tells that the registrations of all nodes have been read since the
	// balancer's start. A node stays registered for some seconds after its end.
	RegistrationsRead bool
	Agents            map[netip.Addr]*Agent
	// ByService holds the agents of each service that were met, in the order of their VMs.
	ByService map[model.Service][]*Agent
}

const (
	// missedReports is how many reports an agent may miss before it gets no new
	// flows. Single datagrams are lost at times.
	missedReports = 3
	// lostReports is how many reports in a row must be missing before the agent is
	// taken as lost with its target.
	lostReports = 6
	// minLost is the shortest silence of an agent that is taken as lost. It
	// exceeds the pause of a process whose share of the processor is used up.
	minLost = 1200 * time.Millisecond
	// pauseNoticed is how long the balancer must have done nothing to have been
	// paused. It looks for lost agents each tenth of a second.
	pauseNoticed = 500 * time.Millisecond
	// restartTime is how long an agent that announced its restart may be away.
	restartTime = 5 * time.Second
	// unsettledTime is how long a balancer that could not read the registrations
	// does not trust the absence of an answer. It exceeds the time in which nodes
	// meet each other after the platform's service was away.
	unsettledTime = 5 * time.Second
	// absentTime is how long an agent must be silent to tell nothing any more of
	// whether the balancer is cut off.
	absentTime = 6 * time.Second
)

// silent reports whether an agent's reports are overdue.
func (a *Agent) silent(now model.Instant) bool {
	return now.Sub(a.LastReport) > missedReports*a.ReportInterval
}

// lost reports whether an agent is gone, or has been silent for so long that it
// is taken as lost with its target. Silence counts from when the balancer itself
// resumed after a pause.
func (a *Agent) lost(now, resumed model.Instant) bool {
	limit := max(lostReports*a.ReportInterval, minLost)
	quiet := now.Sub(max(a.LastReport, resumed))
	switch a.State {
	case AgentGone:
		return true
	case AgentRestarting:
		return quiet > restartTime
	default:
		return quiet > limit
	}
}

// takes reports whether an agent takes new flows.
func (a *Agent) takes(now model.Instant, state *routing.State) bool {
	return a.State == AgentOpen && !state.ZonesOut[a.Zone] && !a.silent(now)
}

// connected reports whether the balancer hears most agents, so that a silent one
// is more likely lost than the balancer cut off.
func (v *View) connected(now model.Instant) bool {
	heard, expected := 0, 0
	for _, agent := range v.Agents {
		if agent.State == AgentGone || agent.State == AgentRestarting || now.Sub(agent.LastReport) > absentTime {
			continue
		}
		expected++
		if agent.HasReported && !agent.silent(now) {
			heard++
		}
	}
	return 2*heard > expected
}
