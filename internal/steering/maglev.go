package steering

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamlink/balsamlink/internal/model"
)

// slotsPerTarget is the minimum number of slots of a Maglev table for each of its
// targets. It limits the error of the shares of equal targets to about one part in
// slotsPerTarget.
const slotsPerTarget = 101

// maglevTable is a weighted Maglev hash table over the targets of one service. Its
// content depends only on the set of targets, not on their order or on earlier tables.
type maglevTable struct {
	targets []Target
	// slots holds indices of targets.
	slots []uint16
	// size is len(slots), a prime, so that each slotIterator visits every slot; 0 for
	// an empty table.
	size uint64
}

// newMaglevTable returns a filled table. Targets with weight 0 get no slots.
func newMaglevTable(targets []Target) *maglevTable {
	weighted := make([]Target, 0, len(targets))
	for _, target := range targets {
		if target.Weight > 0 {
			weighted = append(weighted, target)
		}
	}
	slices.SortFunc(weighted, func(a, b Target) int { return cmp.Compare(a.Node, b.Node) })
	if len(weighted) == 0 {
		return &maglevTable{}
	}
	size := primeFrom(uint64(len(weighted)) * slotsPerTarget)
	table := &maglevTable{targets: weighted, slots: make([]uint16, size), size: size}
	table.fill()
	return table
}

// slotIterator iterates over a target's own permutation of the slots: next is the slot
// to try, skip the distance to the one after it.
type slotIterator struct {
	next, skip uint64
	// credit grows by the target's weight in each round of fill; a slot costs the
	// largest weight of all targets.
	credit uint32
}

func newSlotIterator(node model.NodeID, size uint64) slotIterator {
	sum := xxhash.Sum64String(string(node))
	var encoded [8]byte
	binary.LittleEndian.PutUint64(encoded[:], sum)
	return slotIterator{next: sum % size, skip: xxhash.Sum64(encoded[:])%(size-1) + 1}
}

// fill assigns the slots in rounds: in each round, every target with enough credit takes
// its next free slot.
func (m *maglevTable) fill() {
	const empty = ^uint16(0)
	for i := range m.slots {
		m.slots[i] = empty
	}
	iterators := make([]slotIterator, len(m.targets))
	heaviest := uint32(0)
	for i, target := range m.targets {
		iterators[i] = newSlotIterator(target.Node, m.size)
		heaviest = max(heaviest, uint32(target.Weight))
	}
	for free := m.size; free > 0; {
		for i := range iterators {
			it := &iterators[i]
			it.credit += uint32(m.targets[i].Weight)
			if it.credit < heaviest {
				continue
			}
			it.credit -= heaviest
			for m.slots[it.next] != empty {
				it.next = (it.next + it.skip) % m.size
			}
			m.slots[it.next] = uint16(i)
			if free--; free == 0 {
				return
			}
		}
	}
}

// pick returns the target for a hash and a different target as its alternate. The
// alternate is nil when there is only one target, and both are nil when there is none.
func (m *maglevTable) pick(hash uint64) (*Target, *Target) {
	if len(m.targets) == 0 {
		return nil, nil
	}
	first := m.slots[hash%m.size]
	if len(m.targets) == 1 {
		return &m.targets[first], nil
	}
	alternateHash := hash/m.size + 1
	for range maxAlternateAttempts {
		alternate := m.slots[alternateHash%m.size]
		if alternate != first {
			return &m.targets[first], &m.targets[alternate]
		}
		alternateHash = alternateHash*alternateFactor + 1
	}
	return &m.targets[first], &m.targets[(int(first)+1)%len(m.targets)]
}

const (
	// maxAlternateAttempts is the number of slots that pick looks up for an alternate.
	// If all hold the first target, the alternate is the next target in the list.
	maxAlternateAttempts = 8
	// alternateFactor is the multiplier of a full-period linear congruential
	// generator modulo 2^64.
	alternateFactor = 6364136223846793005
)

// primeFrom returns the smallest prime that is at least n.
func primeFrom(n uint64) uint64 {
	for candidate := max(n, 3); ; candidate++ {
		if isPrime(candidate) {
			return candidate
		}
	}
}

func isPrime(n uint64) bool {
	for divisor := uint64(2); divisor*divisor <= n; divisor++ {
		if n%divisor == 0 {
			return false
		}
	}
	return n > 1
}
