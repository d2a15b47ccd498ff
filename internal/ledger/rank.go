package ledger

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
)

// Rank orders the active balancers by rendezvous hash. All nodes with the same
// membership view get the same candidates for the owner of a shard, and the
// shards are spread evenly over the balancers.
func Rank(id ShardID, records []membership.Record) []membership.Record {
	type candidate struct {
		record membership.Record
		weight uint64
	}
	var candidates []candidate
	for _, record := range records {
		if record.Role == model.RoleBalancer && record.State == membership.StateActive {
			candidates = append(candidates, candidate{record, rendezvous(id, record.Node)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.record.Node, b.record.Node))
	})
	ranked := make([]membership.Record, 0, len(candidates))
	for _, candidate := range candidates {
		ranked = append(ranked, candidate.record)
	}
	return ranked
}

// rendezvous returns the weight of a node for a shard. The node with the highest
// weight ranks first.
func rendezvous(id ShardID, node model.NodeID) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(node), uint64(id)))
}
