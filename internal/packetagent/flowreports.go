package packetagent

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/packetnode"
)

// notifiedBalancersPerFlow is how many balancers are notified of each flow.
// Those of the client's availability zone come first, since the fabric chooses
// among them.
const notifiedBalancersPerFlow = 4

// maxPendingReports limits the queue of flow reports. Balancers find flows
// beyond it with a lookup when they need them.
const maxPendingReports = 8192

// flowReport is a flow that balancers are to be notified of.
type flowReport struct {
	key flow.Key
	// balancer forwarded the flow, and needs no report.
	balancer netip.Addr
}

// flowReports is the queue of reports that have not been sent yet.
type flowReports struct {
	queued []flowReport
}

func (r *flowReports) add(key flow.Key, balancer netip.Addr) {
	if len(r.queued) < maxPendingReports {
		r.queued = append(r.queued, flowReport{key: key, balancer: balancer})
	}
}

// balancersToNotify returns the balancers that are notified of a flow, at most
// notifiedBalancersPerFlow. Those of the zone are chosen before others, and within
// each group those with higher rendezvous weights.
func balancersToNotify(key flow.Key, zone model.Zone, balancers []packetnode.Peer) []packetnode.Peer {
	if len(balancers) <= notifiedBalancersPerFlow {
		return balancers
	}
	ranked := slices.Clone(balancers)
	slices.SortFunc(ranked, func(a, b packetnode.Peer) int {
		if (a.Zone == zone) != (b.Zone == zone) {
			if a.Zone == zone {
				return -1
			}
			return 1
		}
		return cmp.Compare(key.RendezvousWeight(b.VM), key.RendezvousWeight(a.VM))
	})
	return ranked[:notifiedBalancersPerFlow]
}

// zoneOf returns the availability zone of the balancer on a VM, or "" if the
// balancer is not known. The zone of the balancer that forwarded a flow counts
// as that of the flow's client.
func zoneOf(vm netip.Addr, balancers []packetnode.Peer) model.Zone {
	for _, balancer := range balancers {
		if balancer.VM == vm {
			return balancer.Zone
		}
	}
	return ""
}

// flushReports sends the queued reports.
func (a *agent) flushReports() {
	a.mu.Lock()
	queued := a.reports.queued
	a.reports.queued = nil
	a.mu.Unlock()
	if len(queued) == 0 {
		return
	}
	balancers := a.view.Load().balancers
	keys := map[netip.Addr][]flow.Key{}
	for _, report := range queued {
		for _, peer := range balancersToNotify(report.key, zoneOf(report.balancer, balancers), balancers) {
			if peer.VM != report.balancer {
				keys[peer.VM] = append(keys[peer.VM], report.key)
			}
		}
	}
	for vm, list := range keys {
		a.sendReports(vm, list)
	}
}

// reportOpenFlows reports to a balancer that has just started the open flows of
// which it is to be notified.
func (a *agent) reportOpenFlows(balancer packetnode.Peer) {
	balancers := a.view.Load().balancers
	var keys []flow.Key
	a.mu.Lock()
	a.gate.EachOpenFlow(func(key flow.Key, forwarder netip.Addr) {
		for _, peer := range balancersToNotify(key, zoneOf(forwarder, balancers), balancers) {
			if peer.VM == balancer.VM {
				keys = append(keys, key)
			}
		}
	})
	a.mu.Unlock()
	if len(keys) == 0 {
		return
	}
	a.log.WithField("peer", balancer.VM).WithField("flows", len(keys)).Info("balancer_introduced")
	a.sendReports(balancer.VM, keys)
}

func (a *agent) sendReports(vm netip.Addr, keys []flow.Key) {
	a.metrics.reported.Add(int64(len(keys)))
	a.node.SendKeys(vm, packetnode.KindFlowHeld, keys)
}
