package membership

import (
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Limits of a table.
const (
	// MaxRecords is the maximum number of records in a table, including those
	// of ended nodes.
	MaxRecords = 16384
	// Retention is how long the record of an ended node is kept, so that an
	// older record of it is recognised as outdated.
	Retention = 2 * time.Hour
	// StaleAfter is how long a node may be out of contact before it must drop
	// its records of other nodes. It is shorter than Retention, so that no node
	// reintroduces a node that the others have already expired.
	StaleAfter = Retention / 2
	// raiseInterval is the minimum interval between two increases of this
	// node's incarnation. It bounds the work when two processes use the same
	// name.
	raiseInterval = time.Second
)

// Scope selects the records that a node needs: all records, or all balancers
// and the agents of one service.
type Scope struct {
	// Service is empty to select all records.
	Service model.Service
}

// includes reports whether a node of this scope needs a record.
func (s Scope) includes(record Record) bool {
	return s.Service == "" || record.Role == model.RoleBalancer || record.Service == s.Service
}

// Outcome is the result of a merge.
type Outcome uint8

// The outcomes of a merge.
const (
	// OutcomeUnchanged means that the table was not changed.
	OutcomeUnchanged Outcome = iota
	// OutcomeChanged means that the merged record replaced the known one.
	OutcomeChanged
	// OutcomeRaised means that this node's record was raised above the merged
	// one.
	OutcomeRaised
)

// Table holds the newest known record of each node.
type Table struct {
	self    model.NodeID
	scope   Scope
	entries map[model.NodeID]*entry
	// groupDigests holds the digest of the running agents of each service and,
	// under the empty name, of the running balancers. totalDigest covers all
	// running nodes.
	groupDigests map[model.Service]uint64
	totalDigest  uint64

	// raisedAt is when this node's incarnation was last increased; raised is
	// false until then.
	raisedAt Instant
	raised   bool
}

// Instant is an alias for model.Instant.
type Instant = model.Instant

type entry struct {
	record  Record
	hash    uint64
	endedAt Instant
}

// NewTable returns a table that contains only the node's own record. It returns
// an error if that record is invalid.
func NewTable(self Record, scope Scope) (*Table, error) {
	if err := self.Validate(); err != nil {
		return nil, err
	}
	t := &Table{self: self.Node, scope: scope}
	t.clear()
	t.store(&entry{hash: nodeHash(self.Node)}, self, 0)
	return t, nil
}

func (t *Table) clear() {
	t.entries = map[model.NodeID]*entry{}
	t.groupDigests = map[model.Service]uint64{}
	t.totalDigest = 0
}

// Self returns the node's own record.
func (t *Table) Self() Record { return t.entries[t.self].record }

// Len returns the number of records, including those of ended nodes.
func (t *Table) Len() int { return len(t.entries) }

// Get returns the record of a node, and false if it is unknown.
func (t *Table) Get(node model.NodeID) (Record, bool) {
	held := t.entries[node]
	if held == nil {
		return Record{}, false
	}
	return held.record, true
}

// Update changes this node's record, increments its version and returns it.
func (t *Table) Update(change func(*Record)) Record {
	held := t.entries[t.self]
	next := held.record
	change(&next)
	next.Version++
	t.store(held, next, 0)
	return next
}

// Merge replaces the known record of a node by a newer one. It returns an error
// if the record is invalid or the table is full. Records outside the scope and
// ended nodes that are not in the table are ignored. This node's record is never
// replaced: a newer record of this node makes the table raise its own above it.
func (t *Table) Merge(record Record, now Instant) (Outcome, error) {
	if err := record.Validate(); err != nil {
		return OutcomeUnchanged, err
	}
	if record.Node == t.self {
		return t.refute(record, now), nil
	}
	if !t.scope.includes(record) {
		return OutcomeUnchanged, nil
	}
	held := t.entries[record.Node]
	if held == nil {
		return t.add(record, now)
	}
	if !record.Newer(held.record) {
		return OutcomeUnchanged, nil
	}
	t.store(held, record, now)
	return OutcomeChanged, nil
}

func (t *Table) add(record Record, now Instant) (Outcome, error) {
	if record.State.Ended() {
		return OutcomeUnchanged, nil
	}
	if len(t.entries) >= MaxRecords && !t.evict() {
		return OutcomeUnchanged, Error.New("table is full with %d records, cannot add %s", MaxRecords, record.Node)
	}
	t.store(&entry{hash: nodeHash(record.Node)}, record, now)
	return OutcomeChanged, nil
}

// evict removes the node that ended first. It returns false if no node has
// ended.
func (t *Table) evict() bool {
	var oldest *entry
	for _, held := range t.entries {
		if held.record.State.Ended() && (oldest == nil || held.endedAt < oldest.endedAt) {
			oldest = held
		}
	}
	if oldest == nil {
		return false
	}
	t.remove(oldest)
	return true
}

// refute raises this node's record above a newer one that other nodes hold for
// it.
func (t *Table) refute(reported Record, now Instant) Outcome {
	held := t.entries[t.self]
	if !reported.Newer(held.record) {
		return OutcomeUnchanged
	}
	next := held.record
	if reported.Incarnation == next.Incarnation {
		next.Version = reported.Version + 1
		t.store(held, next, now)
		return OutcomeRaised
	}
	return t.raise(reported.Incarnation, now)
}

// raise raises this node's incarnation above another, at most once per
// raiseInterval.
func (t *Table) raise(above uint64, now Instant) Outcome {
	if t.raised && now.Sub(t.raisedAt) < raiseInterval {
		return OutcomeUnchanged
	}
	t.raised, t.raisedAt = true, now
	held := t.entries[t.self]
	next := held.record
	next.Incarnation = incarnationAbove(above, next.Incarnation)
	next.Version = 1
	t.store(held, next, now)
	return OutcomeRaised
}

// MarkDown marks a node of the given incarnation as down. It returns the new
// record, or false if the node has ended or changed its incarnation since, or
// is this node.
func (t *Table) MarkDown(node model.NodeID, incarnation uint64, now Instant) (Record, bool) {
	held := t.entries[node]
	if node == t.self || held == nil || held.record.Incarnation != incarnation || held.record.State.Ended() {
		return Record{}, false
	}
	next := held.record
	next.State = StateDown
	next.Version++
	t.store(held, next, now)
	return next, true
}

// ClaimAddress raises this node's incarnation if another running record with
// the same or a higher incarnation has an address of this node. This process is
// bound to the address, so the other process has ended.
func (t *Table) ClaimAddress(now Instant) Outcome {
	own := t.Self()
	if own.State.Ended() {
		return OutcomeUnchanged
	}
	var above uint64
	for _, held := range t.entries {
		if conflicts(held.record, own) {
			above = max(above, held.record.Incarnation)
		}
	}
	if above == 0 {
		return OutcomeUnchanged
	}
	return t.raise(above, now)
}

// conflicts reports whether another node's record claims an address of this
// node with the same or a higher incarnation.
func conflicts(other, own Record) bool {
	if other.Node == own.Node || other.State.Ended() || other.Incarnation < own.Incarnation {
		return false
	}
	return other.Control == own.Control || sameDataAddress(other.Data, own.Data)
}

func sameDataAddress(a, b netip.AddrPort) bool { return a.IsValid() && a == b }

// Expire removes nodes that ended at least Retention ago.
func (t *Table) Expire(now Instant) {
	for _, held := range t.entries {
		if held.record.State.Ended() && held.record.Node != t.self && now.Sub(held.endedAt) >= Retention {
			t.remove(held)
		}
	}
}

// DropPeers removes all records except this node's. A node that was out of
// contact for StaleAfter must call it before it sends records to others.
func (t *Table) DropPeers() {
	own := t.entries[t.self]
	t.clear()
	t.store(&entry{hash: own.hash}, own.record, 0)
}

// View returns the running nodes.
func (t *Table) View() *View {
	running := make([]Record, 0, len(t.entries))
	for _, held := range t.entries {
		if !held.record.State.Ended() {
			running = append(running, held.record)
		}
	}
	return newView(running)
}

// store puts a record into an entry and updates the digests.
func (t *Table) store(held *entry, record Record, now Instant) {
	t.toggleDigest(held)
	if record.State.Ended() && !held.record.State.Ended() {
		held.endedAt = now
	}
	held.record = record
	t.entries[record.Node] = held
	t.toggleDigest(held)
}

func (t *Table) remove(held *entry) {
	t.toggleDigest(held)
	delete(t.entries, held.record.Node)
}

// toggleDigest adds an entry to the digests, or removes it if it is included.
// Ended nodes and new entries without a record are not part of the digests.
func (t *Table) toggleDigest(held *entry) {
	if held.record.Node == "" || held.record.State.Ended() {
		return
	}
	digest := held.digest()
	t.totalDigest ^= digest
	t.groupDigests[held.record.Service] ^= digest
	if t.groupDigests[held.record.Service] == 0 {
		delete(t.groupDigests, held.record.Service)
	}
}

// DownBalancers returns the control addresses of the balancers that are marked
// down and have not expired yet.
func (t *Table) DownBalancers() []netip.AddrPort {
	var down []netip.AddrPort
	for _, held := range t.entries {
		if held.record.State == StateDown && held.record.Role == model.RoleBalancer {
			down = append(down, held.record.Control)
		}
	}
	return down
}
