package request

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/balsamlink/balsamlink/internal/admission"
)

const (
	// maxPeerTries is the number of peers that a request is handed to.
	maxPeerTries = 2
	// maxOffers is the number of times that an idempotent request is offered.
	maxOffers = 3
)

// reply is the answer of a target with the slot that it holds.
type reply struct {
	response *http.Response
	// finish frees the slot.
	finish func(admission.Result)
}

// execute offers a call until there is an answer or no further try is allowed.
func (h *Handler) execute(c *call) (*reply, error) {
	for {
		a, err := h.attempt(c)
		if err == nil {
			if !h.retriesShed(c, a) {
				return a, nil
			}
			continue
		}
		var refused *refusal
		if errors.As(err, &refused) {
			return nil, err
		}
		if !c.failed(err) || c.ctx.Err() != nil || !h.mayRetry(c, err) {
			h.config.Log.WithError(err).Warn("event=offer_failed")
			return nil, c.refusal("the target gave no answer")
		}
	}
}

// retriesShed drops the answer of a target that has no room, if the request
// may be offered again.
func (h *Handler) retriesShed(c *call, a *reply) bool {
	if a.response.StatusCode != http.StatusServiceUnavailable || c.handed || !c.idempotent {
		return false
	}
	if c.offers+1 >= maxOffers || !c.body.replayable() || !h.budget.spend() {
		return false
	}
	c.offers++
	count("retries")
	a.response.Body.Close()
	a.finish(admission.ResultShed)
	return true
}

func (h *Handler) mayRetry(c *call, err error) bool {
	if !wasSent(err) {
		c.unsent++
		return !c.handed && c.unsent < maxOffers
	}
	if c.handed || c.offers >= maxOffers || !h.budget.spend() {
		return false
	}
	count("retries")
	return true
}

// attempt offers a call once: to the own target when it has a slot at once,
// else to a peer that has room, else to the own target after a wait.
func (h *Handler) attempt(c *call) (*reply, error) {
	if !c.own && h.takesWork() {
		s, err := h.gate.enter(c.ctx, c.class, c.kind, true)
		if err == nil {
			return h.offerOwn(c, s)
		}
		if c.handed {
			return nil, unavailable(err.Error())
		}
	}
	if a, err, done := h.offerPeers(c); done {
		return a, err
	}
	if !h.takesWork() {
		return nil, c.refusal("this target is draining")
	}
	s, err := h.gate.enter(c.ctx, c.class, c.kind, false)
	if err != nil {
		return nil, c.refusal(err.Error())
	}
	return h.offerOwn(c, s)
}

// offerPeers hands a call over. Done tells that a peer offered it, or may have.
func (h *Handler) offerPeers(c *call) (a *reply, err error, done bool) {
	if h.config.Peers == nil || c.handed {
		return nil, nil, false
	}
	for len(c.tried) < maxPeerTries && c.ctx.Err() == nil {
		peer, found := h.config.Peers.Pick(c.tried)
		if !found {
			return nil, nil, false
		}
		c.tried = append(c.tried, peer.Node())
		out := c.outgoing()
		out.Header.Set(HeaderHandover, string(h.config.Service))
		response, err := peer.HandOver(c.ctx, out)
		if err == nil {
			count("handed_over")
			return &reply{response: response, finish: func(admission.Result) {}}, nil, true
		}
		if wasSent(err) || !c.body.replayable() {
			return nil, err, true
		}
	}
	return nil, nil, false
}

func (h *Handler) offerOwn(c *call, s slot) (*reply, error) {
	c.own = true
	if err := c.ctx.Err(); err != nil {
		s.finish(admission.ResultCancelled)
		return nil, c.refusal("the caller has gone or the deadline has passed")
	}
	started := time.Now()
	response, err := h.config.Target.Offer(c.ctx, c.outgoing())
	if err != nil {
		s.finish(resultOf(c.ctx, err))
		return nil, err
	}
	observe(time.Since(started))
	if !failedStatus(response.StatusCode) {
		s.answered()
	}
	return &reply{response: response, finish: s.finish}, nil
}

func resultOf(ctx context.Context, err error) admission.Result {
	switch {
	case ctx.Err() != nil:
		return admission.ResultCancelled
	case wasRefused(err):
		return admission.ResultRefused
	default:
		return admission.ResultBroken
	}
}

func failedStatus(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// resultAfter tells the admission how an answered request ended.
func resultAfter(ctx context.Context, status int, relayed error) admission.Result {
	var cut *cutError
	switch {
	case status == http.StatusServiceUnavailable:
		return admission.ResultShed
	case failedStatus(status):
		return admission.ResultFailed
	case relayed == nil:
		return admission.ResultOK
	case ctx.Err() == nil && errors.As(relayed, &cut):
		return admission.ResultBroken
	default:
		return admission.ResultCancelled
	}
}
