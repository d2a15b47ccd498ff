package soak

import (
	"errors"
	"math/rand/v2"
	"net"
	"os/exec"
	"syscall"
	"time"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/standin/site"
	"github.com/balsamlink/balsamlink/platform/wire"
)

// inject runs a fault and returns once it has ended. The documentation of each Kind says
// what it does.
func (r *run) inject(fault Fault) {
	switch fault.Kind {
	case KindKill, KindTerm, KindFreeze, KindKillAll:
		r.injectProcessFault(fault)
	case KindTargetCrash, KindClockSkew, KindTargetDrain:
		r.injectTargetFault(fault)
	case KindStoreFault, KindExpireLeases, KindWatchSilence:
		r.injectStoreFault(fault)
	case KindStoreLink, KindPacketLoss:
		r.injectNetworkFault(fault)
	case KindEvacuate, KindConfigure, KindAddBalancer:
		r.injectOperatorChange(fault)
	case KindAgentAway, KindRollBalancers, KindStopBesideDraining, KindStopBesideCold:
		r.injectAbsence(fault)
	}
}

func (r *run) injectProcessFault(fault Fault) {
	node := r.nodes[fault.Selector%len(r.nodes)]
	switch fault.Kind {
	case KindKill:
		r.withNode(node, func() { r.restart(node, syscall.SIGKILL, fault.Duration) })
	case KindTerm:
		r.withNode(node, func() { r.restart(node, syscall.SIGTERM, fault.Duration) })
	case KindFreeze:
		r.withNode(node, func() { r.freezeProcess(node, fault.Duration) })
	case KindKillAll:
		r.killAll(fault.Duration)
	}
}

// injectTargetFault replaces a target, while no other fault is on the target's agent.
func (r *run) injectTargetFault(fault Fault) {
	agents := append(r.site.Nodes(feedService), r.site.Nodes(fileService)...)
	agent := agents[fault.Selector%len(agents)]
	r.withNode(agent, func() {
		switch fault.Kind {
		case KindTargetCrash:
			r.replaceTarget(agent, 0, fault.Duration, r.site.Target(agent).Crash)
		case KindClockSkew:
			r.replaceTarget(agent, time.Duration(fault.Variant%3-1)*time.Hour, fault.Duration, r.site.Target(agent).Crash)
		case KindTargetDrain:
			r.drainTarget(agent, fault.Duration)
		}
	})
}

// injectStoreFault runs a fault of the store, which affects all its callers.
func (r *run) injectStoreFault(fault Fault) {
	switch fault.Kind {
	case KindStoreFault:
		faults := []site.Fault{site.FaultUnavailable, site.FaultTooManyRequests, site.FaultReset, site.FaultNoResponse, site.FaultResponseLost}
		storeFault := faults[fault.Variant%len(faults)]
		r.site.Store.SetFault(func(net.IP, bool) site.Fault { return storeFault })
		time.Sleep(2 * fault.Duration)
		r.site.Store.SetFault(nil)
	case KindExpireLeases:
		r.site.Store.ExpireLeases()
	case KindWatchSilence:
		r.site.Store.SetWatchesSilent(true)
		r.site.Store.Compact()
		time.Sleep(fault.Duration)
		r.site.Store.SetWatchesSilent(false)
	}
}

// injectNetworkFault disturbs the link between a node and the store, or drops packets
// of a zone's clients.
func (r *run) injectNetworkFault(fault Fault) {
	switch fault.Kind {
	case KindStoreLink:
		link := r.linkOf(r.nodes[fault.Selector%len(r.nodes)])
		link.set(linkMode(1 + fault.Variant%int(linkModeCount-1)))
		time.Sleep(2 * fault.Duration)
		link.set(linkOpen)
	case KindPacketLoss:
		zone := zoneOf(fault)
		r.site.Router.SetPacketLoss(func(at string) bool { return at == zone && rand.Float64() < lossProbability })
		time.Sleep(fault.Duration)
		r.site.Router.SetPacketLoss(nil)
	}
}

// injectOperatorChange changes the deployment as its operators do.
func (r *run) injectOperatorChange(fault Fault) {
	zone := zoneOf(fault)
	switch fault.Kind {
	case KindEvacuate:
		r.site.Evacuate(zone, true)
		time.Sleep(fault.Duration)
		r.site.Evacuate(zone, false)
	case KindConfigure:
		r.configure(wire.Backend{Service: fileService, Weight: 1}, wire.Backend{Service: feedService, Weight: float64(fault.Variant % 2)})
		time.Sleep(fault.Duration)
		r.configure(wire.Backend{Service: feedService, Weight: 1})
	case KindAddBalancer:
		if _, err := r.site.AddBalancer(zone); err != nil {
			r.reportViolation("a new balancer does not start: %v", err)
		}
	}
}

// zoneOf returns the zone that a fault selects.
func zoneOf(fault Fault) string { return zones[fault.Selector%len(zones)] }

// withNode runs a fault on a node while no other fault is on it, and keeps other faults
// off the node for faultSpacing afterwards.
func (r *run) withNode(node *site.Node, inject func()) {
	r.nodeLocks[node].Lock()
	defer r.nodeLocks[node].Unlock()
	inject()
	time.Sleep(faultSpacing)
}

// restart ends a process and starts it again after a downtime, halved for agents.
func (r *run) restart(node *site.Node, signal syscall.Signal, downtime time.Duration) {
	signalled := time.Now()
	err := r.site.End(node, signal)
	if signal == syscall.SIGTERM && !graceful(err, time.Since(signalled)) {
		r.reportViolation("%s does not end gracefully: %v after %s", node.Name, err, time.Since(signalled))
	}
	if node.Service() != "" {
		downtime = downtime / 2
	}
	time.Sleep(downtime)
	r.start(node)
}

// graceful reports whether a process ended gracefully within the grace period after
// SIGTERM. An incomplete drain is permitted: while few balancers of a zone are
// ready, the fabric also sends to those that drain.
func graceful(err error, took time.Duration) bool {
	var exit *exec.ExitError
	incomplete := errors.As(err, &exit) && exit.ExitCode() == kernel.ExitDrainIncomplete
	return (err == nil || incomplete) && took <= site.GracePeriod
}

// start starts a node's process again.
func (r *run) start(node *site.Node) {
	if err := r.site.StartNode(node); err != nil {
		r.reportViolation("%s does not start: %v", node.Name, err)
	}
}

// killAll kills all processes at the same time and starts them again after a downtime.
// It waits until no other fault is on any of them.
func (r *run) killAll(downtime time.Duration) {
	for _, node := range r.nodes {
		r.nodeLocks[node].Lock()
		defer r.nodeLocks[node].Unlock()
	}
	for _, node := range r.nodes {
		if err := r.site.Signal(node, syscall.SIGKILL); err != nil {
			r.reportViolation("%s had already ended: %v", node.Name, err)
		}
	}
	time.Sleep(downtime)
	for _, node := range r.nodes {
		// Wait returns an error for every killed process.
		_ = r.site.Wait(node)
		r.start(node)
	}
	time.Sleep(faultSpacing)
}

// freezeProcess stops a process with SIGSTOP and continues it after a duration.
func (r *run) freezeProcess(node *site.Node, duration time.Duration) {
	if err := r.site.Signal(node, syscall.SIGSTOP); err != nil {
		r.reportViolation("%s had already ended: %v", node.Name, err)
	}
	time.Sleep(duration)
	if err := r.site.Signal(node, syscall.SIGCONT); err != nil {
		r.reportViolation("%s had already ended: %v", node.Name, err)
	}
}

// replaceTarget ends an agent's target and starts a new incarnation after a downtime,
// whose clock is ahead by clockOffset, or behind if that is negative.
func (r *run) replaceTarget(agent *site.Node, clockOffset, downtime time.Duration, end func()) {
	end()
	time.Sleep(downtime)
	if err := r.site.StartTargetWithClockOffset(agent, clockOffset); err != nil {
		r.reportViolation("target of %s does not start: %v", agent.Name, err)
	}
}

// drainTarget drains an agent's target for a duration and then replaces it. It checks
// that no new flow reaches the target once the draining state has been acknowledged.
func (r *run) drainTarget(agent *site.Node, duration time.Duration) {
	target := r.site.Target(agent)
	target.Drain()
	time.Sleep(deliveryTime)
	before := target.Stats().OpeningsReceived
	time.Sleep(duration)
	if after := target.Stats().OpeningsReceived; after > before {
		r.reportViolation("%d new flows reached the target of %s after its drain was acknowledged", after-before, agent.Name)
	}
	r.replaceTarget(agent, 0, 0, target.Deregister)
}

// configure sets the back ends of the first route; the second route keeps fileService.
func (r *run) configure(backends ...wire.Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.site.Configure(r.site.Route(0, backends...), r.site.Route(1, wire.Backend{Service: fileService, Weight: 1}))
}
