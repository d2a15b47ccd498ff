package request

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamlink/balsamlink/internal/admission"
	"github.com/balsamlink/balsamlink/internal/httponce"
	"github.com/balsamlink/balsamlink/internal/model"
)

// call is one request in the agent, with the state of its attempts.
type call struct {
	ctx            context.Context
	cancel         context.CancelFunc
	request        *http.Request
	customer       model.Customer
	body           *body
	idempotencyKey string
	// handedOver is set if another agent handed the request over to this one.
	handedOver bool
	idempotent bool
	// class is ClassBooking for a non-idempotent request of any kind, which gets a
	// larger share of the slots, and ClassRead for an idempotent one.
	class admission.Class
	kind  admission.Kind

	// triedPeers are the peers to which this agent has tried to hand the request
	// over. triedOwnTarget is set once the agent's own target has been tried.
	triedPeers     []model.NodeID
	triedOwnTarget bool
	// sentAttempts is the number of attempts, failed or shed, of which a byte
	// may have been written; unsentAttempts is the number of attempts of which
	// none was.
	sentAttempts   int
	unsentAttempts int
}

// newCall parses a request and reads the start of its body. Its errors are
// refusals.
func newCall(r *http.Request, customer model.Customer) (*call, error) {
	if r.Method == http.MethodConnect {
		return nil, notRun(http.StatusNotImplemented, "CONNECT is not served", 0)
	}
	key, err := idempotencyKey(r)
	if err != nil {
		return nil, notRun(http.StatusBadRequest, err.Error(), 0)
	}
	remaining, hasDeadline, err := remainingTime(r)
	if err != nil {
		return nil, notRun(http.StatusBadRequest, err.Error(), 0)
	}
	c := &call{request: r, customer: customer, idempotencyKey: key, idempotent: idempotent(r.Method), kind: kindOf(r)}
	if !c.idempotent {
		c.class = admission.ClassBooking
	}
	c.ctx, c.cancel = context.WithCancel(r.Context())
	if hasDeadline {
		c.ctx, c.cancel = context.WithTimeout(r.Context(), remaining)
	}
	if c.body, err = readBody(r); err != nil {
		c.cancel()
		return nil, notRun(http.StatusBadRequest, err.Error(), 0)
	}
	return c, nil
}

// kindOf groups requests by the method and the first segment of the path, because
// requests that share these are likely to have similar response times.
func kindOf(r *http.Request) admission.Kind {
	firstSegment, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return admission.Kind(xxhash.Sum64String(r.Method+" "+firstSegment) % admission.KindCount)
}

// outgoing returns the request to send to a target or a peer, with its body.
func (c *call) outgoing() *http.Request {
	out := outgoingRequest(c.ctx, c.request)
	c.body.attach(out)
	return out
}

// recordFailure counts a failed attempt that may have been sent. It reports
// whether the request may be attempted again: after such an attempt it must be
// idempotent, and its body must be replayable in any case.
func (c *call) recordFailure(err error) bool {
	if !maybeSent(err) {
		return c.body.replayable()
	}
	c.sentAttempts++
	return c.idempotent && c.body.replayable()
}

// maybeSent reports whether a failed attempt may have sent a byte of the request.
// An error of unknown type counts as sent.
func maybeSent(err error) bool {
	var failure *httponce.Failure
	return !errors.As(err, &failure) || failure.MaybeSent
}

func connectFailed(err error) bool {
	var failure *httponce.Failure
	return errors.As(err, &failure) && failure.ConnectFailed
}

// refusal returns the refusal of a request that has no response from a target. The
// outcome is not run if no attempt may have been sent, and unknown otherwise.
func (c *call) refusal(reason string) error {
	expired := errors.Is(c.ctx.Err(), context.DeadlineExceeded)
	switch {
	case c.sentAttempts == 0:
		return unavailable(reason)
	case expired:
		return &refusal{status: http.StatusGatewayTimeout, outcome: OutcomeUnknown, reason: "the deadline has passed"}
	default:
		return &refusal{status: http.StatusBadGateway, outcome: OutcomeUnknown, reason: reason}
	}
}
