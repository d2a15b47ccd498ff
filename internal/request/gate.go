package request

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlink/balsamlink/internal/admission"
	"github.com/balsamlink/balsamlink/internal/model"
)

type gateEventKind uint8

const (
	gateArrive gateEventKind = iota
	gateWithdraw
	gateAnswered
	gateFinish
	gateRestart
)

// gateEvent is one message to the goroutine that owns the admission.
type gateEvent struct {
	kind    gateEventKind
	request admission.Request
	result  admission.Result
	reply   chan admission.Decision
}

// gate runs an admission.Controller in a goroutine of its own.
type gate struct {
	events chan gateEvent
	done   chan struct{}
	ended  chan struct{}
	once   sync.Once
	nextID atomic.Uint64
	load   atomic.Pointer[admission.Load]
	// absences is the number of the target's absences that are known.
	absences atomic.Uint64

	controller *admission.Controller
	waiters    map[admission.ID]chan admission.Decision
}

// gateBacklog is the number of events that may wait for the gate's goroutine.
const gateBacklog = 256

func newGate(config admission.Config) *gate {
	g := &gate{
		events:     make(chan gateEvent, gateBacklog),
		done:       make(chan struct{}),
		ended:      make(chan struct{}),
		controller: admission.New(config, model.Now()),
		waiters:    map[admission.ID]chan admission.Decision{},
	}
	g.publish()
	go g.run()
	return g
}

func (g *gate) close() {
	g.once.Do(func() { close(g.done) })
	<-g.ended
}

func (g *gate) run() {
	defer close(g.ended)
	ticker := time.NewTicker(admission.TickInterval)
	defer ticker.Stop()
	for {
		tick := ticker.C
		if load := g.load.Load(); load.InFlight == 0 && load.Queued == 0 {
			tick = nil
		}
		select {
		case <-g.done:
			return
		case event := <-g.events:
			g.handle(event)
		case <-tick:
			g.tell(g.controller.Tick(model.Now()))
		}
		g.publish()
	}
}

func (g *gate) publish() {
	load := g.controller.Load()
	g.load.Store(&load)
}

func (g *gate) handle(event gateEvent) {
	now := model.Now()
	id := event.request.ID
	switch event.kind {
	case gateArrive:
		g.waiters[id] = event.reply
		g.tell(g.controller.Arrive(now, event.request))
	case gateAnswered:
		g.tell(g.controller.Answered(now, id))
	case gateFinish:
		g.tell(g.controller.Finish(now, id, event.result))
	case gateRestart:
		g.tell(g.controller.Restart(now))
	case gateWithdraw:
		g.withdraw(now, id)
	}
}

// withdraw removes a request whose caller has gone. It may have got its slot
// meanwhile.
func (g *gate) withdraw(now model.Instant, id admission.ID) {
	if _, waits := g.waiters[id]; waits {
		delete(g.waiters, id)
		g.tell(g.controller.Withdraw(now, id))
		return
	}
	g.tell(g.controller.Finish(now, id, admission.ResultCancelled))
}

func (g *gate) tell(effects []admission.Decision) {
	for _, effect := range effects {
		if reply := g.waiters[effect.ID]; reply != nil {
			delete(g.waiters, effect.ID)
			reply <- effect
		}
	}
}

func (g *gate) send(event gateEvent) bool {
	select {
	case g.events <- event:
		return true
	case <-g.done:
		return false
	}
}

// noteAbsences treats the target as new when it was absent since.
func (g *gate) noteAbsences(absences uint64) {
	if known := g.absences.Load(); absences > known && g.absences.CompareAndSwap(known, absences) {
		g.send(gateEvent{kind: gateRestart})
	}
}

// notAdmitted is the error of a request that got no slot.
type notAdmitted struct {
	reason admission.Reason
}

// Error implements error.
func (e *notAdmitted) Error() string { return e.reason.String() }

// slot is the right to offer one request to the target. Finish is called once.
type slot struct {
	gate *gate
	id   admission.ID
}

func (s slot) answered() {
	s.gate.send(gateEvent{kind: gateAnswered, request: admission.Request{ID: s.id}})
}

func (s slot) finish(result admission.Result) {
	s.gate.send(gateEvent{kind: gateFinish, request: admission.Request{ID: s.id}, result: result})
}

// enter waits for a slot. The error is a *notAdmitted or the context's.
func (g *gate) enter(ctx context.Context, class admission.Class, kind admission.Kind, noWait bool) (slot, error) {
	event := gateEvent{
		kind: gateArrive,
		request: admission.Request{
			ID: admission.ID(g.nextID.Add(1)), Class: class, Kind: kind,
			Deadline: deadlineOf(ctx), NoWait: noWait,
		},
		reply: make(chan admission.Decision, 1),
	}
	id := event.request.ID
	if !g.send(event) {
		return slot{}, &notAdmitted{admission.ReasonBusy}
	}
	select {
	case effect := <-event.reply:
		if !effect.Granted {
			return slot{}, &notAdmitted{effect.Reason}
		}
		return slot{gate: g, id: id}, nil
	case <-ctx.Done():
		g.send(gateEvent{kind: gateWithdraw, request: admission.Request{ID: id}})
		return slot{}, ctx.Err()
	case <-g.done:
		return slot{}, &notAdmitted{admission.ReasonBusy}
	}
}

func deadlineOf(ctx context.Context) model.Instant {
	deadline, limited := ctx.Deadline()
	if !limited {
		return 0
	}
	return model.Now().Add(time.Until(deadline))
}
