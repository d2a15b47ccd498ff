package steering

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamlink/balsamlink/internal/model"
)

// slotsPerTarget determines the size of a lookup table. It limits the error of the
// shares of equal targets to about one part in slotsPerTarget.
const slotsPerTarget = 101

// lookup is a weighted Maglev table over the targets of one service. Its content
// depends only on the set of targets, not on their order or on earlier tables.
type lookup struct {
	targets []Target
	slots   []uint16
	// size is len(slots), a prime; 0 for an empty table.
	size uint64
}

// newLookup fills a table. Targets with weight 0 get no slots.
func newLookup(targets []Target) *lookup {
	weighted := make([]Target, 0, len(targets))
	for _, target := range targets {
		if target.Weight > 0 {
			weighted = append(weighted, target)
		}
	}
	slices.SortFunc(weighted, func(a, b Target) int { return cmp.Compare(a.Node, b.Node) })
	if len(weighted) == 0 {
		return &lookup{}
	}
	size := primeFrom(uint64(len(weighted)) * slotsPerTarget)
	table := &lookup{targets: weighted, slots: make([]uint16, size), size: size}
	table.fill()
	return table
}

// walker iterates over a target's own permutation of the slots: next is the slot to try,
// skip the distance to the one after it.
type walker struct {
	next, skip uint64
	// credit grows by the target's weight in each round; a slot costs the largest
	// weight of all targets.
	credit uint32
}

func newWalker(node model.NodeID, size uint64) walker {
	sum := xxhash.Sum64String(string(node))
	var encoded [8]byte
	binary.LittleEndian.PutUint64(encoded[:], sum)
	return walker{next: sum % size, skip: xxhash.Sum64(encoded[:])%(size-1) + 1}
}

func (l *lookup) fill() {
	const empty = ^uint16(0)
	for i := range l.slots {
		l.slots[i] = empty
	}
	walkers := make([]walker, len(l.targets))
	heaviest := uint32(0)
	for i, target := range l.targets {
		walkers[i] = newWalker(target.Node, l.size)
		heaviest = max(heaviest, uint32(target.Weight))
	}
	for left := l.size; left > 0; {
		for i := range walkers {
			w := &walkers[i]
			w.credit += uint32(l.targets[i].Weight)
			if w.credit < heaviest {
				continue
			}
			w.credit -= heaviest
			for l.slots[w.next] != empty {
				w.next = (w.next + w.skip) % l.size
			}
			l.slots[w.next] = uint16(i)
			if left--; left == 0 {
				return
			}
		}
	}
}

// pair returns two different targets for a hash. The second is nil when there is only
// one target, and both are nil when there is none.
func (l *lookup) pair(hash uint64) (*Target, *Target) {
	if len(l.targets) == 0 {
		return nil, nil
	}
	first := l.slots[hash%l.size]
	if len(l.targets) == 1 {
		return &l.targets[first], nil
	}
	other := hash/l.size + 1
	for range maxAlternateTries {
		second := l.slots[other%l.size]
		if second != first {
			return &l.targets[first], &l.targets[second]
		}
		other = other*alternateFactor + 1
	}
	return &l.targets[first], &l.targets[(int(first)+1)%len(l.targets)]
}

const (
	maxAlternateTries = 8
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
