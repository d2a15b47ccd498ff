// Package admission decides how many requests a target gets at once, which of
// the waiting ones goes next, and which are refused. It is pure: events and the
// time go in, effects come out.
//
// The limit starts at one when the target is new or has turned cold, grows one
// step after each window in which the target did well, falls at once, and never
// passes the target's slots.
package admission

import (
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

// ID names a request within one Controller.
type ID uint64

// Class tells how much a waiting request weighs.
type Class uint8

// The classes.
const (
	// ClassRead requests are idempotent: feeds, files and the like.
	ClassRead Class = 0
	// ClassBooking requests are not; they weigh double.
	ClassBooking Class = 1

	classCount = 2
)

// bookingWeight is the number of bookings that go for each other request while
// both wait.
const bookingWeight = 2

// Kind groups requests that take about the same time.
type Kind uint8

// KindCount is the number of kinds.
const KindCount = 16

// Request is a request that asks for a slot.
type Request struct {
	ID    ID
	Class Class
	Kind  Kind
	// Deadline is when the answer is no longer wanted; 0 means never.
	Deadline model.Instant
	// NoWait refuses the request rather than letting it wait.
	NoWait bool
}

// Reason tells why a request was refused.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonFull tells that too many requests wait.
	ReasonFull
	// ReasonLate tells that the request can't be answered by its deadline.
	ReasonLate
	// ReasonQueueTimeout tells that the request waited for too long.
	ReasonQueueTimeout
	// ReasonBusy tells that a request that must not wait found no slot.
	ReasonBusy
)

// String returns the reason as callers see it.
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

// Decision tells what becomes of a request: a slot, or a refusal with its reason.
type Decision struct {
	ID      ID
	Granted bool
	Reason  Reason
}

// Result tells how a granted request ended.
type Result uint8

// The results.
const (
	// ResultOK ended with an answer that shows that the target is well.
	ResultOK Result = iota
	// ResultShed was refused by the target for want of room.
	ResultShed
	// ResultFailed was answered with a server error.
	ResultFailed
	// ResultBroken found the connection broken before the answer was whole.
	ResultBroken
	// ResultRefused found that nobody accepts connections.
	ResultRefused
	// ResultCancelled was given up by its caller.
	ResultCancelled
)

// Config bounds a Controller.
type Config struct {
	// Slots is the number of requests that the target can run at once.
	Slots int
	// QueueLimit is the number of requests that may wait.
	QueueLimit int
	// MaxWait is how long a request may wait.
	MaxWait time.Duration
}

type running struct {
	kind     Kind
	started  model.Instant
	answered bool
	// carried requests stream on from before the target turned cold. They hold
	// slots but don't count against the limit.
	carried bool
}

// Controller is the admission of one target. It is not safe for concurrent use.
type Controller struct {
	config  Config
	learner learner
	queue   queue
	running map[ID]*running
	// counted is the number of running requests that are not carried.
	counted int
	// pausedUntil is when the next request may go to a target that failed.
	pausedUntil model.Instant
	pause       time.Duration
	failures    int
}

// New makes a controller of a target of which nothing is known.
func New(config Config, now model.Instant) *Controller {
	c := &Controller{config: config, running: map[ID]*running{}}
	c.queue = newQueue(config)
	c.learner = newLearner(config.Slots, now)
	return c
}

// Load is what a controller knows of its target.
type Load struct {
	InFlight int
	Queued   int
	Limit    int
	Slots    int
	// Cold tells that the target is new or has turned cold.
	Cold bool
}

// Load returns the current counts.
func (c *Controller) Load() Load {
	return Load{
		InFlight: len(c.running),
		Queued:   c.queue.size(),
		Limit:    c.learner.limit,
		Slots:    c.config.Slots,
		Cold:     c.learner.cold(),
	}
}

// Arrive asks for a slot for a new request.
func (c *Controller) Arrive(now model.Instant, request Request) []Decision {
	request.Kind %= KindCount
	if c.queue.size() == 0 && c.room(now) {
		if c.late(now, request) {
			return []Decision{{ID: request.ID, Reason: ReasonLate}}
		}
		return []Decision{c.grant(now, request)}
	}
	if request.NoWait {
		return []Decision{{ID: request.ID, Reason: ReasonBusy}}
	}
	if reason := c.queue.push(now, request, c.learner.usual(request.Kind)); reason != ReasonNone {
		return []Decision{{ID: request.ID, Reason: reason}}
	}
	return c.advance(now)
}

// late reports whether a request can't be answered by its deadline. A target
// that runs nothing gets it while there is any time left, since its usual answer
// time may be an old one.
func (c *Controller) late(now model.Instant, request Request) bool {
	if request.Deadline == 0 {
		return false
	}
	if c.counted == 0 {
		return now >= request.Deadline
	}
	return now.Add(c.learner.usual(request.Kind)) > request.Deadline
}

// Answered tells that the target began to answer a granted request well.
func (c *Controller) Answered(now model.Instant, id ID) []Decision {
	r := c.running[id]
	if r == nil || r.answered {
		return nil
	}
	r.answered = true
	c.failures = 0
	c.pause = 0
	if c.learner.sample(now, r.kind, now.Sub(r.started)) {
		c.chill(now)
	}
	return c.advance(now)
}

// Finish tells that a granted request has ended and its slot is free.
func (c *Controller) Finish(now model.Instant, id ID, result Result) []Decision {
	r := c.running[id]
	if r == nil {
		return nil
	}
	delete(c.running, id)
	if !r.carried {
		c.counted--
	}
	switch result {
	case ResultShed:
		c.shed(now)
	case ResultFailed:
		c.failed(now)
	case ResultBroken:
		c.chill(now)
	case ResultRefused:
		c.restart(now)
	}
	return c.advance(now)
}

// Restart tells that the target was absent, so that it is a new one.
func (c *Controller) Restart(now model.Instant) []Decision {
	c.forget(now)
	return c.advance(now)
}

// Withdraw removes a request that waits no longer.
func (c *Controller) Withdraw(now model.Instant, id ID) []Decision {
	c.queue.remove(id)
	return c.advance(now)
}

// Tick lets time pass. It is called at least every TickInterval while requests
// run or wait.
func (c *Controller) Tick(now model.Instant) []Decision {
	if c.overdue(now) {
		c.chill(now)
	}
	return c.advance(now)
}

// TickInterval is the longest time between two ticks.
const TickInterval = 10 * time.Millisecond

func (c *Controller) room(now model.Instant) bool {
	return now >= c.pausedUntil && c.counted < c.learner.limit && len(c.running) < c.config.Slots
}

func (c *Controller) grant(now model.Instant, request Request) Decision {
	c.running[request.ID] = &running{kind: request.Kind, started: now}
	c.counted++
	c.learner.use(c.counted)
	return Decision{ID: request.ID, Granted: true}
}

// advance moves the window on and grants what there is room for.
func (c *Controller) advance(now model.Instant) []Decision {
	c.learner.advance(now, c.counted, c.streaming())
	effects := c.queue.expire(now, c.learner.usual)
	for c.room(now) {
		request, waiting := c.queue.pop(now)
		if !waiting {
			break
		}
		effects = append(effects, c.grant(now, request))
	}
	return effects
}

// streaming reports whether the limit is taken up by streams alone, so that no
// further samples can come.
func (c *Controller) streaming() bool {
	if c.counted < c.learner.limit {
		return false
	}
	for _, r := range c.running {
		if !r.carried && !r.answered {
			return false
		}
	}
	return true
}

// overdue reports whether a request has waited suspiciously long for its answer.
func (c *Controller) overdue(now model.Instant) bool {
	for _, r := range c.running {
		if !r.answered && c.learner.suspicious(r.kind, now.Sub(r.started)) {
			return true
		}
	}
	return false
}

// chill treats the target as cold: it gets one request at a time besides the
// streams that it carries.
func (c *Controller) chill(now model.Instant) {
	c.learner.chill(now)
	c.carry()
}

func (c *Controller) carry() {
	for _, r := range c.running {
		if r.answered && !r.carried {
			r.carried = true
			c.counted--
		}
	}
}

// The pause after failures doubles from the first to the longest.
const (
	firstPause   = 100 * time.Millisecond
	longestPause = time.Second
	// failuresForChill is the number of server errors in a row, with no good
	// answer between, that make a target count as cold.
	failuresForChill = 3
)

func (c *Controller) shed(now model.Instant) {
	if c.learner.limit == 1 {
		c.hold(now)
	}
	c.learner.halve(now)
}

func (c *Controller) failed(now model.Instant) {
	c.failures++
	if c.failures >= failuresForChill {
		c.chill(now)
		c.hold(now)
	}
}

// restart treats the target as new and leaves it alone for a while.
func (c *Controller) restart(now model.Instant) {
	c.forget(now)
	c.hold(now)
}

func (c *Controller) forget(now model.Instant) {
	c.learner = newLearner(c.config.Slots, now)
	c.carry()
}

func (c *Controller) hold(now model.Instant) {
	if now < c.pausedUntil {
		return
	}
	c.pause = min(max(2*c.pause, firstPause), longestPause)
	c.pausedUntil = now.Add(c.pause)
}
