package ledger

import (
	"errors"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

// plans is the operators' list as the tests change it.
type plans map[model.Customer]plan.Allowance

func (p plans) Allowance(customer model.Customer, _ model.Service) (plan.Allowance, bool) {
	allowance, ok := p[customer]
	return allowance, ok
}

// stored is one document of the platform with compare-and-swap.
type stored[D any] struct {
	doc     D
	version int
}

// put is a write on its way to the platform. It may arrive late, or its answer
// may be lost.
type put[D any] struct {
	doc     D
	expect  int
	arrived bool
	ok      bool
}

func (s *stored[D]) arrive(p *put[D]) {
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

type testKeeper struct {
	shard           *Shard
	ceilings        *put[Ceilings]
	metering        *put[Metering]
	ceilingsVersion int
	meteringVersion int
	lost            bool
}

type testAgent struct {
	node        model.NodeID
	incarnation uint64
	holder      *AgentQuota
	open        []Permit
	// served counts what this incarnation has served.
	served map[unitKey]uint64
	sent   []Request
	got    []Reply
}

// machine lets any number of keepers run at once, without regard to leases, so
// that units must be safe by the documents alone.
type machine struct {
	now      Moment
	plans    plans
	highest  map[unitKey]uint64
	ceilings stored[Ceilings]
	metering stored[Metering]
	keepers  []*testKeeper
	agents   []*testAgent
	served   map[unitKey]uint64
	admitted map[unitKey]uint64
	killed   bool
	// fleet is the number of agents that the keepers believe in.
	fleet int
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

func newMachine() *machine {
	m := &machine{
		fleet:    3,
		now:      Moment{At: model.Instant(time.Hour), Wall: time.Date(2026, 12, 31, 23, 59, 30, 0, time.UTC)},
		plans:    plans{},
		highest:  map[unitKey]uint64{},
		served:   map[unitKey]uint64{},
		admitted: map[unitKey]uint64{},
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

func (m *machine) terms() Terms {
	return Terms{Allowances: m.plans, Agents: func(model.Service) int { return m.fleet }}
}

func (m *machine) restart(agent *testAgent) {
	agent.incarnation++
	agent.holder = NewAgentQuota(agent.node, agent.incarnation, nil)
	agent.open, agent.sent, agent.got = nil, nil, nil
	agent.served = map[unitKey]uint64{}
}

// takeOver starts another keeper, as the shell does it.
func (m *machine) takeOver() {
	shard := NewShard(testShard, uint64(len(m.keepers)+1), m.now, m.ceilings.doc, m.metering.doc)
	ceilings := put[Ceilings]{doc: shard.ProposeInheritedCeilings(), expect: m.ceilings.version}
	m.ceilings.arrive(&ceilings)
	metering := put[Metering]{doc: shard.ProposeMetering(m.now), expect: m.metering.version}
	m.metering.arrive(&metering)
	shard.CeilingsWritten()
	shard.MeteringWritten()
	m.keepers = append(m.keepers, &testKeeper{
		shard: shard, ceilingsVersion: m.ceilings.version, meteringVersion: m.metering.version,
	})
}

func (m *machine) maybeTakeOver(t *rapid.T) {
	if rapid.Bool().Draw(t, "take over") {
		m.takeOver()
	}
}

func (m *machine) account(t *rapid.T) Account {
	return Account{Customer: rapid.SampledFrom(testCustomers).Draw(t, "customer"), Service: testService}
}

func (m *machine) agent(t *rapid.T) *testAgent { return rapid.SampledFrom(m.agents).Draw(t, "agent") }

func (m *machine) keeper(t *rapid.T) *testKeeper {
	if rapid.IntRange(0, 3).Draw(t, "old") > 0 {
		return m.keepers[len(m.keepers)-1]
	}
	return rapid.SampledFrom(m.keepers).Draw(t, "keeper")
}

// work lets an agent serve a burst of requests, with as many exchanges and
// writes as a shell would make, any of which may fail.
func (m *machine) work(t *rapid.T) {
	agent, account := m.agent(t), m.account(t)
	burst := rapid.IntRange(1, 60).Draw(t, "burst")
	m.advance(500 * time.Millisecond)
	waiting := m.acquire(agent, burst, func() Decision { return agent.holder.Acquire(m.now, account) })
	for range 6 {
		if waiting == 0 {
			break
		}
		m.exchange(t, agent, m.keeper(t))
		waiting = m.acquire(agent, waiting, func() Decision { return agent.holder.Retry(m.now, account) })
	}
	for range waiting {
		agent.holder.CancelWait(m.now, account)
	}
	m.release(agent, rapid.IntRange(0, 3).Draw(t, "released"))
}

// acquire asks for count requests and returns how many of them wait.
func (m *machine) acquire(agent *testAgent, count int, ask func() Decision) int {
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

// release ends most of the open requests, a part of them as not served.
func (m *machine) release(agent *testAgent, part int) {
	for i, permit := range agent.open {
		m.end(agent, permit, i%4 < part)
	}
	agent.open = nil
}

func (m *machine) end(agent *testAgent, permit Permit, served bool) {
	key := unitKey{permit.Month, permit.Account}
	agent.holder.Release(m.now, permit, served)
	if served {
		m.served[key]++
		agent.served[key]++
		return
	}
	m.admitted[key]--
}

func (m *machine) send(agent *testAgent) {
	if request, due := agent.holder.NextRequest(m.now, testShard); due {
		agent.sent = append(agent.sent, request)
	}
}

// exchange sends what is due and lets any request of the agent, new or old,
// reach a keeper. The reply may be lost, or come late.
func (m *machine) exchange(t *rapid.T, agent *testAgent, keeper *testKeeper) {
	m.send(agent)
	if len(agent.sent) == 0 {
		return
	}
	request := agent.sent[len(agent.sent)-1]
	fault := rapid.IntRange(0, 9).Draw(t, "exchange fault")
	if fault == 1 {
		request = rapid.SampledFrom(agent.sent).Draw(t, "request")
	}
	reply, err := keeper.shard.Exchange(m.now, m.terms(), request, false)
	if errors.Is(err, ErrDeferred) {
		m.write(t, keeper)
		reply, err = keeper.shard.Exchange(m.now, m.terms(), request, true)
	}
	m.advance(time.Millisecond)
	switch {
	case err != nil || fault == 2:
		agent.holder.HandleFailure(m.now, testShard)
	case fault == 3:
		agent.got = append(agent.got, reply)
	default:
		agent.got = append(agent.got, reply)
		agent.holder.HandleReply(m.now, testShard, reply)
	}
}

// idle lets an agent return what it has not used.
func (m *machine) idle(t *rapid.T) {
	agent, keeper := m.agent(t), m.keeper(t)
	m.advance(idleTime + time.Second)
	for range 2 {
		m.exchange(t, agent, keeper)
		m.write(t, keeper)
	}
}

func (m *machine) lateReply(t *rapid.T) {
	agent := m.agent(t)
	if len(agent.got) > 0 {
		agent.holder.HandleReply(m.now, testShard, rapid.SampledFrom(agent.got).Draw(t, "reply"))
	}
}

func (m *machine) write(t *rapid.T, keeper *testKeeper) {
	fates := []int{0, 0, 0, 0, 1, 2, 3}
	m.writeCeilings(keeper, rapid.SampledFrom(fates).Draw(t, "ceilings fate"))
	m.writeMetering(keeper, rapid.SampledFrom(fates).Draw(t, "metering fate"))
}

// The fates of a write: 0 it arrives and is answered, 1 it arrives and the
// answer is lost, 2 it does not arrive now, 3 it is refused by the platform.
func (m *machine) writeCeilings(k *testKeeper, fate int) {
	if k.lost {
		return
	}
	fresh := k.ceilings == nil
	if fresh {
		k.ceilings = &put[Ceilings]{doc: k.shard.ProposeCeilings(m.now, m.terms()), expect: k.ceilingsVersion}
	}
	if fate == 3 && fresh {
		k.shard.CeilingsFailed()
		k.ceilings = nil
		return
	}
	if fate <= 1 {
		m.ceilings.arrive(k.ceilings)
	}
	if fate != 0 {
		return
	}
	if !k.ceilings.ok {
		k.lost = true
		return
	}
	k.ceilingsVersion = k.ceilings.expect + 1
	k.ceilings = nil
	k.shard.CeilingsWritten()
}

func (m *machine) writeMetering(k *testKeeper, fate int) {
	if k.lost {
		return
	}
	fresh := k.metering == nil
	if fresh {
		k.metering = &put[Metering]{doc: k.shard.ProposeMetering(m.now), expect: k.meteringVersion}
	}
	if fate == 3 && fresh {
		k.shard.MeteringFailed()
		k.metering = nil
		return
	}
	if fate <= 1 {
		m.metering.arrive(k.metering)
	}
	if fate != 0 {
		return
	}
	if !k.metering.ok {
		k.lost = true
		return
	}
	k.meteringVersion = k.metering.expect + 1
	k.metering = nil
	k.shard.MeteringWritten()
}

// lateWrite lets a delayed write of any keeper arrive.
func (m *machine) lateWrite(t *rapid.T) {
	keeper := rapid.SampledFrom(m.keepers).Draw(t, "keeper")
	if keeper.ceilings != nil {
		m.ceilings.arrive(keeper.ceilings)
	}
	if keeper.metering != nil {
		m.metering.arrive(keeper.metering)
	}
}

func (m *machine) kill(t *rapid.T) {
	m.killed = true
	m.restart(m.agent(t))
}

func (m *machine) sleep(t *rapid.T) {
	d := time.Duration(rapid.SampledFrom([]int{30, 300, 1500, 6000}).Draw(t, "ms")) * time.Millisecond
	m.advance(d)
}

func (m *machine) advance(d time.Duration) {
	m.now.At = m.now.At.Add(d)
	m.now.Wall = m.now.Wall.Add(d)
	for _, keeper := range m.keepers {
		keeper.shard.Sweep(m.now)
	}
}

// lateInMonth moves on to the last seconds of the month. Reports are delivered
// before, since nobody counts a report of days ago.
func (m *machine) lateInMonth(t *rapid.T) {
	m.drain(t)
	next := MonthOf(m.now.Wall) + 1
	start := time.Date(int(next/monthsPerYear), time.Month(next%monthsPerYear+1), 1, 0, 0, 0, 0, time.UTC)
	if d := start.Add(-3 * time.Second).Sub(m.now.Wall); d > 0 {
		m.advance(d)
	}
}

func (m *machine) changePlan(t *rapid.T) {
	customer := rapid.SampledFrom(testCustomers).Draw(t, "customer")
	allowance := m.plans[customer]
	allowance.UnitsPerMonth = uint64(rapid.IntRange(0, 80).Draw(t, "units"))
	m.plans[customer] = allowance
}
