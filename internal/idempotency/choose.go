package idempotency

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamlink/balsamlink/internal/model"
)

// The number of homes: two failures at once are borne with the larger.
const (
	homesLarge = 5
	homesSmall = 3
)

// Choose picks the homes of a service among its agents, spread over the
// availability zones as evenly as can be. Homes of the current roster are kept
// where that makes no difference.
func Choose(current Roster, agents []Member) []Member {
	left := slices.Clone(agents)
	slices.SortFunc(left, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(rank(current, a), rank(current, b)),
			cmp.Compare(xxhash.Sum64String(string(a.Node)), xxhash.Sum64String(string(b.Node))),
			cmp.Compare(a.Node, b.Node),
		)
	})
	inZone := map[model.Zone]int{}
	var chosen []Member
	for range homeCount(len(agents)) {
		best := 0
		for i, member := range left {
			if inZone[member.Zone] < inZone[left[best].Zone] {
				best = i
			}
		}
		chosen = append(chosen, left[best])
		inZone[left[best].Zone]++
		left = slices.Delete(left, best, best+1)
	}
	slices.SortFunc(chosen, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	return chosen
}

func rank(current Roster, member Member) int {
	if slices.Contains(current.Members, member) {
		return 0
	}
	return 1
}

func homeCount(agents int) int {
	switch {
	case agents >= homesLarge:
		return homesLarge
	case agents >= homesSmall:
		return homesSmall
	default:
		return agents
	}
}
