package allowanceerror

import (
	"errors"
	"fmt"
	"time"

	"github.com/balsamlink/balsamlink/internal/codec"
	"github.com/balsamlink/balsamlink/internal/ledger"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

const (
	// networkDelay is the one-way delay between an agent and the shard owner.
	networkDelay = 1500 * time.Microsecond
	// writeDelay is the duration of a write to the platform.
	writeDelay = 5 * time.Millisecond
	// tickInterval and maxWait are those of the agents (package allowance).
	tickInterval = 25 * time.Millisecond
	maxWait      = 500 * time.Millisecond
	// frameBytes is the overhead of one message: 40 bytes of IP and TCP headers, 22
	// of the TLS record and 16 of the frame.
	frameBytes = 40 + 22 + 16
	customer   = model.Customer("lakeside-printers")
	service    = model.Service("memberdesk")
	// leaseRenewalsPerSecond is the rate at which the owner renews the shard's lease.
	leaseRenewalsPerSecond = 1
)

var (
	account       = ledger.Account{Customer: customer, Service: service}
	shardID       = ledger.ShardOf(customer)
	startWallTime = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
)

// slicePolicy runs the decisions of internal/ledger: one shard owner grants slices
// of the allowance to the quota of the agent on each node.
type slicePolicy struct {
	plan   plan.Allowance
	shard  *ledger.Shard
	agents [nodes]*ledger.AgentQuota
	// exchanging marks the nodes with an exchange in flight.
	exchanging [nodes]bool
	waiting    [nodes][]waiter
	// err joins the errors of all exchanges.
	err error
}

// waiter is a request that waits at its agent for a slice.
type waiter struct {
	request arrival
}

func newSlicePolicy(a plan.Allowance) *slicePolicy {
	p := &slicePolicy{plan: a}
	now := ledger.Moment{At: start, Wall: startWallTime}
	p.shard = ledger.NewShard(shardID, 1, now, ledger.Ceilings{}, ledger.Metering{})
	for node := range nodes {
		p.agents[node] = ledger.NewAgentQuota(model.NodeID(fmt.Sprintf("agent-%d", node)), 1, nil)
	}
	return p
}

// Allowance implements ledger.Allowances.
func (p *slicePolicy) Allowance(model.Customer, model.Service) (plan.Allowance, bool) {
	return p.plan, true
}

func (p *slicePolicy) terms() ledger.Terms {
	return ledger.Terms{Allowances: p, Agents: func(model.Service) int { return nodes }}
}

// moment returns the current virtual time on both clocks.
func moment(s *sim) ledger.Moment {
	return ledger.Moment{At: s.now, Wall: startWallTime.Add(s.now.Sub(start))}
}

func (p *slicePolicy) begin(s *sim) {
	s.after(tickInterval, func() { p.tick(s) })
	s.after(time.Second, func() { p.everySecond(s) })
}

func (p *slicePolicy) tick(s *sim) {
	for node := range nodes {
		p.retry(s, node)
		p.exchange(s, node)
	}
	s.after(tickInterval, func() { p.tick(s) })
}

// everySecond renews the lease and writes the metering and ceilings that are due.
func (p *slicePolicy) everySecond(s *sim) {
	s.platformCalls += leaseRenewalsPerSecond
	if p.shard.MeteringDue() {
		s.platformCalls++
		p.shard.ProposeMetering(moment(s))
		s.after(writeDelay, p.shard.MeteringWritten)
	}
	p.writeCeilings(s)
	s.after(time.Second, func() { p.everySecond(s) })
}

// writeCeilings writes the ceilings to the platform if a write is due.
func (p *slicePolicy) writeCeilings(s *sim) {
	if !p.shard.CeilingsDue() {
		return
	}
	s.platformCalls++
	p.shard.ProposeCeilings(moment(s), p.terms())
	s.after(writeDelay, p.shard.CeilingsWritten)
}

func (p *slicePolicy) arrive(s *sim, request arrival) {
	decision := p.agents[request.node].Acquire(moment(s), account)
	if decision.Wait {
		p.waiting[request.node] = append(p.waiting[request.node], waiter{request: request})
		p.exchange(s, request.node)
		return
	}
	p.applyDecision(s, request, decision)
}

// applyDecision admits a request, or drops it if it is refused.
func (p *slicePolicy) applyDecision(s *sim, request arrival, decision ledger.Decision) {
	if decision.Refused != ledger.ReasonNone {
		return
	}
	s.recordAdmission(request, s.now.Sub(request.at), func() {
		p.agents[request.node].Release(moment(s), decision.Permit, true)
	})
}

// retry retries the waiting requests of a node and refuses those that have waited
// for maxWait.
func (p *slicePolicy) retry(s *sim, node int) {
	var remaining []waiter
	for _, w := range p.waiting[node] {
		decision := p.agents[node].Retry(moment(s), account)
		switch {
		case decision.Wait && s.now.Sub(w.request.at) >= maxWait:
			p.agents[node].CancelWait(moment(s), account)
		case decision.Wait:
			remaining = append(remaining, w)
		default:
			p.applyDecision(s, w.request, decision)
		}
	}
	p.waiting[node] = remaining
}

// exchange starts an exchange of a node with the shard owner if one is due and none is
// in flight.
func (p *slicePolicy) exchange(s *sim, node int) {
	if p.exchanging[node] {
		return
	}
	request, due := p.agents[node].NextRequest(moment(s), shardID)
	if !due {
		return
	}
	p.exchanging[node] = true
	p.countBytes(s, node, request)
	s.after(networkDelay, func() { p.serve(s, node, request, false) })
}

// countBytes adds the size of a message and its overhead to the traffic of a node.
func (p *slicePolicy) countBytes(s *sim, node int, message any) {
	body, err := codec.Marshal(message)
	p.err = errors.Join(p.err, err)
	s.nodeBytes[node] += len(body) + frameBytes
}

// serve runs an exchange at the shard owner. A deferred exchange is retried once,
// after a write of the ceilings has had time to complete.
func (p *slicePolicy) serve(s *sim, node int, request ledger.Request, final bool) {
	reply, err := p.shard.Exchange(moment(s), p.terms(), request, final)
	if errors.Is(err, ledger.ErrDeferred) {
		p.writeCeilings(s)
		s.after(2*writeDelay, func() { p.serve(s, node, request, true) })
		return
	}
	p.err = errors.Join(p.err, err)
	p.countBytes(s, node, reply)
	s.after(networkDelay, func() { p.handleReply(s, node, reply) })
}

// handleReply applies a reply at the node, and starts the next exchange if one is due.
func (p *slicePolicy) handleReply(s *sim, node int, reply ledger.Reply) {
	p.exchanging[node] = false
	p.agents[node].HandleReply(moment(s), shardID, reply)
	p.retry(s, node)
	p.exchange(s, node)
}
