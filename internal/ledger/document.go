package ledger

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/balsamlink/balsamlink/internal/model"
)

// CeilingsKey and MeteringKey return the platform keys of a shard's documents,
// and KeeperKey that of its keeper's lease.
func CeilingsKey(id ShardID) string { return fmt.Sprintf("ledger/%d", id) }

// MeteringKey returns the platform key of a shard's metering totals.
func MeteringKey(id ShardID) string { return fmt.Sprintf("metering/%d", id) }

// OwnerKey returns the platform key of a shard's keeper.
func OwnerKey(id ShardID) string { return fmt.Sprintf("keepers/%d", id) }

// WriteID identifies one write of a shard's document, which tells after a lost
// answer whether the write took effect.
type WriteID struct {
	Fence Fence `json:"fence"`
	// OwnerID is a number that the keeper drew when it took the shard.
	OwnerID uint64 `json:"owner"`
	Write   uint64 `json:"write"`
}

// Ceilings is the persistent document of what may have been granted. No keeper
// grants beyond it, and a new keeper takes all of it as granted.
type Ceilings struct {
	WriteID
	// Closed is the newest month for which nothing is granted any more.
	Closed   Month     `json:"closed"`
	Ceilings []Ceiling `json:"ceilings"`
}

// Ceiling is the most units that may have been granted to an account.
type Ceiling struct {
	Month    Month          `json:"month"`
	Customer model.Customer `json:"customer"`
	Service  model.Service  `json:"service"`
	Units    uint64         `json:"units"`
}

// Metering is the persistent document of served units.
type Metering struct {
	Month Month   `json:"month"`
	Used  []Total `json:"used"`
	// Previous holds the totals of the month before.
	Previous []Total `json:"previous,omitempty"`
	WriteID
	Reports []CountedReport `json:"reports,omitempty"`
}

// Total is the number of units served to a customer by a service.
type Total struct {
	Customer model.Customer `json:"customer"`
	Service  model.Service  `json:"service"`
	Units    uint64         `json:"units"`
}

// CountedReport is the newest report of an agent that is in the totals.
type CountedReport struct {
	Node        model.NodeID `json:"n"`
	Incarnation uint64       `json:"i"`
	Report      uint64       `json:"r"`
	// Hour is when the report was counted, in hours since 1970.
	Hour uint32 `json:"h"`
}

// EncodeCeilings returns the stored form of a document.
func EncodeCeilings(doc Ceilings) ([]byte, error) { return encode(doc) }

// EncodeMetering returns the stored form of a document.
func EncodeMetering(doc Metering) ([]byte, error) { return encode(doc) }

func encode(doc any) ([]byte, error) {
	body, err := json.Marshal(doc)
	return body, Error.Wrap(err)
}

// DecodeCeilings reads a stored document. An empty body is an empty document.
func DecodeCeilings(body []byte) (Ceilings, error) {
	var doc Ceilings
	if len(body) == 0 {
		return doc, nil
	}
	if err := json.Unmarshal(body, &doc); err != nil {
		return Ceilings{}, Error.New("ceilings: %v", err)
	}
	return doc, nil
}

// DecodeMetering reads a stored document. An empty body is an empty document.
func DecodeMetering(body []byte) (Metering, error) {
	var doc Metering
	if len(body) == 0 {
		return doc, nil
	}
	if err := json.Unmarshal(body, &doc); err != nil {
		return Metering{}, Error.New("metering: %v", err)
	}
	return doc, nil
}

func compareAccounts(a, b Account) int {
	return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Service, b.Service))
}

func sortedAccounts[V any](m map[Account]V) []Account {
	return slices.SortedFunc(maps.Keys(m), compareAccounts)
}
