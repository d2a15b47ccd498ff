package request

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Key names a non-idempotent request of one customer of one service.
type Key struct {
	Service  model.Service
	Customer model.Customer
	Key      string
}

// Claims keeps the idempotency keys of a service.
type Claims interface {
	// Claim claims a key for one run. The error is a *KnownError when the key
	// was claimed before; any other tells that no claim was made.
	Claim(ctx context.Context, key Key) (Claim, error)
}

// Claim is the right to run a request once. Exactly one method is called, once;
// none of them waits.
type Claim interface {
	// Release gives the claim back; no byte of the request was offered.
	Release()
	// RecordResponse records the answer of the target.
	RecordResponse(answer StoredResponse)
	// RecordUnknown records that the outcome is not known.
	RecordUnknown()
}

// StoredResponse is the answer that is kept with a claim. Status 0 means that it is not
// known.
type StoredResponse struct {
	Status int
	Header http.Header
	// Body is the whole body, unless Partial is set.
	Body    []byte
	Partial bool
}

// DuplicateKeyError tells what is known of an earlier request with the same key.
type DuplicateKeyError struct {
	Outcome  Outcome
	Response StoredResponse
}

// Error implements error.
func (e *DuplicateKeyError) Error() string {
	return fmt.Sprintf("the idempotency key was used before: %s", e.Outcome)
}

// maxClaimedRun is how long a claimed request may take. It ends well within the
// lifetime of the claim, so that no repeat runs beside it.
const maxClaimedRun = time.Minute

// storedBodyLimit is the size of the answers that are kept, in bytes.
const storedBodyLimit = 1 << 10

// serveClaimed runs a call under a claim of its idempotency key and reports
// whether it was served.
func (h *Handler) serveClaimed(w http.ResponseWriter, c *call) (bool, error) {
	if c.key == "" || c.idempotent || h.config.Claims == nil {
		return h.relayAnswer(w, c, nil)
	}
	claim, err := h.config.Claims.Claim(c.ctx, Key{h.config.Service, c.customer, c.key})
	var known *DuplicateKeyError
	if errors.As(err, &known) {
		return false, repeat(w, known)
	}
	if err != nil {
		return false, unavailable(err.Error())
	}
	var cancel context.CancelFunc
	c.ctx, cancel = context.WithTimeout(c.ctx, maxClaimedRun)
	defer cancel()
	return h.relayAnswer(w, c, claim)
}

// relayAnswer gets the answer of a call, relays it and settles the claim.
func (h *Handler) relayAnswer(w http.ResponseWriter, c *call, claim Claim) (bool, error) {
	settled := false
	defer func() {
		if claim != nil && !settled {
			claim.RecordUnknown() // the caller's stream broke with a panic
		}
	}()
	a, err := h.execute(c)
	if err != nil {
		settled = true
		settleFailure(claim, c)
		return false, err
	}
	status := a.response.StatusCode
	keep := &recorder{limit: storedBodyLimit}
	err = relay(w, a.response, keep)
	a.finish(resultAfter(c.ctx, status, err))
	settled = true
	settleAnswer(claim, a.response, keep, err)
	if err != nil {
		return false, err
	}
	if !failedStatus(status) {
		h.budget.earn()
	}
	return !failedStatus(status), nil
}

func settleFailure(claim Claim, c *call) {
	switch {
	case claim == nil:
	case c.offers == 0:
		claim.Release()
	default:
		claim.RecordUnknown()
	}
}

func settleAnswer(claim Claim, response *http.Response, keep *recorder, err error) {
	if claim == nil {
		return
	}
	stored := StoredResponse{Status: response.StatusCode, Header: http.Header{}, Body: keep.kept}
	stored.Partial = err != nil || keep.overflow
	if stored.Partial {
		stored.Body = nil
	}
	copyEndToEnd(stored.Header, response.Header)
	claim.RecordResponse(stored)
}

// repeat answers a request whose key was used before.
func repeat(w http.ResponseWriter, known *DuplicateKeyError) error {
	count("repeats")
	if known.Outcome != OutcomeAlreadyRun || known.Response.Partial || known.Response.Status == 0 {
		return &refusal{status: http.StatusConflict, outcome: known.Outcome, reason: known.Error()}
	}
	copyEndToEnd(w.Header(), known.Response.Header)
	w.Header().Set(HeaderOutcome, string(OutcomeAlreadyRun))
	w.WriteHeader(known.Response.Status)
	if _, err := w.Write(known.Response.Body); err != nil {
		return Error.New("caller: %v", err)
	}
	return nil
}
