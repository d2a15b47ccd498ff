package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/balsamlink/balsamlink/internal/model"
)

// BucketCount is the number of parts that two nodes compare to find the records
// in which they differ.
const BucketCount = 128

// MaxBatch is the most records in one message.
const MaxBatch = 4096

// RecordVersion identifies one version of a node's record.
type RecordVersion struct {
	Node        model.NodeID
	Incarnation uint64
	Version     uint64
	State       State
}

func (s RecordVersion) record() Record {
	return Record{Node: s.Node, Incarnation: s.Incarnation, Version: s.Version, State: s.State}
}

// Digest returns a hash over the running nodes of a scope. Two tables with the
// same digest hold the same records of running nodes.
func (t *Table) Digest(scope Scope) uint64 {
	if scope.Service == "" {
		return t.root
	}
	return t.groups[""] ^ t.groups[scope.Service]
}

// Buckets returns a hash over the running nodes of each bucket of a scope.
func (t *Table) Buckets(scope Scope) []uint32 {
	buckets := make([]uint32, BucketCount)
	for _, held := range t.entries {
		if held.record.State.Ended() || !scope.includes(held.record) {
			continue
		}
		buckets[held.bucket()] ^= uint32(held.digest())
	}
	return buckets
}

// Differing returns the buckets in which this table differs from another's.
func (t *Table) Differing(scope Scope, theirs []uint32) ([]uint8, error) {
	if len(theirs) != BucketCount {
		return nil, Error.New("buckets: %d in place of %d", len(theirs), BucketCount)
	}
	var differ []uint8
	for i, mine := range t.Buckets(scope) {
		if mine != theirs[i] {
			differ = append(differ, uint8(i))
		}
	}
	return differ, nil
}

// RecordVersions returns the stamps of the records in some buckets, gone nodes
// included.
func (t *Table) RecordVersions(scope Scope, buckets []uint8) []RecordVersion {
	chosen := bucketSet(buckets)
	var stamps []RecordVersion
	for _, held := range t.entries {
		if chosen[held.bucket()] && scope.includes(held.record) {
			stamps = append(stamps, held.stamp())
		}
	}
	return stamps
}

// Compare holds a peer's stamps of some buckets against this table. It returns
// the records that the peer lacks and the nodes of which the peer knows more.
func (t *Table) Compare(scope Scope, buckets []uint8, stamps []RecordVersion) (push []Record, want []model.NodeID) {
	theirs := make(map[model.NodeID]Record, len(stamps))
	for _, stamp := range stamps {
		theirs[stamp.Node] = stamp.record()
		if t.wants(stamp.record()) {
			want = append(want, stamp.Node)
		}
	}
	chosen := bucketSet(buckets)
	for _, held := range t.entries {
		if !chosen[held.bucket()] || !scope.includes(held.record) || len(push) == MaxBatch {
			continue
		}
		if offers(held.record, theirs) {
			push = append(push, held.record)
		}
	}
	return push, want[:min(len(want), MaxBatch)]
}

func (t *Table) wants(theirs Record) bool {
	held := t.entries[theirs.Node]
	if held == nil {
		return !theirs.State.Ended()
	}
	return theirs.Newer(held.record)
}

func offers(mine Record, theirs map[model.NodeID]Record) bool {
	other, known := theirs[mine.Node]
	if !known {
		return !mine.State.Ended()
	}
	return mine.Newer(other)
}

// Select returns the known records of some nodes, at most MaxBatch.
func (t *Table) Select(nodes []model.NodeID) []Record {
	var records []Record
	for _, node := range nodes[:min(len(nodes), MaxBatch)] {
		if held := t.entries[node]; held != nil {
			records = append(records, held.record)
		}
	}
	return records
}

func bucketSet(buckets []uint8) (set [256]bool) {
	for _, bucket := range buckets {
		set[bucket] = true
	}
	return set
}

func nodeHash(node model.NodeID) uint64 { return xxhash.Sum64String(string(node)) }

func (e *entry) bucket() uint8 { return uint8(e.hash % BucketCount) }

func (e *entry) stamp() RecordVersion {
	return RecordVersion{Node: e.record.Node, Incarnation: e.record.Incarnation, Version: e.record.Version, State: e.record.State}
}

func (e *entry) digest() uint64 {
	return mix(mix(mix(e.hash, e.record.Incarnation), e.record.Version), uint64(e.record.State))
}

// mix combines two numbers into one that depends on every bit of both.
func mix(a, b uint64) uint64 {
	x := a ^ (b+0x9e3779b97f4a7c15)*0xbf58476d1ce4e5b9
	x ^= x >> 30
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
