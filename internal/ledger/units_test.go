package ledger

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// check compares the state with the reference counts: no account has more
// admitted requests than the highest plan of the month, and no total exceeds
// the units served.
func (m *stateMachine) check(t *rapid.T) {
	month := MonthOf(m.now.Wall)
	for _, customer := range testCustomers {
		key := unitKey{month, Account{customer, testService}}
		m.highest[key] = max(m.highest[key], m.plans[customer].UnitsPerMonth)
	}
	for key, admitted := range m.admitted {
		if admitted > m.highest[key] {
			t.Fatalf("%v: %d admitted of %d", key, admitted, m.highest[key])
		}
	}
	for key, total := range m.totals() {
		if total > m.served[key] {
			t.Fatalf("%v: total %d of %d served: %+v", key, total, m.served[key], m.metering)
		}
	}
}

func (m *stateMachine) totals() map[unitKey]uint64 {
	totals := map[unitKey]uint64{}
	for _, total := range m.metering.doc.Used {
		totals[unitKey{m.metering.doc.Month, Account{total.Customer, total.Service}}] = total.Units
	}
	for _, total := range m.metering.doc.Previous {
		totals[unitKey{m.metering.doc.Month - 1, Account{total.Customer, total.Service}}] = total.Units
	}
	return totals
}

// settle shuts all agents down gracefully and compares the totals with what the
// surviving processes have served.
func (m *stateMachine) settle(t *rapid.T) {
	for _, agent := range m.agents {
		for _, permit := range agent.open {
			m.end(agent, permit, true)
		}
		agent.quota.Close()
	}
	m.drain(t)
	m.compare(t)
}

// drain makes fault-free exchanges until all reports of the agents are written.
func (m *stateMachine) drain(t *rapid.T) {
	m.takeOver()
	owner := m.owners[len(m.owners)-1]
	for range 50 {
		for _, agent := range m.agents {
			if request, due := agent.quota.NextRequest(m.now, testShard); due {
				reply, err := owner.shard.Exchange(m.now, m.terms(), request, true)
				require.NoError(t, err)
				agent.quota.HandleReply(m.now, testShard, reply)
			}
		}
		m.writeMetering(owner, 0)
		m.advance(100 * time.Millisecond)
	}
}

// compare checks that the totals contain all units that the running incarnations of
// the agents have served and, if no agent was killed, all units served. Months
// before the previous one are no longer in the totals.
func (m *stateMachine) compare(t *rapid.T) {
	totals := m.totals()
	survivors := map[unitKey]uint64{}
	for _, agent := range m.agents {
		require.True(t, agent.quota.Settled(), "agent %s is not settled", agent.node)
		for key, served := range agent.served {
			survivors[key] += served
		}
	}
	oldest := m.metering.doc.Month - 1
	for key, served := range survivors {
		if key.Month >= oldest && totals[key] < served {
			t.Fatalf("%v: total %d, survivors served %d", key, totals[key], served)
		}
	}
	for key, served := range m.served {
		if key.Month >= oldest && !m.killed && totals[key] != served {
			t.Fatalf("%v: total %d, served %d", key, totals[key], served)
		}
	}
	m.check(t)
}

// Whatever faults occur, no customer may be admitted more units than its plan allows,
// and no total may exceed the units served. The test drives several shard owners
// concurrently with lost, late and repeated requests, replies and writes, agent
// crashes, month changes and plan changes.
func TestUnitsStayWithinThePlanUnderAnyFaults(t *testing.T) {
	require.NoError(t, flag.Set("rapid.checks", "1000"))
	require.NoError(t, flag.Set("rapid.steps", "60"))
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine()
		t.Repeat(map[string]func(*rapid.T){
			"":            m.check,
			"work":        m.work,
			"work2":       m.work,
			"work3":       m.work,
			"work4":       m.work,
			"work5":       m.work,
			"exchange":    func(t *rapid.T) { m.exchange(t, m.agent(t), m.owner(t)) },
			"idle":        m.idle,
			"lateReply":   m.lateReply,
			"write":       func(t *rapid.T) { m.write(t, m.owner(t)) },
			"lateWrite":   m.lateWrite,
			"takeOver":    m.maybeTakeOver,
			"kill":        m.kill,
			"sleep":       m.sleep,
			"lateInMonth": m.lateInMonth,
			"changePlan":  m.changePlan,
		})
		m.settle(t)
	})
}
