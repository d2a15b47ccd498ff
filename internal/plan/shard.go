package plan

import (
	"github.com/cespare/xxhash/v2"

	"github.com/balsamlink/balsamlink/internal/model"
)

// ShardCount is the number of shards that customers fall into. All nodes of a
// deployment must agree on it, and stored ledgers depend on it.
const ShardCount = 64

// Shard numbers one shard of customers, from 0 to ShardCount-1.
type Shard uint16

// ShardOf returns the shard of a customer. It never changes.
func ShardOf(customer model.Customer) Shard {
	return Shard(xxhash.Sum64String(string(customer)) % ShardCount)
}
