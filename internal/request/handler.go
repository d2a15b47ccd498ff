// Package request processes each HTTP request in an agent: it identifies the
// customer, acquires an allowance, claims the idempotency key, waits for a
// slot of the target, relays the request and its response, and records the
// outcome.
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

// Error is the class of all errors of this package.
var Error = errs.Class("request")

// AllowanceLimiter decides whether a customer's plan permits one more request.
type AllowanceLimiter interface {
	// Acquire returns a permit, or an error if the request is not permitted. The error
	// may implement RetryAfterError.
	Acquire(ctx context.Context, customer model.Customer, service model.Service) (Permit, error)
}

// Permit is the right to one request. Exactly one of its methods must be
// called, once.
type Permit interface {
	// Served records that the request was served and is to be billed.
	Served()
	// Unserved returns the permit, because the request was not served and is not billed.
	Unserved()
}

// RetryAfterError is a refusal that states after how long to retry.
type RetryAfterError interface {
	error
	RetryAfter() time.Duration
}

// Peers are the other agents of the service.
type Peers interface {
	// Pick returns an agent that is not in tried and seems to have capacity,
	// and whether there is one.
	Pick(tried []model.NodeID) (Peer, bool)
}

// Peer is another agent of the service.
type Peer interface {
	Node() model.NodeID
	// HandOver sends a request to the peer and returns its response. Errors
	// wrap *httponce.Failure. If the failure's MaybeSent is false, the peer did
	// not send the request to its target.
	HandOver(ctx context.Context, request *http.Request) (*http.Response, error)
}

// Config configures a Handler.
type Config struct {
	Service model.Service
	Target  target.Target
	// Credential identifies the customer; nil means that callers need no
	// credential.
	Credential credential.Checker
	// Allowance limits and meters the customers' requests; nil means no
	// limits. It is used only together with Credential.
	Allowance AllowanceLimiter
	// Claims stores the idempotency keys; nil means that keys are ignored.
	Claims Claims
	// Peers receive requests for which this agent's target has no capacity;
	// nil means that none are handed over.
	Peers Peers
	// MaxWait is the maximum time that a request waits for a slot; 0 means one
	// second.
	MaxWait time.Duration
	Log     *logrus.Entry
}

// Load is the exact load of an agent's own target.
type Load struct {
	// InFlight is the number of requests that hold a slot.
	InFlight int
	// Queued is the number of requests that wait for a slot.
	Queued int
	// Limit is the current concurrency limit, in requests.
	Limit int
	// Slots is the number of slots of the target.
	Slots int
	// Cold is set while the target is warming up, after a start or after it
	// has turned cold.
	Cold bool
	// Draining is set while the agent or its target accepts no new work.
	Draining bool
}

const (
	defaultMaxWait = time.Second
	// queuePerSlot is the maximum number of queued requests per slot.
	queuePerSlot = 16
)

// Handler serves the requests of callers. It implements http.Handler.
type Handler struct {
	config      Config
	admitter    *admitter
	retryBudget *retryBudget

	mu           sync.Mutex
	openRequests int
	draining     bool
	// idle is closed when the handler drains and no request is open.
	idle     chan struct{}
	idleOnce sync.Once
}

// New returns a handler that accepts requests at once. Close must be called to
// release its resources.
func New(config Config) *Handler {
	if config.MaxWait == 0 {
		config.MaxWait = defaultMaxWait
	}
	slots := config.Target.Slots()
	return &Handler{
		config:      config,
		admitter:    newAdmitter(admission.Config{Slots: slots, QueueLimit: queuePerSlot * slots, MaxWait: config.MaxWait}),
		retryBudget: newRetryBudget(),
		idle:        make(chan struct{}),
	}
}

// Drain stops new work for this agent's target and returns when the open
// requests have ended, or with an error when the context is done. New requests
// are handed over to other agents or refused.
func (h *Handler) Drain(ctx context.Context) error {
	h.mu.Lock()
	h.draining = true
	h.signalIfIdle()
	h.mu.Unlock()
	select {
	case <-h.idle:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// Close stops the admission controller. Requests that still wait for a slot
// are refused.
func (h *Handler) Close() { h.admitter.close() }

// Load returns the exact load of this agent's target.
func (h *Handler) Load() Load {
	load := h.admitter.load.Load()
	return Load{
		InFlight: load.InFlight, Queued: load.Queued, Limit: load.Limit,
		Slots: load.Slots, Cold: load.Cold, Draining: !h.acceptsWork(),
	}
}

// acceptsWork reports whether this agent and its target accept new work. It also passes
// the target's outage count on to the admitter.
func (h *Handler) acceptsWork() bool {
	h.mu.Lock()
	draining := h.draining
	h.mu.Unlock()
	hints := h.config.Target.Hints()
	h.admitter.recordOutages(hints.Outages)
	return !draining && !hints.Draining
}

func (h *Handler) beginRequest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.openRequests++
}

func (h *Handler) endRequest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.openRequests--
	h.signalIfIdle()
}

func (h *Handler) signalIfIdle() {
	if h.draining && h.openRequests == 0 {
		h.idleOnce.Do(func() { close(h.idle) })
	}
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler if
// the response was truncated, so that the caller's stream is reset.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.beginRequest()
	defer h.endRequest()
	h.handleError(w, h.serve(w, r))
}

// handleError writes a refusal for an error, or resets the caller's stream if the
// response was truncated.
func (h *Handler) handleError(w http.ResponseWriter, err error) {
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
	customer, err := h.identifyCustomer(r)
	if err != nil {
		return err
	}
	c, err := newCall(r, customer)
	if err != nil {
		return err
	}
	defer c.cancel()
	permit, err := h.acquirePermit(c)
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

// identifyCustomer returns the customer that the credential belongs to. Its error is a
// refusal.
func (h *Handler) identifyCustomer(r *http.Request) (model.Customer, error) {
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

// unlimitedPermit is the permit of an agent without allowances.
type unlimitedPermit struct{}

// Served implements Permit.
func (unlimitedPermit) Served() {}

// Unserved implements Permit.
func (unlimitedPermit) Unserved() {}

// acquirePermit acquires the allowance for a call. Its error is a refusal.
func (h *Handler) acquirePermit(c *call) (Permit, error) {
	if h.config.Allowance == nil || h.config.Credential == nil {
		return unlimitedPermit{}, nil
	}
	permit, err := h.config.Allowance.Acquire(c.ctx, c.customer, h.config.Service)
	if err == nil {
		return permit, nil
	}
	retryAfter := defaultRetryAfter
	var retryErr RetryAfterError
	if errors.As(err, &retryErr) {
		retryAfter = retryErr.RetryAfter()
	}
	return nil, notRun(http.StatusTooManyRequests, err.Error(), retryAfter)
}
