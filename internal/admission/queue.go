package admission

import (
	"slices"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

// The shares of the queue that the classes may fill, in units of 1/shareTotal.
const (
	shareTotal   = 3
	shareBooking = 2
	shareRead    = 1
)

// intervalSamples is the number of grants over which the grant interval of a busy
// queue is averaged.
const intervalSamples = 16

type queuedRequest struct {
	request Request
	// expires is when the request is refused if it has no slot yet.
	expires model.Instant
}

// queue holds the queued requests, first in, first out within each class.
type queue struct {
	config  Config
	classes [classCount][]queuedRequest
	// bookings counts the bookings granted since the last other request.
	bookings int
	// interval is the average time between two grants while the queue did not become
	// empty, and samples the number of grants it was averaged over, at most
	// intervalSamples.
	interval time.Duration
	samples  int
	// lastPop is the time of the last grant, 0 if the queue was empty since.
	lastPop model.Instant
}

func newQueue(config Config) queue { return queue{config: config} }

func (q *queue) size() int {
	return len(q.classes[ClassRead]) + len(q.classes[ClassBooking])
}

// push queues a request, or returns the reason for which it is refused. The baseline is
// the answer time to expect once the request has a slot.
func (q *queue) push(now model.Instant, request Request, baseline time.Duration) Reason {
	share := shareRead
	if request.Class == ClassBooking {
		share = shareBooking
	}
	if len(q.classes[request.Class]) >= max(1, q.config.QueueLimit*share/shareTotal) {
		return ReasonFull
	}
	expires := now.Add(q.config.MaxWait)
	if request.Deadline != 0 {
		expires = min(expires, request.Deadline.Add(-baseline))
	}
	if expires <= now {
		return ReasonLate
	}
	if now.Add(q.expectedWait(request.Class)) > expires {
		return ReasonFull
	}
	if q.size() == 0 {
		q.lastPop = 0
	}
	q.classes[request.Class] = append(q.classes[request.Class], queuedRequest{request, expires})
	return ReasonNone
}

// expectedWait returns the time after which a new request of a class would get a slot,
// or 0 while too few grants have been measured. With bookingWeight, it counts the queued
// requests of the other class that would get one before it.
func (q *queue) expectedWait(class Class) time.Duration {
	if q.samples < intervalSamples {
		return 0
	}
	own := len(q.classes[class]) + 1
	other := len(q.classes[1-class])
	ahead := own * bookingWeight
	if class == ClassBooking {
		ahead = own / bookingWeight
	}
	return time.Duration(own+min(ahead, other)) * q.interval
}

// pop removes the next request and returns it, or false if the queue is empty.
func (q *queue) pop(now model.Instant) (Request, bool) {
	class, found := q.next()
	if !found {
		return Request{}, false
	}
	request := q.classes[class][0].request
	q.classes[class] = q.classes[class][1:]
	q.recordPop(now)
	return request, true
}

// next returns the class of the next request, or false if the queue is empty.
func (q *queue) next() (Class, bool) {
	reads, bookings := len(q.classes[ClassRead]), len(q.classes[ClassBooking])
	switch {
	case reads == 0 && bookings == 0:
		return 0, false
	case reads == 0:
		return ClassBooking, true
	case bookings == 0 || q.bookings >= bookingWeight:
		q.bookings = 0
		return ClassRead, true
	default:
		q.bookings++
		return ClassBooking, true
	}
}

// recordPop updates the grant interval.
func (q *queue) recordPop(now model.Instant) {
	if q.lastPop != 0 {
		q.samples = min(q.samples+1, intervalSamples)
		q.interval += (now.Sub(q.lastPop) - q.interval) / time.Duration(q.samples)
	}
	q.lastPop = now
	if q.size() == 0 {
		q.lastPop = 0
	}
}

func (q *queue) remove(id ID) {
	for class := range q.classes {
		q.classes[class] = slices.DeleteFunc(q.classes[class], func(queued queuedRequest) bool { return queued.request.ID == id })
	}
}

// expire refuses requests that were queued for too long or can no longer meet their
// deadline.
func (q *queue) expire(now model.Instant, baseline func(Kind) time.Duration) []Decision {
	var decisions []Decision
	for class := range q.classes {
		q.classes[class] = slices.DeleteFunc(q.classes[class], func(queued queuedRequest) bool {
			late := queued.request.Deadline != 0 && now.Add(baseline(queued.request.Kind)) > queued.request.Deadline
			if !late && now < queued.expires {
				return false
			}
			reason := ReasonQueueTimeout
			if late {
				reason = ReasonLate
			}
			decisions = append(decisions, Decision{ID: queued.request.ID, Reason: reason})
			return true
		})
	}
	return decisions
}
