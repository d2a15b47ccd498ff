// Package membership decides what is known about the nodes of a deployment:
// which record of a node is the newest, which nodes are gone, and what to tell
// whom. It is pure: events and the time go in, effects come out.
package membership

import (
	"net/netip"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("membership")

// State is what a node says of itself, or what others have found out.
type State uint8

// The states of a node, from birth to death.
const (
	// StateStarting nodes take no work yet.
	StateStarting State = 1
	// StateActive nodes take new work.
	StateActive State = 2
	// StateDraining nodes keep their open flows and take no new work.
	StateDraining State = 3
	// StateLeft nodes have ended by a graceful shutdown.
	StateLeft State = 4
	// StateDown nodes were found dead by others.
	StateDown State = 5
)

// String returns the name of the state used in logs and tables.
func (s State) String() string {
	switch s {
	case StateStarting:
		return "starting"
	case StateActive:
		return "active"
	case StateDraining:
		return "draining"
	case StateLeft:
		return "left"
	case StateDown:
		return "down"
	default:
		return "unknown"
	}
}

// Ended reports whether a node in this state runs no more.
func (s State) Ended() bool { return s == StateLeft || s == StateDown }

// Record is what a node announces of itself. Of two records of one node, the
// one with the higher incarnation, then the higher version, is the newer.
type Record struct {
	Node  model.NodeID
	Role  model.Role
	State State
	// Incarnation rises with each start of the node.
	Incarnation uint64
	// Version rises with each change within an incarnation.
	Version uint64
	Zone    model.Zone
	// Service is the service of the agent's target; empty for a balancer.
	Service model.Service
	// Data is the UDP address for callers' datagrams.
	Data netip.AddrPort
	// Control is the TCP address for calls.
	Control netip.AddrPort
	// Slots is the number of requests that the agent's target can run at once.
	Slots uint16
	// Relay is the TCP address at which an agent takes requests from other
	// agents of its service; invalid when it takes none.
	Relay netip.AddrPort
}

// Newer reports whether r replaces other. Of two records with the same
// incarnation and version the one with the later state is the newer, so that
// every node decides alike when a node and its watcher write the same version.
func (r Record) Newer(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	if r.Version != other.Version {
		return r.Version > other.Version
	}
	return r.State > other.State
}

// Limits of the fields of a record.
const (
	maxNameSize = 64
	// maxCounter leaves room above every accepted incarnation and version.
	maxCounter = 1 << 62
)

// birthRandomBits is the number of low bits of an incarnation that are random.
const birthRandomBits = 20

// NewIncarnation makes the incarnation of a node that starts, from the wall clock in
// milliseconds and a random number. The random part keeps two starts apart whose
// clocks show the same time.
func NewIncarnation(unixMillis int64, random uint64) uint64 {
	millis := uint64(max(unixMillis, 1))
	return millis<<birthRandomBits | random%(1<<birthRandomBits)
}

// riseAbove returns the first incarnation above another that keeps the random
// part of own, so that two starts which rise above the same do not meet.
func riseAbove(above, own uint64) uint64 {
	return (above>>birthRandomBits+1)<<birthRandomBits | own%(1<<birthRandomBits)
}

// Validate tells which field of a record is not acceptable.
func (r Record) Validate() error {
	switch {
	case r.Node == "" || len(r.Node) > maxNameSize:
		return Error.New("node: length %d is not within 1 and %d", len(r.Node), maxNameSize)
	case r.Role != RoleOf(r.Service):
		return Error.New("role: %s does not fit service %q", r.Role, r.Service)
	case r.State < StateStarting || r.State > StateDown:
		return Error.New("state: %d is not known", r.State)
	case r.Incarnation == 0 || r.Incarnation > maxCounter:
		return Error.New("incarnation: %d is out of range", r.Incarnation)
	case r.Version == 0 || r.Version > maxCounter:
		return Error.New("version: %d is out of range", r.Version)
	case len(r.Zone) > maxNameSize:
		return Error.New("zone: longer than %d bytes", maxNameSize)
	case len(r.Service) > maxNameSize:
		return Error.New("service: longer than %d bytes", maxNameSize)
	case !r.Control.IsValid() || r.Control.Port() == 0:
		return Error.New("control: %s is not an address with a port", r.Control)
	}
	return nil
}

// RoleOf returns the role of a node that serves a service; a balancer serves
// none.
func RoleOf(service model.Service) model.Role {
	if service == "" {
		return model.RoleBalancer
	}
	return model.RoleAgent
}
