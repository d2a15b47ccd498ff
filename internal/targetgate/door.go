// Package door decides at an agent what reaches the target beside it. The agent
// is the only way to its target, so that its counts are exact: which
// incarnation of the target runs, which flows it holds, whether it takes new
// ones, and how many it bears while it is cold. It is pure: events and the time
// go in, decisions come out.
package targetgate

import (
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/routing"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("door")

// The errors of Announce and Depart, wrapped in Error.
var (
	// ErrWrongTarget tells that the caller is not the target beside this agent.
	ErrWrongTarget = errs.New("not the target of this agent")
	// ErrStale tells that a newer incarnation or heartbeat is known.
	ErrStale = errs.New("older than what is known")
)

// Announcement is one heartbeat of a target.
type Announcement struct {
	ID string
	// Incarnation is the start of the target's incarnation, in Unix milliseconds.
	Incarnation int64
	// Sequence rises with each heartbeat of one incarnation.
	Sequence uint64
	Service  model.Service
	Address  netip.AddrPort
	Zone     model.Zone
	// Slots is the number of requests that the target runs at once.
	Slots    int
	Draining bool
	// WarmUpRemaining is how much longer the target is cold.
	WarmUpRemaining time.Duration
	// Age is the time since Born, by the VM's clock.
	Age time.Duration
}

// Departure is the last word of a target before it ends.
type Departure struct {
	ID string
	// Incarnation is the start of the target's incarnation in Unix milliseconds, or 0
	// where the target did not say.
	Incarnation int64
}

// Reason tells why a new flow was refused.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonNoState tells that the operators' state is not known yet.
	ReasonNoState
	// ReasonNoRoute tells that no route leads to the address.
	ReasonNoRoute
	// ReasonOtherService tells that the route leads to other services only.
	ReasonOtherService
	// ReasonZoneOut tells that the availability zone is out of service.
	ReasonZoneOut
	// ReasonNoTarget tells that the target has not announced itself.
	ReasonNoTarget
	// ReasonLeaving tells that the target is draining or gone.
	ReasonLeaving
	// ReasonCold tells that the target is cold, and that as many flows wait as it
	// will bear in time.
	ReasonCold
	// ReasonBusy tells that as many flows wait as the busy target can take in time.
	ReasonBusy
	// ReasonFull tells that the target returned the packet or holds all the
	// flows that it can.
	ReasonFull
	// ReasonUnknownFlow tells that the target does not hold the flow.
	ReasonUnknownFlow
	reasonCount
)

// ReasonCount is the number of reasons.
const ReasonCount = int(reasonCount)

var reasonNames = [...]string{"none", "no_state", "no_route", "other_service", "zone_out", "no_target", "leaving",
	"cold", "busy", "full", "unknown_flow"}

// String returns the name of the reason that logs and metrics use.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "invalid"
	}
	return reasonNames[r]
}

const (
	// coldWindow is the span over which a cold target's new flows are counted. It
	// exceeds the second that the limit speaks of, since packets may reach the
	// target closer together than they left.
	coldWindow = 1100 * time.Millisecond
	// closedLinger is how long a closed flow is remembered for its last packets.
	closedLinger = 2 * time.Second
	// openTimeout is how long a flow may take to open. A client gives up after
	// 1.4 s.
	openTimeout = 2 * time.Second
	// freshTime is how long a new flow's first request is waited for. A client
	// opens a flow when it has one.
	freshTime = 300 * time.Millisecond
	// firstAttempts is how many announcements a target makes at most while it is not
	// heard, in half a heartbeat's time. It guards against a clock that was set back.
	firstAttempts = 10
	// missedHeartbeats is how many heartbeats a target may miss before it gets no
	// new flows. The users take a target as gone two seconds after it is due.
	missedHeartbeats = 3
)

// Config describes the target of a door.
type Config struct {
	Service model.Service
	Zone    model.Zone
	Address netip.AddrPort
	// Heartbeat is the time between two heartbeats of a target.
	Heartbeat time.Duration
	// ColdFactor and ColdSlack bound the new flows a second of a cold target: its
	// stated rate times the factor, plus the slack.
	ColdFactor float64
	ColdSlack  float64
	// MaxFlows bounds the table of flows.
	MaxFlows int
}

// Gate is the state of one agent's door. It is not safe for concurrent use.
type Gate struct {
	config  Config
	started model.Instant
	target  Target
	heard   model.Instant
	// doubted tells that a heartbeat came that seems older than the target, and none
	// of the target itself since.
	doubted bool
	// opened holds the times of new flows within the last cold window.
	opened []model.Instant
	flows  map[flow.Key]*entry
	busy   int
	// fresh is the number of flows whose first request is still to come.
	fresh   int
	entered []entering
	waiting map[flow.Key]*waiter
	// complete tells that every flow that the target holds is in the table.
	complete bool
}

// Target is what is known of the target.
type Target struct {
	// Known tells that the target has announced itself or passed a probe.
	Known       bool
	ID          string
	Incarnation int64
	Sequence    uint64
	Slots       int
	Draining    bool
	// Ended tells that the target has ended.
	Ended     bool
	ColdUntil model.Instant
}

// New makes a door of a target of which nothing is known.
func New(config Config, now model.Instant) *Gate {
	return &Gate{config: config, started: now, flows: map[flow.Key]*entry{}, waiting: map[flow.Key]*waiter{}}
}

// SetLimits replaces the bounds of a cold target and the time between heartbeats.
func (d *Gate) SetLimits(heartbeat time.Duration, coldFactor, coldSlack float64) {
	d.config.Heartbeat, d.config.ColdFactor, d.config.ColdSlack = heartbeat, coldFactor, coldSlack
}

// Target returns what is known of the target.
func (d *Gate) Target() Target { return d.target }

// Cold reports whether the target is cold.
func (d *Gate) Cold(now model.Instant) bool { return now < d.target.ColdUntil }

// Announce takes a heartbeat. It reports whether a new incarnation has begun,
// which knows none of the flows before. One that seems older is new if the known
// one has ended or is silent: the VM's clock was set back.
func (d *Gate) Announce(now model.Instant, a Announcement) (restarted bool, err error) {
	if a.Service != d.config.Service || a.Address != d.config.Address {
		return false, Error.New("%w: %s at %s", ErrWrongTarget, a.Service, a.Address)
	}
	older := a.Incarnation < d.target.Incarnation && !d.target.Ended && d.SilentFor(now) <= missedHeartbeats*d.config.Heartbeat
	if older {
		d.doubted = true
	}
	if older || (a.Incarnation == d.target.Incarnation && a.Sequence <= d.target.Sequence) {
		return false, Error.New("%w: incarnation %d, heartbeat %d", ErrStale, a.Incarnation, a.Sequence)
	}
	if a.Incarnation == d.target.Incarnation && d.target.Ended {
		return false, Error.New("%w: the incarnation has departed", ErrStale)
	}
	restarted = d.target.Incarnation != 0 && a.Incarnation != d.target.Incarnation
	if restarted {
		d.complete = true
	}
	if d.target.Incarnation == 0 {
		d.adoptFlows(a.Incarnation)
		d.complete = d.complete || d.isFirst(a)
	}
	d.heard, d.doubted = now, false
	d.target = Target{
		Known: true, ID: a.ID, Incarnation: a.Incarnation, Sequence: a.Sequence, Slots: a.Slots, Draining: a.Draining,
		ColdUntil: now.Add(a.WarmUpRemaining),
	}
	return restarted, nil
}

// isFirst reports whether no agent before this one can have taken an announcement
// of the target's incarnation, and so let a flow in: the announcement is the
// first one, or comes so soon after the target's start that those before it
// failed. A target that was heard waits for a heartbeat's time.
func (d *Gate) isFirst(a Announcement) bool {
	return a.Sequence == 1 || (a.Sequence <= firstAttempts && a.Age >= 0 && a.Age < d.config.Heartbeat/2)
}

// adoptFlows takes the flows that were seen before the first heartbeat as those
// of the incarnation that sent it.
func (d *Gate) adoptFlows(born int64) {
	for _, known := range d.flows {
		known.born = born
	}
}

// Depart takes the target's last word.
func (d *Gate) Depart(departure Departure) error {
	if departure.ID != d.target.ID || (departure.Incarnation != 0 && departure.Incarnation != d.target.Incarnation) {
		return Error.New("%w: %s", ErrStale, departure.ID)
	}
	d.target.Draining, d.target.Ended = true, true
	return nil
}

// RecordProbe takes the result of a health probe of a target that has not announced
// itself yet. Until it does it counts as cold.
func (d *Gate) RecordProbe(now model.Instant, id string, healthy bool) {
	if d.target.Known || !healthy {
		return
	}
	d.heard = now
	d.target = Target{Known: true, ID: id, ColdUntil: now.Add(missedHeartbeats * d.config.Heartbeat)}
}

// MarkEnded tells that the target has ended without a word: nobody listens at its
// address. It reports whether that is news.
func (d *Gate) MarkEnded() bool {
	news := d.target.Known && !d.target.Ended
	d.target.Ended = true
	d.complete = true
	return news || len(d.flows) > 0
}

// SilentFor returns how long the target has said nothing.
func (d *Gate) SilentFor(now model.Instant) time.Duration { return now.Sub(d.heard) }

// Ready reports whether the target takes new flows.
func (d *Gate) Ready(now model.Instant) bool { return d.refusal(now) == ReasonNone }

func (d *Gate) refusal(now model.Instant) Reason {
	switch {
	case !d.target.Known:
		return ReasonNoTarget
	case d.target.Draining || d.target.Ended:
		return ReasonLeaving
	case d.doubted, d.SilentFor(now) > missedHeartbeats*d.config.Heartbeat:
		return ReasonNoTarget
	default:
		return ReasonNone
	}
}

// Opening is a new flow that asks for the target.
type Opening struct {
	Key flow.Key
	// Balancer forwarded the opening packet.
	Balancer netip.Addr
	// Packet is the opening packet, which the door keeps while the flow waits.
	Packet []byte
}

// Open decides whether a new flow may reach the target, under the operators'
// state that the agent knows. Flows that may enter now, with others that were
// waiting, are returned by Admit. A copy of an opening packet that was let in
// goes the same way.
func (d *Gate) Open(now model.Instant, state *routing.State, opening Opening) Reason {
	if reason := d.permit(state, opening.Key); reason != ReasonNone {
		return reason
	}
	if reason := d.refusal(now); reason != ReasonNone {
		return reason
	}
	if known := d.flows[opening.Key]; known != nil {
		known.balancer, known.lastIn = opening.Balancer, now
		d.await(now, state, opening)
		return ReasonNone
	}
	service := state.Config.Services[d.config.Service]
	if len(d.flows) >= d.config.MaxFlows || (service != nil && service.MaxFlows > 0 && len(d.flows) >= service.MaxFlows) {
		return ReasonFull
	}
	if d.waiting[opening.Key] == nil && d.room(now, service) <= 0 && len(d.waiting) >= d.waitingLimit(now, service) {
		if d.Cold(now) {
			return ReasonCold
		}
		return ReasonBusy
	}
	d.await(now, state, opening)
	return ReasonNone
}

// permit checks a new flow against what the operators have declared.
func (d *Gate) permit(state *routing.State, key flow.Key) Reason {
	if state == nil || state.Config == nil {
		return ReasonNoState
	}
	route := state.Config.Routes[key.Service]
	switch {
	case route == nil:
		return ReasonNoRoute
	case !route.Allows(d.config.Service):
		return ReasonOtherService
	case state.ZonesOut[d.config.Zone]:
		return ReasonZoneOut
	default:
		return ReasonNone
	}
}

// coldLimit returns the number of new flows that a cold target gets within the
// cold window.
func (d *Gate) coldLimit(service *routing.Service) int {
	rate := 0.0
	if service != nil {
		rate = service.WarmUpRate
	}
	return max(1, int(rate*d.config.ColdFactor+d.config.ColdSlack))
}

func (d *Gate) trimOpened(now model.Instant) {
	first := 0
	for first < len(d.opened) && now.Sub(d.opened[first]) >= coldWindow {
		first++
	}
	d.opened = d.opened[first:]
}
