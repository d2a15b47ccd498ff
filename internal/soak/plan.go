// Package soak runs a site of real processes while faults drawn from a seed come
// in overlapping series, and checks what clients and targets see.
package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	// KindKill ends a process at once and starts it again.
	KindKill Kind = "kill"
	// KindKillAll does so with all processes.
	KindKillAll Kind = "kill_all"
	// KindTerm ends a process gracefully and starts it again.
	KindTerm Kind = "term"
	// KindFreeze stops a process and lets it go on.
	KindFreeze Kind = "freeze"
	// KindCrash ends a target without a word and starts a new one.
	KindCrash Kind = "crash"
	// KindDrain replaces a target that says that it leaves.
	KindDrain Kind = "drain"
	// KindEvacuate takes a zone out of service.
	KindEvacuate Kind = "evacuate"
	// KindConfigure moves the first route to another service and back.
	KindConfigure Kind = "configure"
	// KindStore has the store fail in one of its ways.
	KindStore Kind = "store"
	// KindLapse ends all leases.
	KindLapse Kind = "lapse"
	// KindDeaf has watches hear nothing and drops the store's history.
	KindDeaf Kind = "deaf"
	// KindLink disturbs one node's connections to the store.
	KindLink Kind = "link"
	// KindLoss loses or delays clients' datagrams.
	KindLoss Kind = "loss"
	// KindAdd adds a balancer.
	KindAdd Kind = "add"
	// KindClock starts a target whose clock is wrong.
	KindClock Kind = "clock"
)

// kinds are all kinds, those that matter most several times.
var kinds = []Kind{
	KindKill, KindKill, KindKill, KindKillAll, KindTerm, KindTerm, KindFreeze, KindFreeze, KindCrash, KindDrain, KindDrain,
	KindEvacuate, KindConfigure, KindConfigure, KindStore, KindStore, KindLapse, KindDeaf, KindLink, KindLink, KindLoss, KindAdd, KindClock,
}

// Fault is one fault of a plan.
type Fault struct {
	Kind Kind
	// At is the time from the start of the faults, and For how long it lasts.
	At, For time.Duration
	// On chooses what the fault is on, and How its variant.
	On, How int
}

const (
	// faultsPerSecond is the mean number of faults that begin in a second.
	faultsPerSecond = 2.5
	// longestFault is below the silence after which an agent counts as lost with its
	// target, 1.2 s.
	longestFault = 800 * time.Millisecond
	choices      = 1000
)

// Plan draws the faults of a seed.
func Plan(seed uint64, duration time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, seed))
	faults := make([]Fault, int(duration.Seconds()*faultsPerSecond))
	for i := range faults {
		faults[i] = Fault{
			Kind: kinds[random.IntN(len(kinds))],
			At:   time.Duration(random.Int64N(int64(duration))), For: time.Duration(random.Int64N(int64(longestFault))),
			On: random.IntN(choices), How: random.IntN(choices),
		}
	}
	slices.SortFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}
