// Package underlay is the interface to the platform that the packet path runs
// on: its packet headers, its key-value service, the operators' state stored
// there, and the calls that targets and the fabric, the network that delivers
// clients' packets, make to a node. Plug-ins implement Underlay and register
// themselves with package kernel.
package underlay

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/routing"
	"github.com/balsamlink/balsamlink/internal/targetgate"
)

// Underlay is the platform as seen by the packet path.
type Underlay interface {
	// Codec returns the codec of packet headers.
	Codec() flow.Codec
	// Store returns the client of the key-value service.
	Store() platform.VerifyingStore
	// StateReader returns the reader of the operators' state. The zones are
	// those that the operators may take out of service.
	StateReader(zones []model.Zone) StateReader
	// Registration returns the handler of the calls by which targets send
	// heartbeats and deregister.
	Registration(registrar Registrar) http.Handler
	// Probe makes one health check of a target at an HTTP path.
	Probe(ctx context.Context, target netip.AddrPort, path string) ProbeResult
	// Reload applies changed settings of the plug-in.
	Reload(settings json.RawMessage) error
	// Readiness returns the handler of the fabric's readiness probe.
	Readiness(ready func() bool) http.Handler
}

// ProbeResult is the result of a probe of a target.
type ProbeResult struct {
	Healthy bool
	// ID is the name that the target gives itself, empty if its response
	// contained none.
	ID string
	// Refused is set if nothing listens at the target's address.
	Refused bool
	// Err is the reason why no response was received.
	Err error
}

// StateReader reads the operators' state: the configuration, and the
// availability zones that are out of service. Its methods return errors of the
// classes platform.Error and routing.Error.
type StateReader interface {
	// Read returns the current document, or with relaxed, which costs less, one that may be
	// some seconds old.
	Read(ctx context.Context, relaxed bool) (routing.Document, error)
	// Verify reports whether a document was current at one moment during the
	// call.
	Verify(ctx context.Context, document routing.Document) (bool, error)
	// Decode returns the state that a document contains, and the number of
	// routes and services that were left out because they were malformed.
	Decode(document routing.Document) (state routing.State, malformed int, err error)
}

// Registrar receives the calls of targets. Its methods are called concurrently.
// An error rejects the call.
type Registrar interface {
	// Announce handles a heartbeat.
	Announce(announcement targetgate.Announcement) error
	// Depart handles a target's deregistration before it ends.
	Depart(departure targetgate.Departure) error
	// Malformed counts a call that could not be decoded.
	Malformed(err error)
}
