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
	// as soon as the header is there. When there is none the error wraps an
	// *offer.Failure. The body of the answer ends with io.EOF only when it is
	// whole.
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
	// Outages counts how often nobody was found to accept connections, as
	// between two starts of a target.
	Outages uint64
}
