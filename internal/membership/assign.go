package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

// WatcherCount is the number of balancers that watch each node.
const WatcherCount = 3

// Assignment ranks the balancers of a view by hash. It determines the watchers
// of each node and the tree along which freshness is passed on: a root queries
// the platform, and every other balancer queries its parent.
type Assignment struct {
	balancers []rankedBalancer
}

type rankedBalancer struct {
	record Record
	hash   uint64
}

// NewAssignment ranks the balancers of a view.
func NewAssignment(view *View) *Assignment {
	a := &Assignment{}
	for _, record := range view.Balancers() {
		a.balancers = append(a.balancers, rankedBalancer{record, nodeHash(record.Node)})
	}
	slices.SortFunc(a.balancers, func(x, y rankedBalancer) int {
		return cmp.Or(cmp.Compare(x.hash, y.hash), cmp.Compare(x.record.Node, y.record.Node))
	})
	return a
}

// Watchers returns the balancers that watch a node, at most WatcherCount, chosen
// by rendezvous hashing.
func (a *Assignment) Watchers(node model.NodeID) []Record {
	var (
		best   [WatcherCount]int
		scores [WatcherCount]uint64
		count  int
	)
	hash := nodeHash(node)
	for i, balancer := range a.balancers {
		if balancer.record.Node == node {
			continue
		}
		score := mix(hash, balancer.hash)
		place := count
		for place > 0 && score > scores[place-1] {
			place--
		}
		if place == WatcherCount {
			continue
		}
		count = min(count+1, WatcherCount)
		copy(scores[place+1:], scores[place:])
		copy(best[place+1:], best[place:])
		scores[place], best[place] = score, i
	}
	watchers := make([]Record, count)
	for i := range watchers {
		watchers[i] = a.balancers[best[i]].record
	}
	return watchers
}

// Watches reports whether a balancer is one of a node's watchers.
func (a *Assignment) Watches(balancer, node model.NodeID) bool {
	return slices.ContainsFunc(a.Watchers(node), func(r Record) bool { return r.Node == balancer })
}

// The shape of the tree along which freshness is passed on.
const (
	// RootCount is the number of balancers that query the platform directly.
	RootCount = 5
	// TreeFanout is the number of balancers that query the same parent.
	TreeFanout = 4
	// MajorityPollerCount is the number of roots that poll a majority of the
	// nodes while the platform is unavailable.
	MajorityPollerCount = 2
)

// Position returns the rank of a balancer, from 0, and false if it is not
// ranked.
func (a *Assignment) Position(node model.NodeID) (int, bool) {
	for i, balancer := range a.balancers {
		if balancer.record.Node == node {
			return i, true
		}
	}
	return 0, false
}

// Parent returns the balancer that the one at a position queries for freshness,
// and false for a root.
func (a *Assignment) Parent(position int) (Record, bool) {
	if position < RootCount {
		return Record{}, false
	}
	return a.balancers[(position-RootCount)/TreeFanout].record, true
}

// Children returns the balancers that query the one at a position.
func (a *Assignment) Children(position int) []Record {
	var children []Record
	first := RootCount + position*TreeFanout
	for i := first; i < min(first+TreeFanout, len(a.balancers)); i++ {
		children = append(children, a.balancers[i].record)
	}
	return children
}

// ExpectedAge returns the maximum age of the verification time (see Freshness)
// of the balancer at a position while every balancer on the path to a root
// answers.
func (a *Assignment) ExpectedAge(position int) time.Duration {
	age := 2 * VerifyInterval
	for position >= RootCount {
		position = (position - RootCount) / TreeFanout
		age += VerifyInterval
	}
	return age
}

// Predecessor returns one of the balancers ranked before a position, and false
// for the first position. The number choice, usually random, selects which.
func (a *Assignment) Predecessor(position int, choice uint64) (Record, bool) {
	if position == 0 {
		return Record{}, false
	}
	return a.balancers[choice%uint64(position)].record, true
}

// Len returns the number of ranked balancers.
func (a *Assignment) Len() int { return len(a.balancers) }

// At returns the balancer at a position.
func (a *Assignment) At(position int) Record { return a.balancers[position].record }
