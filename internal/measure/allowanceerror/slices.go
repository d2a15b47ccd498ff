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
	oneWay  = 1500 * time.Microsecond
	writing = 5 * time.Millisecond
	tick    = 25 * time.Millisecond
	maxWait = 500 * time.Millisecond
	// frameBytes is what one message needs beside its body: TCP and IP headers,
	// the TLS record and the frame.
	frameBytes = 40 + 22 + 16
	customer   = model.Customer("lakeside-printers")
	service    = model.Service("memberdesk")
	// callsToKeep is the renewals of the lease in one second.
	callsToKeep = 1
)

var (
	account = ledger.Account{Customer: customer, Service: service}
	shardID = ledger.ShardOf(customer)
	noon    = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
)

// slicing is the policy of the ledger: one keeper and a holder on each node.
type slicing struct {
	plan    plan.Allowance
	shard   *ledger.Shard
	agents  [nodes]*ledger.AgentQuota
	calling [nodes]bool
	waiting [nodes][]waiter
	err     error
}

type waiter struct {
	request arrival
}

func newSlicing(a plan.Allowance) *slicing {
	p := &slicing{plan: a}
	now := ledger.Moment{At: start, Wall: noon}
	p.shard = ledger.NewShard(shardID, 1, now, ledger.Ceilings{}, ledger.Metering{})
	for node := range nodes {
		p.agents[node] = ledger.NewAgentQuota(model.NodeID(fmt.Sprintf("agent-%d", node)), 1, nil)
	}
	return p
}

// Allowance implements ledger.Allowances.
func (p *slicing) Allowance(model.Customer, model.Service) (plan.Allowance, bool) {
	return p.plan, true
}

func (p *slicing) terms() ledger.Terms {
	return ledger.Terms{Allowances: p, Agents: func(model.Service) int { return nodes }}
}

func moment(s *sim) ledger.Moment {
	return ledger.Moment{At: s.now, Wall: noon.Add(s.now.Sub(start))}
}

func (p *slicing) begin(s *sim) {
	s.after(tick, func() { p.tick(s) })
	s.after(time.Second, func() { p.second(s) })
}

func (p *slicing) tick(s *sim) {
	for node := range nodes {
		p.retry(s, node)
		p.exchange(s, node)
	}
	s.after(tick, func() { p.tick(s) })
}

// second does the writes that come once a second.
func (p *slicing) second(s *sim) {
	s.platformCalls += callsToKeep
	if p.shard.MeteringDue() {
		s.platformCalls++
		p.shard.ProposeMetering(moment(s))
		s.after(writing, p.shard.MeteringWritten)
	}
	p.writeCeilings(s)
	s.after(time.Second, func() { p.second(s) })
}

func (p *slicing) writeCeilings(s *sim) {
	if !p.shard.CeilingsDue() {
		return
	}
	s.platformCalls++
	p.shard.ProposeCeilings(moment(s), p.terms())
	s.after(writing, p.shard.CeilingsWritten)
}

func (p *slicing) arrive(s *sim, request arrival) {
	decision := p.agents[request.node].Acquire(moment(s), account)
	if decision.Wait {
		p.waiting[request.node] = append(p.waiting[request.node], waiter{request: request})
		p.exchange(s, request.node)
		return
	}
	p.decided(s, request, decision)
}

func (p *slicing) decided(s *sim, request arrival, decision ledger.Decision) {
	if decision.Refused != ledger.ReasonNone {
		return
	}
	s.admitted(request, s.now.Sub(request.at), func() {
		p.agents[request.node].Release(moment(s), decision.Permit, true)
	})
}

func (p *slicing) retry(s *sim, node int) {
	var still []waiter
	for _, waiter := range p.waiting[node] {
		decision := p.agents[node].Retry(moment(s), account)
		switch {
		case decision.Wait && s.now.Sub(waiter.request.at) >= maxWait:
			p.agents[node].CancelWait(moment(s), account)
		case decision.Wait:
			still = append(still, waiter)
		default:
			p.decided(s, waiter.request, decision)
		}
	}
	p.waiting[node] = still
}

func (p *slicing) exchange(s *sim, node int) {
	if p.calling[node] {
		return
	}
	request, due := p.agents[node].NextRequest(moment(s), shardID)
	if !due {
		return
	}
	p.calling[node] = true
	p.count(s, node, request)
	s.after(oneWay, func() { p.serve(s, node, request, false) })
}

// count adds the size of a message to what a node sends and receives.
func (p *slicing) count(s *sim, node int, message any) {
	body, err := codec.Marshal(message)
	p.err = errors.Join(p.err, err)
	s.bytes[node] += len(body) + frameBytes
}

func (p *slicing) serve(s *sim, node int, request ledger.Request, final bool) {
	reply, err := p.shard.Exchange(moment(s), p.terms(), request, final)
	if errors.Is(err, ledger.ErrDeferred) {
		p.writeCeilings(s)
		s.after(2*writing, func() { p.serve(s, node, request, true) })
		return
	}
	p.err = errors.Join(p.err, err)
	p.count(s, node, reply)
	s.after(oneWay, func() { p.finish(s, node, reply) })
}

func (p *slicing) finish(s *sim, node int, reply ledger.Reply) {
	p.calling[node] = false
	p.agents[node].HandleReply(moment(s), shardID, reply)
	p.retry(s, node)
	p.exchange(s, node)
}
