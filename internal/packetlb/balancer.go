// Package packetlb implements the balancer of the packet path. It receives the
// packets that the fabric delivers to its VM and forwards each to the agent
// that holds the packet's flow. Its flow table is a cache: it can be rebuilt
// from the agents' flow reports at any time.
package packetlb

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/flowsteer"
	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/packetnode"
)

// Error is the class of all errors of this package.
var Error = errs.Class("packetlb")

const (
	// bytesPerFlow is the maximum memory that one flow takes in the table, in
	// bytes. TestTableMemory of flowsteer verifies it.
	bytesPerFlow = 400
	// tableMemoryShare is the fraction of the process's memory that the table
	// may take.
	tableMemoryShare = 0.4
	// expireInterval is the time between two scans for idle flows and for flows
	// of lost agents.
	expireInterval = 100 * time.Millisecond
	// flowReportWait is how long at most a balancer that has the operators' state
	// delays its readiness, so that the agents' flow reports arrive first. The
	// delay ends once each known agent has sent a heartbeat.
	flowReportWait = 400 * time.Millisecond
	// drainIdleTime is how long a draining balancer must have received no
	// packet before it exits.
	drainIdleTime = 600 * time.Millisecond
	// minDrainTime is the minimum duration of draining. The fabric takes up to
	// that long to stop using a balancer that is no longer ready: two probes,
	// half a second apart.
	minDrainTime = 1300 * time.Millisecond
	// drainPollInterval is the time between two checks for packets while
	// draining.
	drainPollInterval = 50 * time.Millisecond
	// socketBuffer is the size of the socket's receive buffer, in bytes.
	socketBuffer = 2 << 20
	// logRate is the maximum sustained number of log lines per second, and
	// logBurst the maximum number of lines at once. Each action has its own
	// limit.
	logRate  = 30
	logBurst = 150
)

// Run runs a balancer until ctx is cancelled and the balancer has drained.
func Run(ctx context.Context, settings packetnode.Settings, log *logrus.Entry) error {
	return packetnode.Run(ctx, settings, log, newBalancer)
}

// Check validates settings without opening any socket.
func Check(settings packetnode.Settings, log *logrus.Entry) error {
	return packetnode.Check(settings, log, newBalancer)
}

func newBalancer(base *packetnode.Base) (packetnode.RoleModule, error) {
	if base.Settings.Target != nil {
		return nil, Error.New("target: present; allowed: none, because a balancer has no target")
	}
	return &balancer{
		base: base, settings: base.Settings, log: base.Log, created: model.Now(),
		lookupWake: make(chan struct{}, 1), stopped: make(chan struct{}),
	}, nil
}

// balancer is the balancer's module of the process.
type balancer struct {
	kernel.NopModule
	base     *packetnode.Base
	settings packetnode.Settings
	log      *logrus.Entry
	codec    flow.Codec
	node     *packetnode.Node
	// fabricSocket receives the clients' packets from the fabric and sends
	// resets to clients.
	fabricSocket *net.UDPConn
	servers      []*packetnode.HTTPServer
	metrics      *metrics
	running      sync.WaitGroup

	// created is when the process had read its settings.
	created model.Instant

	ready atomic.Bool
	// draining is set once the process has been asked to stop.
	draining atomic.Bool
	// packets counts the packets received from the fabric. Drain uses it to
	// detect that no more arrive.
	packets atomic.Uint64
	// forwarded is set once a packet has been sent to an agent.
	forwarded atomic.Bool
	view      atomic.Pointer[trafficView]

	// stateKnownAt is when the operators' state became known, and lastExpiry
	// when flows were last checked for expiry. Both belong to the control
	// goroutine of packetnode.Node, which calls changed.
	stateKnownAt model.Instant
	lastExpiry   model.Instant

	// reportSender executes verdicts on the agents' reports and on packets that
	// they return, and expirySender those on flows that are reset because an
	// agent is lost. Each is used by one goroutine only.
	reportSender *sender
	expirySender *sender

	// lookupWake wakes sendLookups, and stopped ends it.
	lookupWake chan struct{}
	stopped    chan struct{}

	mu    sync.Mutex
	table *flowsteer.Table
}

// Name implements packetnode.RoleModule.
func (b *balancer) Name() string { return "balancer" }

// Apply implements packetnode.RoleModule.
func (b *balancer) Apply(settings packetnode.Settings) {
	if b.node != nil {
		b.node.Apply(settings)
	}
}

// trafficView is the part of the control state that packet handling needs. It
// is immutable: each update of the control state replaces it.
type trafficView struct {
	steering *flowsteer.View
	version  packetnode.StateVersion
}

// Start implements kernel.Module.
func (b *balancer) Start(ctx context.Context) error {
	b.codec = b.base.Underlay.Codec()
	limit := int(tableMemoryShare * float64(b.settings.MemoryMegabytes<<20) / bytesPerFlow)
	b.table = flowsteer.NewTable(flowsteer.Limits{MaxFlows: limit, MaxLifetime: b.settings.FlowLifetime()}, model.Now())
	b.metrics = newMetrics(b.base.Metrics, b.log, b.flows)
	b.view.Store(&trafficView{steering: &flowsteer.View{}})
	b.reportSender, b.expirySender = newSender(b), newSender(b)
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.settings.Packets))
	if err != nil {
		return Error.New("packets from the fabric at %s: %v", b.settings.Packets, err)
	}
	if err := socket.SetReadBuffer(socketBuffer); err != nil {
		b.log.WithError(err).Warn("socket_buffer_kept")
	}
	b.fabricSocket = socket
	b.node = packetnode.New(packetnode.Config{
		Settings: b.settings, Role: model.RoleBalancer, Underlay: b.base.Underlay, Metrics: b.base.Metrics,
		Log: b.log, OnUpdate: b.changed,
		Handlers: map[packetnode.Kind]packetnode.Handler{
			packetnode.KindReturn:        b.handleReturn,
			packetnode.KindFlowHeld:      b.handleFlowHeld,
			packetnode.KindFlowNotHeld:   b.handleFlowNotHeld,
			packetnode.KindFlowUncertain: b.handleFlowUncertain,
		},
	})
	if err := b.node.Start(ctx); err != nil {
		return err
	}
	b.running.Go(b.readClientPackets)
	b.running.Go(b.sendLookups)
	return b.startServers()
}

func (b *balancer) startServers() error {
	readiness, err := packetnode.Serve(b.settings.Readiness, b.base.Underlay.Readiness(b.ready.Load), b.log)
	if err != nil {
		return err
	}
	b.servers = append(b.servers, readiness)
	admin, err := packetnode.Serve(b.settings.Metrics, b.node.AdminHandler(b.explain), b.log)
	if err != nil {
		return err
	}
	b.servers = append(b.servers, admin)
	return nil
}

// Drain implements kernel.Module. The balancer reports itself not ready, so
// that the fabric stops using it, and keeps forwarding until no more packets
// arrive.
func (b *balancer) Drain(ctx context.Context) error {
	b.draining.Store(true)
	b.ready.Store(false)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	started := model.Now()
	last, since := b.packets.Load(), started
	for {
		select {
		case <-ctx.Done():
			return Error.Wrap(context.Cause(ctx))
		case <-ticker.C:
		}
		now, count := model.Now(), b.packets.Load()
		if count != last {
			last, since = count, now
		}
		if now.Sub(started) >= minDrainTime && now.Sub(since) >= drainIdleTime {
			b.log.WithField("waited_ms", now.Sub(started).Milliseconds()).Info("balancer_quiet")
			return nil
		}
	}
}

// Stop implements kernel.Module.
func (b *balancer) Stop() error {
	var faults errs.Group
	for _, server := range b.servers {
		faults.Add(server.Close())
	}
	if b.fabricSocket != nil {
		faults.Add(b.fabricSocket.Close())
	}
	if b.node != nil {
		faults.Add(b.node.Stop())
	}
	close(b.stopped)
	b.running.Wait()
	return Error.Wrap(faults.Err())
}

func (b *balancer) flows() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(b.table.Size())
}

// changed publishes an update of the control state to packet handling and does
// the periodic work.
func (b *balancer) changed(now model.Instant, update packetnode.Update) {
	next := b.newTrafficView(update)
	b.mu.Lock()
	b.table.SetView(next.steering, update.HeartbeatsFrom)
	b.mu.Unlock()
	b.view.Store(next)
	b.updateReady(now, update)
	if now.Sub(b.lastExpiry) >= expireInterval {
		b.lastExpiry = now
		b.expire(now)
	}
}

// newTrafficView returns the view of an update. It lists an agent under its
// service only after the agent's first heartbeat.
func (b *balancer) newTrafficView(update packetnode.Update) *trafficView {
	state, verifiedAt := update.StateCache.State()
	view := &flowsteer.View{
		Zone: b.settings.Zone, State: state, VerifiedAt: verifiedAt, RegistrationsRead: update.RegistrationsRead,
		Agents:    map[netip.Addr]*flowsteer.Agent{},
		ByService: map[model.Service][]*flowsteer.Agent{},
	}
	next := &trafficView{steering: view, version: update.StateCache.StateVersion()}
	for vm, node := range update.NodeTable.Nodes() {
		if node.Peer.Role != model.RoleAgent {
			continue
		}
		agent := agentOf(node)
		view.Agents[vm] = agent
		if !agent.HeartbeatReceived {
			continue
		}
		view.ByService[agent.Service] = append(view.ByService[agent.Service], agent)
	}
	for _, agents := range view.ByService {
		slices.SortFunc(agents, func(a, b *flowsteer.Agent) int { return a.VM.Compare(b.VM) })
	}
	return next
}

// agentOf returns the agent of a node. LastHeartbeat is not before the node's
// addition to the table, so that an agent whose first heartbeat has not arrived yet
// is not taken for a lost one, nor before the time since which it is suspected to be
// lost.
func agentOf(node *packetnode.RemoteNode) *flowsteer.Agent {
	return &flowsteer.Agent{
		VM: node.Peer.VM, Zone: node.Peer.Zone, Service: node.Peer.Service, State: agentState(node.State),
		HeartbeatReceived: node.Seen(), LastHeartbeat: node.SilentFrom(), HeartbeatInterval: node.Interval, Slots: int(node.Load.Slots), Flows: int(node.Load.Flows),
		ActiveFlows: int(node.Load.ActiveFlows), Cold: node.Load.Cold, Capacity: int(node.Load.Capacity), ImmediateCapacity: int(node.Load.ImmediateCapacity),
	}
}

func agentState(state packetnode.State) flowsteer.AgentState {
	switch state {
	case packetnode.StateOpen:
		return flowsteer.AgentOpen
	case packetnode.StateRestarting:
		return flowsteer.AgentRestarting
	case packetnode.StateGone:
		return flowsteer.AgentGone
	case packetnode.StateEnded:
		return flowsteer.AgentTargetEnded
	default:
		return flowsteer.AgentClosed
	}
}

// updateReady makes the balancer ready once it has the operators' state and
// either a heartbeat of each known agent has arrived or flowReportWait has passed. It
// also waits that long if it knows no agent.
func (b *balancer) updateReady(now model.Instant, update packetnode.Update) {
	if state, _ := update.StateCache.State(); state == nil || state.Config == nil || b.draining.Load() || b.ready.Load() {
		return
	}
	if b.stateKnownAt == 0 {
		b.stateKnownAt = now
	}
	agents, missing := agentCounts(update.NodeTable)
	if now.Sub(b.stateKnownAt) < flowReportWait && (missing > 0 || agents == 0) {
		return
	}
	b.ready.Store(true)
	b.node.SetState(packetnode.StateOpen)
	b.log.WithFields(logrus.Fields{
		"waited_ms": now.Sub(b.stateKnownAt).Milliseconds(), "since_start_ms": now.Sub(b.created).Milliseconds(), "agents_missing": missing,
	}).Info("balancer_ready")
}

// agentCounts returns the number of known agents, and of those of which no heartbeat has
// arrived.
func agentCounts(table *packetnode.NodeTable) (agents, missing int) {
	for _, node := range table.Nodes() {
		if node.Peer.Role != model.RoleAgent {
			continue
		}
		agents++
		if !node.Seen() {
			missing++
		}
	}
	return agents, missing
}

// expire removes idle flows, and resets those whose agent is lost.
func (b *balancer) expire(now model.Instant) {
	b.mu.Lock()
	expired := b.table.Expire(now)
	b.mu.Unlock()
	for _, entry := range expired {
		b.expirySender.execute(entry.Key, entry.Verdict, nil)
	}
}

// explain returns the reasons behind the steering of a flow, as lines of text.
func (b *balancer) explain(now model.Instant, key flow.Key) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Explain(now, key)
}
