// Package packetagent is the process beside each target of the packet path. It
// hands clients' packets to the target and the target's to the clients, decides
// what reaches the target, and tells the balancers which flows are here.
package packetagent

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/door"
	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/packetnode"
	"github.com/balsamlink/balsamlink/internal/routing"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("packetagent")

const (
	// maxFlows bounds the table of flows. Targets hold about 2,000.
	maxFlows = 16384
	// goodbyes is how often an agent tells that it ends; a datagram may be lost.
	goodbyes = 2
	// goodbyePause is the time after each of them.
	goodbyePause = 5 * time.Millisecond
	// settleTime is how long a flow must rest before it is given up after its
	// target has departed. It exceeds the time to any client, and a copy of a lost
	// packet.
	settleTime = 250 * time.Millisecond
	// expireInterval is the time between two looks for flows that have ended.
	expireInterval = time.Second
	// logRate is the budget of log lines a second, and logBurst that of lines at
	// once; each kind of line has its own.
	logRate  = 20
	logBurst = 100
)

// Run runs an agent until it is told to end.
func Run(ctx context.Context, settings packetnode.Settings, log *logrus.Entry) error {
	return packetnode.Run(ctx, settings, log, newAgent)
}

// Check checks settings without opening anything.
func Check(settings packetnode.Settings, log *logrus.Entry) error {
	return packetnode.Check(settings, log, newAgent)
}

func newAgent(base *packetnode.Base) (packetnode.RoleModule, error) {
	if base.Settings.Target == nil {
		return nil, Error.New("target: missing; allowed: the target beside the agent")
	}
	return &agent{base: base, settings: base.Settings, log: base.Log}, nil
}

// agent is the agent's own part of the process.
type agent struct {
	kernel.Steps
	base     *packetnode.Base
	settings packetnode.Settings
	log      *logrus.Entry
	codec    flow.Codec
	node     *packetnode.Node
	outbound *net.UDPConn
	pages    []*packetnode.HTTPServer
	metrics  *metrics
	running  sync.WaitGroup

	// view is what the control goroutine last published.
	view    atomic.Pointer[view]
	watch   targetWatch
	expired model.Instant

	mu      sync.Mutex
	door    *door.Door
	pending pending
	claims  claims
}

// Name implements packetnode.Own.
func (a *agent) Name() string { return "agent" }

// Apply implements packetnode.Own.
func (a *agent) Apply(settings packetnode.Settings) {
	if a.node == nil || settings.Target == nil {
		return
	}
	a.node.Apply(settings)
	target := settings.Target
	a.mu.Lock()
	defer a.mu.Unlock()
	a.door.Limit(target.Heartbeat(), target.ColdFactor, target.ColdSlack)
}

// view is what traffic needs of the control state. It is immutable.
type view struct {
	state     *routing.State
	known     packetnode.StateVersion
	proven    model.Instant
	balancers []packetnode.Peer
}

// Start implements kernel.Module.
func (a *agent) Start(ctx context.Context) error {
	target := a.settings.Target
	a.codec = a.base.Underlay.Codec()
	a.metrics = newMetrics(a.base.Counters, a.log)
	a.view.Store(&view{})
	a.pending = newPending()
	a.claims = claims{}
	a.door = door.New(door.Config{
		Service: target.Service, Zone: a.settings.Zone, Address: target.Address, Heartbeat: target.Heartbeat(),
		ColdFactor: target.ColdFactor, ColdSlack: target.ColdSlack, MaxFlows: maxFlows,
	}, model.Now())
	outbound, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(target.Outbound))
	if err != nil {
		return Error.New("packets of the target at %s: %v", target.Outbound, err)
	}
	a.outbound = outbound
	a.node = packetnode.New(packetnode.Config{
		Settings: a.settings, Role: model.RoleAgent, Service: target.Service, Underlay: a.base.Underlay,
		Counters: a.base.Counters, Log: a.log, Load: a.load, Changed: a.changed,
		Handlers: map[packetnode.Kind]packetnode.Handler{
			packetnode.KindForward:   a.takeForward,
			packetnode.KindFlowQuery: a.takeAsk,
		},
	})
	a.node.SetState(packetnode.StateClosed)
	if err := a.node.Start(ctx); err != nil {
		return err
	}
	a.running.Go(a.readOutbound)
	return a.servePages()
}

func (a *agent) servePages() error {
	registration, err := packetnode.Serve(a.settings.Target.Registration, a.base.Underlay.Registration(a), a.log)
	if err != nil {
		return err
	}
	a.pages = append(a.pages, registration)
	probe, err := packetnode.Serve(a.settings.Readiness, a.base.Underlay.Readiness(a.ready), a.log)
	if err != nil {
		return err
	}
	a.pages = append(a.pages, probe)
	operators, err := packetnode.Serve(a.settings.Metrics, a.node.AdminHandler(a.explain), a.log)
	if err != nil {
		return err
	}
	a.pages = append(a.pages, operators)
	return nil
}

// Drain implements kernel.Module: the balancers are told whether the target lives
// on. Nothing is waited for, since the target's flows stand still meanwhile.
func (a *agent) Drain(context.Context) error {
	a.mu.Lock()
	target := a.door.Target()
	a.mu.Unlock()
	state := packetnode.StateRestarting
	if target.Gone || target.Draining {
		state = packetnode.StateGone
	}
	a.log.WithFields(logrus.Fields{"state": state, "target": target.ID, "draining": target.Draining}).Info("agent_leaving")
	if target.Gone {
		// Its last answers go out first.
		time.Sleep(settleTime)
		a.giveUp("target_departed", 0)
	}
	for range goodbyes {
		a.node.SetState(state)
		time.Sleep(goodbyePause)
	}
	return nil
}

// Stop implements kernel.Module.
func (a *agent) Stop() error {
	var faults errs.Group
	for _, page := range a.pages {
		faults.Add(page.Close())
	}
	if a.node != nil {
		faults.Add(a.node.Stop())
	}
	if a.outbound != nil {
		faults.Add(a.outbound.Close())
	}
	a.running.Wait()
	return Error.Wrap(faults.Err())
}

func (a *agent) ready() bool { return a.view.Load().state != nil }

// load tells the node what to report. It runs on the control goroutine.
func (a *agent) load(now model.Instant) (packetnode.State, packetnode.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := packetnode.StateClosed
	if a.door.Ready(now) {
		state = packetnode.StateOpen
	}
	load := a.door.Load()
	room, free := a.door.Room(now, a.view.Load().state)
	return state, packetnode.Load{
		Slots: uint32(a.door.Target().Slots), Flows: uint32(load.Flows), InFlight: uint32(load.Busy), Cold: a.door.Cold(now),
		Capacity: uint32(room), ImmediateCapacity: uint32(free),
	}
}

// changed takes what the control goroutine knows.
func (a *agent) changed(now model.Instant, update packetnode.Update) {
	a.publish(now, update)
	for _, vm := range update.Joined {
		if node := update.NodeTable.Node(vm); node != nil && node.Peer.Role == model.RoleBalancer {
			a.introduce(node.Peer)
		}
	}
	a.mu.Lock()
	a.admit(now, a.view.Load())
	a.mu.Unlock()
	a.flushClaims()
	a.giveUpDeparted()
	a.watch.tick(a, now)
	if now.Sub(a.expired) >= expireInterval {
		a.expired = now
		a.mu.Lock()
		a.door.Expire(now, idleTimeout(a.view.Load().state))
		a.mu.Unlock()
	}
}

// giveUpDeparted resets the idle flows of a target that has departed, before
// their clients send requests in vain.
func (a *agent) giveUpDeparted() {
	a.mu.Lock()
	gone := a.door.Target().Gone
	a.mu.Unlock()
	if gone {
		a.giveUp("target_departed", settleTime)
	}
}

func idleTimeout(state *routing.State) time.Duration {
	if state == nil || state.Config == nil {
		return 0
	}
	return state.Config.IdleTimeout
}

func (a *agent) publish(now model.Instant, update packetnode.Update) {
	state, proven := update.StateCache.State()
	next := &view{state: state, known: update.StateCache.StateVersion(), proven: proven}
	for _, node := range update.NodeTable.Nodes() {
		if node.Peer.Role == model.RoleBalancer && node.Live(now) {
			next.balancers = append(next.balancers, node.Peer)
		}
	}
	a.view.Store(next)
}

// reset tells a flow's client that the flow is given up.
func (a *agent) reset(key flow.Key, sequence uint32, why string) {
	a.metrics.resets.Inc()
	a.metrics.resetLog.Info("flow_reset", logrus.Fields{"flow": key, "reason": why, "sequence": sequence})
	a.sendToClient(key.Client, a.codec.AppendReset(nil, key, sequence))
}

func (a *agent) sendToClient(client flow.Endpoint, packet []byte) {
	address := netip.AddrPortFrom(netip.AddrFrom4(client.IP), a.settings.Packets.Port())
	if _, err := a.outbound.WriteToUDPAddrPort(packet, address); err != nil {
		a.metrics.sendFailed.Inc()
	}
}

// giveUp resets the flows whose target has ended, but for those that had a packet
// within the settling time.
func (a *agent) giveUp(why string, settling time.Duration) {
	a.mu.Lock()
	losses := a.door.Losses(model.Now(), settling)
	a.mu.Unlock()
	for _, loss := range losses {
		a.reset(loss.Key, loss.Sequence, why)
	}
}

// explain tells what the agent would do with a flow.
func (a *agent) explain(now model.Instant, key flow.Key) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.door.Explain(now, a.view.Load().state, key)
}
