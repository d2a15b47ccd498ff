package ledger

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/balsamlink/balsamlink/internal/model"
)

// CeilingsKey returns the platform key of a shard's ceilings document.
func CeilingsKey(id ShardID) string { return fmt.Sprintf("ledger/%d", id) }

// MeteringKey returns the platform key of a shard's metering totals.
func MeteringKey(id ShardID) string { return fmt.Sprintf("metering/%d", id) }

// OwnerKey returns the platform key of the record that a shard's owner keeps
// under its lease. Stored keys call an owner "keeper".
func OwnerKey(id ShardID) string { return fmt.Sprintf("keepers/%d", id) }

// WriteID identifies one write of a shard's document. After a write with an
// unknown outcome, comparing the stored WriteID shows whether the write took
// effect.
type WriteID struct {
	Fence Fence `json:"fence"`
	// OwnerID is a random number that the owner drew when it took over the shard.
	OwnerID uint64 `json:"owner"`
	// Write counts the writes of this owner, of both documents together.
	Write uint64 `json:"write"`
}

// Ceilings is the persistent upper bound of the units granted per account. An
// owner never grants beyond it, and a new owner counts all of it as granted.
type Ceilings struct {
	WriteID
	// Closed is the newest month for which no more units are granted.
	Closed   Month     `json:"closed"`
	Ceilings []Ceiling `json:"ceilings"`
}

// Ceiling is the maximum number of units that may have been granted to an
// account in a month.
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
	// Previous holds the totals of the preceding month.
	Previous []Total `json:"previous,omitempty"`
	WriteID
	Reports []CountedReport `json:"reports,omitempty"`
}

// Total is the number of units of a service served to a customer.
type Total struct {
	Customer model.Customer `json:"customer"`
	Service  model.Service  `json:"service"`
	Units    uint64         `json:"units"`
}

// CountedReport identifies the newest report of an agent that is included in
// the totals. It prevents counting a repeated report twice.
type CountedReport struct {
	Node        model.NodeID `json:"n"`
	Incarnation uint64       `json:"i"`
	Report      uint64       `json:"r"`
	// Hour is the time at which the report was counted, in hours since 1970.
	Hour uint32 `json:"h"`
}

// EncodeCeilings returns the stored JSON form of a document.
func EncodeCeilings(doc Ceilings) ([]byte, error) { return encode(doc) }

// EncodeMetering returns the stored JSON form of a document.
func EncodeMetering(doc Metering) ([]byte, error) { return encode(doc) }

func encode(doc any) ([]byte, error) {
	body, err := json.Marshal(doc)
	return body, Error.Wrap(err)
}

// DecodeCeilings parses a stored document. An empty body yields an empty
// document.
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

// DecodeMetering parses a stored document. An empty body yields an empty
// document.
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
