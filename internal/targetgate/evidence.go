package targetgate

import "github.com/balsamlink/balsamlink/internal/flow"

// Evidence is why a target certainly does not hold a flow.
type Evidence uint8

// The evidence.
const (
	// EvidenceNone is used when the target may hold the flow.
	EvidenceNone Evidence = iota
	// EvidenceTargetEnded is used when the target has ended and none has started since.
	EvidenceTargetEnded
	// EvidenceIncarnationEnded is used when the incarnation that held the flow has ended.
	EvidenceIncarnationEnded
	// EvidenceNotInTable is used when the flow is not in the table, which has every flow
	// that the target holds.
	EvidenceNotInTable
	// EvidenceReturned is used when the target has returned a packet of the flow.
	EvidenceReturned
	evidenceCount
)

// EvidenceCount is the number of kinds of evidence.
const EvidenceCount = int(evidenceCount)

var evidenceNames = [...]string{"none", "target_ended", "incarnation_ended", "not_in_table", "returned"}

// String returns the name that logs and metrics use.
func (e Evidence) String() string {
	if int(e) >= len(evidenceNames) {
		return "invalid"
	}
	return evidenceNames[e]
}

// NotHeld returns the evidence in the table that the target does not hold a flow.
func (g *Gate) NotHeld(key flow.Key) Evidence { return g.notHeld(g.flows[key]) }

// notHeld is NotHeld for the flow's entry, or for nil if it has none.
func (g *Gate) notHeld(known *entry) Evidence {
	switch {
	case g.target.Ended:
		return EvidenceTargetEnded
	case known == nil && g.flowsComplete:
		return EvidenceNotInTable
	case known != nil && known.incarnation != 0 && known.incarnation != g.target.Incarnation:
		return EvidenceIncarnationEnded
	default:
		return EvidenceNone
	}
}

// Removal is why a flow was removed from the table.
type Removal uint8

// The removals.
const (
	// RemovedClosed is used for flows that both sides have closed.
	RemovedClosed Removal = iota
	// RemovedUnopened is used for flows that did not open in time.
	RemovedUnopened
	// RemovedIdle is used for flows that were idle for longer than the idle timeout.
	RemovedIdle
	// RemovedReset is used for flows that the client or the target has reset.
	RemovedReset
	// RemovedReturned is used for flows of which the target has returned a packet.
	RemovedReturned
	// RemovedOrphaned is used for flows whose incarnation of the target has ended.
	RemovedOrphaned
	removalCount
)

// RemovalCount is the number of kinds of removal.
const RemovalCount = int(removalCount)

var removalNames = [...]string{"closed", "unopened", "idle", "reset", "returned", "orphaned"}

// String returns the name that metrics use.
func (r Removal) String() string {
	if int(r) >= len(removalNames) {
		return "invalid"
	}
	return removalNames[r]
}

// Removals returns how many flows have been removed from the table, by Removal.
func (g *Gate) Removals() [RemovalCount]int64 { return g.removals }
