package targetgate

import (
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/routing"
)

const (
	// maxQueueTime is how long after the first copy of its opening packet a flow may be
	// queued. The client gives up after 1.4 s, and the target's SYN-ACK needs part of that.
	maxQueueTime = 1300 * time.Millisecond
	// inFlightFactor times the slots is the number of flows with a request outstanding
	// or awaited at which the target gets no further flows: a request then waits for
	// about one other.
	inFlightFactor = 2
	// defaultSlots is assumed for a target that has not reported its number of slots.
	defaultSlots = 4
)

// queuedFlow is a flow that is queued for the target.
type queuedFlow struct {
	opening Opening
	// sentAt is when the client sent the first copy of the opening packet.
	sentAt model.Instant
	// priority is the priority of the flow's route, 0 being the highest.
	priority int
	// admitted is set when the flow was admitted before, so that this is a
	// retransmission of its opening packet.
	admitted bool
}

// enqueue queues a flow. Of several copies of its opening packet the last one is kept.
func (g *Gate) enqueue(now model.Instant, state *routing.State, opening Opening) {
	sentAt := now.Add(-opening.Age)
	if earlier := g.queued[opening.Key]; earlier != nil {
		sentAt = min(sentAt, earlier.sentAt)
	}
	route := state.Config.Routes[opening.Key.Service]
	g.queued[opening.Key] = &queuedFlow{
		opening: opening, sentAt: sentAt, priority: route.Priority, admitted: g.flows[opening.Key] != nil,
	}
}

// Admit removes and returns the queued flows that may proceed now. It also drops those
// whose clients have given up, and those that Open would refuse by now.
//
// The queue is for times at which the load exceeds the target's capacity for a short
// while: all flows arrive at once after an outage, or the target is cold. Flows of higher
// priority go first, and among flows of the same priority the newest: it can still be
// served in time, while the clients of the oldest are about to give up.
func (g *Gate) Admit(now model.Instant, state *routing.State) []Opening {
	if len(g.queued) == 0 {
		return nil
	}
	var service *routing.Service
	if state != nil && state.Config != nil {
		service = state.Config.Services[g.config.Service]
	}
	var admitted []Opening
	for key, queued := range g.queued {
		refused := (g.refusal(now) != ReasonNone && !g.accepted(g.flows[key])) || g.checkPolicy(state, key) != ReasonNone
		if now.Sub(queued.sentAt) > maxQueueTime || refused {
			delete(g.queued, key)
		} else if queued.admitted {
			delete(g.queued, key)
			admitted = append(admitted, queued.opening)
		}
	}
	for g.immediateCapacity(now, service) > 0 {
		next := g.nextQueued()
		if next == nil {
			break
		}
		delete(g.queued, next.opening.Key)
		g.admitFlow(now, next.opening)
		admitted = append(admitted, next.opening)
	}
	return admitted
}

// nextQueued returns the flow to admit next, or nil when none is queued.
func (g *Gate) nextQueued() *queuedFlow {
	var best *queuedFlow
	for _, queued := range g.queued {
		if best == nil || queued.priority < best.priority || (queued.priority == best.priority && queued.sentAt > best.sentAt) {
			best = queued
		}
	}
	return best
}

// admitFlow adds a new flow to the table as awaiting its first request.
func (g *Gate) admitFlow(now model.Instant, opening Opening) {
	g.trimRecentOpens(now)
	g.recentOpens = append(g.recentOpens, now)
	admitted := &entry{balancer: opening.Balancer, lastFromClient: now, openedAt: now, incarnation: g.target.Incarnation, awaitingRequest: true}
	g.flows[opening.Key] = admitted
	g.awaitingRequest++
	g.recentlyAdmitted = append(g.recentlyAdmitted, admittedFlow{entry: admitted, admittedAt: now})
}

// admittedFlow is a flow and when it was admitted.
type admittedFlow struct {
	entry      *entry
	admittedAt model.Instant
}

// expireAwaiting stops awaiting the first requests of flows admitted more than
// firstRequestTimeout ago.
func (g *Gate) expireAwaiting(now model.Instant) {
	for len(g.recentlyAdmitted) > 0 && now.Sub(g.recentlyAdmitted[0].admittedAt) > firstRequestTimeout {
		g.clearAwaiting(g.recentlyAdmitted[0].entry)
		g.recentlyAdmitted = g.recentlyAdmitted[1:]
	}
}

// immediateCapacity returns how many flows may be admitted now.
func (g *Gate) immediateCapacity(now model.Instant, service *routing.Service) int {
	g.expireAwaiting(now)
	used := g.inFlight + g.awaitingRequest
	capacity := inFlightFactor*g.slots() - used
	if g.Cold(now) {
		g.trimRecentOpens(now)
		limit, stated := g.coldLimit(service)
		switch {
		case stated && now < g.earlierOpensUntil:
			// An earlier agent may have used the whole limit.
			capacity = 0
		case stated:
			capacity = min(capacity, limit-len(g.recentOpens))
		default:
			capacity = min(capacity, g.ramp.limit(now, g.inFlight, g.pace.estimate())-used)
		}
	}
	return max(0, capacity)
}

func (g *Gate) slots() int {
	if g.target.Slots == 0 {
		return defaultSlots
	}
	return g.target.Slots
}

// queueLimit returns how many flows may be queued so that each is likely admitted
// before its client gives up. A flow that arrives now can wait for maxQueueTime. While
// the target is cold and its warm-up rate is stated, it admits coldLimit flows in about
// that time, and from then on as many as it serves.
func (g *Gate) queueLimit(now model.Instant, service *routing.Service) int {
	whileCold, cold := 0, time.Duration(0)
	if limit, stated := g.coldLimit(service); stated && g.Cold(now) {
		whileCold, cold = limit, g.target.ColdUntil.Sub(now)
	}
	return whileCold + g.pace.servedWithin(maxQueueTime-cold, g.slots())
}

// Capacity returns how many more flows the gate would accept now, and how many of
// these it would not queue.
func (g *Gate) Capacity(now model.Instant, state *routing.State) (capacity, immediate int) {
	if g.refusal(now) != ReasonNone || state == nil || state.Config == nil {
		return 0, 0
	}
	service := state.Config.Services[g.config.Service]
	admissible, queued := g.immediateCapacity(now, service), len(g.queued)
	return max(0, admissible+g.queueLimit(now, service)-queued), max(0, admissible-queued)
}

// AdmissionState holds the figures by which new flows are admitted, queued or refused.
type AdmissionState struct {
	Slots int
	// InFlight is the number of flows with a request outstanding, AwaitingRequest the
	// number of flows awaiting their first request, and Queued the number of queued
	// flows.
	InFlight        int
	AwaitingRequest int
	Queued          int
	// RecentlyOpened is the number of new flows within coldWindow. It is updated when a
	// flow is admitted, and for a cold target also when its capacity is computed.
	RecentlyOpened int
	Cold           bool
}

// AdmissionState returns the current figures.
func (g *Gate) AdmissionState(now model.Instant) AdmissionState {
	return AdmissionState{
		Slots: g.slots(), InFlight: g.inFlight, AwaitingRequest: g.awaitingRequest, Queued: len(g.queued), RecentlyOpened: len(g.recentOpens), Cold: g.Cold(now),
	}
}
