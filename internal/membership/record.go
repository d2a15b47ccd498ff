// Package membership maintains the state of the nodes of the QUIC path (those of
// the packet path have packetnode.NodeTable): the newest record of each node,
// failure detection, choice of watchers, and freshness. A watcher is a balancer to
// which a node sends heartbeats. A node is fresh while it is known to have held the
// newest out-of-service document, which lists the zones and targets that are out of
// service, within FreshnessLimit. That document is stored in the platform, which is
// the external key-value store. The package does no I/O and reads no clock: events
// and instants are passed in, and methods return what the caller has to send or log.
package membership

import (
	"net/netip"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Error is the class of all errors of this package.
var Error = errs.Class("membership")

// State is the lifecycle state of a node, announced by the node itself or, for
// StateDown, by a watcher.
type State uint8

// The states of a node, in lifecycle order.
const (
	// StateStarting nodes do not accept work yet.
	StateStarting State = 1
	// StateActive nodes accept new work.
	StateActive State = 2
	// StateDraining nodes keep their open flows and accept no new work.
	StateDraining State = 3
	// StateLeft nodes have shut down gracefully.
	StateLeft State = 4
	// StateDown nodes were marked down by a watcher.
	StateDown State = 5
)

// String returns the name of the state used in logs and status reports.
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

// Ended reports whether a node in this state no longer runs.
func (s State) Ended() bool { return s == StateLeft || s == StateDown }

// Record is a node's announcement of itself. Of two records of one node, the
// one with the higher incarnation, then the higher version, is newer.
type Record struct {
	Node  model.NodeID
	Role  model.Role
	State State
	// Incarnation increases with each start of the node.
	Incarnation uint64
	// Version increases with each change within an incarnation.
	Version uint64
	Zone    model.Zone
	// Service is the service of the agent's target; empty for a balancer.
	Service model.Service
	// Data is the UDP address that receives callers' datagrams.
	Data netip.AddrPort
	// Control is the TCP address that serves RPCs.
	Control netip.AddrPort
	// Slots is the number of requests that the agent's target can run
	// concurrently.
	Slots uint16
	// Relay is the TCP address at which an agent accepts requests from other
	// agents of its service; invalid if it accepts none.
	Relay netip.AddrPort
}

// Newer reports whether r replaces other. Of two records with the same
// incarnation and version, the one with the later state is newer, so that all
// nodes reach the same result when a node and its watcher write the same
// version.
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
	// maxNameSize is the maximum length of a name, in bytes.
	maxNameSize = 64
	// maxCounter leaves headroom above every accepted incarnation and version,
	// so that they can still be increased.
	maxCounter = 1 << 62
)

// incarnationRandomBits is the number of random low bits of an incarnation.
const incarnationRandomBits = 20

// NewIncarnation returns the incarnation of a starting node, made of the wall
// clock in Unix milliseconds and a random number. The random part distinguishes
// two starts at the same clock reading.
func NewIncarnation(unixMillis int64, random uint64) uint64 {
	millis := uint64(max(unixMillis, 1))
	return millis<<incarnationRandomBits | random%(1<<incarnationRandomBits)
}

// incarnationAbove returns the next incarnation above another, with the random
// part of own, so that two processes that raise theirs above the same
// incarnation get different ones.
func incarnationAbove(above, own uint64) uint64 {
	return (above>>incarnationRandomBits+1)<<incarnationRandomBits | own%(1<<incarnationRandomBits)
}

// Validate returns an error that names the first invalid field, or nil.
func (r Record) Validate() error {
	switch {
	case r.Node == "" || len(r.Node) > maxNameSize:
		return Error.New("node: length %d is not between 1 and %d", len(r.Node), maxNameSize)
	case r.Role != RoleOf(r.Service):
		return Error.New("role: %s does not match service %q", r.Role, r.Service)
	case r.State < StateStarting || r.State > StateDown:
		return Error.New("state: %d is unknown", r.State)
	case r.Incarnation == 0 || r.Incarnation > maxCounter:
		return Error.New("incarnation: %d is out of range", r.Incarnation)
	case r.Version == 0 || r.Version > maxCounter:
		return Error.New("version: %d is out of range", r.Version)
	case len(r.Zone) > maxNameSize:
		return Error.New("zone: longer than %d bytes", maxNameSize)
	case len(r.Service) > maxNameSize:
		return Error.New("service: longer than %d bytes", maxNameSize)
	case !r.Control.IsValid() || r.Control.Port() == 0:
		return Error.New("control: %s is not a valid address with a port", r.Control)
	}
	return nil
}

// RoleOf returns the role of a node that serves a service. The empty service
// means a balancer.
func RoleOf(service model.Service) model.Role {
	if service == "" {
		return model.RoleBalancer
	}
	return model.RoleAgent
}
