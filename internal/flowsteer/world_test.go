package flowsteer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/flowsteer"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/routing"
	"github.com/balsamlink/balsamlink/internal/targetgate"
)

const (
	// touchTime is how long a node counts as disturbed after an unplanned end, from
	// when it runs again.
	touchTime = 4 * time.Second
	// plannedTime is how long a planned restart takes at most.
	plannedTime = 4 * time.Second
)

// heartbeatTime is how long a target waits after a heartbeat that was taken.
const heartbeatTime = 400 * time.Millisecond

// idleTime is how long a flow may rest before anyone may discard it.
const idleTime = 15 * time.Second

// worldTarget is the oracle for one target: the flows that it really holds, and
// when each had a packet last.
type worldTarget struct {
	born  int64
	holds map[flow.Key]bool
	used  map[flow.Key]model.Instant
}

// worldAgent is an agent with its target. The door is nil while it is down.
type worldAgent struct {
	vm       netip.Addr
	service  model.Service
	door     *targetgate.Gate
	target   worldTarget
	sequence uint64
	// announced is when the target's last heartbeat was taken.
	announced  model.Instant
	heard      model.Instant
	restarting bool
	stopped    model.Instant
	// disturbed is when the agent last started after an unplanned end.
	disturbed model.Instant
}

// letterKind tells what a letter says.
type letterKind int

const (
	// letterPacket carries a client's packet to an agent, and back.
	letterPacket letterKind = iota
	// letterAsk asks an agent whether it holds the packet's flow; the others are the
	// answers.
	letterAsk
	letterClaim
	letterDenied
	letterUnsure
)

// letter is a message between a balancer and an agent.
type letter struct {
	kind     letterKind
	toAgent  bool
	agent    int
	balancer int
	packet   flow.Packet
	search   bool
	reason   targetgate.Reason
	sent     model.Instant
}

// world is balancers and agents whose messages are delayed, lost and repeated.
type world struct {
	t         *rapid.T
	now       model.Instant
	state     *routing.State
	agents    []*worldAgent
	balancers []*flowsteer.Table
	letters   []letter
	flows     []flow.Key
	resets    map[flow.Key]bool
	opened    map[flow.Key]bool
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: start, resets: map[flow.Key]bool{}, opened: map[flow.Key]bool{}, balancers: make([]*flowsteer.Table, 3)}
	w.route(feed)
	for n := range 5 {
		service := feed
		if n >= 3 {
			service = files
		}
		agent := &worldAgent{vm: vm(n + 1), service: service}
		w.agents = append(w.agents, agent)
		w.startTarget(agent)
		w.startAgent(agent)
	}
	for n := range w.balancers {
		w.balancers[n] = w.newBalancer()
	}
	w.pass(500 * time.Millisecond)
	return w
}

func (w *world) route(service model.Service) {
	w.state = &routing.State{ZonesOut: map[model.Zone]bool{}, Config: &routing.Config{
		IdleTimeout: idleTime, Services: map[model.Service]*routing.Service{},
		Routes: map[flow.Endpoint]*routing.Route{
			feedAddress: {Address: feedAddress, Services: []routing.WeightedService{{Service: service, Weight: 1}}},
		},
	}}
}

func (w *world) newBalancer() *flowsteer.Table {
	return flowsteer.NewTable(flowsteer.Limits{MaxFlows: 1000, MaxLifetime: time.Minute}, w.now)
}

func (w *world) startTarget(a *worldAgent) {
	a.target = worldTarget{born: int64(w.now), holds: map[flow.Key]bool{}, used: map[flow.Key]model.Instant{}}
	a.sequence, a.announced = 0, 0
}

func (w *world) startAgent(a *worldAgent) {
	a.door = targetgate.New(targetgate.Config{
		Service: a.service, Address: targetAddress(a.vm), Heartbeat: heartbeatTime, ColdFactor: 1.5, ColdSlack: 5, MaxFlows: 1000,
	}, w.now)
	a.restarting = false
	w.announce(a)
}

func targetAddress(vm netip.Addr) netip.AddrPort { return netip.AddrPortFrom(vm, 8080) }

// announce sends the target's heartbeat if it is due. While there is no agent,
// each attempt fails and counts.
func (w *world) announce(a *worldAgent) {
	if a.announced != 0 && w.now.Sub(a.announced) < heartbeatTime {
		return
	}
	a.sequence++
	if a.door == nil {
		return
	}
	a.announced = w.now
	_, err := a.door.Announce(w.now, targetgate.Announcement{
		ID: "i", Incarnation: a.target.born, Sequence: a.sequence, Service: a.service, Address: targetAddress(a.vm), Slots: 50,
		Age: w.now.Sub(model.Instant(a.target.born)),
	})
	require.NoError(w.t, err)
	w.giveUp(a)
}

// pass lets time go by in which running agents beat, report and are seen.
func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); w.now < end; {
		w.now = w.now.Add(100 * time.Millisecond)
		for _, a := range w.agents {
			for key, used := range a.target.used {
				if w.now.Sub(used) > idleTime-time.Second {
					delete(a.target.holds, key)
				}
			}
			if a.restarting && w.now.Sub(a.stopped) >= plannedTime {
				w.startAgent(a)
			}
			w.announce(a)
			if a.door != nil {
				a.heard = w.now
				a.door.Expire(w.now, idleTime)
			}
		}
		w.show()
		for n := range w.balancers {
			for _, loss := range w.balancers[n].Expire(w.now) {
				w.reset(loss.Key, loss.Verdict.Reason.String())
			}
			w.ask(n)
		}
	}
}

func (w *world) show() {
	view := &flowsteer.View{
		Zone: here, State: w.state, VerifiedAt: w.now, RegistrationsRead: true,
		Agents: map[netip.Addr]*flowsteer.Agent{}, ByService: map[model.Service][]*flowsteer.Agent{},
	}
	for _, a := range w.agents {
		seen := &flowsteer.Agent{
			VM: a.vm, Zone: here, Service: a.service, State: flowsteer.AgentOpen, LastReport: a.heard, ReportInterval: 200 * time.Millisecond,
			Slots: 50, Capacity: 500, ImmediateCapacity: 100, HasReported: true,
		}
		if a.restarting {
			seen.State = flowsteer.AgentRestarting
		}
		view.Agents[a.vm] = seen
		view.ByService[a.service] = append(view.ByService[a.service], seen)
	}
	for n := range w.balancers {
		w.balancers[n].SetView(view, nil)
	}
}

// reset requires that a flow that the system gives up has ended at its target, or
// that its agent was disturbed.
func (w *world) reset(key flow.Key, why string) {
	w.resets[key] = true
	for _, a := range w.agents {
		down := a.door == nil && !a.restarting
		if a.target.holds[key] && !down && (a.disturbed == 0 || w.now.Sub(a.disturbed) > touchTime) {
			w.t.Fatalf("flow %s was given up (%s) while its target holds it", key, why)
		}
	}
}

func (w *world) fromClient(balancer int, p flow.Packet) {
	verdict := w.balancers[balancer].ClientPacket(w.now, p)
	if verdict.Action == flowsteer.ActionSearch || verdict.Action == flowsteer.ActionLookup {
		w.balancers[balancer].HoldPacket(p.KeyFromClient(), []byte{1})
	}
	w.carryOut(balancer, p, verdict)
}

// packetOf is a client's packet of an open flow.
func packetOf(key flow.Key) flow.Packet {
	p := data(0)
	p.Source, p.Destination = key.Client, key.Service
	return p
}

// ask sends a balancer's questions.
func (w *world) ask(balancer int) {
	questions, _ := w.balancers[balancer].LookupRequests(w.now)
	for _, question := range questions {
		for _, key := range question.Keys {
			w.letters = append(w.letters, letter{
				kind: letterAsk, toAgent: true, agent: w.agentAt(question.Agent), balancer: balancer, packet: packetOf(key), sent: w.now,
			})
		}
	}
}

func (w *world) carryOut(balancer int, p flow.Packet, verdict flowsteer.Verdict) {
	switch verdict.Action {
	case flowsteer.ActionForward:
		w.letters = append(w.letters, letter{toAgent: true, agent: w.agentAt(verdict.Agent), balancer: balancer, packet: p, sent: w.now})
	case flowsteer.ActionSearch:
		for _, vm := range verdict.Agents {
			w.letters = append(w.letters, letter{toAgent: true, agent: w.agentAt(vm), balancer: balancer, packet: p, search: true, sent: w.now})
		}
	case flowsteer.ActionReset:
		w.reset(p.KeyFromClient(), verdict.Reason.String())
	}
}

func (w *world) agentAt(vm netip.Addr) int {
	for n, a := range w.agents {
		if a.vm == vm {
			return n
		}
	}
	w.t.Fatalf("no agent at %s", vm)
	return 0
}

func (w *world) deliver(l letter) {
	if !l.toAgent {
		w.carryOut(l.balancer, l.packet, w.take(l))
		return
	}
	a := w.agents[l.agent]
	switch {
	case a.door == nil:
	case l.kind == letterAsk:
		w.tell(a, l)
	case l.packet.Opening():
		w.open(a, l)
	default:
		w.carry(a, l)
	}
}

// take hands an agent's letter to its balancer.
func (w *world) take(l letter) flowsteer.Verdict {
	table, agent, key := w.balancers[l.balancer], w.agents[l.agent].vm, l.packet.KeyFromClient()
	switch {
	case l.kind == letterClaim:
		return table.FlowHeld(w.now, key, agent)
	case l.kind == letterDenied:
		return table.FlowNotHeld(w.now, key, agent)
	case l.kind == letterUnsure:
		return table.FlowUncertain(w.now, key, agent)
	case l.packet.Opening():
		return table.OpeningRefused(w.now, l.packet, agent, l.reason)
	default:
		return table.PacketReturned(w.now, l.packet, agent)
	}
}

// tell answers a question from the agent's table.
func (w *world) tell(a *worldAgent, l letter) {
	key := l.packet.KeyFromClient()
	switch a.door.Lookup(key) {
	case targetgate.Held:
		w.back(l, letterClaim)
	case targetgate.Absent:
		w.requireAbsent(a, key)
		w.back(l, letterDenied)
	default:
		w.back(l, letterUnsure)
	}
}

func (w *world) requireAbsent(a *worldAgent, key flow.Key) {
	if a.target.holds[key] {
		w.t.Fatalf("agent %s denies flow %s, which its target holds", a.vm, key)
	}
}

// open hands an opening packet to the door. The client's acknowledgement follows
// at once, so that a flow that enters is open.
func (w *world) open(a *worldAgent, l letter) {
	key := l.packet.KeyFromClient()
	reason := a.door.Open(w.now, w.state, targetgate.Opening{Key: key, Balancer: vm(l.balancer + 100)})
	for _, opening := range a.door.Admit(w.now, w.state) {
		require.True(w.t, w.state.Config.Routes[feedAddress].Allows(a.service), "a flow reaches a service that its route does not name")
		if w.opened[opening.Key] || w.resets[opening.Key] {
			// A copy opens half a flow: the client has acknowledged another consent, or
			// has given up, and never acknowledges this one.
			continue
		}
		a.target.holds[opening.Key], w.opened[opening.Key] = true, true
		w.answer(a, l.balancer, opening.Key)
	}
	if reason != targetgate.ReasonNone {
		l.reason = reason
		w.back(l, letterPacket)
	}
}

func (w *world) held(key flow.Key) bool {
	for _, a := range w.agents {
		if a.target.holds[key] {
			return true
		}
	}
	return false
}

// answer is a packet of the target; the balancer that forwarded the flow hears of
// it.
func (w *world) answer(a *worldAgent, balancer int, key flow.Key) {
	a.target.used[key] = w.now
	if a.door.TargetPacket(w.now, flow.Packet{Source: key.Service, Destination: key.Client, Flags: flow.Ack, Length: 10}).Notify {
		w.letters = append(w.letters, letter{
			kind: letterClaim, agent: w.agentAt(a.vm), balancer: balancer, packet: packetOf(key), sent: w.now,
		})
	}
}

func (w *world) back(l letter, kind letterKind) {
	l.toAgent, l.kind, l.sent = false, kind, w.now
	w.letters = append(w.letters, l)
}

// deny tells a balancer that the target does not hold a flow: one that searched
// for it by its key, another by the packet.
func (w *world) deny(l letter) {
	kind := letterPacket
	if l.search {
		kind = letterDenied
	}
	w.back(l, kind)
}

func (w *world) carry(a *worldAgent, l letter) {
	key := l.packet.KeyFromClient()
	switch a.door.ClientPacket(w.now, l.packet, vm(l.balancer+100), l.search) {
	case targetgate.Deliver, targetgate.Probe:
		if !a.target.holds[key] {
			a.door.PacketReturned(key)
			w.deny(l)
			return
		}
		if l.search {
			w.back(l, letterClaim)
		}
		w.answer(a, l.balancer, key)
	case targetgate.ReturnPacket:
		w.requireAbsent(a, key)
		w.deny(l)
	case targetgate.ResetFlow:
		w.giveUp(a)
	}
}

func (w *world) giveUp(a *worldAgent) {
	for _, loss := range a.door.RemoveOrphaned(w.now, 0) {
		w.reset(loss.Key, "target ended")
	}
}

// settle delivers all letters, and all that they cause.
func (w *world) settle() {
	for rounds := 0; rounds < 10_000; rounds++ {
		if len(w.letters) == 0 {
			for n := range w.balancers {
				w.ask(n)
			}
		}
		if len(w.letters) == 0 {
			return
		}
		l := w.letters[0]
		w.letters = w.letters[1:]
		w.deliver(l)
	}
}

// Whatever is lost, late or repeated, and whichever nodes restart, no flow is
// given up while its target holds it, no flow opens at a service that its route
// does not name, and once all is calm every flow is found.
func TestFlowsAreFoundOrTrulyGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		draw := func(limit int, what string) int { return rapid.IntRange(0, limit-1).Draw(t, what) }
		t.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) {
				p := opening(len(w.flows))
				w.flows = append(w.flows, p.KeyFromClient())
				w.fromClient(draw(len(w.balancers), "balancer"), p)
			},
			"data": func(*rapid.T) {
				// A client sends data only once its flow is open.
				if len(w.flows) > 0 {
					if n := draw(len(w.flows), "flow"); w.opened[w.flows[n]] {
						w.fromClient(draw(len(w.balancers), "balancer"), data(n))
					}
				}
			},
			"deliver": func(*rapid.T) {
				if len(w.letters) > 0 {
					n := draw(len(w.letters), "letter")
					l := w.letters[n]
					w.letters = append(w.letters[:n:n], w.letters[n+1:]...)
					w.deliver(l)
				}
			},
			"settle": func(*rapid.T) { w.settle() },
			"lose": func(*rapid.T) {
				if len(w.letters) > 0 {
					n := draw(len(w.letters), "letter")
					w.letters = append(w.letters[:n:n], w.letters[n+1:]...)
				}
			},
			"repeat": func(*rapid.T) {
				if len(w.letters) > 0 {
					w.letters = append(w.letters, w.letters[draw(len(w.letters), "letter")])
				}
			},
			"pass": func(*rapid.T) { w.pass(time.Duration(1+draw(8, "tenths")) * 100 * time.Millisecond) },
			"route": func(*rapid.T) {
				w.settle()
				w.route(rapid.SampledFrom([]model.Service{feed, files}).Draw(t, "service"))
				w.show()
			},
			"replace balancer": func(*rapid.T) {
				w.balancers[draw(len(w.balancers), "balancer")] = w.newBalancer()
				w.show()
			},
			"stop agent": func(*rapid.T) {
				a := w.agents[draw(len(w.agents), "agent")]
				if a.door == nil {
					return
				}
				a.door = nil
				a.restarting, a.stopped = rapid.Bool().Draw(t, "planned"), w.now
				w.show()
			},
			"start agent": func(*rapid.T) {
				for _, a := range w.agents {
					if a.door == nil {
						if !a.restarting {
							a.disturbed = w.now
						}
						w.startAgent(a)
					}
				}
				w.pass(100 * time.Millisecond)
			},
			"restart target": func(*rapid.T) {
				a := w.agents[draw(len(w.agents), "agent")]
				w.now = w.now.Add(time.Millisecond)
				w.startTarget(a)
				if a.door != nil {
					w.announce(a)
				}
			},
		})
		w.requireAllFound()
	})
}

func (w *world) requireAllFound() {
	for _, a := range w.agents {
		if a.door == nil {
			w.startAgent(a)
		}
	}
	w.pass(6 * time.Second)
	w.letters = nil
	for n, key := range w.flows {
		if !w.held(key) || w.resets[key] {
			continue
		}
		for balancer := range w.balancers {
			for range 3 {
				w.pass(300 * time.Millisecond)
				w.fromClient(balancer, data(n))
				w.settle()
			}
			if !w.held(key) {
				// It has rested for too long.
				break
			}
			verdict := w.balancers[balancer].ClientPacket(w.now, data(n))
			require.Equal(w.t, flowsteer.ActionForward, verdict.Action)
			require.True(w.t, w.agents[w.agentAt(verdict.Agent)].target.holds[key], "flow %s is sent to another target", key)
		}
	}
}
