// Package target is the edge towards the target that an agent stands before.
// Plug-ins implement Target; each lives in a folder of its own and registers
// itself with the kernel.
package target

import (
	"context"
	"net/http"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("target")

// Target is the one target of an agent. All methods are safe for concurrent
// use.
type Target interface {
	// Offer sends a request to the target at most once and returns its answer
	// as soon as the header is there. It returns an *OfferError when there is
	// none. The body of the answer ends with io.EOF only when it is whole.
	Offer(ctx context.Context, request *http.Request) (*http.Response, error)
	// Slots is the number of requests that the target can run at once.
	Slots() int
	// Hints returns what the target last said of itself, which may be late or
	// wrong.
	Hints() Hints
}

// Hints is what a target says of itself.
type Hints struct {
	// Draining tells that the target wants no new work.
	Draining bool
	// Healthy tells that the last health check succeeded.
	Healthy bool
}

// OfferError tells why an offered request has no answer.
type OfferError struct {
	// Sent tells that at least one byte was written towards the target, so that
	// it may have run the request.
	Sent bool
	// Incomplete tells that the answer came in a form whose end can't be checked.
	Incomplete bool
	Cause      error
}

// Error implements error.
func (e *OfferError) Error() string {
	if e.Sent {
		return "target: outcome unknown: " + e.Cause.Error()
	}
	return "target: not sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *OfferError) Unwrap() error { return e.Cause }
