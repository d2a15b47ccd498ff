// Package underlay is the edge towards the platform that the packet path runs
// on: its packet headers, its key-value service, the operators' state kept
// there, and the calls by which targets and the fabric talk to a node. Plug-ins
// implement Underlay and register themselves with the kernel.
package underlay

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/balsamlink/balsamlink/internal/door"
	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/routing"
)

// Underlay is the platform as the packet path sees it.
type Underlay interface {
	// Codec returns the codec of packet headers.
	Codec() flow.Codec
	// Store returns the client of the key-value service.
	Store() platform.VerifyingStore
	// StateReader returns the reader of the operators' state, which may name the
	// given availability zones.
	StateReader(zones []model.Zone) StateReader
	// Registration serves the calls by which targets announce themselves.
	Registration(registrar Registrar) http.Handler
	// Probe asks a target whether it is healthy.
	Probe(ctx context.Context, target netip.AddrPort, path string) Health
	// Reload takes changed settings of the plug-in.
	Reload(settings json.RawMessage) error
	// Readiness serves the fabric's readiness probe.
	Readiness(ready func() bool) http.Handler
}

// Health is the result of a probe of a target.
type Health struct {
	Healthy bool
	// ID is the target's own name, where it told.
	ID string
	// Refused tells that nobody listens at the target's address.
	Refused bool
	// Err tells why no answer came.
	Err error
}

// StateReader reads what the operators have declared. Its methods return errors
// of the classes platform.Error and routing.Error.
type StateReader interface {
	// Read returns the newest document.
	Read(ctx context.Context) (routing.Document, error)
	// Verify reports whether a document was the newest at one moment during the
	// call.
	Verify(ctx context.Context, document routing.Document) (bool, error)
	// Decode returns the state that a document holds, and the number of its parts
	// that were malformed and left out.
	Decode(document routing.Document) (state routing.State, malformed int, err error)
}

// Registrar takes what targets say of themselves. Its methods are called from
// many goroutines. An error refuses the call.
type Registrar interface {
	// Announce takes a heartbeat.
	Announce(announcement door.Announcement) error
	// Depart takes a target's last word before it ends.
	Depart(departure door.Departure) error
	// Malformed counts a call that could not be read.
	Malformed(err error)
}
