package soak

import (
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/balsamlink/balsamlink/internal/standin/site"
)

const (
	// stopDelay is the time between the change of a target and the stop of its agent.
	stopDelay = 150 * time.Millisecond
	// rollGap is the longest time between the restarts of two balancers of a zone.
	rollGap = 1300 * time.Millisecond
	// reportedPrecision is how early a target may end its cold time, because it reports the
	// rest in whole milliseconds of its clock.
	reportedPrecision = 2 * time.Millisecond
	// burstFlows is how many flows a burst opens at a time, and burstClient the number before
	// that of the first burst's client. Those of the run's own clients are lower.
	burstFlows  = 30
	burstClient = 100
)

// injectAbsence runs a fault of absenceKinds.
func (r *run) injectAbsence(fault Fault) {
	switch fault.Kind {
	case KindRollBalancers:
		r.rollBalancers(zoneOf(fault), fault.share(rollGap))
		return
	case KindStopBesideCold:
		r.stopBesideCold(fault.share(time.Second))
		return
	}
	agents := append(r.site.Nodes(feedService), r.site.Nodes(fileService)...)
	agent := agents[fault.Selector%len(agents)]
	r.withNode(agent, func() {
		switch fault.Kind {
		case KindAgentAway:
			r.stopAndStart(agent, minAbsence+fault.share(maxAbsence-minAbsence))
		case KindStopBesideDraining:
			r.stopBesideDraining(agent, fault.share(time.Second))
		}
	})
}

// share returns the part of a duration that the fault's variant selects.
func (f Fault) share(d time.Duration) time.Duration {
	return d * time.Duration(f.Variant) / selectorRange
}

// stopAndStart ends a process gracefully and starts it again after an absence.
func (r *run) stopAndStart(node *site.Node, absence time.Duration) {
	signalled := time.Now()
	if err := r.site.End(node, syscall.SIGTERM); !graceful(err, time.Since(signalled)) {
		r.reportViolation("%s does not end gracefully: %v after %s", node.Name, err, time.Since(signalled))
	}
	time.Sleep(absence)
	r.start(node)
}

// rollBalancers restarts the balancers of a zone in turn.
func (r *run) rollBalancers(zone string, gap time.Duration) {
	for _, node := range r.nodes {
		if node.Service() == "" && node.Zone() == zone {
			r.withNode(node, func() { r.stopAndStart(node, gap/4) })
			time.Sleep(gap)
		}
	}
}

// stopBesideDraining restarts an agent while its target is draining, and then replaces the
// target.
func (r *run) stopBesideDraining(agent *site.Node, absence time.Duration) {
	target := r.site.Target(agent)
	target.Drain()
	time.Sleep(stopDelay)
	r.stopAndStart(agent, absence)
	time.Sleep(faultSpacing)
	r.replaceTarget(agent, 0, 0, target.Deregister)
}

// stopBesideCold replaces the targets of the smaller service, restarts their agents while the
// new ones are cold and many clients open flows, and checks the new flows of the targets in each
// second.
func (r *run) stopBesideCold(absence time.Duration) {
	agents := r.site.Nodes(fileService)
	for _, agent := range agents {
		r.nodeLocks[agent].Lock()
		defer r.nodeLocks[agent].Unlock()
		r.replaceTarget(agent, 0, 0, r.site.Target(agent).Crash)
	}
	stop := r.startBurst()
	time.Sleep(stopDelay)
	var restarts sync.WaitGroup
	for _, agent := range agents {
		restarts.Go(func() { r.stopAndStart(agent, absence) })
	}
	restarts.Wait()
	time.Sleep(coldTime)
	stop()
	for _, agent := range agents {
		r.checkColdLimit(agent, r.site.Target(agent).Stats())
	}
}

// startBurst opens and closes flows to the smaller service, burstFlows at a time, until the
// returned function is called.
func (r *run) startBurst() (stop func()) {
	client, err := r.site.NewClient(zones[0], burstClient+int(r.bursts.Add(1)))
	if err != nil {
		r.reportViolation("a client does not start: %v", err)
		return func() {}
	}
	var ended atomic.Bool
	var flows sync.WaitGroup
	for range burstFlows {
		flows.Go(func() {
			for !ended.Load() {
				if flow := client.Open(r.site.Address(1)); flow != nil {
					flow.Close()
				}
			}
		})
	}
	return func() {
		ended.Store(true)
		flows.Wait()
	}
}

// checkColdLimit checks the new flows that a target got while it was cold and its agent knew of
// it. Those that were forwarded before its first heartbeat were meant for the target before it.
func (r *run) checkColdLimit(agent *site.Node, stats site.TargetStats) {
	if stats.AnnouncedAt.IsZero() {
		return
	}
	received := slices.DeleteFunc(stats.ReceivedAt, func(at time.Time) bool {
		return at.Sub(stats.AnnouncedAt) < deliveryTime || at.Sub(stats.StartedAt) > coldTime-reportedPrecision
	})
	for i := coldLimit; i < len(received); i++ {
		at := received[i]
		if within := at.Sub(received[i-coldLimit]); within < time.Second {
			r.reportViolation("the cold target of %s got %d new flows in %s, %s after its start", agent.Name, coldLimit+1, within, at.Sub(stats.StartedAt))
			return
		}
	}
}
