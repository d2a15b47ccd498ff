package targetgate

import (
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/routing"
)

const (
	// patience is how long an opening packet may wait. The client gives the flow up
	// 1.4 s after the first copy, and its consent needs some of that.
	patience = 1300 * time.Millisecond
	// busyFactor times the slots is the number of requests at which the target
	// gets no further flows: a request then waits for about one other.
	busyFactor = 2
	// waitingFactor times the slots is how many flows may wait for a warm target.
	// Requests of 60 ms let about 20 a slot in before their clients give up; half of
	// that is kept for requests on flows that are open.
	waitingFactor = 10
	// unknownSlots stands in for the slots of a target that has not told them.
	unknownSlots = 4
)

// waiter is a flow that waits for the target.
type waiter struct {
	opening  Opening
	since    model.Instant
	priority int
	// open tells that the flow was let in before and this is a copy.
	open bool
}

// await lets a flow wait. Of several copies the last is kept.
func (d *Gate) await(now model.Instant, state *routing.State, opening Opening) {
	since := now
	if before := d.waiting[opening.Key]; before != nil {
		since = before.since
	}
	route := state.Config.Routes[opening.Key.Service]
	d.waiting[opening.Key] = &waiter{
		opening: opening, since: since, priority: route.Priority, open: d.flows[opening.Key] != nil,
	}
}

// Admit removes and returns the flows that may enter now. It also forgets those
// whose clients have given up.
//
// It answers loads that exceed what the target bears for a while: all flows come
// at once after an outage, or the target is cold. More important flows go first,
// and of these the one that came last: it can still be served in time, while the
// oldest are about to be given up by their clients.
func (d *Gate) Admit(now model.Instant, state *routing.State) []Opening {
	if len(d.waiting) == 0 {
		return nil
	}
	var service *routing.Service
	if state != nil && state.Config != nil {
		service = state.Config.Services[d.config.Service]
	}
	var admitted []Opening
	for key, waiting := range d.waiting {
		refused := d.refusal(now) != ReasonNone || d.permit(state, key) != ReasonNone
		if now.Sub(waiting.since) > patience || refused {
			delete(d.waiting, key)
		} else if waiting.open {
			delete(d.waiting, key)
			admitted = append(admitted, waiting.opening)
		}
	}
	for d.room(now, service) > 0 {
		next := d.first()
		if next == nil {
			break
		}
		delete(d.waiting, next.opening.Key)
		d.enter(now, next.opening)
		admitted = append(admitted, next.opening)
	}
	return admitted
}

// first returns the flow that goes next.
func (d *Gate) first() *waiter {
	var best *waiter
	for _, waiting := range d.waiting {
		if best == nil || waiting.priority < best.priority || (waiting.priority == best.priority && waiting.since > best.since) {
			best = waiting
		}
	}
	return best
}

func (d *Gate) enter(now model.Instant, opening Opening) {
	d.trimOpened(now)
	d.opened = append(d.opened, now)
	entered := &entry{balancer: opening.Balancer, lastIn: now, born: d.target.Incarnation, fresh: true}
	d.flows[opening.Key] = entered
	d.fresh++
	d.entered = append(d.entered, entering{flow: entered, at: now})
}

// entering is a flow that was let in.
type entering struct {
	flow *entry
	at   model.Instant
}

// settleFresh stops waiting for the first requests of flows that were let in too
// long ago.
func (d *Gate) settleFresh(now model.Instant) {
	for len(d.entered) > 0 && now.Sub(d.entered[0].at) > freshTime {
		d.spend(d.entered[0].flow)
		d.entered = d.entered[1:]
	}
}

// room returns how many flows may enter now.
func (d *Gate) room(now model.Instant, service *routing.Service) int {
	d.settleFresh(now)
	room := busyFactor*d.slots() - d.busy - d.fresh
	if d.Cold(now) {
		d.trimOpened(now)
		room = min(room, d.coldLimit(service)-len(d.opened))
	}
	return max(0, room)
}

func (d *Gate) slots() int {
	if d.target.Slots == 0 {
		return unknownSlots
	}
	return d.target.Slots
}

// waitingLimit returns how many flows may wait, so that each is likely let in
// before its client gives up.
func (d *Gate) waitingLimit(now model.Instant, service *routing.Service) int {
	if d.target.ColdUntil.Sub(now) > patience {
		return d.coldLimit(service)
	}
	return waitingFactor * d.slots()
}

// Capacity returns how many more flows the door would take now, and how many of these
// need not wait.
func (d *Gate) Capacity(now model.Instant, state *routing.State) (room, free int) {
	if d.refusal(now) != ReasonNone || state == nil || state.Config == nil {
		return 0, 0
	}
	service := state.Config.Services[d.config.Service]
	entering, waiting := d.room(now, service), len(d.waiting)
	return max(0, entering+d.waitingLimit(now, service)-waiting), max(0, entering-waiting)
}

// AdmissionState is what decides on a new flow.
type AdmissionState struct {
	Slots int
	// InFlight is the number of flows on which an answer is owed, Fresh that of flows
	// whose first request is still to come.
	InFlight        int
	AwaitingRequest int
	Waiting         int
	// RecentlyOpened is the number of new flows within the last cold window.
	RecentlyOpened int
	Cold           bool
}

// AdmissionState returns what decides on a new flow now.
func (d *Gate) AdmissionState(now model.Instant) AdmissionState {
	return AdmissionState{
		Slots: d.slots(), InFlight: d.busy, AwaitingRequest: d.fresh, Waiting: len(d.waiting), RecentlyOpened: len(d.opened), Cold: d.Cold(now),
	}
}
