// Package membership decides what is known about the nodes of a deployment:
// which record of a node is the newest, which nodes are gone, and what to tell
// whom. It is pure: events and the time go in, effects come out.
package membership

import (
	"net/netip"

	"github.com/balsamlink/balsamlink/internal/model"
)

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

// Gone reports whether a node in this state runs no more.
func (s State) Gone() bool { return s == StateLeft || s == StateDown }

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
}

// Newer reports whether r replaces other.
func (r Record) Newer(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Version > other.Version
}

// View is an immutable set of records, in node order.
type View struct {
	Records []Record
}
