// Package admission decides how many requests a target gets at once, which of the
// queued ones goes next, and which ones are refused. It does no I/O: events and the current
// time go in, decisions come out.
//
// A target is cold while it answers more slowly than usual, as in the time after its
// start. The concurrency limit is one for a target that is new or seems cold. It grows by
// a step after each time window in which it was reached and answer times did not rise,
// drops immediately when the target rejects a request or an answer is suspiciously late,
// and never exceeds the target's slots.
package admission

import (
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

// ID identifies a request within one Controller.
type ID uint64

// Class determines a queued request's share of the slots.
type Class uint8

// The classes.
const (
	// ClassRead requests are idempotent: feeds, files and the like.
	ClassRead Class = 0
	// ClassBooking requests are not idempotent; they get twice the share of others.
	ClassBooking Class = 1

	classCount = 2
)

// bookingWeight is the number of bookings granted for each other request while both
// are queued.
const bookingWeight = 2

// Kind groups requests with similar answer times, from 0 to KindCount-1. Answers are
// compared only with those of the same kind to find out whether they became slower.
type Kind uint8

// KindCount is the maximum number of kinds.
const KindCount = 16

// Request is a request that asks for a slot.
type Request struct {
	ID    ID
	Class Class
	Kind  Kind
	// Deadline is when the caller no longer needs the answer; 0 means never.
	Deadline model.Instant
	// NoWait refuses the request instead of queueing it when no slot is free.
	NoWait bool
}

// Reason is why a request was refused.
type Reason uint8

// The reasons.
const (
	// ReasonNone means that the request was not refused.
	ReasonNone Reason = iota
	// ReasonFull is used when the class has filled its share of the queue, or too many
	// requests are queued for this one to get a slot in time.
	ReasonFull
	// ReasonLate is used when the request can't be answered by its deadline.
	ReasonLate
	// ReasonQueueTimeout is used when the request was queued for too long.
	ReasonQueueTimeout
	// ReasonBusy is used when a request with NoWait found no free slot.
	ReasonBusy
)

// String returns the reason in the form shown to callers.
func (r Reason) String() string {
	switch r {
	case ReasonFull:
		return "too many requests wait"
	case ReasonLate:
		return "the deadline can't be met"
	case ReasonQueueTimeout:
		return "no slot came free in time"
	case ReasonBusy:
		return "no slot is free"
	default:
		return "granted"
	}
}

// Decision is the outcome for a request: it is granted a slot, or refused for a
// reason.
type Decision struct {
	ID      ID
	Granted bool
	Reason  Reason
}

// Result is how a granted request ended.
type Result uint8

// The results.
const (
	// ResultOK requests ended with an answer that shows a healthy target.
	ResultOK Result = iota
	// ResultShed requests were rejected by the target for lack of capacity.
	ResultShed
	// ResultFailed requests were answered with a server error.
	ResultFailed
	// ResultBroken requests lost their connection before the answer was complete.
	ResultBroken
	// ResultRefused requests could not connect: nothing accepts connections.
	ResultRefused
	// ResultCancelled requests were cancelled by their callers.
	ResultCancelled
)

// Config sets the limits of a Controller.
type Config struct {
	// Slots is the number of requests that the target can run at once.
	Slots int
	// QueueLimit is the number of requests that may be queued.
	QueueLimit int
	// MaxWait is how long a request may be queued.
	MaxWait time.Duration
}

// runningRequest is a granted request that has not ended.
type runningRequest struct {
	kind    Kind
	started model.Instant
	// answered is set when the target has started a successful answer.
	answered bool
	// carriedOver is set for answers that were already streaming when the target was
	// marked cold or new. They hold slots but don't count against the limit.
	carriedOver bool
}

// Controller is the admission control of one target. It is not safe for concurrent
// use.
type Controller struct {
	config    Config
	estimator limitEstimator
	queue     queue
	running   map[ID]*runningRequest
	// counted is the number of running requests that are not carried over.
	counted int
	// pausedUntil is when a failed target may get its next request; lastPause is the
	// length of the last pause, 0 after a successful answer.
	pausedUntil model.Instant
	lastPause   time.Duration
	// failures is the number of server errors since the last successful answer.
	failures int
}

// New returns a controller of a target of which nothing is known.
func New(config Config, now model.Instant) *Controller {
	c := &Controller{config: config, running: map[ID]*runningRequest{}}
	c.queue = newQueue(config)
	c.estimator = newLimitEstimator(config.Slots, now)
	return c
}

// Load is a controller's view of its target.
type Load struct {
	InFlight int
	Queued   int
	Limit    int
	Slots    int
	// Cold is set while the target counts as cold: it is new, or its answers became
	// slower.
	Cold bool
}

// Load returns the current counts.
func (c *Controller) Load() Load {
	return Load{
		InFlight: len(c.running),
		Queued:   c.queue.size(),
		Limit:    c.estimator.limit,
		Slots:    c.config.Slots,
		Cold:     c.estimator.cold(),
	}
}

// Arrive requests a slot for a new request. Like the other methods, it returns the
// decisions made now, also on other queued requests.
func (c *Controller) Arrive(now model.Instant, request Request) []Decision {
	request.Kind %= KindCount
	if c.queue.size() == 0 && c.hasCapacity(now) {
		if c.missesDeadline(now, request) {
			return []Decision{{ID: request.ID, Reason: ReasonLate}}
		}
		return []Decision{c.grant(now, request)}
	}
	if request.NoWait {
		return []Decision{{ID: request.ID, Reason: ReasonBusy}}
	}
	if reason := c.queue.push(now, request, c.estimator.baseline(request.Kind)); reason != ReasonNone {
		return []Decision{{ID: request.ID, Reason: reason}}
	}
	return c.advance(now)
}

// missesDeadline reports whether a request can't be answered by its deadline. An idle
// target gets the request while any time is left, because the baseline may be out of
// date.
func (c *Controller) missesDeadline(now model.Instant, request Request) bool {
	if request.Deadline == 0 {
		return false
	}
	if c.counted == 0 {
		return now >= request.Deadline
	}
	return now.Add(c.estimator.baseline(request.Kind)) > request.Deadline
}

// Answered records that the target started a successful answer to a granted request.
func (c *Controller) Answered(now model.Instant, id ID) []Decision {
	r := c.running[id]
	if r == nil || r.answered {
		return nil
	}
	r.answered = true
	c.failures = 0
	c.lastPause = 0
	if c.estimator.recordSample(now, r.kind, now.Sub(r.started)) {
		c.treatAsCold(now)
	}
	return c.advance(now)
}

// Finish records that a granted request has ended and its slot is free.
func (c *Controller) Finish(now model.Instant, id ID, result Result) []Decision {
	r := c.running[id]
	if r == nil {
		return nil
	}
	delete(c.running, id)
	if !r.carriedOver {
		c.counted--
	}
	switch result {
	case ResultShed:
		c.shed(now)
	case ResultFailed:
		c.failed(now)
	case ResultBroken:
		c.treatAsCold(now)
	case ResultRefused:
		c.resetAndPause(now)
	}
	return c.advance(now)
}

// Restart records that the target was absent for a while, so that it counts as new.
func (c *Controller) Restart(now model.Instant) []Decision {
	c.resetLimit(now)
	return c.advance(now)
}

// Withdraw removes a queued request.
func (c *Controller) Withdraw(now model.Instant, id ID) []Decision {
	c.queue.remove(id)
	return c.advance(now)
}

// Tick processes the passing of time. It must be called at least every TickInterval
// while requests are running or queued.
func (c *Controller) Tick(now model.Instant) []Decision {
	if c.overdue(now) {
		c.treatAsCold(now)
	}
	return c.advance(now)
}

// TickInterval is the maximum time between two calls of Tick.
const TickInterval = 10 * time.Millisecond

// hasCapacity reports whether a request may be granted a slot now.
func (c *Controller) hasCapacity(now model.Instant) bool {
	return now >= c.pausedUntil && c.counted < c.estimator.limit && len(c.running) < c.config.Slots
}

func (c *Controller) grant(now model.Instant, request Request) Decision {
	c.running[request.ID] = &runningRequest{kind: request.Kind, started: now}
	c.counted++
	c.estimator.recordUse(c.counted)
	return Decision{ID: request.ID, Granted: true}
}

// advance ends windows that are due and grants slots to queued requests.
func (c *Controller) advance(now model.Instant) []Decision {
	c.estimator.advance(now, c.counted, c.streaming())
	decisions := c.queue.expire(now, c.estimator.baseline)
	for c.hasCapacity(now) {
		request, found := c.queue.pop(now)
		if !found {
			break
		}
		decisions = append(decisions, c.grant(now, request))
	}
	return decisions
}

// streaming reports whether streaming answers alone exhaust the limit, so that no
// further requests are granted whose answer times could be sampled.
func (c *Controller) streaming() bool {
	if c.counted < c.estimator.limit {
		return false
	}
	for _, r := range c.running {
		if !r.carriedOver && !r.answered {
			return false
		}
	}
	return true
}

// overdue reports whether an answer is so late that the target may be cold.
func (c *Controller) overdue(now model.Instant) bool {
	for _, r := range c.running {
		if !r.answered && c.estimator.suspicious(r.kind, now.Sub(r.started)) {
			return true
		}
	}
	return false
}

// treatAsCold marks the target as cold: it gets one request at a time in addition to
// the streams carried over.
func (c *Controller) treatAsCold(now model.Instant) {
	c.estimator.suspectCold(now)
	c.carryOver()
}

// carryOver stops counting streaming answers against the limit.
func (c *Controller) carryOver() {
	for _, r := range c.running {
		if r.answered && !r.carriedOver {
			r.carriedOver = true
			c.counted--
		}
	}
}

const (
	// minPause is the first pause after a failure. Each further one is twice as long, up
	// to maxPause.
	minPause = 100 * time.Millisecond
	maxPause = time.Second
	// failuresForCold is the number of server errors, without a successful answer in
	// between, after which a target counts as cold.
	failuresForCold = 3
)

// shed handles a rejection by the target: the limit is halved, and if it was one already,
// grants are paused.
func (c *Controller) shed(now model.Instant) {
	if c.estimator.limit == 1 {
		c.pauseGrants(now)
	}
	c.estimator.halve(now)
}

// failed counts a server error, and marks the target as cold after failuresForCold.
func (c *Controller) failed(now model.Instant) {
	c.failures++
	if c.failures >= failuresForCold {
		c.treatAsCold(now)
		c.pauseGrants(now)
	}
}

// resetAndPause treats the target as new and pauses requests to it.
func (c *Controller) resetAndPause(now model.Instant) {
	c.resetLimit(now)
	c.pauseGrants(now)
}

// resetLimit discards everything that is known of the target's answer times.
func (c *Controller) resetLimit(now model.Instant) {
	c.estimator = newLimitEstimator(c.config.Slots, now)
	c.carryOver()
}

// pauseGrants starts a pause, unless one is running.
func (c *Controller) pauseGrants(now model.Instant) {
	if now < c.pausedUntil {
		return
	}
	c.lastPause = min(max(2*c.lastPause, minPause), maxPause)
	c.pausedUntil = now.Add(c.lastPause)
}
