package request

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlink/balsamlink/internal/admission"
	"github.com/balsamlink/balsamlink/internal/model"
)

type admissionEventKind uint8

const (
	eventArrive admissionEventKind = iota
	eventWithdraw
	eventAnswered
	eventFinish
	eventRestart
)

// admissionEvent is a message to the goroutine that owns the admission
// controller.
type admissionEvent struct {
	kind    admissionEventKind
	request admission.Request
	result  admission.Result
	reply   chan admission.Decision
}

// admitter runs an admission.Controller in its own goroutine. The fields before
// controller may be used by any goroutine, the others only by that goroutine.
type admitter struct {
	events    chan admissionEvent
	stop      chan struct{}
	stopped   chan struct{}
	closeOnce sync.Once
	lastID    atomic.Uint64
	load      atomic.Pointer[admission.Load]
	// outages is the highest outage count of the target seen so far.
	outages atomic.Uint64

	controller *admission.Controller
	waiters    map[admission.ID]chan admission.Decision
}

// eventQueueSize is the capacity of the event queue, in events.
const eventQueueSize = 256

func newAdmitter(config admission.Config) *admitter {
	a := &admitter{
		events:     make(chan admissionEvent, eventQueueSize),
		stop:       make(chan struct{}),
		stopped:    make(chan struct{}),
		controller: admission.New(config, model.Now()),
		waiters:    map[admission.ID]chan admission.Decision{},
	}
	a.publish()
	go a.run()
	return a
}

func (a *admitter) close() {
	a.closeOnce.Do(func() { close(a.stop) })
	<-a.stopped
}

func (a *admitter) run() {
	defer close(a.stopped)
	ticker := time.NewTicker(admission.TickInterval)
	defer ticker.Stop()
	for {
		tick := ticker.C
		// A controller without requests needs no ticks.
		if load := a.load.Load(); load.InFlight == 0 && load.Queued == 0 {
			tick = nil
		}
		select {
		case <-a.stop:
			return
		case event := <-a.events:
			a.handle(event)
		case <-tick:
			a.deliver(a.controller.Tick(model.Now()))
		}
		a.publish()
	}
}

// publish makes the controller's current load visible to other goroutines.
func (a *admitter) publish() {
	load := a.controller.Load()
	a.load.Store(&load)
}

func (a *admitter) handle(event admissionEvent) {
	now := model.Now()
	id := event.request.ID
	switch event.kind {
	case eventArrive:
		a.waiters[id] = event.reply
		a.deliver(a.controller.Arrive(now, event.request))
	case eventAnswered:
		a.deliver(a.controller.Answered(now, id))
	case eventFinish:
		a.deliver(a.controller.Finish(now, id, event.result))
	case eventRestart:
		a.deliver(a.controller.Restart(now))
	case eventWithdraw:
		a.withdraw(now, id)
	}
}

// withdraw removes a request whose context has ended while it waited. The request may
// have got its slot in the meantime, which is then released.
func (a *admitter) withdraw(now model.Instant, id admission.ID) {
	if _, waiting := a.waiters[id]; waiting {
		delete(a.waiters, id)
		a.deliver(a.controller.Withdraw(now, id))
		return
	}
	a.deliver(a.controller.Finish(now, id, admission.ResultCancelled))
}

// deliver sends decisions to the requests that wait for them.
func (a *admitter) deliver(decisions []admission.Decision) {
	for _, decision := range decisions {
		if reply := a.waiters[decision.ID]; reply != nil {
			delete(a.waiters, decision.ID)
			reply <- decision
		}
	}
}

// send queues an event and reports false if the admitter has been closed.
func (a *admitter) send(event admissionEvent) bool {
	select {
	case a.events <- event:
		return true
	case <-a.stop:
		return false
	}
}

// recordOutages takes the target's outage count. If it has grown since the last call,
// it restarts the controller, because the target then counts as new.
func (a *admitter) recordOutages(outages uint64) {
	if known := a.outages.Load(); outages > known && a.outages.CompareAndSwap(known, outages) {
		a.send(admissionEvent{kind: eventRestart})
	}
}

// notAdmittedError is the error of a request that got no slot.
type notAdmittedError struct {
	reason admission.Reason
}

// Error implements error.
func (e *notAdmittedError) Error() string { return e.reason.String() }

// slot is the right to send one request to the target. finish must be called
// once, and releases the slot.
type slot struct {
	admitter *admitter
	id       admission.ID
}

// answered records that the target has started a successful response.
func (s slot) answered() {
	s.admitter.send(admissionEvent{kind: eventAnswered, request: admission.Request{ID: s.id}})
}

func (s slot) finish(result admission.Result) {
	s.admitter.send(admissionEvent{kind: eventFinish, request: admission.Request{ID: s.id}, result: result})
}

// acquire waits for a slot, or with noWait returns at once if none is
// available. The error is a *notAdmittedError or the context's.
func (a *admitter) acquire(ctx context.Context, class admission.Class, kind admission.Kind, noWait bool) (slot, error) {
	event := admissionEvent{
		kind: eventArrive,
		request: admission.Request{
			ID: admission.ID(a.lastID.Add(1)), Class: class, Kind: kind,
			Deadline: deadlineOf(ctx), NoWait: noWait,
		},
		reply: make(chan admission.Decision, 1),
	}
	id := event.request.ID
	if !a.send(event) {
		return slot{}, &notAdmittedError{admission.ReasonBusy}
	}
	select {
	case decision := <-event.reply:
		if !decision.Granted {
			return slot{}, &notAdmittedError{decision.Reason}
		}
		return slot{admitter: a, id: id}, nil
	case <-ctx.Done():
		a.send(admissionEvent{kind: eventWithdraw, request: admission.Request{ID: id}})
		return slot{}, ctx.Err()
	case <-a.stop:
		return slot{}, &notAdmittedError{admission.ReasonBusy}
	}
}

// deadlineOf returns the deadline of a context, or 0 if there is none.
func deadlineOf(ctx context.Context) model.Instant {
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		return 0
	}
	return model.Now().Add(time.Until(deadline))
}
