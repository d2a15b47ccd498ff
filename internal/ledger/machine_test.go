package ledger

import (
	"errors"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

// plans is the set of allowances that the tests change.
type plans map[model.Customer]plan.Allowance

func (p plans) Allowance(customer model.Customer, _ model.Service) (plan.Allowance, bool) {
	allowance, ok := p[customer]
	return allowance, ok
}

// stored is a platform document with compare-and-swap semantics.
type stored[D any] struct {
	doc     D
	version int
}

// pendingWrite is a write on its way to the platform. It may arrive late, or
// its answer may be lost.
type pendingWrite[D any] struct {
	doc     D
	expect  int
	arrived bool
	// ok means that the write has taken effect.
	ok bool
}

func (s *stored[D]) arrive(p *pendingWrite[D]) {
	if p.arrived {
		return
	}
	p.arrived = true
	if p.expect == s.version {
		s.doc = p.doc
		s.version++
		p.ok = true
	}
}

type testOwner struct {
	shard *Shard
	// ceilings and metering are the outstanding writes, or nil.
	ceilings        *pendingWrite[Ceilings]
	metering        *pendingWrite[Metering]
	ceilingsVersion int
	meteringVersion int
	superseded      bool
}

type testAgent struct {
	node        model.NodeID
	incarnation uint64
	quota       *AgentQuota
	// open holds the permits of the requests in flight.
	open []Permit
	// served counts the units that this incarnation has served.
	served   map[unitKey]uint64
	sent     []Request
	received []Reply
}

// stateMachine runs any number of shard owners concurrently, regardless of
// leases, to check that the persistent documents alone keep the units within
// the plan.
type stateMachine struct {
	now   Moment
	plans plans
	// highest holds the largest monthly allowance that was in force in a month.
	highest  map[unitKey]uint64
	ceilings stored[Ceilings]
	metering stored[Metering]
	owners   []*testOwner
	agents   []*testAgent
	// served counts the served requests, and admitted those that are in flight or
	// served.
	served   map[unitKey]uint64
	admitted map[unitKey]uint64
	// killed is set once an agent was killed, whose unreported units are lost.
	killed bool
	// agentCount is the number of agents reported to the owners.
	agentCount int
}

const (
	testShard   = ShardID(3)
	testService = model.Service("memberdesk")
)

// testCustomers are customers of testShard.
var testCustomers = customersOf(testShard, 2)

func customersOf(id ShardID, count int) []model.Customer {
	var customers []model.Customer
	for c := 'a'; len(customers) < count; c++ {
		if customer := model.Customer("customer-" + string(c)); ShardOf(customer) == id {
			customers = append(customers, customer)
		}
	}
	return customers
}

func newStateMachine() *stateMachine {
	m := &stateMachine{
		agentCount: 3,
		now:        Moment{At: model.Instant(time.Hour), Wall: time.Date(2026, 12, 31, 23, 59, 30, 0, time.UTC)},
		plans:      plans{},
		highest:    map[unitKey]uint64{},
		served:     map[unitKey]uint64{},
		admitted:   map[unitKey]uint64{},
	}
	for _, customer := range testCustomers {
		m.plans[customer] = plan.Allowance{RequestsPerSecond: 20, Burst: 500, InFlight: 1000, UnitsPerMonth: 60}
	}
	for _, node := range []model.NodeID{"agent-1", "agent-2", "agent-3"} {
		m.agents = append(m.agents, &testAgent{node: node})
		m.restart(m.agents[len(m.agents)-1])
	}
	m.takeOver()
	return m
}

func (m *stateMachine) terms() Terms {
	return Terms{Allowances: m.plans, Agents: func(model.Service) int { return m.agentCount }}
}

func (m *stateMachine) restart(agent *testAgent) {
	agent.incarnation++
	agent.quota = NewAgentQuota(agent.node, agent.incarnation, nil)
	agent.open, agent.sent, agent.received = nil, nil, nil
	agent.served = map[unitKey]uint64{}
}

// takeOver starts another shard owner from the stored documents, in the order
// of steps that package shardowner uses.
func (m *stateMachine) takeOver() {
	shard := NewShard(testShard, uint64(len(m.owners)+1), m.now, m.ceilings.doc, m.metering.doc)
	ceilings := pendingWrite[Ceilings]{doc: shard.ProposeInheritedCeilings(), expect: m.ceilings.version}
	m.ceilings.arrive(&ceilings)
	metering := pendingWrite[Metering]{doc: shard.ProposeMetering(m.now), expect: m.metering.version}
	m.metering.arrive(&metering)
	shard.CeilingsWritten()
	shard.MeteringWritten()
	m.owners = append(m.owners, &testOwner{
		shard: shard, ceilingsVersion: m.ceilings.version, meteringVersion: m.metering.version,
	})
}

func (m *stateMachine) maybeTakeOver(t *rapid.T) {
	if rapid.Bool().Draw(t, "take over") {
		m.takeOver()
	}
}

func (m *stateMachine) account(t *rapid.T) Account {
	return Account{Customer: rapid.SampledFrom(testCustomers).Draw(t, "customer"), Service: testService}
}

func (m *stateMachine) agent(t *rapid.T) *testAgent {
	return rapid.SampledFrom(m.agents).Draw(t, "agent")
}

// owner returns the newest owner, or in one of four draws any owner.
func (m *stateMachine) owner(t *rapid.T) *testOwner {
	if rapid.IntRange(0, 3).Draw(t, "old") > 0 {
		return m.owners[len(m.owners)-1]
	}
	return rapid.SampledFrom(m.owners).Draw(t, "owner")
}

// work serves a burst of requests on one agent, with the exchanges and writes
// that real processes would make. Each of them may fail.
func (m *stateMachine) work(t *rapid.T) {
	agent, account := m.agent(t), m.account(t)
	burst := rapid.IntRange(1, 60).Draw(t, "burst")
	m.advance(500 * time.Millisecond)
	waiting := m.acquire(agent, burst, func() Decision { return agent.quota.Acquire(m.now, account) })
	for range 6 {
		if waiting == 0 {
			break
		}
		m.exchange(t, agent, m.owner(t))
		waiting = m.acquire(agent, waiting, func() Decision { return agent.quota.Retry(m.now, account) })
	}
	for range waiting {
		agent.quota.CancelWait(m.now, account)
	}
	m.release(agent, rapid.IntRange(0, 3).Draw(t, "released"))
}

// acquire calls ask, which is Acquire or Retry, for count requests and returns how
// many of them wait.
func (m *stateMachine) acquire(agent *testAgent, count int, ask func() Decision) int {
	waiting := 0
	for range count {
		decision := ask()
		switch {
		case decision.Wait:
			waiting++
		case decision.Refused == ReasonNone:
			agent.open = append(agent.open, decision.Permit)
			m.admitted[unitKey{decision.Permit.Month, decision.Permit.Account}]++
		}
	}
	return waiting
}

// release ends all open requests of an agent. Of every four, servedOfFour are
// served and the others are not.
func (m *stateMachine) release(agent *testAgent, servedOfFour int) {
	for i, permit := range agent.open {
		m.end(agent, permit, i%4 < servedOfFour)
	}
	agent.open = nil
}

func (m *stateMachine) end(agent *testAgent, permit Permit, served bool) {
	key := unitKey{permit.Month, permit.Account}
	agent.quota.Release(m.now, permit, served)
	if served {
		m.served[key]++
		agent.served[key]++
		return
	}
	m.admitted[key]--
}

func (m *stateMachine) send(agent *testAgent) {
	if request, due := agent.quota.NextRequest(m.now, testShard); due {
		agent.sent = append(agent.sent, request)
	}
}

// exchange sends the due request, or an earlier one of the agent, to an owner.
// The faults are: 1 an earlier request is sent, 2 the reply is lost, 3 the reply
// is late; with any other number there is none.
func (m *stateMachine) exchange(t *rapid.T, agent *testAgent, owner *testOwner) {
	m.send(agent)
	if len(agent.sent) == 0 {
		return
	}
	request := agent.sent[len(agent.sent)-1]
	fault := rapid.IntRange(0, 9).Draw(t, "exchange fault")
	if fault == 1 {
		request = rapid.SampledFrom(agent.sent).Draw(t, "request")
	}
	reply, err := owner.shard.Exchange(m.now, m.terms(), request, false)
	if errors.Is(err, ErrDeferred) {
		m.write(t, owner)
		reply, err = owner.shard.Exchange(m.now, m.terms(), request, true)
	}
	m.advance(time.Millisecond)
	switch {
	case err != nil || fault == 2:
		agent.quota.HandleFailure(m.now, testShard)
	case fault == 3:
		agent.received = append(agent.received, reply)
	default:
		agent.received = append(agent.received, reply)
		agent.quota.HandleReply(m.now, testShard, reply)
	}
}

// idle lets an agent return unused units.
func (m *stateMachine) idle(t *rapid.T) {
	agent, owner := m.agent(t), m.owner(t)
	m.advance(unitIdleTime + time.Second)
	for range 2 {
		m.exchange(t, agent, owner)
		m.write(t, owner)
	}
}

// lateReply delivers an earlier reply again, or one that was late.
func (m *stateMachine) lateReply(t *rapid.T) {
	agent := m.agent(t)
	if len(agent.received) > 0 {
		agent.quota.HandleReply(m.now, testShard, rapid.SampledFrom(agent.received).Draw(t, "reply"))
	}
}

func (m *stateMachine) write(t *rapid.T, owner *testOwner) {
	outcomes := []int{0, 0, 0, 0, 1, 2, 3}
	m.writeCeilings(owner, rapid.SampledFrom(outcomes).Draw(t, "ceilings outcome"))
	m.writeMetering(owner, rapid.SampledFrom(outcomes).Draw(t, "metering outcome"))
}

// writeCeilings starts a write of the ceilings unless one is outstanding, and gives
// it an outcome: 0 it arrives and is answered, 1 it arrives and the answer is lost,
// 2 it does not arrive yet, 3 the platform rejects it. An outstanding write may have
// arrived already, so it is not rejected.
func (m *stateMachine) writeCeilings(o *testOwner, outcome int) {
	if o.superseded {
		return
	}
	proposed := o.ceilings == nil
	if proposed {
		o.ceilings = &pendingWrite[Ceilings]{doc: o.shard.ProposeCeilings(m.now, m.terms()), expect: o.ceilingsVersion}
	}
	if outcome == 3 && proposed {
		o.shard.CeilingsFailed()
		o.ceilings = nil
		return
	}
	if outcome <= 1 {
		m.ceilings.arrive(o.ceilings)
	}
	if outcome != 0 {
		return
	}
	if !o.ceilings.ok {
		o.superseded = true
		return
	}
	o.ceilingsVersion = o.ceilings.expect + 1
	o.ceilings = nil
	o.shard.CeilingsWritten()
}

// writeMetering does the same for the totals.
func (m *stateMachine) writeMetering(o *testOwner, outcome int) {
	if o.superseded {
		return
	}
	proposed := o.metering == nil
	if proposed {
		o.metering = &pendingWrite[Metering]{doc: o.shard.ProposeMetering(m.now), expect: o.meteringVersion}
	}
	if outcome == 3 && proposed {
		o.shard.MeteringFailed()
		o.metering = nil
		return
	}
	if outcome <= 1 {
		m.metering.arrive(o.metering)
	}
	if outcome != 0 {
		return
	}
	if !o.metering.ok {
		o.superseded = true
		return
	}
	o.meteringVersion = o.metering.expect + 1
	o.metering = nil
	o.shard.MeteringWritten()
}

// lateWrite lets a delayed write of any owner arrive.
func (m *stateMachine) lateWrite(t *rapid.T) {
	owner := rapid.SampledFrom(m.owners).Draw(t, "owner")
	if owner.ceilings != nil {
		m.ceilings.arrive(owner.ceilings)
	}
	if owner.metering != nil {
		m.metering.arrive(owner.metering)
	}
}

func (m *stateMachine) kill(t *rapid.T) {
	m.killed = true
	m.restart(m.agent(t))
}

func (m *stateMachine) sleep(t *rapid.T) {
	d := time.Duration(rapid.SampledFrom([]int{30, 300, 1500, 6000}).Draw(t, "ms")) * time.Millisecond
	m.advance(d)
}

func (m *stateMachine) advance(d time.Duration) {
	m.now.At = m.now.At.Add(d)
	m.now.Wall = m.now.Wall.Add(d)
	for _, owner := range m.owners {
		owner.shard.Sweep(m.now)
	}
}

// lateInMonth advances to the last seconds of the month. Reports are delivered
// first, because reports older than maxReportAgeHours are not counted.
func (m *stateMachine) lateInMonth(t *rapid.T) {
	m.drain(t)
	next := MonthOf(m.now.Wall) + 1
	start := time.Date(int(next/monthsPerYear), time.Month(next%monthsPerYear+1), 1, 0, 0, 0, 0, time.UTC)
	if d := start.Add(-3 * time.Second).Sub(m.now.Wall); d > 0 {
		m.advance(d)
	}
}

func (m *stateMachine) changePlan(t *rapid.T) {
	customer := rapid.SampledFrom(testCustomers).Draw(t, "customer")
	allowance := m.plans[customer]
	allowance.UnitsPerMonth = uint64(rapid.IntRange(0, 80).Draw(t, "units"))
	m.plans[customer] = allowance
}
