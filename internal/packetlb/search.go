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

// handleFlowUncertain handles an agent's report that only its target can tell
// whether it holds flows.
func (b *balancer) handleFlowUncertain(from netip.Addr, datagram []byte) {
	b.applyReports(from, datagram, b.table.FlowUncertain)
}

// applyReports passes each flow of a report to the table, executes the verdicts
// and returns the number of flows.
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

// sendFlowQueries asks all agents about the flows whose agent is unknown. It
// sleeps until wakeQueries is called or further queries are due.
func (b *balancer) sendFlowQueries() {
	var again <-chan time.Time
	for {
		select {
		case <-b.stopped:
			return
		case <-b.queryWake:
		case <-again:
		}
		b.mu.Lock()
		queries, delay := b.table.LookupRequests(model.Now())
		b.mu.Unlock()
		for _, query := range queries {
			b.metrics.queried.Add(int64(len(query.Keys)))
			b.node.SendKeys(query.Agent, packetnode.KindFlowLookup, query.Keys)
		}
		again = nil
		if delay > 0 {
			again = time.After(delay)
		}
	}
}

// wakeQueries makes sendFlowQueries check for pending queries.
func (b *balancer) wakeQueries() {
	select {
	case b.queryWake <- struct{}{}:
	default:
	}
}
