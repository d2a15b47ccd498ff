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

// Config holds the parts of a Handler.
type Config struct {
	Service model.Service
	Target  target.Target
	// Credential finds the customer; nil means that callers need none.
	Credential credential.Checker
	// Allowance meters the customers; nil means that there are no limits. It
	// is used only together with Credential.
	Allowance Allowance
	Log       *logrus.Entry
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
	// Draining tells that no new work is taken.
	Draining bool
}

// Handler serves the requests of callers. It implements http.Handler.
type Handler struct {
	config Config

	mu       sync.Mutex
	open     int
	draining bool
	idle     chan struct{}
}

// New makes a handler that takes work at once.
func New(config Config) *Handler {
	return &Handler{config: config, idle: make(chan struct{})}
}

// Drain takes no new work and returns when the open requests have ended or the
// context has.
func (h *Handler) Drain(ctx context.Context) error {
	h.mu.Lock()
	if !h.draining {
		h.draining = true
		if h.open == 0 {
			close(h.idle)
		}
	}
	h.mu.Unlock()
	select {
	case <-h.idle:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// Load returns exact counts.
func (h *Handler) Load() Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	slots := h.config.Target.Slots()
	return Load{InFlight: h.open, Limit: slots, Slots: slots, Draining: h.draining}
}

func (h *Handler) enter() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return false
	}
	h.open++
	return true
}

func (h *Handler) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open--
	if h.draining && h.open == 0 {
		close(h.idle)
	}
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler when
// an answer was cut short, so that the caller sees a reset stream.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.enter() {
		unavailable("this target is draining").write(w)
		return
	}
	defer h.leave()
	err := h.serve(w, r)
	if err == nil {
		return
	}
	var refused *refusal
	if errors.As(err, &refused) {
		refused.write(w)
		return
	}
	h.config.Log.WithError(err).Warn("event=answer_cut_short")
	panic(http.ErrAbortHandler)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) error {
	ctx, cancel, err := requestContext(r)
	if err != nil {
		return notRun(http.StatusBadRequest, err.Error(), 0)
	}
	defer cancel()
	customer, err := h.customer(r)
	if err != nil {
		return err
	}
	permit, err := h.acquire(ctx, customer)
	if err != nil {
		return err
	}
	answer, err := h.config.Target.Offer(ctx, outgoing(ctx, r))
	if err != nil {
		permit.Unserved()
		return offerRefusal(ctx, err)
	}
	if err := relay(w, answer, nil); err != nil {
		permit.Unserved()
		return err
	}
	permit.Served()
	return nil
}

func requestContext(r *http.Request) (context.Context, context.CancelFunc, error) {
	left, limited, err := timeLeft(r)
	if err != nil {
		return nil, nil, err
	}
	if !limited {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), left)
	return ctx, cancel, nil
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

func (h *Handler) acquire(ctx context.Context, customer model.Customer) (Permit, error) {
	if h.config.Allowance == nil || h.config.Credential == nil {
		return freePermit{}, nil
	}
	permit, err := h.config.Allowance.Acquire(ctx, customer, h.config.Service)
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

// offerRefusal turns the error of an offered request into an answer.
func offerRefusal(ctx context.Context, err error) error {
	var offer *target.OfferError
	if errors.As(err, &offer) && !offer.Sent {
		return unavailable("the target can't be reached")
	}
	status := http.StatusBadGateway
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	return &refusal{status: status, outcome: OutcomeUnknown, reason: "the target gave no answer"}
}
