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

// Target is the target that an agent serves; each agent has one. All methods are
// safe for concurrent use.
type Target interface {
	// Do sends a request to the target at most once and returns the response
	// as soon as its header has arrived. If there is no response, the error
	// wraps an *httponce.Failure. The response body ends with io.EOF only if
	// it is complete.
	Do(ctx context.Context, request *http.Request) (*http.Response, error)
	// Slots returns the maximum number of requests that the target can run at
	// once.
	Slots() int
	// Hints returns what is known of the target's state. The target's own
	// reports may be late or wrong.
	Hints() Hints
}

// Hints is the state of a target, from its own reports and from the attempts to connect
// to it.
type Hints struct {
	// Draining is set while the target reports that it wants no new work.
	Draining bool
	// Healthy is set unless the target's health endpoint last reported otherwise or did
	// not respond.
	Healthy bool
	// Outages counts how often the target stopped accepting connections, as it
	// does between two starts.
	Outages uint64
}
