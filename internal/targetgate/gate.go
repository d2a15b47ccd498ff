// Package targetgate implements an agent's admission control for its target. The agent
// runs beside the target and all traffic of the target passes through it, so that its
// counts are exact: which incarnation of the target runs, which flows it holds, whether
// it accepts new ones, and how many it can take while it is cold. An incarnation is one
// run of the target's process; a target is cold while it warms up after its start. The
// package does no I/O: events and the current time go in, decisions come out.
package targetgate

import (
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/routing"
)

// Error is the class of all errors of this package. Its prefix in error texts stays
// "door", so that searches of logs still match.
var Error = errs.Class("door")

// The errors of Announce and Depart, wrapped in Error.
var (
	// ErrWrongTarget is returned for a caller that is not this agent's target.
	ErrWrongTarget = errs.New("not the target of this agent")
	// ErrStale is returned when a newer incarnation or heartbeat is known, or the
	// incarnation has departed.
	ErrStale = errs.New("stale incarnation or heartbeat")
)

// Announcement is one heartbeat of a target.
type Announcement struct {
	// ID is the name that the target gives itself.
	ID string
	// Incarnation is the start time of the target's incarnation, in Unix milliseconds.
	Incarnation int64
	// Sequence increases with each heartbeat of one incarnation.
	Sequence uint64
	Service  model.Service
	Address  netip.AddrPort
	Zone     model.Zone
	// Slots is the number of requests that the target runs at once.
	Slots    int
	Draining bool
	// WarmUpRemaining is how much longer the target is cold.
	WarmUpRemaining time.Duration
	// Age is the time since Incarnation by the VM's clock.
	Age time.Duration
}

// Departure is the notice that a target sends before it ends.
type Departure struct {
	// ID is the name that the target gives itself.
	ID string
	// Incarnation is the start time of the target's incarnation in Unix milliseconds,
	// or 0 if the target did not send it.
	Incarnation int64
}

// Reason is why a new flow, or a packet of a flow, was refused.
type Reason uint8

// The reasons.
const (
	// ReasonNone means that nothing was refused.
	ReasonNone Reason = iota
	// ReasonNoState is used while the operators' configuration is not known.
	ReasonNoState
	// ReasonNoRoute is used when no route exists for the address.
	ReasonNoRoute
	// ReasonOtherService is used when the route leads to other services only.
	ReasonOtherService
	// ReasonZoneOut is used when the availability zone is out of service.
	ReasonZoneOut
	// ReasonNoTarget is used when the target has not announced itself, or its
	// heartbeats are overdue or contradict each other.
	ReasonNoTarget
	// ReasonLeaving is used when the target is draining or has ended.
	ReasonLeaving
	// ReasonCold is used when the target is cold and the queue holds as many flows as
	// it can take in time.
	ReasonCold
	// ReasonBusy is used when the queue holds as many flows as the busy target can
	// take in time.
	ReasonBusy
	// ReasonFull is used when the target returned the packet or holds its maximum
	// number of flows, or when the agent's table is full.
	ReasonFull
	// ReasonUnknownFlow is used when the target does not hold the flow.
	ReasonUnknownFlow
	reasonCount
)

// ReasonCount is the number of reasons.
const ReasonCount = int(reasonCount)

var reasonNames = [...]string{"none", "no_state", "no_route", "other_service", "zone_out", "no_target", "leaving",
	"cold", "busy", "full", "unknown_flow"}

// String returns the reason's name in logs and metrics.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "invalid"
	}
	return reasonNames[r]
}

const (
	// coldWindow is the sliding window over which a cold target's new flows are
	// counted. It exceeds the second that the limit is defined for, because packets
	// may arrive at the target closer together than they were sent.
	coldWindow = 1100 * time.Millisecond
	// closedFlowRetention is how long a closed flow is kept for its last packets.
	closedFlowRetention = 2 * time.Second
	// openTimeout is how long a flow may take to open. A client gives up after 1.4 s.
	openTimeout = 2 * time.Second
	// firstRequestTimeout is how long a new flow counts as awaiting its first request.
	// A client opens a flow only when it has a request to send.
	firstRequestTimeout = 300 * time.Millisecond
	// maxStartupAttempts is the maximum number of announcements that a target makes in
	// half a heartbeat interval while no agent accepts any. A higher sequence number
	// shows that the target's age is wrong, because the clock was set back.
	maxStartupAttempts = 10
	// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat after
	// which a target gets no new flows. A target is required to count as gone two seconds
	// after a heartbeat is due, which with an interval of one second is three intervals
	// after the last heartbeat.
	maxMissedHeartbeats = 3
)

// Config describes the target of a gate and the limits on it.
type Config struct {
	Service model.Service
	Zone    model.Zone
	Address netip.AddrPort
	// Heartbeat is the target's heartbeat interval.
	Heartbeat time.Duration
	// ColdFactor and ColdSlack limit the new flows per second of a cold target: the
	// service's WarmUpRate times the factor, plus the slack.
	ColdFactor float64
	ColdSlack  float64
	// MaxFlows is the maximum number of flows in the table.
	MaxFlows int
}

// Gate is the admission control of one agent's target. It is not safe for concurrent
// use.
type Gate struct {
	config Config
	target Target
	// lastContact is when the target's last heartbeat or successful probe arrived.
	lastContact model.Instant
	// conflictingHeartbeat is set when a heartbeat seemed to come from an older
	// incarnation than the known one, which has not sent a heartbeat since.
	conflictingHeartbeat bool
	// recentOpens holds the times of new flows within the last cold window. Those that an
	// earlier agent of the target has admitted are not among them; earlierOpensUntil is when
	// the last of these leaves the window.
	recentOpens       []model.Instant
	earlierOpensUntil model.Instant
	flows             map[flow.Key]*entry
	// inFlight is the number of flows with a request outstanding, and awaitingRequest
	// the number of flows awaiting their first request.
	inFlight        int
	awaitingRequest int
	// recentlyAdmitted holds the flows whose firstRequestTimeout has not ended, the
	// oldest first.
	recentlyAdmitted []admittedFlow
	queued           map[flow.Key]*queuedFlow
	pace             pace
	ramp             ramp
	// flowsComplete is set when every flow that the target holds is in the table, and
	// trackedSince is since when every flow with a packet has been added to it.
	flowsComplete bool
	trackedSince  model.Instant
	// unconfirmed is the number of unconfirmed flows in the table.
	unconfirmed int
	removals    [RemovalCount]int64
}

// Target is the gate's knowledge of the target.
type Target struct {
	// Known is set when the target has announced itself or passed a probe.
	Known       bool
	ID          string
	Incarnation int64
	Sequence    uint64
	Slots       int
	Draining    bool
	// Ended is set when the target has ended: it sent a departure notice, or nothing
	// listens at its address.
	Ended bool
	// ColdUntil is when the target stops being cold.
	ColdUntil model.Instant
	// idReused is set when a former incarnation had the same ID.
	idReused bool
}

// New returns a gate of a target of which nothing is known. Until then, an earlier agent may
// have admitted flows.
func New(config Config, now model.Instant) *Gate {
	return &Gate{config: config, trackedSince: now, earlierOpensUntil: now.Add(coldWindow), flows: map[flow.Key]*entry{}, queued: map[flow.Key]*queuedFlow{}}
}

// SetLimits replaces the limits for a cold target and the heartbeat interval.
func (g *Gate) SetLimits(heartbeat time.Duration, coldFactor, coldSlack float64) {
	g.config.Heartbeat, g.config.ColdFactor, g.config.ColdSlack = heartbeat, coldFactor, coldSlack
}

// Target returns what is known of the target.
func (g *Gate) Target() Target { return g.target }

// Cold reports whether the target is cold.
func (g *Gate) Cold(now model.Instant) bool { return now < g.target.ColdUntil }

// Announce processes a heartbeat. It reports whether a new incarnation has begun,
// which holds none of the earlier flows. An incarnation that seems older is accepted
// as new if the known one has ended or is silent: the VM's clock was set back. Errors
// are ErrWrongTarget and ErrStale.
func (g *Gate) Announce(now model.Instant, a Announcement) (restarted bool, err error) {
	if a.Service != g.config.Service || a.Address != g.config.Address {
		return false, Error.New("%w: %s at %s", ErrWrongTarget, a.Service, a.Address)
	}
	older := a.Incarnation < g.target.Incarnation && !g.target.Ended && g.SilentFor(now) <= maxMissedHeartbeats*g.config.Heartbeat
	if older {
		g.conflictingHeartbeat = true
	}
	if older || (a.Incarnation == g.target.Incarnation && a.Sequence <= g.target.Sequence) {
		return false, Error.New("%w: incarnation %d, heartbeat %d", ErrStale, a.Incarnation, a.Sequence)
	}
	if a.Incarnation == g.target.Incarnation && g.target.Ended {
		return false, Error.New("%w: the incarnation has departed", ErrStale)
	}
	restarted = g.target.Incarnation != 0 && a.Incarnation != g.target.Incarnation
	if restarted || (g.target.Incarnation == 0 && g.noEarlierAgent(a)) {
		g.flowsComplete, g.earlierOpensUntil = true, now
	}
	if a.Incarnation != g.target.Incarnation {
		g.ramp = ramp{}
	}
	if g.target.Incarnation == 0 {
		g.assignFlows(a.Incarnation)
	}
	g.lastContact, g.conflictingHeartbeat = now, false
	g.target = Target{
		Known: true, ID: a.ID, Incarnation: a.Incarnation, Sequence: a.Sequence, Slots: a.Slots, Draining: a.Draining,
		ColdUntil: now.Add(a.WarmUpRemaining), idReused: a.ID == g.target.ID && (restarted || g.target.idReused),
	}
	return restarted, nil
}

// noEarlierAgent reports whether no earlier agent can have accepted an announcement of
// the target's incarnation, and so admitted a flow: the announcement is the first one,
// or comes so soon after the target's start that the ones before it failed. After an
// accepted announcement, a target waits for a heartbeat interval.
func (g *Gate) noEarlierAgent(a Announcement) bool {
	return a.Sequence == 1 || (a.Sequence <= maxStartupAttempts && a.Age >= 0 && a.Age < g.config.Heartbeat/2)
}

// assignFlows assigns the flows seen before the first heartbeat to the incarnation
// that sent it.
func (g *Gate) assignFlows(incarnation int64) {
	for _, known := range g.flows {
		known.incarnation = incarnation
	}
}

// Depart processes the target's departure notice. It returns ErrStale when the notice
// is not from the known incarnation, or does not show from which of several with the same ID
// it is.
func (g *Gate) Depart(departure Departure) error {
	unnamed := departure.Incarnation == 0 && !g.target.idReused
	if departure.ID != g.target.ID || (departure.Incarnation != g.target.Incarnation && !unnamed) {
		return Error.New("%w: %s", ErrStale, departure.ID)
	}
	g.target.Draining, g.target.Ended = true, true
	return nil
}

// RecordProbe records the health probe of a target that has not announced itself yet.
// The target then counts as cold, and unless it announces itself it gets new flows for
// at most maxMissedHeartbeats heartbeat intervals.
func (g *Gate) RecordProbe(now model.Instant, id string, healthy bool) {
	if g.target.Known || !healthy {
		return
	}
	g.lastContact = now
	g.target = Target{Known: true, ID: id, ColdUntil: now.Add(maxMissedHeartbeats * g.config.Heartbeat)}
}

// MarkEnded records that the target has ended without a departure notice: a probe that began
// at the given time found nothing that listens at its address. It reports whether a known
// target is newly marked, or flows remain in the table. A probe shows nothing of a target that
// was heard of after the probe began.
func (g *Gate) MarkEnded(probed model.Instant) bool {
	if g.lastContact > probed {
		return false
	}
	changed := g.target.Known && !g.target.Ended
	g.target.Ended = true
	g.flowsComplete = true
	return changed || len(g.flows) > 0
}

// LeavesForGood reports whether an agent that stops now leaves together with its target,
// which has ended, rather than to restart beside a target that runs.
func (g *Gate) LeavesForGood() bool { return g.target.Ended }

// SilentFor returns the time since the last heartbeat or successful probe.
func (g *Gate) SilentFor(now model.Instant) time.Duration { return now.Sub(g.lastContact) }

// Ready reports whether the target accepts new flows.
func (g *Gate) Ready(now model.Instant) bool { return g.refusal(now) == ReasonNone }

// refusal returns why the target accepts no new flows at all, or ReasonNone.
func (g *Gate) refusal(now model.Instant) Reason {
	switch {
	case !g.target.Known:
		return ReasonNoTarget
	case g.target.Draining || g.target.Ended:
		return ReasonLeaving
	case g.conflictingHeartbeat, g.SilentFor(now) > maxMissedHeartbeats*g.config.Heartbeat:
		return ReasonNoTarget
	default:
		return ReasonNone
	}
}

// Opening is a request to open a new flow at the target.
type Opening struct {
	Key flow.Key
	// Balancer is the balancer that forwarded the opening packet.
	Balancer netip.Addr
	// Age is how long before this copy of the opening packet the client sent the first.
	Age time.Duration
	// Packet is the opening packet, which the gate keeps while the flow is queued.
	Packet []byte
}

// Open decides whether a new flow may open at the target under the given operators'
// state, and queues it if so. Admit returns the queued flows that may proceed. A
// retransmission of an opening packet that was admitted is queued too and admitted at
// once. It is not refused once the target has accepted the flow, which may be open. A flow
// that is refused does not stay in the queue because of an earlier copy.
func (g *Gate) Open(now model.Instant, state *routing.State, opening Opening) Reason {
	known := g.flows[opening.Key]
	if g.accepted(known) {
		g.repeatOpening(now, state, opening, known)
		return ReasonNone
	}
	if reason := g.openingRefusal(now, state, opening.Key); reason != ReasonNone {
		delete(g.queued, opening.Key)
		return reason
	}
	switch {
	case known != nil && known.unconfirmed:
		// The client has given up the flow that it opened before from this port.
		g.remove(opening.Key, known, RemovedUnopened)
	case known != nil:
		known.balancer, known.lastFromClient = opening.Balancer, now
	}
	g.enqueue(now, state, opening)
	return ReasonNone
}

// openingRefusal returns why an opening packet is refused, or ReasonNone.
func (g *Gate) openingRefusal(now model.Instant, state *routing.State, key flow.Key) Reason {
	if reason := g.checkPolicy(state, key); reason != ReasonNone {
		return reason
	}
	if reason := g.refusal(now); reason != ReasonNone {
		return reason
	}
	if known := g.flows[key]; known != nil && !known.unconfirmed {
		return ReasonNone
	}
	service := state.Config.Services[g.config.Service]
	if len(g.flows) >= g.config.MaxFlows || (service != nil && service.MaxFlows > 0 && len(g.flows)-g.unconfirmed >= service.MaxFlows) {
		return ReasonFull
	}
	if g.queued[key] == nil && g.immediateCapacity(now, service) <= 0 && len(g.queued) >= g.queueLimit(now, service) {
		if g.Cold(now) {
			return ReasonCold
		}
		return ReasonBusy
	}
	return ReasonNone
}

// accepted reports whether the target has accepted a flow and still runs.
func (g *Gate) accepted(known *entry) bool {
	return known != nil && known.synAckSeen && !known.unconfirmed && g.notHeld(known) == EvidenceNone
}

// repeatOpening queues a retransmission of the opening packet of an accepted flow. It drops
// the packet if the operators' state does not allow the flow any more, and if the target takes
// no new flows and the flow is open: its client has got the answer to another copy.
func (g *Gate) repeatOpening(now model.Instant, state *routing.State, opening Opening, known *entry) {
	known.balancer, known.lastFromClient = opening.Balancer, now
	if g.checkPolicy(state, opening.Key) == ReasonNone && (g.refusal(now) == ReasonNone || !known.open) {
		g.enqueue(now, state, opening)
	}
}

// checkPolicy checks a new flow against the operators' state.
func (g *Gate) checkPolicy(state *routing.State, key flow.Key) Reason {
	if state == nil || state.Config == nil {
		return ReasonNoState
	}
	route := state.Config.Routes[key.Service]
	switch {
	case route == nil:
		return ReasonNoRoute
	case !route.Allows(g.config.Service):
		return ReasonOtherService
	case state.ZonesOut[g.config.Zone]:
		return ReasonZoneOut
	default:
		return ReasonNone
	}
}

// coldLimit returns the maximum number of new flows that a cold target gets within the
// cold window, and false if the service's warm-up rate is not stated. The target is then
// limited by what it is seen to bear.
func (g *Gate) coldLimit(service *routing.Service) (limit int, stated bool) {
	rate := 0.0
	if service != nil {
		if rate, stated = service.WarmUpRate.PerSecond(); !stated {
			return 0, false
		}
	}
	return max(1, int(rate*g.config.ColdFactor+g.config.ColdSlack)), true
}

// trimRecentOpens removes the times before the current cold window.
func (g *Gate) trimRecentOpens(now model.Instant) {
	first := 0
	for first < len(g.recentOpens) && now.Sub(g.recentOpens[first]) >= coldWindow {
		first++
	}
	g.recentOpens = g.recentOpens[first:]
}
