package packetagent

import (
	"net/netip"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/packetnode"
	"github.com/balsamlink/balsamlink/internal/targetgate"
)

// reportNotHeld reports to a balancer that the target does not hold a flow, and logs the
// evidence. If the balancer forwarded the packet as one of a known flow, the packet is
// returned to it.
func (a *agent) reportNotHeld(d delivery, packet []byte, evidence targetgate.Evidence) {
	a.recordNotHeld(d.balancer, d.key, evidence)
	if !d.search {
		a.refuse(d.balancer, d.key, packet, targetgate.ReasonUnknownFlow, a.view.Load())
		return
	}
	a.metrics.notHeld.Inc()
	a.node.SendKeys(d.balancer, packetnode.KindFlowNotHeld, []flow.Key{d.key})
}

// recordNotHeld counts and logs the evidence that the target does not hold a flow.
func (a *agent) recordNotHeld(to netip.Addr, key flow.Key, evidence targetgate.Evidence) {
	a.metrics.notHeldBy[evidence].Inc()
	a.metrics.notHeldLog.Info("flow_not_held", logrus.Fields{"flow": key, "balancer": to, "evidence": evidence})
}

// handleFlowLookup answers a balancer's lookup request: for each flow, that the
// target holds it, that it does not, or that only the target knows.
func (a *agent) handleFlowLookup(from netip.Addr, datagram []byte) {
	keys, err := packetnode.ParseKeys(datagram)
	if err != nil {
		a.metrics.malformed.Inc()
		return
	}
	var answers [targetgate.LookupResultCount][]flow.Key
	var evidence []targetgate.Evidence
	a.mu.Lock()
	for _, key := range keys {
		result := a.gate.Lookup(key)
		answers[result] = append(answers[result], key)
		if result == targetgate.FlowNotHeld {
			evidence = append(evidence, a.gate.NotHeld(key))
		}
	}
	a.mu.Unlock()
	for i, key := range answers[targetgate.FlowNotHeld] {
		a.recordNotHeld(from, key, evidence[i])
	}
	for _, key := range answers[targetgate.FlowHeld] {
		a.reportHeld(from, key)
	}
	a.metrics.notHeld.Add(int64(len(answers[targetgate.FlowNotHeld])))
	a.metrics.uncertain.Add(int64(len(answers[targetgate.FlowUncertain])))
	a.node.SendKeys(from, packetnode.KindFlowNotHeld, answers[targetgate.FlowNotHeld])
	a.node.SendKeys(from, packetnode.KindFlowUncertain, answers[targetgate.FlowUncertain])
}

// reportHeld reports a flow that the target holds to a balancer that searches for
// it.
func (a *agent) reportHeld(from netip.Addr, key flow.Key) {
	a.metrics.found.Inc()
	a.metrics.searchLog.Info("flow_found", logrus.Fields{"flow": key, "balancer": from})
	a.node.SendKeys(from, packetnode.KindFlowHeld, []flow.Key{key})
}
