package request

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Key identifies a non-idempotent request of one customer to one service.
type Key struct {
	Service  model.Service
	Customer model.Customer
	Key      string
}

// Claims stores the idempotency keys of a service.
type Claims interface {
	// Claim claims a key for one run of its request. The error is a
	// *DuplicateKeyError if the key was claimed before; with any other error,
	// no claim was made.
	Claim(ctx context.Context, key Key) (Claim, error)
}

// Claim is the right to run a request once. Exactly one of its methods must be
// called, once, to settle it; none of them blocks.
type Claim interface {
	// Release gives up the claim, because no byte of the request was sent, so that the
	// key can be claimed again.
	Release()
	// RecordResponse records the target's response.
	RecordResponse(response StoredResponse)
	// RecordUnknown records that the outcome is unknown.
	RecordUnknown()
}

// StoredResponse is the response that is stored with a claim.
type StoredResponse struct {
	// Status is the HTTP status; 0 means that the response is unknown.
	Status int
	Header http.Header
	// Body is the complete body, unless Partial is set.
	Body []byte
	// Partial is set if the body was truncated or exceeded storedBodyLimit and was
	// therefore not stored.
	Partial bool
}

// DuplicateKeyError reports that a key was used before, and what is known of
// the earlier request.
type DuplicateKeyError struct {
	Outcome  Outcome
	Response StoredResponse
}

// Error implements error.
func (e *DuplicateKeyError) Error() string {
	return fmt.Sprintf("the idempotency key was used before: %s", e.Outcome)
}

// maxClaimedDuration is the maximum duration of a claimed request. It is well
// below the lifetime of the claim, so that no repeat runs concurrently.
const maxClaimedDuration = time.Minute

// storedBodyLimit is the maximum size of a stored body, in bytes.
const storedBodyLimit = 1 << 10

// serveClaimed runs a call under a claim of its idempotency key, if it needs
// one, and reports whether the call was served.
func (h *Handler) serveClaimed(w http.ResponseWriter, c *call) (bool, error) {
	if c.idempotencyKey == "" || c.idempotent || h.config.Claims == nil {
		return h.executeAndRelay(w, c, nil)
	}
	claim, err := h.config.Claims.Claim(c.ctx, Key{h.config.Service, c.customer, c.idempotencyKey})
	var prior *DuplicateKeyError
	if errors.As(err, &prior) {
		return false, respondToDuplicate(w, prior)
	}
	if err != nil {
		return false, unavailable(err.Error())
	}
	var cancel context.CancelFunc
	c.ctx, cancel = context.WithTimeout(c.ctx, maxClaimedDuration)
	defer cancel()
	return h.executeAndRelay(w, c, claim)
}

// executeAndRelay executes a call, relays the response and settles the claim,
// which may be nil. It reports whether the call was served.
func (h *Handler) executeAndRelay(w http.ResponseWriter, c *call, claim Claim) (bool, error) {
	settled := false
	defer func() {
		if claim != nil && !settled {
			claim.RecordUnknown() // the call or the relaying of its response has panicked
		}
	}()
	t, err := h.execute(c)
	if err != nil {
		settled = true
		settleFailure(claim, c)
		return false, err
	}
	status := t.response.StatusCode
	recorder := &bodyRecorder{limit: storedBodyLimit}
	err = relay(w, t.response, recorder)
	t.finish(resultOfResponse(c.ctx, status, err))
	settled = true
	settleResponse(claim, t.response, recorder, err)
	if err != nil {
		return false, err
	}
	if !isServerFailure(status) {
		h.retryBudget.deposit()
	}
	return !isServerFailure(status), nil
}

// settleFailure settles the claim, which may be nil, of a call without a response.
func settleFailure(claim Claim, c *call) {
	switch {
	case claim == nil:
	case c.sentAttempts == 0:
		claim.Release()
	default:
		claim.RecordUnknown()
	}
}

// settleResponse settles the claim, which may be nil, of a call with a response.
// relayErr is the error of relaying the response to the caller.
func settleResponse(claim Claim, response *http.Response, recorder *bodyRecorder, relayErr error) {
	if claim == nil {
		return
	}
	stored := StoredResponse{Status: response.StatusCode, Header: http.Header{}, Body: recorder.data}
	stored.Partial = relayErr != nil || recorder.overflow
	if stored.Partial {
		stored.Body = nil
	}
	copyEndToEnd(stored.Header, response.Header)
	claim.RecordResponse(stored)
}

// respondToDuplicate responds to a request whose key was used before.
func respondToDuplicate(w http.ResponseWriter, prior *DuplicateKeyError) error {
	count("repeats")
	if prior.Outcome != OutcomeAlreadyRun || prior.Response.Partial || prior.Response.Status == 0 {
		return &refusal{status: http.StatusConflict, outcome: prior.Outcome, reason: prior.Error()}
	}
	copyEndToEnd(w.Header(), prior.Response.Header)
	w.Header().Set(HeaderOutcome, string(OutcomeAlreadyRun))
	w.WriteHeader(prior.Response.Status)
	if _, err := w.Write(prior.Response.Body); err != nil {
		return Error.New("write to caller: %v", err)
	}
	return nil
}
