package request

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/balsamlink/balsamlink/internal/admission"
)

const (
	// maxHandovers is the maximum number of peers to which an agent tries to hand a
	// request over.
	maxHandovers = 2
	// maxAttempts is the maximum number of attempts of a request. It applies
	// separately to attempts that may have been sent, after which only an
	// idempotent request is attempted again, and to attempts that were not
	// sent.
	maxAttempts = 3
)

// targetResponse is the response of this agent's target or of a peer's, and the
// slot that it holds.
type targetResponse struct {
	response *http.Response
	// finish releases the slot. For a response from a peer, which holds no slot of
	// this agent's target, it does nothing.
	finish func(admission.Result)
}

// execute attempts a call until there is a response or no further attempt is
// permitted.
func (h *Handler) execute(c *call) (*targetResponse, error) {
	for {
		t, err := h.attempt(c)
		if err == nil {
			if !h.discardShed(c, t) {
				return t, nil
			}
			continue
		}
		var refused *refusal
		if errors.As(err, &refused) {
			return nil, err
		}
		if !c.recordFailure(err) || c.ctx.Err() != nil || !h.mayRetry(c, err) {
			h.config.Log.WithError(err).Warn("event=offer_failed")
			return nil, c.refusal("the target gave no answer")
		}
	}
}

// discardShed reports whether a response is a 503, with which the target sheds load, and
// the request may be attempted again. If so, it discards the response.
func (h *Handler) discardShed(c *call, t *targetResponse) bool {
	if t.response.StatusCode != http.StatusServiceUnavailable || c.handedOver || !c.idempotent {
		return false
	}
	if c.sentAttempts+1 >= maxAttempts || !c.body.replayable() || !h.retryBudget.tryWithdraw() {
		return false
	}
	c.sentAttempts++
	count("retries")
	t.response.Body.Close()
	t.finish(admission.ResultShed)
	return true
}

// mayRetry reports whether a call may be attempted again after an error. A retry of an
// attempt that may have been sent is charged to the retry budget; an attempt that was not
// sent only counts towards maxAttempts.
func (h *Handler) mayRetry(c *call, err error) bool {
	if !maybeSent(err) {
		c.unsentAttempts++
		return !c.handedOver && c.unsentAttempts < maxAttempts
	}
	if c.handedOver || c.sentAttempts >= maxAttempts || !h.retryBudget.tryWithdraw() {
		return false
	}
	count("retries")
	return true
}

// attempt attempts a call once: on this agent's target if a slot is
// immediately available, else on a peer with capacity, else on this agent's
// target after a wait.
func (h *Handler) attempt(c *call) (*targetResponse, error) {
	if !c.triedOwnTarget && h.acceptsWork() {
		s, err := h.admitter.acquire(c.ctx, c.class, c.kind, true)
		if err == nil {
			return h.sendToTarget(c, s)
		}
		if c.handedOver {
			return nil, unavailable(err.Error())
		}
	}
	if t, err, done := h.handOver(c); done {
		return t, err
	}
	if !h.acceptsWork() {
		return nil, c.refusal("this target is draining")
	}
	s, err := h.admitter.acquire(c.ctx, c.class, c.kind, false)
	if err != nil {
		return nil, c.refusal(err.Error())
	}
	return h.sendToTarget(c, s)
}

// handOver hands a call over to a peer. If done is set, the attempt has ended:
// a peer has responded, a peer may have sent the call to its target, or the
// body has been read in part and can't be sent again.
func (h *Handler) handOver(c *call) (t *targetResponse, err error, done bool) {
	if h.config.Peers == nil || c.handedOver {
		return nil, nil, false
	}
	for len(c.triedPeers) < maxHandovers && c.ctx.Err() == nil {
		peer, found := h.config.Peers.Pick(c.triedPeers)
		if !found {
			return nil, nil, false
		}
		c.triedPeers = append(c.triedPeers, peer.Node())
		out := c.outgoing()
		out.Header.Set(HeaderHandover, string(h.config.Service))
		response, err := peer.HandOver(c.ctx, out)
		if err == nil {
			count("handed_over")
			return &targetResponse{response: response, finish: func(admission.Result) {}}, nil, true
		}
		if maybeSent(err) || !c.body.replayable() {
			return nil, err, true
		}
	}
	return nil, nil, false
}

func (h *Handler) sendToTarget(c *call, s slot) (*targetResponse, error) {
	c.triedOwnTarget = true
	if err := c.ctx.Err(); err != nil {
		s.finish(admission.ResultCancelled)
		return nil, c.refusal("the caller has gone or the deadline has passed")
	}
	started := time.Now()
	response, err := h.config.Target.Do(c.ctx, c.outgoing())
	if err != nil {
		s.finish(resultOfError(c.ctx, err))
		return nil, err
	}
	recordAttempt(time.Since(started))
	if !isServerFailure(response.StatusCode) {
		s.answered()
	}
	return &targetResponse{response: response, finish: s.finish}, nil
}

// resultOfError returns the result that the admission controller gets for a
// request without a response.
func resultOfError(ctx context.Context, err error) admission.Result {
	switch {
	case ctx.Err() != nil:
		return admission.ResultCancelled
	case connectFailed(err):
		return admission.ResultRefused
	default:
		return admission.ResultBroken
	}
}

func isServerFailure(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// resultOfResponse returns the result that the admission controller gets for a
// request with a response. relayErr is the error of relaying the response to
// the caller.
func resultOfResponse(ctx context.Context, status int, relayErr error) admission.Result {
	var truncated *truncatedError
	switch {
	case status == http.StatusServiceUnavailable:
		return admission.ResultShed
	case isServerFailure(status):
		return admission.ResultFailed
	case relayErr == nil:
		return admission.ResultOK
	case ctx.Err() == nil && errors.As(relayErr, &truncated):
		return admission.ResultBroken
	default:
		return admission.ResultCancelled
	}
}
