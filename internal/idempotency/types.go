// Package booking keeps the idempotency keys of a service so that a request
// with one runs at most once, whichever agent a repeat reaches. It is pure:
// messages and the time go in, messages and decisions come out.
//
// A few agents of the service are the homes of its keys. Their list, the roster,
// is numbered by epochs and changed by compare-and-swap in the platform. A key
// is claimed at a majority of the homes. Before a roster takes effect, so many
// homes of the old one are sealed that no majority is left, and what they hold
// is installed in the new homes. No step rests on a clock, except that a record
// is forgotten after its lifetime.
package idempotency

import (
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("booking")

// RecordLifetime is how long a key is kept after its claim or its outcome.
const RecordLifetime = 120 * time.Second

// KeyID is a hash of a service, a customer and an idempotency key.
type KeyID [16]byte

// ClaimID is a random number that names one try to claim a key.
type ClaimID [16]byte

// Boot is a random number that a home draws at each start.
type Boot [16]byte

// RosterID names one proposed roster.
type RosterID struct {
	Epoch  uint64
	Random [16]byte
}

// Member is one home of a roster.
type Member struct {
	Node    model.NodeID   `json:"node"`
	Zone    model.Zone     `json:"zone"`
	Control netip.AddrPort `json:"control"`
}

// Roster lists the homes of a service. An epoch of 0 stands for none.
type Roster struct {
	ID      RosterID
	Members []Member
}

// claimQuorum is the number of homes that have to grant a claim.
func (r Roster) claimQuorum() int { return len(r.Members)/2 + 1 }

// sealQuorum is the number of homes after whose sealing no claim can succeed.
func (r Roster) sealQuorum() int { return len(r.Members) - r.claimQuorum() + 1 }

// State is what is known of a claimed request.
type State uint8

// The states, in the order in which one replaces another.
const (
	StateClaimed  State = 1
	StateUnknown  State = 2
	StateAnswered State = 3
)

// Op is what a message asks of a home.
type Op uint8

// The operations.
const (
	// OpClaim claims Key for Claim.
	OpClaim Op = 1
	// OpRelease gives a claim back whose request was not run.
	OpRelease Op = 2
	// OpOutcome records State and Answer of a claimed request.
	OpOutcome Op = 3
	// OpSeal ends claims under Roster for good and reads the records after After.
	OpSeal Op = 4
	// OpInstall fills a home for the proposed Roster, page by page.
	OpInstall Op = 5
	// OpNotify tells of the roster in force, and asks for a newer one and for
	// the home's Boot.
	OpNotify Op = 6
)

// Request is a message to a home.
type Request struct {
	Op      Op
	Roster  RosterID
	Key     KeyID
	Claim   ClaimID
	State   State
	Answer  []byte
	After   KeyID
	Page    uint32
	Last    bool
	Records []Record
	// Boot is the start of the home that OpInstall is meant for. A late
	// duplicate must not fill a home that has lost its memory since.
	Boot Boot
	// Known is the newest roster in force that the sender knows.
	Known Roster
	// Service is the sender's. An address may belong to an agent of another
	// service by now.
	Service model.Service
}

// Status is how a home took a message.
type Status uint8

// The statuses.
const (
	// StatusDone is the answer to everything that was carried out.
	StatusDone Status = 1
	// StatusKnown tells that the key is claimed by another.
	StatusKnown Status = 2
	// StatusSealed tells that the roster is about to be replaced.
	StatusSealed Status = 3
	// StatusNoTable tells that the home has nothing for the roster.
	StatusNoTable Status = 4
	// StatusFull tells that the home has no room for another key.
	StatusFull Status = 5
)

// Response is the answer of a home.
type Response struct {
	Status  Status
	State   State
	Answer  []byte
	Records []Record
	More    bool
	// Newest is the newest roster in force that the home knows.
	Newest Roster
	Boot   Boot
	// Leaving tells that the agent wants to be no home any more.
	Leaving bool
}

// Record is what is kept of one key.
type Record struct {
	Key    KeyID
	Claim  ClaimID
	State  State
	Answer []byte
	// Left is the rest of the record's lifetime.
	Left time.Duration
}

// merge joins two records of one key. Claims that differ leave a record that
// belongs to neither, so that neither claimant can win by it any more.
func (r Record) merge(other Record) Record {
	merged := r
	if other.State > r.State {
		merged = other
	}
	merged.Left = max(r.Left, other.Left)
	if r.Claim != other.Claim {
		merged.Claim = ClaimID{}
	}
	return merged
}
