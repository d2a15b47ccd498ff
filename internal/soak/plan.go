// Package soak runs a site under overlapping faults drawn from a seed, and checks what
// clients and targets observe. A site (see package standin/site) is a deployment on
// loopback: real processes of the balancers and agents, which are its nodes, and
// simulated targets, clients, router and store.
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
	// KindKill kills a process and starts it again.
	KindKill Kind = "kill"
	// KindKillAll kills all processes and starts them again.
	KindKillAll Kind = "kill_all"
	// KindTerm ends a process gracefully and starts it again.
	KindTerm Kind = "term"
	// KindFreeze stops a process with SIGSTOP and continues it.
	KindFreeze Kind = "freeze"
	// KindTargetCrash ends a target without deregistration and starts a new one.
	KindTargetCrash Kind = "crash"
	// KindTargetDrain drains a target, deregisters it and starts a new one.
	KindTargetDrain Kind = "drain"
	// KindEvacuate takes a zone out of service and returns it.
	KindEvacuate Kind = "evacuate"
	// KindConfigure moves half or all of the first route's new flows to another service,
	// and back.
	KindConfigure Kind = "configure"
	// KindStoreFault makes the store fail all calls in one of the ways of site.Fault.
	KindStoreFault Kind = "store"
	// KindExpireLeases ends all leases.
	KindExpireLeases Kind = "lapse"
	// KindWatchSilence suppresses the events of watches on the store and drops its history,
	// so that watches cannot resume where they stopped.
	KindWatchSilence Kind = "deaf"
	// KindStoreLink disturbs the connections between one node and the store.
	KindStoreLink Kind = "link"
	// KindPacketLoss drops a share of the packets of a zone's clients.
	KindPacketLoss Kind = "loss"
	// KindAddBalancer adds a balancer, which stays until the end of the run.
	KindAddBalancer Kind = "add"
	// KindClockSkew replaces a target by one whose clock is an hour behind, correct or
	// an hour ahead.
	KindClockSkew Kind = "clock"

	// The kinds below are drawn with Config.Absences only.

	// KindAgentAway ends an agent gracefully and starts it again after up to maxAbsence.
	KindAgentAway Kind = "away"
	// KindRollBalancers ends the balancers of a zone gracefully, one after the other, and
	// starts each again.
	KindRollBalancers Kind = "roll"
	// KindStopBesideDraining ends an agent while its target is draining, starts it again, and
	// replaces the target.
	KindStopBesideDraining Kind = "stop_draining"
	// KindStopBesideCold replaces the targets of the smaller service, ends their agents while
	// the new ones are cold and many clients open flows, and starts the agents again.
	KindStopBesideCold Kind = "stop_cold"
)

// absenceKinds are the kinds that Config.Absences adds.
var absenceKinds = []Kind{KindAgentAway, KindAgentAway, KindRollBalancers, KindRollBalancers, KindStopBesideDraining, KindStopBesideCold}

// weightedKinds are the kinds that faults are drawn from. The most important ones
// occur several times.
var weightedKinds = []Kind{
	KindKill, KindKill, KindKill, KindKillAll, KindTerm, KindTerm, KindFreeze, KindFreeze, KindTargetCrash, KindTargetDrain, KindTargetDrain,
	KindEvacuate, KindConfigure, KindConfigure, KindStoreFault, KindStoreFault, KindExpireLeases, KindWatchSilence,
	KindStoreLink, KindStoreLink, KindPacketLoss, KindAddBalancer, KindClockSkew,
}

// Fault is one fault of a run.
type Fault struct {
	Kind Kind
	// Start is the time since the start of the fault phase; Duration is how long the
	// fault lasts. KindStoreFault and KindStoreLink last twice as long.
	Start, Duration time.Duration
	// Selector selects the node, target or zone, and Variant the variant of the fault.
	// Each kind reduces them modulo the number of its choices.
	Selector, Variant int
}

const (
	// faultsPerSecond is the mean number of faults that begin in a second.
	faultsPerSecond = 2.5
	// maxFaultDuration is less than the 1.2 s without heartbeats after which an agent
	// and its target are considered failed.
	maxFaultDuration = 800 * time.Millisecond
	// absencesPerSecond is faultsPerSecond for absenceKinds.
	absencesPerSecond = 1.0
	// minAbsence and maxAbsence limit how long an agent stays away. They lie on both sides of
	// every time after which an agent, a flow or a search is given up.
	minAbsence = 100 * time.Millisecond
	maxAbsence = 10 * time.Second
	// selectorRange is the exclusive upper bound of Selector and Variant.
	selectorRange = 1000
)

// DrawFaults returns the faults of a seed, ordered by their start. The same seed and
// duration always give the same faults.
func DrawFaults(seed uint64, duration time.Duration) []Fault {
	return drawFaults(rand.New(rand.NewPCG(seed, seed)), duration, faultsPerSecond, weightedKinds)
}

// drawAbsences returns the faults of absenceKinds of a seed, ordered by their start.
func drawAbsences(seed uint64, duration time.Duration) []Fault {
	return drawFaults(rand.New(rand.NewPCG(seed, seed+1)), duration, absencesPerSecond, absenceKinds)
}

func drawFaults(random *rand.Rand, duration time.Duration, perSecond float64, kinds []Kind) []Fault {
	faults := make([]Fault, int(duration.Seconds()*perSecond))
	for i := range faults {
		faults[i] = Fault{
			Kind:  kinds[random.IntN(len(kinds))],
			Start: time.Duration(random.Int64N(int64(duration))), Duration: time.Duration(random.Int64N(int64(maxFaultDuration))),
			Selector: random.IntN(selectorRange), Variant: random.IntN(selectorRange),
		}
	}
	slices.SortFunc(faults, func(a, b Fault) int { return int(a.Start - b.Start) })
	return faults
}
