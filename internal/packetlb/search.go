package packetlb

import (
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/flowsteer"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/packetnode"
)

// takeClaims takes an agent's word that it holds flows.
func (b *balancer) takeClaims(from netip.Addr, datagram []byte) {
	if keys := b.takeKeys(from, datagram, b.table.Claimed); keys > 0 {
		b.metrics.claimed.Add(int64(keys))
	}
}

// takeDenied takes an agent's word that it does not hold flows.
func (b *balancer) takeDenied(from netip.Addr, datagram []byte) {
	b.takeKeys(from, datagram, b.table.Denied)
}

// takeUnsure takes an agent's word that only its target can tell.
func (b *balancer) takeUnsure(from netip.Addr, datagram []byte) {
	b.takeKeys(from, datagram, b.table.Unsure)
}

// takeKeys hands each flow of a list to the table, carries the verdicts out and
// returns the number of flows.
func (b *balancer) takeKeys(from netip.Addr, datagram []byte, take func(model.Instant, flow.Key, netip.Addr) flowsteer.Verdict) int {
	keys, err := packetnode.ParseKeys(datagram)
	if err != nil {
		b.metrics.malformed.Inc()
		return 0
	}
	if !b.knows(from) {
		return 0
	}
	now := model.Now()
	for _, key := range keys {
		b.mu.Lock()
		verdict := take(now, key, from)
		b.mu.Unlock()
		if verdict.Action != flowsteer.ActionDrop {
			b.returns.carryOut(key, verdict, verdict.Packet)
		}
	}
	return len(keys)
}

// askAgents asks all agents about the flows that are searched for, whenever there
// are any.
func (b *balancer) askAgents() {
	var again <-chan time.Time
	for {
		select {
		case <-b.stopped:
			return
		case <-b.searching:
		case <-again:
		}
		b.mu.Lock()
		questions, pause := b.table.Questions(model.Now())
		b.mu.Unlock()
		for _, question := range questions {
			b.metrics.asked.Add(int64(len(question.Keys)))
			b.node.SendKeys(question.Agent, packetnode.KindFlowQuery, question.Keys)
		}
		again = nil
		if pause > 0 {
			again = time.After(pause)
		}
	}
}

// search has askAgents look for what there is to ask.
func (b *balancer) search() {
	select {
	case b.searching <- struct{}{}:
	default:
	}
}
