// Package target defines the plug-in interface for the target that an agent
// serves. Each plug-in implements Target in its own folder and registers
// itself with the kernel.
package target

import (
	"context"
	"net/http"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package and of its plug-ins.
var Error = errs.Class("target")

// Target is the only target of an agent. All methods are safe for concurrent
// use.
type Target interface {
	// Do sends a request to the target at most once and returns the response
	// as soon as its header has arrived. If there is no response, the error
	// wraps an *httponce.Failure. The response body ends with io.EOF only if
	// it is complete.
	Do(ctx context.Context, request *http.Request) (*http.Response, error)
	// Slots returns the maximum number of requests that the target can run at
	// once.
	Slots() int
	// Hints returns what the target last reported about itself, which may be
	// late or wrong.
	Hints() Hints
}

// Hints is what a target reports about itself.
type Hints struct {
	// Draining is set while the target wants no new work.
	Draining bool
	// Healthy is set if the last health check succeeded.
	Healthy bool
	// Outages counts how often the target stopped accepting connections, as it
	// does between two starts.
	Outages uint64
}
