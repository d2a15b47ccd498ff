// Package request is what an agent does with each HTTP request: it finds the
// customer, asks for the allowance, claims the idempotency key, waits for a slot
// of the target, relays the request and its answer, and records the outcome.
package request

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/admission"
	"github.com/balsamlink/balsamlink/internal/credential"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/target"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("request")

// Allowance decides whether a customer's plan bears one more request.
type Allowance interface {
	// Acquire returns a permit, or an error that may be a RetryAfterError.
	Acquire(ctx context.Context, customer model.Customer, service model.Service) (Permit, error)
}

// Permit is the right to one request. Exactly one method is called, once.
type Permit interface {
	// Served tells that the request was answered and is to be billed.
	Served()
	// Unserved gives the permit back.
	Unserved()
}

// RetryAfterError is a refusal that says when to come again.
type RetryAfterError interface {
	error
	RetryAfter() time.Duration
}

// Peers are the other agents of the service.
type Peers interface {
	// Pick returns an agent that seems to have room and isn't among the tried.
	Pick(tried []model.NodeID) (Peer, bool)
}

// Peer is another agent of the service.
type Peer interface {
	Node() model.NodeID
	// HandOver hands a request over. Its errors wrap *offer.Failure; one that is
	// not Sent tells that the peer refused before it offered the request.
	HandOver(ctx context.Context, request *http.Request) (*http.Response, error)
}

// Config holds the parts of a Handler.
type Config struct {
	Service model.Service
	Target  target.Target
	// Credential finds the customer; nil means that callers need none.
	Credential credential.Checker
	// Allowance meters the customers; nil means that there are no limits. It
	// is used only together with Credential.
	Allowance Allowance
	// Claims keeps idempotency keys; nil means that keys are not looked at.
	Claims Claims
	// Peers take requests that the own target has no room for; nil means none.
	Peers Peers
	// MaxWait is how long a request may wait for a slot; 0 means one second.
	MaxWait time.Duration
	Log     *logrus.Entry
}

// Load is what an agent knows exactly of its own target.
type Load struct {
	// InFlight is the number of requests that hold a slot.
	InFlight int
	// Queued is the number of requests that wait for a slot.
	Queued int
	// Limit is the number of requests that may be in flight now.
	Limit int
	// Slots is the number of slots of the target.
	Slots int
	// Cold tells that the target is new or has turned cold.
	Cold bool
	// Draining tells that the agent or its target takes no new work.
	Draining bool
}

const (
	defaultMaxWait = time.Second
	// queuePerSlot is the number of requests that may wait for each slot.
	queuePerSlot = 16
)

// Handler serves the requests of callers. It implements http.Handler.
type Handler struct {
	config Config
	gate   *gate
	budget *budget

	mu       sync.Mutex
	open     int
	draining bool
	idle     chan struct{}
	idleOnce sync.Once
}

// New makes a handler that takes work at once. Close frees it.
func New(config Config) *Handler {
	if config.MaxWait == 0 {
		config.MaxWait = defaultMaxWait
	}
	slots := config.Target.Slots()
	return &Handler{
		config: config,
		gate:   newGate(admission.Config{Slots: slots, QueueLimit: queuePerSlot * slots, MaxWait: config.MaxWait}),
		budget: newBudget(),
		idle:   make(chan struct{}),
	}
}

// Drain gives the own target no new work and returns when the open requests
// have ended or the context has. New requests are handed to other agents or
// refused.
func (h *Handler) Drain(ctx context.Context) error {
	h.mu.Lock()
	h.draining = true
	h.endIfIdle()
	h.mu.Unlock()
	select {
	case <-h.idle:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// Close ends the admission. Requests that still wait are refused.
func (h *Handler) Close() { h.gate.close() }

// Load returns exact counts.
func (h *Handler) Load() Load {
	load := h.gate.load.Load()
	return Load{
		InFlight: load.InFlight, Queued: load.Queued, Limit: load.Limit,
		Slots: load.Slots, Cold: load.Cold, Draining: !h.takesWork(),
	}
}

// takesWork reports whether the own target may get new work.
func (h *Handler) takesWork() bool {
	h.mu.Lock()
	draining := h.draining
	h.mu.Unlock()
	hints := h.config.Target.Hints()
	h.gate.noteAbsences(hints.Outages)
	return !draining && !hints.Draining
}

func (h *Handler) enter() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open++
}

func (h *Handler) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open--
	h.endIfIdle()
}

func (h *Handler) endIfIdle() {
	if h.draining && h.open == 0 {
		h.idleOnce.Do(func() { close(h.idle) })
	}
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler when
// an answer was cut short, so that the caller sees a reset stream.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.enter()
	defer h.leave()
	h.finish(w, h.serve(w, r))
}

// finish turns an error into a refusal, or cuts the caller's stream.
func (h *Handler) finish(w http.ResponseWriter, err error) {
	if err == nil {
		return
	}
	count("refused_or_cut")
	var refused *refusal
	if errors.As(err, &refused) {
		refused.write(w)
		return
	}
	h.config.Log.WithError(err).Warn("event=answer_cut_short")
	panic(http.ErrAbortHandler)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) error {
	customer, err := h.customer(r)
	if err != nil {
		return err
	}
	c, err := newCall(r, customer)
	if err != nil {
		return err
	}
	defer c.cancel()
	permit, err := h.acquire(c)
	if err != nil {
		return err
	}
	served := false
	defer func() {
		if served {
			permit.Served()
		} else {
			permit.Unserved()
		}
	}()
	served, err = h.serveClaimed(w, c)
	return err
}

func (h *Handler) customer(r *http.Request) (model.Customer, error) {
	if h.config.Credential == nil {
		return "", nil
	}
	customer, err := h.config.Credential.Check(r)
	switch {
	case errors.Is(err, credential.ErrNoDirectory):
		return "", unavailable(err.Error())
	case errors.Is(err, credential.ErrMissing):
		return "", notRun(http.StatusUnauthorized, err.Error(), 0)
	case err != nil:
		return "", notRun(http.StatusForbidden, err.Error(), 0)
	}
	return customer, nil
}

// freePermit stands for the permit of an agent without allowances.
type freePermit struct{}

// Served implements Permit.
func (freePermit) Served() {}

// Unserved implements Permit.
func (freePermit) Unserved() {}

func (h *Handler) acquire(c *call) (Permit, error) {
	if h.config.Allowance == nil || h.config.Credential == nil {
		return freePermit{}, nil
	}
	permit, err := h.config.Allowance.Acquire(c.ctx, c.customer, h.config.Service)
	if err == nil {
		return permit, nil
	}
	after := defaultRetryAfter
	var timed RetryAfterError
	if errors.As(err, &timed) {
		after = timed.RetryAfter()
	}
	return nil, notRun(http.StatusTooManyRequests, err.Error(), after)
}
