// Package packetlb is the balancer of the packet path: it takes the packets that
// the fabric hands to its VM and sends each to the agent of its flow. What it
// remembers of flows is a cache.
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

// Error is the class of all errors of this layer.
var Error = errs.Class("packetlb")

const (
	// flowBytes is the most memory that one flow takes in the table, in bytes.
	// TestTableMemory of flowsteer holds it to that.
	flowBytes = 400
	// flowShare is the part of the process's memory that the table may take.
	flowShare = 0.4
	// expireInterval is the time between two looks for flows that have ended and
	// agents that are lost.
	expireInterval = 100 * time.Millisecond
	// settleTime is how long a balancer that knows the operators' state waits for
	// the agents to tell it of their flows before it is ready.
	settleTime = 400 * time.Millisecond
	// quietTime is how long no packet must come before a draining balancer ends.
	quietTime = 600 * time.Millisecond
	// leaveTime is how long the fabric takes at most to leave a balancer out that
	// is no longer ready: two probes, half a second apart.
	leaveTime = 1300 * time.Millisecond
	// drainPoll is the time between two looks for packets while draining.
	drainPoll = 50 * time.Millisecond
	// socketBuffer is the size of each buffer of the socket, in bytes.
	socketBuffer = 2 << 20
	// logRate is the budget of log lines a second, and logBurst that of lines at
	// once; each action has its own.
	logRate  = 30
	logBurst = 150
)

// Run runs a balancer until it is told to end.
func Run(ctx context.Context, settings packetnode.Settings, log *logrus.Entry) error {
	return packetnode.Run(ctx, settings, log, newBalancer)
}

// Check checks settings without opening anything.
func Check(settings packetnode.Settings, log *logrus.Entry) error {
	return packetnode.Check(settings, log, newBalancer)
}

func newBalancer(base *packetnode.Base) (packetnode.RoleModule, error) {
	if base.Settings.Target != nil {
		return nil, Error.New("target: present; allowed: none, since a balancer has no target")
	}
	return &balancer{
		base: base, settings: base.Settings, log: base.Log, created: model.Now(),
		searching: make(chan struct{}, 1), stopped: make(chan struct{}),
	}, nil
}

// balancer is the balancer's own part of the process.
type balancer struct {
	kernel.Steps
	base     *packetnode.Base
	settings packetnode.Settings
	log      *logrus.Entry
	codec    flow.Codec
	node     *packetnode.Node
	clients  *net.UDPConn
	pages    []*packetnode.HTTPServer
	metrics  *metrics
	running  sync.WaitGroup

	// created is when the process had read its settings.
	created model.Instant

	ready atomic.Bool
	// leaving tells that the process has been told to end.
	leaving atomic.Bool
	// packets counts the packets from the fabric.
	packets atomic.Uint64
	// forwarded tells that a packet has been sent to an agent since the start.
	forwarded atomic.Bool
	view      atomic.Pointer[published]

	// informed is when the operators' state became known, and expired when flows
	// were last looked through. Both belong to the control goroutine.
	informed model.Instant
	expired  model.Instant

	// returns and lost carry out verdicts on what agents return, and on flows of
	// lost agents, each on a goroutine of its own.
	returns *sender
	lost    *sender

	// searching wakes askAgents, and stopped ends it.
	searching chan struct{}
	stopped   chan struct{}

	mu    sync.Mutex
	table *flowsteer.Table
}

// Name implements packetnode.Own.
func (b *balancer) Name() string { return "balancer" }

// Apply implements packetnode.Own.
func (b *balancer) Apply(settings packetnode.Settings) {
	if b.node != nil {
		b.node.Apply(settings)
	}
}

// published is what traffic needs of the control state. It is immutable.
type published struct {
	view  *flowsteer.View
	known packetnode.StateVersion
}

// Start implements kernel.Module.
func (b *balancer) Start(ctx context.Context) error {
	b.codec = b.base.Underlay.Codec()
	limit := int(flowShare * float64(b.settings.MemoryMegabytes<<20) / flowBytes)
	b.table = flowsteer.NewTable(flowsteer.Limits{Flows: limit, Lifetime: b.settings.FlowLifetime()}, model.Now())
	b.metrics = newMetrics(b.base.Counters, b.log, b.flows)
	b.view.Store(&published{view: &flowsteer.View{}})
	b.returns, b.lost = newSender(b), newSender(b)
	clients, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.settings.Packets))
	if err != nil {
		return Error.New("packets from the fabric at %s: %v", b.settings.Packets, err)
	}
	if err := clients.SetReadBuffer(socketBuffer); err != nil {
		b.log.WithError(err).Warn("socket_buffer_kept")
	}
	b.clients = clients
	b.node = packetnode.New(packetnode.Config{
		Settings: b.settings, Role: model.RoleBalancer, Underlay: b.base.Underlay, Counters: b.base.Counters,
		Log: b.log, Changed: b.changed,
		Handlers: map[packetnode.Kind]packetnode.Handler{
			packetnode.KindReturn:        b.takeReturn,
			packetnode.KindFlowHeld:      b.takeClaims,
			packetnode.KindFlowNotHeld:   b.takeDenied,
			packetnode.KindFlowUncertain: b.takeUnsure,
		},
	})
	if err := b.node.Start(ctx); err != nil {
		return err
	}
	b.running.Go(b.readClients)
	b.running.Go(b.askAgents)
	return b.servePages()
}

func (b *balancer) servePages() error {
	probe, err := packetnode.Serve(b.settings.Readiness, b.base.Underlay.Readiness(b.ready.Load), b.log)
	if err != nil {
		return err
	}
	b.pages = append(b.pages, probe)
	operators, err := packetnode.Serve(b.settings.Metrics, b.node.AdminHandler(b.explain), b.log)
	if err != nil {
		return err
	}
	b.pages = append(b.pages, operators)
	return nil
}

// Drain implements kernel.Module: the balancer is no longer ready, so the fabric
// leaves it out; it serves on until nothing comes any more.
func (b *balancer) Drain(ctx context.Context) error {
	b.leaving.Store(true)
	b.ready.Store(false)
	ticker := time.NewTicker(drainPoll)
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
		if now.Sub(started) >= leaveTime && now.Sub(since) >= quietTime {
			b.log.WithField("waited_ms", now.Sub(started).Milliseconds()).Info("balancer_quiet")
			return nil
		}
	}
}

// Stop implements kernel.Module.
func (b *balancer) Stop() error {
	var faults errs.Group
	for _, page := range b.pages {
		faults.Add(page.Close())
	}
	if b.clients != nil {
		faults.Add(b.clients.Close())
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

// changed takes what the control goroutine knows.
func (b *balancer) changed(now model.Instant, update packetnode.Update) {
	next := b.publish(update)
	b.mu.Lock()
	b.table.SetView(next.view, update.Reported)
	b.mu.Unlock()
	b.view.Store(next)
	b.updateReady(now, update)
	if now.Sub(b.expired) >= expireInterval {
		b.expired = now
		b.expire(now)
	}
}

func (b *balancer) publish(update packetnode.Update) *published {
	state, proven := update.StateCache.State()
	view := &flowsteer.View{
		Zone: b.settings.Zone, State: state, Proven: proven, Listed: update.RegistrationsRead,
		Agents:    map[netip.Addr]*flowsteer.Agent{},
		ByService: map[model.Service][]*flowsteer.Agent{},
	}
	next := &published{view: view, known: update.StateCache.StateVersion()}
	for vm, node := range update.NodeTable.Nodes() {
		if node.Peer.Role != model.RoleAgent {
			continue
		}
		agent := agentOf(node)
		view.Agents[vm] = agent
		if !agent.Met {
			continue
		}
		view.ByService[agent.Service] = append(view.ByService[agent.Service], agent)
	}
	for _, agents := range view.ByService {
		slices.SortFunc(agents, func(a, b *flowsteer.Agent) int { return a.VM.Compare(b.VM) })
	}
	return next
}

func agentOf(node *packetnode.RemoteNode) *flowsteer.Agent {
	return &flowsteer.Agent{
		VM: node.Peer.VM, Zone: node.Peer.Zone, Service: node.Peer.Service, State: agentState(node.State),
		Met: node.Seen(), Heard: max(node.LastHeartbeat, node.AddedAt), Interval: node.Interval, Slots: int(node.Load.Slots), Flows: int(node.Load.Flows),
		Busy: int(node.Load.InFlight), Cold: node.Load.Cold, Room: int(node.Load.Capacity), Free: int(node.Load.ImmediateCapacity),
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
	default:
		return flowsteer.AgentClosed
	}
}

// updateReady makes the balancer ready once it knows the operators' state and
// the agents have had time to tell it of their flows.
func (b *balancer) updateReady(now model.Instant, update packetnode.Update) {
	if state, _ := update.StateCache.State(); state == nil || state.Config == nil || b.leaving.Load() || b.ready.Load() {
		return
	}
	if b.informed == 0 {
		b.informed = now
	}
	waiting := 0
	for _, node := range update.NodeTable.Nodes() {
		if node.Peer.Role == model.RoleAgent && !node.Seen() {
			waiting++
		}
	}
	if now.Sub(b.informed) < settleTime && (waiting > 0 || len(update.NodeTable.Nodes()) == 0) {
		return
	}
	b.ready.Store(true)
	b.node.SetState(packetnode.StateOpen)
	b.log.WithFields(logrus.Fields{
		"waited_ms": now.Sub(b.informed).Milliseconds(), "since_start_ms": now.Sub(b.created).Milliseconds(), "agents_missing": waiting,
	}).Info("balancer_ready")
}

func (b *balancer) expire(now model.Instant) {
	b.mu.Lock()
	losses := b.table.Expire(now)
	b.mu.Unlock()
	for _, loss := range losses {
		b.lost.carryOut(loss.Key, loss.Verdict, nil)
	}
}

// explain tells why a flow goes where it goes.
func (b *balancer) explain(now model.Instant, key flow.Key) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Explain(now, key)
}
