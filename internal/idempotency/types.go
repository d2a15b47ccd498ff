// Package idempotency replicates the idempotency keys of a service, so that a
// request with a key runs at most once, whichever agent a retry reaches. It does
// no I/O: messages and the time are passed in, messages and decisions are
// returned.
//
// A few agents of the service are the replicas of its keys. The replica set is
// numbered by epochs and changed by compare-and-swap in the platform. A key is
// claimed at a majority of the replicas. A sealed replica rejects all further claims
// and outcomes under its replica set. Before a new replica set takes effect, enough
// replicas of the old one are sealed that no majority is left to grant a claim, and
// the records that they hold are installed in the new replicas. Safety does not
// depend on clocks, except that a record expires after its lifetime.
//
// Some names that operators search for are older: the error prefix of this package,
// and the platform's key and the log events of package claims, say "booking"; the
// log events say "roster" for a replica set; a log field and error texts of package
// claims say "homes" for replicas.
package idempotency

import (
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Error is the class of all errors of this package.
var Error = errs.Class("booking")

// RecordLifetime is how long a key is kept after it was claimed or, if an outcome
// was recorded, after the recording of the newest one.
const RecordLifetime = 120 * time.Second

// KeyID is a hash of the service, the customer and the idempotency key.
type KeyID [16]byte

// ClaimID is a random number that identifies one attempt to claim a key.
type ClaimID [16]byte

// IncarnationID is a random number that a replica draws at each start.
type IncarnationID [16]byte

// ReplicaSetID identifies one proposed replica set. Random distinguishes proposals
// of the same epoch.
type ReplicaSetID struct {
	Epoch  uint64
	Random [16]byte
}

// Member is an agent that is a replica or may be chosen as one.
type Member struct {
	Node model.NodeID `json:"node"`
	Zone model.Zone   `json:"zone"`
	// Control is the address at which the agent receives messages of other nodes.
	Control netip.AddrPort `json:"control"`
}

// ReplicaSet lists the replicas of a service. Epoch 0 means that there is none.
type ReplicaSet struct {
	ID      ReplicaSetID
	Members []Member
}

// claimQuorum is the number of replicas that have to grant a claim.
func (r ReplicaSet) claimQuorum() int { return len(r.Members)/2 + 1 }

// sealQuorum is the number of sealed replicas that leaves no majority to grant a
// claim.
func (r ReplicaSet) sealQuorum() int { return len(r.Members) - r.claimQuorum() + 1 }

// State is the recorded state of a claimed request.
type State uint8

// The states; a state is never replaced by a lower one.
const (
	// StateClaimed means that the request may still run, or that its outcome was
	// not reported.
	StateClaimed State = 1
	// StateUnknown means that the request was sent but its outcome is unknown.
	StateUnknown State = 2
	// StateAnswered means that the target has answered the request.
	StateAnswered State = 3
)

// Op is the operation that a message requests of a replica.
type Op uint8

// The operations.
const (
	// OpClaim claims Key for Claim.
	OpClaim Op = 1
	// OpRelease releases a claim whose request was not run.
	OpRelease Op = 2
	// OpOutcome records State and Answer of a claimed request.
	OpOutcome Op = 3
	// OpSeal seals the replica for ReplicaSet: claims, releases and outcomes are
	// rejected from then on. It also reads a page of the records whose keys follow
	// After.
	OpSeal Op = 4
	// OpInstall transfers the records of the proposed ReplicaSet to one of its
	// replicas, page by page.
	OpInstall Op = 5
	// OpNotify announces the replica set in force. The answer carries a newer one,
	// if the replica has it, and the replica's Incarnation.
	OpNotify Op = 6
)

// Request is a message to a replica.
type Request struct {
	Op         Op
	ReplicaSet ReplicaSetID
	Key        KeyID
	Claim      ClaimID
	State      State
	Answer     []byte
	After      KeyID
	// Page is the number of the page that OpInstall transfers, from 0. Last marks
	// the last page.
	Page    uint32
	Last    bool
	Records []Record
	// Incarnation is the incarnation of the replica that OpInstall is meant for,
	// so that a late duplicate isn't installed in a replica that has lost its
	// records in a restart since.
	Incarnation IncarnationID
	// KnownSet is the newest replica set in force that the sender knows.
	KnownSet ReplicaSet
	// Service is the sender's service. It is checked because an address may
	// meanwhile belong to an agent of another service.
	Service model.Service
}

// Status is the result of a message.
type Status uint8

// The statuses.
const (
	// StatusOK means that the operation was carried out.
	StatusOK Status = 1
	// StatusClaimed means that another claim holds the key.
	StatusClaimed Status = 2
	// StatusSealed means that the replica is sealed, since its replica set is being
	// replaced.
	StatusSealed Status = 3
	// StatusNoTable means that the replica has no complete table of keys for the
	// replica set. To OpInstall it means that the replica has restarted since, that
	// the replica set is obsolete, or that there is no table for a later page.
	StatusNoTable Status = 4
	// StatusFull means that the replica has no capacity for another key. To
	// OpInstall it also means that an earlier page is missing.
	StatusFull Status = 5
)

// Response is the answer of a replica.
type Response struct {
	Status Status
	// State and Answer are those of the claim that holds the key, with
	// StatusClaimed.
	State  State
	Answer []byte
	// Records is the page that OpSeal reads; More reports that further records
	// follow it.
	Records []Record
	More    bool
	// NewestSet is the newest replica set in force that the replica knows.
	NewestSet   ReplicaSet
	Incarnation IncarnationID
	// Leaving reports that the agent is about to stop and must not be chosen as a
	// replica.
	Leaving bool
}

// Record is the state of one key, as it is transferred between replicas.
type Record struct {
	Key    KeyID
	Claim  ClaimID
	State  State
	Answer []byte
	// TTL is the remaining lifetime of the record.
	TTL time.Duration
}

// merge combines two records of one key. If their claims differ, the result
// belongs to neither, so that neither claim can win by it later.
func (r Record) merge(other Record) Record {
	merged := r
	if other.State > r.State {
		merged = other
	}
	merged.TTL = max(r.TTL, other.TTL)
	if r.Claim != other.Claim {
		merged.Claim = ClaimID{}
	}
	return merged
}
