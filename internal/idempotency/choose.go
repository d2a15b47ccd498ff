package idempotency

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamlink/balsamlink/internal/model"
)

// The replica set has 5 members, which tolerates two simultaneous failures, or 3
// where the service has fewer than 5 agents. With fewer than 3 agents, all are
// members.
const (
	replicasLarge = 5
	replicasSmall = 3
)

// ChooseReplicas picks the replicas of a service among its agents, spread as
// evenly as possible over the availability zones. Where zones make no difference,
// members of the current replica set are preferred. The result is in node order.
func ChooseReplicas(current ReplicaSet, agents []Member) []Member {
	remaining := slices.Clone(agents)
	slices.SortFunc(remaining, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(rank(current, a), rank(current, b)),
			cmp.Compare(xxhash.Sum64String(string(a.Node)), xxhash.Sum64String(string(b.Node))),
			cmp.Compare(a.Node, b.Node),
		)
	})
	perZone := map[model.Zone]int{}
	var chosen []Member
	for range replicaCount(len(agents)) {
		best := 0
		for i, member := range remaining {
			if perZone[member.Zone] < perZone[remaining[best].Zone] {
				best = i
			}
		}
		chosen = append(chosen, remaining[best])
		perZone[remaining[best].Zone]++
		remaining = slices.Delete(remaining, best, best+1)
	}
	slices.SortFunc(chosen, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	return chosen
}

// rank sorts the current replicas before the other agents.
func rank(current ReplicaSet, member Member) int {
	if slices.Contains(current.Members, member) {
		return 0
	}
	return 1
}

func replicaCount(agents int) int {
	switch {
	case agents >= replicasLarge:
		return replicasLarge
	case agents >= replicasSmall:
		return replicasSmall
	default:
		return agents
	}
}
