package membership

import (
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Limits of a table.
const (
	// MaxRecords is the most records that a table keeps, gone nodes included.
	MaxRecords = 16384
	// Retention is how long the record of a gone node is kept, so that an older
	// record of it is recognised as such.
	Retention = 2 * time.Hour
	// StaleAfter is how long a node may be out of contact before it has to
	// forget what it knows of others. It is shorter than Retention, so that no
	// node brings back what the others have already forgotten.
	StaleAfter = Retention / 2
	// raiseInterval is the shortest time between two raises of the own
	// incarnation. It bounds the work when two processes use one name.
	raiseInterval = time.Second
)

// Scope selects the records that a node needs: all records, or all balancers
// and the agents of one service.
type Scope struct {
	// Service is empty for all records.
	Service model.Service
}

// includes reports whether a node of this scope needs a record.
func (s Scope) includes(record Record) bool {
	return s.Service == "" || record.Role == model.RoleBalancer || record.Service == s.Service
}

// Outcome tells what a merge did.
type Outcome uint8

// The outcomes of a merge.
const (
	// OutcomeUnchanged means that nothing changed.
	OutcomeUnchanged Outcome = iota
	// OutcomeChanged means that the record was taken over.
	OutcomeChanged
	// OutcomeRaised means that the own record rose above the merged one.
	OutcomeRaised
)

// Table holds the newest known record of each node.
type Table struct {
	self    model.NodeID
	scope   Scope
	entries map[model.NodeID]*entry
	// groups holds the digest of the running agents of each service and, under
	// the empty name, of the running balancers.
	groups map[model.Service]uint64
	root   uint64

	raisedAt Instant
	raised   bool
}

// Instant is shortened for this package's readers.
type Instant = model.Instant

type entry struct {
	record Record
	hash   uint64
	goneAt Instant
}

// NewTable makes a table that knows only the node's own record.
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
	t.groups = map[model.Service]uint64{}
	t.root = 0
}

// Self returns the own record.
func (t *Table) Self() Record { return t.entries[t.self].record }

// Len returns the number of records, gone nodes included.
func (t *Table) Len() int { return len(t.entries) }

// Get returns the record of a node.
func (t *Table) Get(node model.NodeID) (Record, bool) {
	held := t.entries[node]
	if held == nil {
		return Record{}, false
	}
	return held.record, true
}

// Update changes the own record and gives it the next version.
func (t *Table) Update(change func(*Record)) Record {
	held := t.entries[t.self]
	next := held.record
	change(&next)
	next.Version++
	t.store(held, next, 0)
	return next
}

// Merge takes over a record that is newer than the known one. Of the own record
// no other is taken: a newer one makes the own rise above it.
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
		return OutcomeUnchanged, Error.New("%d records are held, %s finds no room", MaxRecords, record.Node)
	}
	t.store(&entry{hash: nodeHash(record.Node)}, record, now)
	return OutcomeChanged, nil
}

// evict forgets the node that has been gone for the longest time.
func (t *Table) evict() bool {
	var oldest *entry
	for _, held := range t.entries {
		if held.record.State.Ended() && (oldest == nil || held.goneAt < oldest.goneAt) {
			oldest = held
		}
	}
	if oldest == nil {
		return false
	}
	t.remove(oldest)
	return true
}

// refute raises the own record above what others hold for it.
func (t *Table) refute(claim Record, now Instant) Outcome {
	held := t.entries[t.self]
	if !claim.Newer(held.record) {
		return OutcomeUnchanged
	}
	next := held.record
	if claim.Incarnation == next.Incarnation {
		next.Version = claim.Version + 1
		t.store(held, next, now)
		return OutcomeRaised
	}
	return t.raise(claim.Incarnation, now)
}

// raise lifts the own incarnation above another.
func (t *Table) raise(above uint64, now Instant) Outcome {
	if t.raised && now.Sub(t.raisedAt) < raiseInterval {
		return OutcomeUnchanged
	}
	t.raised, t.raisedAt = true, now
	held := t.entries[t.self]
	next := held.record
	next.Incarnation = riseAbove(above, next.Incarnation)
	next.Version = 1
	t.store(held, next, now)
	return OutcomeRaised
}

// MarkDown records that a node of that incarnation was found dead. It reports
// the new record, or false when the node has changed since.
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

// ClaimAddress raises the own incarnation when another running record claims
// an address of this node with a higher one: this process is bound to it, so
// the other is gone.
func (t *Table) ClaimAddress(now Instant) Outcome {
	own := t.Self()
	if own.State.Ended() {
		return OutcomeUnchanged
	}
	var above uint64
	for _, held := range t.entries {
		if contends(held.record, own) {
			above = max(above, held.record.Incarnation)
		}
	}
	if above == 0 {
		return OutcomeUnchanged
	}
	return t.raise(above, now)
}

func contends(other, own Record) bool {
	if other.Node == own.Node || other.State.Ended() || other.Incarnation < own.Incarnation {
		return false
	}
	return other.Control == own.Control || sameData(other.Data, own.Data)
}

func sameData(a, b netip.AddrPort) bool { return a.IsValid() && a == b }

// Expire forgets nodes that have been gone for the retention time.
func (t *Table) Expire(now Instant) {
	for _, held := range t.entries {
		if held.record.State.Ended() && held.record.Node != t.self && now.Sub(held.goneAt) >= Retention {
			t.remove(held)
		}
	}
}

// DropPeers drops all records but the own one. A node that was out of contact for
// StaleAfter calls it before it tells others anything.
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

// store puts a record into an entry and keeps the digests right.
func (t *Table) store(held *entry, record Record, now Instant) {
	t.toggle(held)
	if record.State.Ended() && !held.record.State.Ended() {
		held.goneAt = now
	}
	held.record = record
	t.entries[record.Node] = held
	t.toggle(held)
}

func (t *Table) remove(held *entry) {
	t.toggle(held)
	delete(t.entries, held.record.Node)
}

// toggle adds an entry's stamp to the digests, or takes it out again.
func (t *Table) toggle(held *entry) {
	if held.record.Node == "" || held.record.State.Ended() {
		return
	}
	stamp := held.digest()
	t.root ^= stamp
	t.groups[held.record.Service] ^= stamp
	if t.groups[held.record.Service] == 0 {
		delete(t.groups, held.record.Service)
	}
}

// DownBalancers returns the control addresses of balancers that were found dead
// and are not forgotten yet.
func (t *Table) DownBalancers() []netip.AddrPort {
	var down []netip.AddrPort
	for _, held := range t.entries {
		if held.record.State == StateDown && held.record.Role == model.RoleBalancer {
			down = append(down, held.record.Control)
		}
	}
	return down
}
