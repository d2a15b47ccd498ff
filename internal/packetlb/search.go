package packetlb

import (
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/flowsteer"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/packetnode"
)

// handleFlowHeld handles an agent's report that its target holds flows.
func (b *balancer) handleFlowHeld(from netip.Addr, datagram []byte) {
	if keys := b.applyReports(from, datagram, b.table.FlowHeld); keys > 0 {
		b.metrics.reported.Add(int64(keys))
	}
}

// handleFlowNotHeld handles an agent's report that its target does not hold
// flows.
func (b *balancer) handleFlowNotHeld(from netip.Addr, datagram []byte) {
	b.applyReports(from, datagram, b.table.FlowNotHeld)
}

// handleFlowUncertain handles an agent's report that only its target knows
// whether it holds flows.
func (b *balancer) handleFlowUncertain(from netip.Addr, datagram []byte) {
	b.applyReports(from, datagram, b.table.FlowUncertain)
}

// applyReports applies each flow of a report to the table and executes the
// verdicts. It returns the number of flows, or 0 if the report is malformed or
// not from a known agent.
func (b *balancer) applyReports(from netip.Addr, datagram []byte, apply func(model.Instant, flow.Key, netip.Addr) flowsteer.Verdict) int {
	keys, err := packetnode.ParseKeys(datagram)
	if err != nil {
		b.metrics.malformed.Inc()
		return 0
	}
	if !b.isKnownAgent(from) {
		return 0
	}
	now := model.Now()
	for _, key := range keys {
		b.mu.Lock()
		verdict := apply(now, key, from)
		b.mu.Unlock()
		if verdict.Action != flowsteer.ActionDrop {
			b.reportSender.execute(key, verdict, verdict.Packet)
		}
	}
	return len(keys)
}

// sendLookups sends the table's lookup requests to the agents. It sleeps until
// wakeLookups is called or further requests are due.
func (b *balancer) sendLookups() {
	var nextDue <-chan time.Time
	for {
		select {
		case <-b.stopped:
			return
		case <-b.lookupWake:
		case <-nextDue:
		}
		b.mu.Lock()
		requests, delay := b.table.LookupRequests(model.Now())
		b.mu.Unlock()
		for _, request := range requests {
			b.metrics.lookups.Add(int64(len(request.Keys)))
			b.node.SendKeys(request.Agent, packetnode.KindFlowLookup, request.Keys)
		}
		nextDue = nil
		if delay > 0 {
			nextDue = time.After(delay)
		}
	}
}

// wakeLookups makes sendLookups check for lookup requests.
func (b *balancer) wakeLookups() {
	select {
	case b.lookupWake <- struct{}{}:
	default:
	}
}
