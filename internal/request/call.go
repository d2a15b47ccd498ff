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

// call is one request on its way through the agent.
type call struct {
	ctx      context.Context
	cancel   context.CancelFunc
	request  *http.Request
	customer model.Customer
	body     *body
	key      string
	// handed tells that another agent handed the request over.
	handed     bool
	idempotent bool
	class      admission.Class
	kind       admission.Kind

	// tried are the peers that had the request, and own tells that the own
	// target had.
	tried []model.NodeID
	own   bool
	// offers counts the tries after which the outcome was unknown, and unsent
	// those of which no byte was written.
	offers int
	unsent int
}

// newCall reads what a request asks for. Its errors are refusals.
func newCall(r *http.Request, customer model.Customer) (*call, error) {
	if r.Method == http.MethodConnect {
		return nil, notRun(http.StatusNotImplemented, "CONNECT is not served", 0)
	}
	key, err := idempotencyKey(r)
	if err != nil {
		return nil, notRun(http.StatusBadRequest, err.Error(), 0)
	}
	left, limited, err := timeLeft(r)
	if err != nil {
		return nil, notRun(http.StatusBadRequest, err.Error(), 0)
	}
	c := &call{request: r, customer: customer, key: key, idempotent: idempotent(r.Method), kind: kindOf(r)}
	if !c.idempotent {
		c.class = admission.ClassBooking
	}
	c.ctx, c.cancel = context.WithCancel(r.Context())
	if limited {
		c.ctx, c.cancel = context.WithTimeout(r.Context(), left)
	}
	if c.body, err = readBody(r); err != nil {
		c.cancel()
		return nil, notRun(http.StatusBadRequest, err.Error(), 0)
	}
	return c, nil
}

// kindOf groups requests by their method and the first part of their path.
func kindOf(r *http.Request) admission.Kind {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return admission.Kind(xxhash.Sum64String(r.Method+" "+first) % admission.KindCount)
}

func (c *call) outgoing() *http.Request {
	out := outgoing(c.ctx, c.request)
	c.body.attach(out)
	return out
}

// failed notes a failure of an offer and reports whether the request may be
// offered again as far as its outcome goes.
func (c *call) failed(err error) bool {
	if !wasSent(err) {
		return c.body.replayable()
	}
	c.offers++
	return c.idempotent && c.body.replayable()
}

func wasSent(err error) bool {
	var failure *httponce.Failure
	return !errors.As(err, &failure) || failure.MaybeSent
}

func wasRefused(err error) bool {
	var failure *httponce.Failure
	return errors.As(err, &failure) && failure.ConnectFailed
}

// refusal is the answer to a request that got none from a target.
func (c *call) refusal(reason string) error {
	late := errors.Is(c.ctx.Err(), context.DeadlineExceeded)
	switch {
	case c.offers == 0:
		return unavailable(reason)
	case late:
		return &refusal{status: http.StatusGatewayTimeout, outcome: OutcomeUnknown, reason: "the deadline has passed"}
	default:
		return &refusal{status: http.StatusBadGateway, outcome: OutcomeUnknown, reason: reason}
	}
}
