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

// call is the state of one request in the agent.
type call struct {
	ctx      context.Context
	cancel   context.CancelFunc
	request  *http.Request
	customer model.Customer
	body     *body
	key      string
	// handedOver is set if another agent handed the request over.
	handedOver bool
	idempotent bool
	class      admission.Class
	kind       admission.Kind

	// triedPeers are the peers to which the request was handed over. triedOwn
	// is set once the agent's own target has been tried.
	triedPeers []model.NodeID
	triedOwn   bool
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
	remaining, limited, err := remainingTime(r)
	if err != nil {
		return nil, notRun(http.StatusBadRequest, err.Error(), 0)
	}
	c := &call{request: r, customer: customer, key: key, idempotent: idempotent(r.Method), kind: kindOf(r)}
	if !c.idempotent {
		c.class = admission.ClassBooking
	}
	c.ctx, c.cancel = context.WithCancel(r.Context())
	if limited {
		c.ctx, c.cancel = context.WithTimeout(r.Context(), remaining)
	}
	if c.body, err = readBody(r); err != nil {
		c.cancel()
		return nil, notRun(http.StatusBadRequest, err.Error(), 0)
	}
	return c, nil
}

// kindOf groups requests by the method and the first segment of the path.
func kindOf(r *http.Request) admission.Kind {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return admission.Kind(xxhash.Sum64String(r.Method+" "+first) % admission.KindCount)
}

func (c *call) outgoing() *http.Request {
	out := outgoing(c.ctx, c.request)
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

func maybeSent(err error) bool {
	var failure *httponce.Failure
	return !errors.As(err, &failure) || failure.MaybeSent
}

func connectFailed(err error) bool {
	var failure *httponce.Failure
	return errors.As(err, &failure) && failure.ConnectFailed
}

// refusal returns the refusal of a request that has no response from a target.
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
