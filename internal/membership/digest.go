package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/balsamlink/balsamlink/internal/model"
)

// BucketCount is the number of hash buckets that two nodes compare to find the
// records in which they differ.
const BucketCount = 128

// MaxBatch is the maximum number of records in one message.
const MaxBatch = 4096

// RecordVersion identifies one version of a node's record.
type RecordVersion struct {
	Node        model.NodeID
	Incarnation uint64
	Version     uint64
	State       State
}

// asRecord returns a record with only the fields that Record.Newer compares.
func (v RecordVersion) asRecord() Record {
	return Record{Node: v.Node, Incarnation: v.Incarnation, Version: v.Version, State: v.State}
}

// Digest returns a hash over the running nodes of a scope. Up to hash
// collisions, tables with equal digests hold the same records of running nodes.
func (t *Table) Digest(scope Scope) uint64 {
	if scope.Service == "" {
		return t.totalDigest
	}
	return t.groupDigests[""] ^ t.groupDigests[scope.Service]
}

// Buckets returns, for each bucket, a hash over the running nodes of a scope.
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

// Differing returns the numbers of the buckets whose hashes differ from theirs.
// It returns an error if theirs does not have BucketCount elements.
func (t *Table) Differing(scope Scope, theirs []uint32) ([]uint8, error) {
	if len(theirs) != BucketCount {
		return nil, Error.New("buckets: got %d, want %d", len(theirs), BucketCount)
	}
	var differ []uint8
	for i, mine := range t.Buckets(scope) {
		if mine != theirs[i] {
			differ = append(differ, uint8(i))
		}
	}
	return differ, nil
}

// RecordVersions returns the versions of the records in the given buckets,
// including those of ended nodes.
func (t *Table) RecordVersions(scope Scope, buckets []uint8) []RecordVersion {
	chosen := bucketSet(buckets)
	var versions []RecordVersion
	for _, held := range t.entries {
		if chosen[held.bucket()] && scope.includes(held.record) {
			versions = append(versions, held.version())
		}
	}
	return versions
}

// Compare compares a peer's record versions of the given buckets with this
// table. It returns the records that are newer here or that the peer lacks, and
// the nodes whose records are newer at the peer, at most MaxBatch of each.
func (t *Table) Compare(scope Scope, buckets []uint8, versions []RecordVersion) (push []Record, want []model.NodeID) {
	theirs := make(map[model.NodeID]Record, len(versions))
	for _, version := range versions {
		theirs[version.Node] = version.asRecord()
		if t.shouldRequest(version.asRecord()) {
			want = append(want, version.Node)
		}
	}
	chosen := bucketSet(buckets)
	for _, held := range t.entries {
		if !chosen[held.bucket()] || !scope.includes(held.record) || len(push) == MaxBatch {
			continue
		}
		if shouldPush(held.record, theirs) {
			push = append(push, held.record)
		}
	}
	return push, want[:min(len(want), MaxBatch)]
}

func (t *Table) shouldRequest(theirs Record) bool {
	held := t.entries[theirs.Node]
	if held == nil {
		return !theirs.State.Ended()
	}
	return theirs.Newer(held.record)
}

func shouldPush(mine Record, theirs map[model.NodeID]Record) bool {
	other, known := theirs[mine.Node]
	if !known {
		return !mine.State.Ended()
	}
	return mine.Newer(other)
}

// Select returns the known records of the given nodes, at most MaxBatch.
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

func (e *entry) version() RecordVersion {
	return RecordVersion{Node: e.record.Node, Incarnation: e.record.Incarnation, Version: e.record.Version, State: e.record.State}
}

func (e *entry) digest() uint64 {
	return mix(mix(mix(e.hash, e.record.Incarnation), e.record.Version), uint64(e.record.State))
}

// mix combines two numbers into a hash that depends on every bit of both. The
// constants are those of SplitMix64.
func mix(a, b uint64) uint64 {
	x := a ^ (b+0x9e3779b97f4a7c15)*0xbf58476d1ce4e5b9
	x ^= x >> 30
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
