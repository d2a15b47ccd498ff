package flowsteer_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/flowsteer"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/packetnode"
	"github.com/balsamlink/balsamlink/internal/routing"
	"github.com/balsamlink/balsamlink/internal/targetgate"
)

const (
	feed  = model.Service("feed")
	files = model.Service("files")
	here  = model.Zone("a")
	there = model.Zone("b")
)

var (
	feedAddress  = endpoint("198.18.0.1:443")
	filesAddress = endpoint("198.18.0.2:443")
	// start is late enough that nothing lies before the clock's zero.
	start = model.Instant(time.Hour)
)

func endpoint(text string) flow.Endpoint { return flow.EndpointOf(netip.MustParseAddrPort(text)) }

func vm(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}) }

func client(n int) flow.Endpoint {
	return flow.Endpoint{IP: [4]byte{100, 64, byte(n >> 8), byte(n)}, Port: 40000}
}

func opening(n int) flow.Packet {
	return flow.Packet{Source: client(n), Destination: feedAddress, Flags: flow.Open}
}

func data(n int) flow.Packet {
	return flow.Packet{Source: client(n), Destination: feedAddress, Flags: flow.Ack, Acknowledged: 77, Length: 100}
}

// bench is a table with its view, in which tests change agents.
type bench struct {
	table  *flowsteer.Table
	agents map[netip.Addr]*flowsteer.Agent
	state  *routing.State
	proven model.Instant
	// listed tells that the balancer has read who is registered.
	listed bool
	now    model.Instant
	losses []flowsteer.AbandonedFlow
}

func newBench(agents ...*flowsteer.Agent) *bench {
	b := &bench{
		table:  flowsteer.NewTable(flowsteer.Limits{MaxFlows: 1000, MaxLifetime: time.Minute}, start),
		agents: map[netip.Addr]*flowsteer.Agent{},
		state: &routing.State{
			ZonesOut: map[model.Zone]bool{},
			Config: &routing.Config{
				Version: 1, IdleTimeout: 15 * time.Second,
				Routes: map[flow.Endpoint]*routing.Route{
					feedAddress:  {Address: feedAddress, Services: []routing.WeightedService{{Service: feed, Weight: 1}}},
					filesAddress: {Address: filesAddress, Services: []routing.WeightedService{{Service: files, Weight: 1}}},
				},
			},
		},
		listed: true,
		now:    start,
	}
	for _, agent := range agents {
		b.agents[agent.VM] = agent
	}
	b.hear()
	return b
}

func agent(n int, zone model.Zone, service model.Service) *flowsteer.Agent {
	return &flowsteer.Agent{
		VM: vm(n), Zone: zone, Service: service, State: flowsteer.AgentOpen, Slots: 4, ReportInterval: 200 * time.Millisecond, HasReported: true, Capacity: 100, ImmediateCapacity: 100,
	}
}

// hear lets all agents but some report now.
func (b *bench) hear(silent ...netip.Addr) {
	for at, agent := range b.agents {
		quiet := false
		for _, other := range silent {
			quiet = quiet || other == at
		}
		if !quiet {
			agent.LastReport = b.now
		}
	}
	b.proven = b.now
	b.show()
}

// show publishes the view.
func (b *bench) show() {
	view := &flowsteer.View{
		Zone: here, State: b.state, VerifiedAt: b.proven, RegistrationsRead: b.listed,
		Agents: map[netip.Addr]*flowsteer.Agent{}, ByService: map[model.Service][]*flowsteer.Agent{},
	}
	for n := range 255 {
		agent := b.agents[vm(n)]
		if agent == nil {
			continue
		}
		copied := *agent
		view.Agents[copied.VM] = &copied
		if copied.HasReported {
			view.ByService[copied.Service] = append(view.ByService[copied.Service], &copied)
		}
	}
	b.table.SetView(view, nil)
}

// pass lets time go by while all agents but some report.
func (b *bench) pass(d time.Duration, silent ...netip.Addr) {
	for end := b.now.Add(d); b.now < end; {
		b.now = b.now.Add(min(100*time.Millisecond, end.Sub(b.now)))
		b.hear(silent...)
		b.losses = append(b.losses, b.table.Expire(b.now)...)
	}
}

// expire returns the flows that were given up since the last call.
func (b *bench) expire() []flowsteer.AbandonedFlow {
	losses := append(b.losses, b.table.Expire(b.now)...)
	b.losses = nil
	return losses
}

func (b *bench) client(p flow.Packet) flowsteer.Verdict { return b.table.ClientPacket(b.now, p) }

func TestNewFlowsAreSpreadByLoad(t *testing.T) {
	b := newBench(agent(1, here, feed), agent(2, here, feed), agent(3, here, feed))
	b.agents[vm(3)].Flows = 60
	b.hear()
	count := map[netip.Addr]int{}
	for n := range 60 {
		verdict := b.client(opening(n))
		require.Equal(t, flowsteer.ActionForward, verdict.Action)
		count[verdict.Agent]++
	}
	require.Zero(t, count[vm(3)], "the agent with 60 flows gets none until the others have caught up")
	require.InDelta(t, 30, count[vm(1)], 1)
}

func TestOwnZoneComesFirstWhileItsLoadAllows(t *testing.T) {
	b := newBench(agent(1, here, feed), agent(2, there, feed))
	require.Equal(t, vm(1), b.client(opening(1)).Agent)
	b.agents[vm(1)].Flows = 40
	b.hear()
	require.Equal(t, vm(2), b.client(opening(2)).Agent)
}

// A flow that could be served at once must not wait at a cold or busy target,
// however few flows that has.
func TestNewFlowsGoWhereTheyNeedNotWait(t *testing.T) {
	cold, loaded := agent(1, here, feed), agent(2, there, feed)
	cold.Cold, cold.ImmediateCapacity = true, 2
	loaded.Flows = 200
	b := newBench(cold, loaded)
	require.Equal(t, vm(1), b.client(opening(1)).Agent)
	require.Equal(t, vm(1), b.client(opening(2)).Agent)
	require.Equal(t, vm(2), b.client(opening(3)).Agent)
	loaded.ImmediateCapacity, loaded.Capacity = 0, 0
	b.hear()
	require.Equal(t, vm(1), b.client(opening(4)).Agent, "waiting is better than nothing")
}

func TestAgentsThatTakeNothingGetNoNewFlows(t *testing.T) {
	cases := map[string]func(b *bench){
		"closed":     func(b *bench) { b.agents[vm(1)].State = flowsteer.AgentClosed; b.hear() },
		"restarting": func(b *bench) { b.agents[vm(1)].State = flowsteer.AgentRestarting; b.hear() },
		"gone":       func(b *bench) { b.agents[vm(1)].State = flowsteer.AgentGone; b.hear() },
		"silent":     func(b *bench) { b.pass(time.Second, vm(1)) },
		"zone out":   func(b *bench) { b.state.ZonesOut[here] = true; b.show() },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(agent(1, here, feed), agent(2, there, feed))
			change(b)
			for n := range 20 {
				require.Equal(t, vm(2), b.client(opening(n)).Agent)
			}
		})
	}
}

func TestCopiesFollowTheFirstOpeningPacket(t *testing.T) {
	b := newBench(agent(1, here, feed), agent(2, here, feed))
	first := b.client(opening(1))
	b.pass(200 * time.Millisecond)
	require.Equal(t, first.Agent, b.client(opening(1)).Agent)
	b.pass(time.Second, first.Agent)
	require.NotEqual(t, first.Agent, b.client(opening(1)).Agent, "a silent agent is passed over")
}

func TestRefusedFlowsAreOfferedElsewhereAndThenGivenUp(t *testing.T) {
	b := newBench(agent(1, here, feed), agent(2, here, feed))
	first := b.client(opening(1))
	second := b.table.OpeningRefused(b.now, opening(1), first.Agent, targetgate.ReasonFull)
	require.Equal(t, flowsteer.ActionForward, second.Action)
	require.NotEqual(t, first.Agent, second.Agent)
	last := b.table.OpeningRefused(b.now, opening(1), second.Agent, targetgate.ReasonFull)
	require.Equal(t, flowsteer.ActionReset, last.Action, "what can't be served is refused at once")

	verdict := b.client(opening(2))
	b.table.OpeningRefused(b.now, opening(2), verdict.Agent, targetgate.ReasonCold)
	last = b.table.OpeningRefused(b.now, opening(2), otherThan(verdict.Agent), targetgate.ReasonCold)
	require.Equal(t, flowsteer.ActionDrop, last.Action, "a cold target takes the next copy perhaps")
	last = refuseAll(b, flow.Packet{Source: client(3), Destination: feedAddress, Flags: flow.Open, Acknowledged: 2}, targetgate.ReasonCold)
	require.Equal(t, flowsteer.ActionReset, last.Action, "no further copy comes")
}

func refuseAll(b *bench, p flow.Packet, why targetgate.Reason) flowsteer.Verdict {
	verdict := b.client(p)
	for verdict.Action == flowsteer.ActionForward {
		verdict = b.table.OpeningRefused(b.now, p, verdict.Agent, why)
	}
	return verdict
}

func otherThan(address netip.Addr) netip.Addr {
	if address == vm(1) {
		return vm(2)
	}
	return vm(1)
}

func TestNoRouteIsTheAnswerOnlyWithProof(t *testing.T) {
	b := newBench(agent(1, here, feed))
	unknown := opening(1)
	unknown.Destination = endpoint("198.18.0.9:80")
	require.Equal(t, flowsteer.ActionReset, b.client(unknown).Action)
	b.now = b.now.Add(2 * time.Second)
	require.Equal(t, flowsteer.ActionDrop, b.client(unknown).Action, "a newer configuration may have the route")
	b.state.Config = nil
	b.show()
	require.Equal(t, flowsteer.ReasonNoState, b.client(opening(2)).Reason)
}

func TestUnknownFlowIsSearchedForAndFollowsItsClaim(t *testing.T) {
	b := newBench(agent(1, here, feed), agent(2, there, files))
	require.Equal(t, flowsteer.ActionSearch, b.client(data(1)).Action)
	b.table.FlowHeld(b.now, data(1).KeyFromClient(), vm(2))
	verdict := b.client(data(1))
	require.Equal(t, flowsteer.ActionForward, verdict.Action)
	require.Equal(t, vm(2), verdict.Agent, "also an agent of another service than the route's")
}

func TestSearchesAreBounded(t *testing.T) {
	b := newBench(agent(1, here, feed))
	copies := 0
	for range 20 {
		if b.client(data(1)).Action == flowsteer.ActionSearch {
			copies++
		}
	}
	require.Equal(t, 3, copies)
	b.pass(250 * time.Millisecond)
	require.Equal(t, flowsteer.ActionLookup, b.client(data(1)).Action, "no answer came: all agents are asked")
	b.pass(3 * time.Second)
	require.Equal(t, flowsteer.ActionSearch, b.client(data(1)).Action, "the client's next copy starts a new search")
}

// An unknown flow is asked for where it was most likely placed, by whichever
// balancer, and at all agents only when it is not there.
func TestSearchAsksTheLikelyAgentsFirst(t *testing.T) {
	b := manyAgents(200)
	found, copies := 0, 0
	for n := range 200 {
		placed := b.client(opening(n)).Agent
		other := manyAgents(200)
		verdict := other.client(data(n))
		require.Equal(t, flowsteer.ActionSearch, verdict.Action)
		copies += len(verdict.Agents)
		if slices.Contains(verdict.Agents, placed) {
			found++
		}
	}
	require.Greater(t, found, 190)
	require.Less(t, copies, 200*10)
}

// deny has all agents but some deny a flow that is searched for, and returns the
// last verdict that is not a drop.
func (b *bench) deny(key flow.Key, but ...netip.Addr) flowsteer.Verdict {
	var last flowsteer.Verdict
	for n := range 255 {
		if b.agents[vm(n)] == nil || slices.Contains(but, vm(n)) {
			continue
		}
		if verdict := b.table.FlowNotHeld(b.now, key, vm(n)); verdict.Action != flowsteer.ActionDrop {
			last = verdict
		}
	}
	return last
}

// seekEverywhere searches for a flow until all agents are asked, of whom all but
// some have denied it.
func (b *bench) seekEverywhere(t *testing.T, n int, but ...netip.Addr) {
	t.Helper()
	require.Equal(t, flowsteer.ActionSearch, b.client(data(n)).Action)
	b.table.HoldPacket(data(n).KeyFromClient(), []byte("packet"))
	if b.deny(data(n).KeyFromClient(), but...).Action != flowsteer.ActionLookup {
		b.now = b.now.Add(200 * time.Millisecond)
		require.Equal(t, flowsteer.ActionLookup, b.client(data(n)).Action)
	}
}

// A balancer to which all flows come at once asks about many in one datagram, and
// spaces its questions, so that they don't fill its link.
func TestQuestionsAboutManyFlowsShareDatagrams(t *testing.T) {
	const flows, agents = 500, 200
	b := manyAgents(agents)
	for n := range flows {
		require.Equal(t, flowsteer.ActionSearch, b.client(data(n)).Action)
	}
	b.now = b.now.Add(250 * time.Millisecond)
	for n := range flows {
		require.Equal(t, flowsteer.ActionLookup, b.client(data(n)).Action)
	}
	asked := map[flow.Key]bool{}
	for range 6 {
		questions, pause := b.table.LookupRequests(b.now)
		require.Len(t, questions, agents)
		for _, question := range questions {
			require.LessOrEqual(t, len(question.Keys), packetnode.MaxKeys, "one datagram")
			for _, key := range question.Keys {
				asked[key] = true
			}
		}
		require.GreaterOrEqual(t, pause, agents*time.Millisecond, "at most a thousand datagrams a second")
	}
	require.Len(t, asked, flows)
	questions, pause := b.table.LookupRequests(b.now.Add(50 * time.Millisecond))
	require.Empty(t, questions, "the answers are on their way")
	require.Positive(t, pause)
	b.pass(4 * time.Second)
	_, pause = b.table.LookupRequests(b.now)
	require.Zero(t, pause, "no search lasts for ever")
}

// An answer that was lost is asked for again before the client's next copy comes.
func TestAgentsThatDoNotAnswerAreAskedAgain(t *testing.T) {
	b := manyAgents(11)
	key := data(1).KeyFromClient()
	b.seekEverywhere(t, 1, vm(3), vm(7))
	for range 3 {
		questions, _ := b.table.LookupRequests(b.now)
		require.ElementsMatch(t, []flowsteer.LookupRequest{
			{Agent: vm(3), Keys: []flow.Key{key}}, {Agent: vm(7), Keys: []flow.Key{key}},
		}, questions)
		b.now = b.now.Add(100 * time.Millisecond)
	}
	b.table.FlowNotHeld(b.now, key, vm(3))
	verdict := b.table.FlowNotHeld(b.now, key, vm(7))
	require.Equal(t, flowsteer.ActionReset, verdict.Action)
	require.Equal(t, flowsteer.ReasonNotFound, verdict.Reason)
}

// The client's packet waits for the end of the search, so that a flow that was
// found goes on without another copy.
func TestPacketThatWasHeldFollowsTheAnswer(t *testing.T) {
	b := manyAgents(11)
	key := data(1).KeyFromClient()
	b.seekEverywhere(t, 1, vm(3), vm(7))
	verdict := b.table.FlowUncertain(b.now, key, vm(3))
	require.Equal(t, flowsteer.ActionSearch, verdict.Action, "only the target can tell")
	require.Equal(t, []netip.Addr{vm(3)}, verdict.Agents)
	require.Equal(t, "packet", string(verdict.Packet))
	verdict = b.table.FlowHeld(b.now, key, vm(7))
	require.Equal(t, flowsteer.ActionForward, verdict.Action)
	require.Equal(t, vm(7), verdict.Agent)
	require.Equal(t, "packet", string(verdict.Packet))
	require.Nil(t, b.table.FlowHeld(b.now, key, vm(7)).Packet, "once")
}

// In large deployments reports are rare: an agent that answers no question is
// taken as lost before its reports are overdue, but not while it reports.
func TestAgentThatAnswersNoQuestionIsLost(t *testing.T) {
	b := manyAgents(20)
	b.agents[vm(2)].ReportInterval, b.agents[vm(3)].ReportInterval = 10*time.Second, 10*time.Second
	ask := func(d time.Duration, silent ...netip.Addr) {
		for end := b.now.Add(d); b.now < end; {
			b.table.LookupRequests(b.now)
			b.pass(100*time.Millisecond, silent...)
		}
	}
	b.seekEverywhere(t, 1, vm(2), vm(3))
	ask(2*time.Second, vm(2))
	require.Empty(t, b.expire(), "one of them reports")
	verdict := b.table.FlowNotHeld(b.now, data(1).KeyFromClient(), vm(3))
	require.Equal(t, flowsteer.ActionReset, verdict.Action)

	b = manyAgents(20)
	b.agents[vm(2)].ReportInterval, b.agents[vm(2)].State = 10*time.Second, flowsteer.AgentRestarting
	b.seekEverywhere(t, 1, vm(2))
	ask(2*time.Second, vm(2))
	require.Empty(t, b.expire(), "it has announced that it comes back")
}

// A flow that only a lost agent can have held is given up without a packet.
func TestFlowThatOnlyALostAgentCanHoldIsGivenUp(t *testing.T) {
	b := manyAgents(5)
	b.seekEverywhere(t, 1, vm(2))
	b.pass(2*time.Second, vm(2))
	losses := b.expire()
	require.Len(t, losses, 1)
	require.Equal(t, flowsteer.ReasonNotFound, losses[0].Verdict.Reason)
}

// Agents that can't tell are sent copies within a budget.
func TestCopiesToUnsureAgentsHaveABudget(t *testing.T) {
	const flows, agents = 1000, 200
	b := manyAgents(agents)
	for n := range flows {
		b.client(data(n))
	}
	b.now = b.now.Add(250 * time.Millisecond)
	copies := func() int {
		sum := 0
		for n := range flows {
			key := data(n).KeyFromClient()
			sum += len(b.client(data(n)).Agents)
			b.table.HoldPacket(key, []byte("packet"))
			for i := range agents {
				sum += len(b.table.FlowUncertain(b.now, key, vm(i)).Agents)
			}
			for range 10 {
				sum += len(b.client(data(n)).Agents)
			}
		}
		return sum
	}
	require.Equal(t, 4000, copies())
	b.now = b.now.Add(250 * time.Millisecond)
	require.Equal(t, 1000, copies())
}

// When all agents have restarted, a flow's packet goes to a few of them at a time,
// first to those at which the flow is more likely, until one holds it.
func TestFewAgentsHaveACopyAtATime(t *testing.T) {
	const agents = 56
	b := manyAgents(agents)
	key := data(1).KeyFromClient()
	b.seekEverywhere(t, 1, allVMs(agents)...)
	away := map[netip.Addr]bool{}
	take := func(verdict flowsteer.Verdict) {
		for _, agent := range verdict.Agents {
			require.False(t, away[agent], "no agent gets it twice")
			away[agent] = true
		}
	}
	for n := range agents {
		take(b.table.FlowUncertain(b.now, key, vm(n)))
	}
	require.Len(t, away, 4)
	first := away
	away = map[netip.Addr]bool{}
	last := ^uint64(0)
	for agent := range first {
		verdict := b.table.FlowNotHeld(b.now, key, agent)
		take(verdict)
		require.Less(t, key.RendezvousWeight(verdict.Agents[0]), last)
		last = key.RendezvousWeight(verdict.Agents[0])
	}
	require.Len(t, away, 4)
	b.now = b.now.Add(100 * time.Millisecond)
	require.Len(t, b.table.FlowUncertain(b.now, key, vm(0)).Agents, 1, "copies that are not answered make room")
}

func allVMs(count int) []netip.Addr {
	var vms []netip.Addr
	for n := range count {
		vms = append(vms, vm(n))
	}
	return vms
}

func TestDeniedFlowIsGivenUpOnlyWhenEveryAgentHasDeniedIt(t *testing.T) {
	b := newBench(agent(1, here, feed), agent(2, here, feed), agent(3, there, files))
	b.pass(6 * time.Second)
	key := data(1).KeyFromClient()
	require.Equal(t, flowsteer.ActionSearch, b.client(data(1)).Action)
	require.Equal(t, flowsteer.ActionDrop, b.table.FlowNotHeld(b.now, key, vm(1)).Action)
	require.Equal(t, flowsteer.ActionDrop, b.table.FlowNotHeld(b.now, key, vm(1)).Action, "the same agent counts once")
	require.Equal(t, flowsteer.ActionLookup, b.table.FlowNotHeld(b.now, key, vm(2)).Action, "all likely agents have denied it")
	questions, _ := b.table.LookupRequests(b.now)
	require.Equal(t, []flowsteer.LookupRequest{{Agent: vm(3), Keys: []flow.Key{key}}}, questions)
	verdict := b.table.FlowNotHeld(b.now, key, vm(3))
	require.Equal(t, flowsteer.ActionReset, verdict.Action)
	require.EqualValues(t, 77, verdict.Sequence)
}

// A balancer that has just started knows all agents as soon as it has read the
// registrations: a node stays registered for some seconds after its end, so
// that those which are on their way back are on the list.
func TestBalancerThatHasJustStartedTrustsTheListOfAgents(t *testing.T) {
	search := func(b *bench) flowsteer.Verdict {
		require.Equal(t, flowsteer.ActionSearch, b.client(data(1)).Action)
		b.table.FlowNotHeld(b.now, data(1).KeyFromClient(), vm(1))
		return b.table.FlowNotHeld(b.now, data(1).KeyFromClient(), vm(2))
	}
	b := newBench(agent(1, here, feed), agent(2, here, feed))
	b.pass(500 * time.Millisecond)
	require.Equal(t, flowsteer.ActionReset, search(b).Action)

	b = newBench(agent(1, here, feed), agent(2, here, feed))
	b.listed = false
	b.pass(500 * time.Millisecond)
	require.NotEqual(t, flowsteer.ActionReset, search(b).Action, "not listed: others may hold the flow")

	unmet := agent(3, here, feed)
	unmet.HasReported = false
	b = newBench(agent(1, here, feed), agent(2, here, feed), unmet)
	b.pass(500*time.Millisecond, vm(3))
	require.Equal(t, flowsteer.ActionLookup, search(b).Action)
	questions, _ := b.table.LookupRequests(b.now)
	require.Equal(t, []flowsteer.LookupRequest{{Agent: vm(3), Keys: []flow.Key{data(1).KeyFromClient()}}}, questions,
		"an agent that is listed and was not met may hold the flow")
	b.pass(time.Second, vm(3))
	losses := b.expire()
	require.Len(t, losses, 1, "an agent that does not come back is lost")
	require.Equal(t, flowsteer.ActionReset, losses[0].Verdict.Action)
}

func TestFlowsOfALostAgentAreGivenUp(t *testing.T) {
	for _, state := range []flowsteer.AgentState{flowsteer.AgentOpen, flowsteer.AgentRestarting} {
		t.Run(fmt.Sprint(state), func(t *testing.T) {
			b := newBench(agent(1, here, feed), agent(2, here, feed), agent(3, here, feed))
			b.pass(6 * time.Second)
			b.client(data(1))
			b.table.FlowHeld(b.now, data(1).KeyFromClient(), vm(1))
			b.client(data(1))
			b.agents[vm(1)].State = state
			b.pass(2*time.Second, vm(1))
			losses := b.expire()
			if state == flowsteer.AgentRestarting {
				require.Empty(t, losses, "it has said that its target lives on")
				b.pass(4*time.Second, vm(1))
				losses = b.expire()
			}
			require.Len(t, losses, 1)
			require.EqualValues(t, 77, losses[0].Verdict.Sequence)
		})
	}
}

func TestBalancerThatHearsFewAgentsGivesNothingUp(t *testing.T) {
	b := newBench(agent(1, here, feed), agent(2, here, feed), agent(3, here, feed))
	b.pass(6 * time.Second)
	b.client(data(1))
	b.table.FlowHeld(b.now, data(1).KeyFromClient(), vm(1))
	b.client(data(1))
	b.pass(3*time.Second, vm(1), vm(2))
	require.Empty(t, b.expire())
	require.Equal(t, flowsteer.ActionForward, b.client(data(1)).Action)
}

// A balancer that was frozen or suspended has heard nobody meanwhile: the first
// reports that come again must not make those that come a moment later look
// lost.
func TestBalancerThatWasPausedGivesOthersTime(t *testing.T) {
	b := newBench(agent(1, here, feed), agent(2, here, feed), agent(3, here, feed))
	b.pass(6 * time.Second)
	b.client(data(1))
	b.table.FlowHeld(b.now, data(1).KeyFromClient(), vm(1))
	b.client(data(1))
	b.table.Expire(b.now)
	b.now = b.now.Add(5 * time.Second)
	b.hear(vm(1))
	require.Equal(t, flowsteer.ActionForward, b.client(data(1)).Action)
	require.Empty(t, b.table.Expire(b.now))
	for range 10 {
		b.pass(100*time.Millisecond, vm(1))
		require.Empty(t, b.expire())
	}
	for range 5 {
		b.pass(100*time.Millisecond, vm(1))
		b.table.Expire(b.now)
	}
	require.Zero(t, b.table.Size(), "it does not come back")
}

func TestTableIsBounded(t *testing.T) {
	b := newBench(agent(1, here, feed))
	for n := range 1500 {
		b.client(opening(n))
		b.client(data(n))
		b.table.FlowHeld(b.now, data(n).KeyFromClient(), vm(1))
	}
	require.Equal(t, 1000, b.table.Size())
	require.Equal(t, flowsteer.ReasonTableFull, b.client(opening(1400)).Reason)
	b.pass(2 * time.Minute)
	b.table.Expire(b.now)
	require.Zero(t, b.table.Size())
}
