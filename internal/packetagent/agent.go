// Package packetagent implements the agent that runs beside each target of the
// packet path. It forwards clients' packets to the target and the target's
// packets to the clients, applies admission control to new flows, and reports
// to the balancers which flows its target holds.
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

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/packetnode"
	"github.com/balsamlink/balsamlink/internal/routing"
	"github.com/balsamlink/balsamlink/internal/targetgate"
)

// Error is the class of all errors of this package.
var Error = errs.Class("packetagent")

const (
	// maxFlows limits the flow table. Targets hold about 2,000 flows.
	maxFlows = 16384
	// departureNotices is how many times an agent notifies the balancers that it
	// ends; a datagram may be lost.
	departureNotices = 2
	// departureNoticePause is the time after each notice.
	departureNoticePause = 5 * time.Millisecond
	// resetIdleTime is how long a flow must be idle before it is reset after
	// its target has departed. It exceeds the network delay to any client plus
	// one retransmission.
	resetIdleTime = 250 * time.Millisecond
	// expireInterval is the time between two scans for flows that have ended or
	// were idle for too long.
	expireInterval = time.Second
	// logRate is the maximum sustained number of log lines per second, and
	// logBurst the maximum number of lines at once. Each kind of line has its
	// own limit.
	logRate  = 20
	logBurst = 100
)

// Run runs an agent until ctx is cancelled and the agent has drained.
func Run(ctx context.Context, settings packetnode.Settings, log *logrus.Entry) error {
	return packetnode.Run(ctx, settings, log, newAgent)
}

// Check validates settings without opening any socket.
func Check(settings packetnode.Settings, log *logrus.Entry) error {
	return packetnode.Check(settings, log, newAgent)
}

func newAgent(base *packetnode.Base) (packetnode.RoleModule, error) {
	if base.Settings.Target == nil {
		return nil, Error.New("target: missing; allowed: the target beside the agent")
	}
	return &agent{base: base, settings: base.Settings, log: base.Log}, nil
}

// agent is the agent's module of the process.
type agent struct {
	kernel.NopModule
	base     *packetnode.Base
	settings packetnode.Settings
	log      *logrus.Entry
	codec    flow.Codec
	node     *packetnode.Node
	// outbound exchanges packets with the target and sends the target's packets to
	// the clients.
	outbound *net.UDPConn
	servers  []*packetnode.HTTPServer
	metrics  *metrics
	running  sync.WaitGroup

	// view is the view that the control goroutine published last. The prober, the
	// snapshots and lastExpiry belong to that goroutine.
	view       atomic.Pointer[trafficView]
	prober     targetProber
	snapshots  flowSnapshots
	lastExpiry model.Instant

	mu      sync.Mutex
	gate    *targetgate.Gate
	pending deliveryRing
	reports flowReports
}

// Name implements packetnode.RoleModule.
func (a *agent) Name() string { return "agent" }

// Apply implements packetnode.RoleModule.
func (a *agent) Apply(settings packetnode.Settings) {
	if a.node == nil || settings.Target == nil {
		return
	}
	a.node.Apply(settings)
	target := settings.Target
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.SetLimits(target.Heartbeat(), target.ColdFactor, target.ColdSlack)
}

// trafficView is the part of the control state that packet handling needs. It is
// immutable.
type trafficView struct {
	state      *routing.State
	version    packetnode.StateVersion
	verifiedAt model.Instant
	balancers  []packetnode.Peer
}

// Start implements kernel.Module.
func (a *agent) Start(ctx context.Context) error {
	target := a.settings.Target
	a.codec = a.base.Underlay.Codec()
	a.metrics = newMetrics(a.base.Metrics, a.log)
	a.view.Store(&trafficView{})
	a.pending = newDeliveryRing()
	a.reports = flowReports{}
	a.gate = targetgate.New(targetgate.Config{
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
		Metrics: a.base.Metrics, Log: a.log, Load: a.load, OnUpdate: a.changed, Saved: a.savedValue(),
		Handlers: map[packetnode.Kind]packetnode.Handler{
			packetnode.KindForward:    a.handleForward,
			packetnode.KindFlowLookup: a.handleFlowLookup,
		},
	})
	a.node.SetState(packetnode.StateClosed)
	if err := a.node.Start(ctx); err != nil {
		return err
	}
	a.running.Go(a.readOutbound)
	return a.startServers()
}

func (a *agent) startServers() error {
	registration, err := packetnode.Serve(a.settings.Target.Registration, a.base.Underlay.Registration(a), a.log)
	if err != nil {
		return err
	}
	a.servers = append(a.servers, registration)
	readiness, err := packetnode.Serve(a.settings.Readiness, a.base.Underlay.Readiness(a.ready), a.log)
	if err != nil {
		return err
	}
	a.servers = append(a.servers, readiness)
	admin, err := packetnode.Serve(a.settings.Metrics, a.node.AdminHandler(a.explain), a.log)
	if err != nil {
		return err
	}
	a.servers = append(a.servers, admin)
	return nil
}

// Drain implements kernel.Module. It notifies the balancers whether the target
// keeps running. It does not wait for flows to end: those of a running target
// continue after the agent's restart and are stalled until then.
func (a *agent) Drain(ctx context.Context) error {
	if a.targetEnded(ctx) {
		// The target's last answers are delivered first.
		time.Sleep(resetIdleTime)
		a.resetFlows("target_departed", 0)
	}
	// Another incarnation of the target may have started meanwhile.
	a.mu.Lock()
	target, forGood := a.gate.Target(), a.gate.LeavesForGood()
	a.mu.Unlock()
	state := packetnode.StateRestarting
	if forGood {
		state = packetnode.StateGone
	}
	a.log.WithFields(logrus.Fields{"state": state, "target": target.ID, "draining": target.Draining}).Info("agent_leaving")
	for range departureNotices {
		a.node.SetState(state)
		time.Sleep(departureNoticePause)
	}
	return nil
}

// targetEnded reports whether the target has ended. A target that is draining may have ended
// without a departure notice, and is probed.
func (a *agent) targetEnded(ctx context.Context) bool {
	a.mu.Lock()
	target := a.gate.Target()
	a.mu.Unlock()
	if !target.Ended && target.Draining {
		began := model.Now()
		a.probeDone(model.Now(), began, a.probe(ctx, a.view.Load()))
		a.mu.Lock()
		target = a.gate.Target()
		a.mu.Unlock()
	}
	return target.Ended
}

// Stop implements kernel.Module.
func (a *agent) Stop() error {
	var faults errs.Group
	for _, server := range a.servers {
		faults.Add(server.Close())
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

// load returns the state and the load that the node reports. It runs on the
// control goroutine.
func (a *agent) load(now model.Instant) (packetnode.State, packetnode.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := packetnode.StateClosed
	switch {
	case a.gate.Ready(now):
		state = packetnode.StateOpen
	case a.gate.Target().Ended:
		state = packetnode.StateEnded
	}
	load := a.gate.Load()
	capacity, immediate := a.gate.Capacity(now, a.view.Load().state)
	return state, packetnode.Load{
		Slots: uint32(a.gate.Target().Slots), Flows: uint32(load.Flows), ActiveFlows: uint32(load.ActiveFlows), Cold: a.gate.Cold(now),
		Capacity: uint32(capacity), ImmediateCapacity: uint32(immediate),
	}
}

// changed publishes an update of the control state and does the periodic work.
func (a *agent) changed(now model.Instant, update packetnode.Update) {
	a.publish(now, update)
	for _, vm := range update.Joined {
		if node := update.NodeTable.Node(vm); node != nil && node.Peer.Role == model.RoleBalancer {
			a.reportOpenFlows(node.Peer)
		}
	}
	a.mu.Lock()
	a.admit(now, a.view.Load())
	a.mu.Unlock()
	a.flushReports()
	a.resetDepartedFlows()
	a.resetFormerFlows()
	a.prober.tick(a, now)
	if now.Sub(a.lastExpiry) >= expireInterval {
		a.lastExpiry = now
		a.expireFlows(now)
	}
}

// expireFlows removes the flows that have ended or were idle for too long, and updates the
// counters of removed flows.
func (a *agent) expireFlows(now model.Instant) {
	a.mu.Lock()
	a.gate.Expire(now, idleTimeout(a.view.Load().state))
	removals := a.gate.Removals()
	a.mu.Unlock()
	for removal, counter := range a.metrics.removed {
		counter.Add(removals[removal] - counter.Value())
	}
}

// resetDepartedFlows resets the idle flows of a target that has departed, so
// that their clients do not send requests that no target would answer.
func (a *agent) resetDepartedFlows() {
	a.mu.Lock()
	departed := a.gate.Target().Ended
	a.mu.Unlock()
	if departed {
		a.resetFlows("target_departed", resetIdleTime)
	}
}

// idleTimeout returns the idle timeout of flows, or 0 if no configuration is
// known.
func idleTimeout(state *routing.State) time.Duration {
	if state == nil || state.Config == nil {
		return 0
	}
	return state.Config.IdleTimeout
}

// publish replaces the view. It lists the balancers that are live.
func (a *agent) publish(now model.Instant, update packetnode.Update) {
	state, verifiedAt := update.StateCache.State()
	next := &trafficView{state: state, version: update.StateCache.StateVersion(), verifiedAt: verifiedAt}
	for _, node := range update.NodeTable.Nodes() {
		if node.Peer.Role == model.RoleBalancer && node.Live(now) {
			next.balancers = append(next.balancers, node.Peer)
		}
	}
	a.view.Store(next)
}

// reset notifies a flow's client that the flow has ended.
func (a *agent) reset(ended targetgate.OrphanedFlow, reason string) {
	fields := logrus.Fields{"flow": ended.Key, "reason": reason, "evidence": ended.Evidence, "sequence": ended.Sequence}
	if ended.Evidence == targetgate.EvidenceNone {
		a.log.WithFields(fields).Error("reset_without_evidence")
		return
	}
	a.metrics.resets.Inc()
	a.metrics.resetLog.Info("flow_reset", fields)
	a.sendToClient(ended.Key.Client, a.codec.AppendReset(nil, ended.Key, ended.Sequence))
}

// sendToClient sends a packet to a client. Clients receive packets at the UDP port
// of the setting "packets"; the port of the endpoint is only in the packet's
// header.
func (a *agent) sendToClient(client flow.Endpoint, packet []byte) {
	address := netip.AddrPortFrom(netip.AddrFrom4(client.IP), a.settings.Packets.Port())
	if _, err := a.outbound.WriteToUDPAddrPort(packet, address); err != nil {
		a.metrics.sendFailed.Inc()
	}
}

// resetFlows resets the flows whose target has ended, except those that had a
// packet within the idle time.
func (a *agent) resetFlows(reason string, idleTime time.Duration) {
	a.mu.Lock()
	ended := a.gate.RemoveOrphaned(model.Now(), idleTime)
	a.mu.Unlock()
	for _, entry := range ended {
		a.reset(entry, reason)
	}
}

// explain returns what the agent would do with a flow, as lines of text.
func (a *agent) explain(now model.Instant, key flow.Key) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Explain(now, a.view.Load().state, key)
}
