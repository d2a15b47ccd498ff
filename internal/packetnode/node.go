package packetnode

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/observe"
	"github.com/balsamlink/balsamlink/internal/rpc"
	"github.com/balsamlink/balsamlink/internal/underlay"
)

const (
	// tickInterval is the period of the control goroutine's timer.
	tickInterval = 50 * time.Millisecond
	// minHeartbeatInterval is the minimum time between two heartbeats to one
	// node. The time grows with the number of nodes, so that heartbeats stay
	// within the bandwidth for control traffic.
	minHeartbeatInterval = 200 * time.Millisecond
	// heartbeatSpacing is the minimum mean time between any two heartbeats that
	// a node sends: 100 bytes every 20 ms are 5 KB/s.
	heartbeatSpacing = 20 * time.Millisecond
	// balancerIntervalFactor multiplies the minimum interval for balancers,
	// which report no load.
	balancerIntervalFactor = 2
	// queueSize limits the queues of messages and calls for the control
	// goroutine.
	queueSize = 1024
	// pauseLogThreshold is the time between two ticks above which a pause of
	// the process is logged.
	pauseLogThreshold = time.Second
	// peersPerDatagram limits a list of peers to about 1,300 bytes.
	peersPerDatagram = 24
	// peersInterval is the minimum time between two lists of peers to one node.
	peersInterval = 200 * time.Millisecond
	// socketBuffer is the size of each buffer of a socket, in bytes.
	socketBuffer = 1 << 20
)

// Handler handles a datagram from another node. It runs on the goroutine that
// reads the socket and must not retain the datagram.
type Handler func(from netip.Addr, datagram []byte)

// Config configures a Node.
type Config struct {
	Settings Settings
	Role     model.Role
	Service  model.Service
	Underlay underlay.Underlay
	Metrics  *observe.MetricSet
	Log      *logrus.Entry
	// Handlers handle the kinds of datagrams that the node does not handle
	// itself.
	Handlers map[Kind]Handler
	// Load returns the agent's state and the target's load; nil for balancers. The
	// node reports that state until SetState sets StateRestarting or StateGone.
	Load func(now model.Instant) (State, Load)
	// Saved is the value that the node keeps for its next incarnation; nil if none.
	Saved *SavedValue
	// OnUpdate is called on the control goroutine at every tick, and at once
	// when the state of another node or the operators' state has changed.
	OnUpdate func(now model.Instant, update Update)
}

// Update is the control state. It is valid only during the call that it is
// passed to.
type Update struct {
	NodeTable  *NodeTable
	StateCache *StateCache
	// HeartbeatsFrom are the nodes whose heartbeats were received since the last
	// update, and Joined those of them that are new incarnations.
	HeartbeatsFrom []netip.Addr
	Joined         []netip.Addr
	// RegistrationsRead is set once the registrations of all nodes have been
	// read from the store since the node's start.
	RegistrationsRead bool
}

// Node maintains a node's connection to the other nodes and to the store. One
// goroutine, the control goroutine, owns its control state.
type Node struct {
	config      Config
	self        Peer
	incarnation uint64
	socket      *net.UDPConn
	server      *rpc.Server
	client      *rpc.Client
	stateReader underlay.StateReader
	log         *logrus.Entry
	metrics     nodeMetrics

	inbox chan message
	calls chan func(now model.Instant)
	// ended is closed when the control goroutine has ended.
	ended chan struct{}
	// The following fields are shared with other goroutines. newestSeen is the newest
	// state that other nodes have and this one does not; nil means none. ownVersion
	// is nil while no state is known. verifiedAt is when that state was last verified,
	// as a model.Instant.
	state      atomic.Uint32
	newestSeen atomic.Pointer[StateVersion]
	ownVersion atomic.Pointer[StateVersion]
	served     atomic.Pointer[servedDocument]
	verifiedAt atomic.Int64
	stop       context.CancelFunc
	running    sync.WaitGroup

	// The following fields are owned by the control goroutine.
	table      *NodeTable
	stateCache *StateCache
	sequence   uint64
	// heartbeatInterval is the current time between two heartbeats to one node.
	heartbeatInterval time.Duration
	pacer             heartbeatPacer
	// heartbeatsFrom and joined are collected for the next Update.
	heartbeatsFrom []netip.Addr
	joined         []netip.Addr
	lastTick       model.Instant
	outage         outage
	refresh        refresh
	registration   registration
	discovery      discovery
	janitor        janitor
	saved          savedValue
	keeper         keeper
	suspicions     suspicions
	changeLog      changeLog
	callLog        callLog
}

type nodeMetrics struct {
	heartbeatsSent, heartbeatsAccepted, heartbeatsStale *observe.Counter
	malformed, overflow, sendFailed                     *observe.Counter
	verified, read, storeFailed                         *observe.Counter
	fromPeers, peerFailed, registered, valuesKept       *observe.Counter
	suspicionsTold, suspicionsHeard                     *observe.Counter
	routesMalformed                                     *observe.Gauge
	nodes, stateAge                                     *observe.Gauge
	version                                             *observe.Gauge
}

func newNodeMetrics(metricSet *observe.MetricSet) nodeMetrics {
	return nodeMetrics{
		heartbeatsSent:     metricSet.Counter("beats_sent", "Heartbeats sent to other nodes."),
		heartbeatsAccepted: metricSet.Counter("beats_taken", "Heartbeats accepted from other nodes."),
		heartbeatsStale:    metricSet.Counter("beats_late", "Heartbeats ignored: late, repeated or of a former incarnation."),
		malformed:          metricSet.Counter("mesh_malformed", "Malformed datagrams and registrations of other nodes."),
		overflow:           metricSet.Counter("mesh_overflow", "Control messages dropped because the queue was full."),
		sendFailed:         metricSet.Counter("mesh_send_failed", "Datagrams that could not be sent."),
		verified:           metricSet.Counter("state_verified", "Requests to the store to verify that the operators' state is current."),
		read:               metricSet.Counter("state_read", "Reads of the operators' state from the store."),
		storeFailed:        metricSet.Counter("store_failed", "Store calls that failed."),
		fromPeers:          metricSet.Counter("state_from_peers", "Operators' states read from other nodes."),
		peerFailed:         metricSet.Counter("state_peer_failed", "Fetches of the operators' state for which a node that has it did not return it."),
		registered:         metricSet.Counter("store_registrations", "Registrations of the node in the store."),
		suspicionsTold:     metricSet.Counter("suspicions_told", "Suspicions that a node is lost told to other nodes."),
		suspicionsHeard:    metricSet.Counter("suspicions_heard", "Suspicions that a node is lost heard from balancers."),
		valuesKept:         metricSet.Counter("saved_values_kept", "Parts of the saved values of other nodes written to the store."),
		routesMalformed:    metricSet.Gauge("state_malformed", "Routes and services of the configuration that were left out because they are malformed."),
		nodes:              metricSet.Gauge("nodes", "Known other nodes."),
		stateAge:           metricSet.Gauge("state_age_ms", "Time since the operators' state was last verified to be current, in milliseconds."),
		version:            metricSet.Gauge("state_version", "Version of the configuration in force."),
	}
}

// New returns a node that has not been started.
func New(config Config) *Node {
	self := Peer{VM: config.Settings.VM, Role: config.Role, Zone: config.Settings.Zone, Service: config.Service}
	n := &Node{
		config:      config,
		self:        self,
		incarnation: rand.Uint64()>>1 + 1, // not 0, which means unknown
		client:      rpc.NewClient(nil),
		server:      rpc.NewServer(nil, config.Log),
		stateReader: config.Underlay.StateReader(config.Settings.Zones),
		log:         config.Log,
		metrics:     newNodeMetrics(config.Metrics),
		inbox:       make(chan message, queueSize),
		calls:       make(chan func(model.Instant), queueSize),
		ended:       make(chan struct{}),
		table:       NewNodeTable(self),
		stateCache:  &StateCache{},
	}
	n.state.Store(uint32(StateStarting))
	n.server.Handle(rpc.MethodOperatorState, rpc.TypedHandler(n.serveState))
	return n
}

// Start opens the sockets and starts the node's goroutines.
func (n *Node) Start(context.Context) error {
	address := n.config.Settings.MeshAddress(n.self.VM)
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return Error.New("listening for datagrams between nodes at %s: %v", address, err)
	}
	setBufferSizes(socket, n.log)
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		socket.Close()
		return Error.New("listening for calls between nodes at %s: %v", address, err)
	}
	n.socket = socket
	n.server.Serve(listener)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.running.Go(n.readSocket)
	n.running.Go(func() { n.control(ctx) })
	return nil
}

// setBufferSizes sets the buffers of a socket to socketBuffer. A failure is only
// logged: the socket then keeps its default.
func setBufferSizes(socket *net.UDPConn, log *logrus.Entry) {
	for _, err := range []error{socket.SetReadBuffer(socketBuffer), socket.SetWriteBuffer(socketBuffer)} {
		if err != nil {
			log.WithError(err).Warn("socket_buffer_kept")
		}
	}
}

// Stop ends the node's goroutines and closes the sockets.
func (n *Node) Stop() error {
	if n.stop == nil {
		return nil
	}
	n.stop()
	err := n.socket.Close()
	n.client.Close()
	serverErr := n.server.Close()
	n.running.Wait()
	if err == nil {
		err = serverErr
	}
	return Error.Wrap(err)
}

// Socket returns the socket for datagrams between nodes.
func (n *Node) Socket() *net.UDPConn { return n.socket }

// Send sends a datagram to another node. Failures are only counted.
func (n *Node) Send(vm netip.Addr, datagram []byte) {
	if _, err := n.socket.WriteToUDPAddrPort(datagram, n.config.Settings.MeshAddress(vm)); err != nil {
		n.metrics.sendFailed.Inc()
	}
}

// SendKeys sends a list of flows to another node, split into as many datagrams
// as necessary.
func (n *Node) SendKeys(vm netip.Addr, kind Kind, keys []flow.Key) {
	for list := range slices.Chunk(keys, MaxKeys) {
		n.Send(vm, AppendKeys(nil, kind, list))
	}
}

// SetState replaces the state that the node reports, and reports it at once.
func (n *Node) SetState(state State) {
	n.state.Store(uint32(state))
	n.SendHeartbeats()
}

// Apply applies changed settings. Only the seeds can change while the node
// runs.
func (n *Node) Apply(settings Settings) {
	n.Do(func(model.Instant) { n.config.Settings.Seeds = settings.Seeds })
}

// SendHeartbeats makes the control goroutine send a heartbeat to every live node
// without waiting for its interval.
func (n *Node) SendHeartbeats() { n.Do(n.heartbeatAll) }

// ObserveStateVersion records which operators' state another node has. If that
// state is newer and its contents differ, it is requested at the next tick.
func (n *Node) ObserveStateVersion(observed StateVersion) {
	own := n.ownVersion.Load()
	if own != nil && (observed.Digest == own.Digest || observed.AsOf <= own.AsOf) {
		return
	}
	for {
		newest := n.newestSeen.Load()
		if newest != nil && observed.AsOf <= newest.AsOf || n.newestSeen.CompareAndSwap(newest, &observed) {
			return
		}
	}
}

// Do runs a function on the control goroutine. It never blocks: if the queue is
// full, the function is dropped and counted.
func (n *Node) Do(call func(now model.Instant)) {
	select {
	case n.calls <- call:
	default:
		n.metrics.overflow.Inc()
	}
}

// readSocket dispatches datagrams from other nodes until the socket is closed.
func (n *Node) readSocket() {
	buffer := make([]byte, MaxDatagram)
	for {
		size, from, err := n.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if isClosed(err) {
				return
			}
			n.log.WithError(err).Warn("mesh_read_failed")
			continue
		}
		if size > 0 {
			n.dispatch(from.Addr().Unmap(), buffer[:size])
		}
	}
}

// control is the goroutine that owns the control state.
func (n *Node) control(ctx context.Context) {
	defer close(n.ended)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	n.tick(ctx, model.Now())
	for {
		select {
		case <-ctx.Done():
			n.registration.remove(n)
			return
		case m := <-n.inbox:
			n.handleMessage(model.Now(), m)
		case call := <-n.calls:
			call(model.Now())
		case <-ticker.C:
			n.tick(ctx, model.Now())
		}
	}
}

func (n *Node) tick(ctx context.Context, now model.Instant) {
	if n.lastTick != 0 && now.Sub(n.lastTick) > pauseLogThreshold {
		n.log.WithField("pause_ms", now.Sub(n.lastTick).Milliseconds()).Warn("process_paused")
		n.heartbeatAll(now)
	}
	n.lastTick = now
	n.sendDueHeartbeats(now)
	n.suspicions.tick(now, n.table, n.suspicionHooks(now))
	for _, node := range n.table.Evict(now) {
		n.log.WithFields(logrus.Fields{"peer": node.Peer.VM, "state": node.State}).Info("node_forgotten")
	}
	n.refresh.tick(n, now)
	n.registration.tick(n, now)
	n.discovery.tick(n, now)
	n.saved.tick(n, now)
	n.keeper.tick(n, now)
	n.changeLog.flush(n.log, now)
	n.callLog.tick(n, now)
	n.metrics.nodes.Set(int64(len(n.table.nodes)))
	n.metrics.stateAge.Set(n.stateCache.Age(now).Milliseconds())
	n.publish(now)
}

// publish passes the control state to the callback in Config, and to the
// goroutines that use ownVersion.
func (n *Node) publish(now model.Instant) {
	if n.stateCache.state != nil {
		version := n.stateCache.StateVersion()
		n.ownVersion.Store(&version)
		n.verifiedAt.Store(int64(n.stateCache.verifiedAt))
	}
	n.config.OnUpdate(now, Update{NodeTable: n.table, StateCache: n.stateCache, HeartbeatsFrom: n.heartbeatsFrom, Joined: n.joined, RegistrationsRead: n.discovery.registrationsRead})
	n.heartbeatsFrom, n.joined = n.heartbeatsFrom[:0], n.joined[:0]
}

// sendDueHeartbeats sends the hellos that are due, and this tick's share of the heartbeats.
// The interval of heartbeats depends on the number of their recipients.
func (n *Node) sendDueHeartbeats(now model.Instant) {
	minimum := minHeartbeatInterval
	if n.self.Role == model.RoleBalancer {
		minimum = balancerIntervalFactor * minHeartbeatInterval
	}
	recipients := n.table.RecipientCount(now)
	n.heartbeatInterval = max(minimum, time.Duration(recipients)*heartbeatSpacing)
	n.sendHellos(now)
	count := n.pacer.take(now, recipients, n.heartbeatInterval)
	n.table.EachLongestUnsent(now, count, func(node *RemoteNode) { n.sendHeartbeat(now, node.Peer.VM, false) })
}

func (n *Node) sendHellos(now model.Instant) {
	n.table.EachHelloDue(now, func(node *RemoteNode) { n.sendHeartbeat(now, node.Peer.VM, true) })
}

// spreadFreshness reports a verification by a balancer to the other balancers at
// once, so that they need not ask the store themselves.
func (n *Node) spreadFreshness(now model.Instant) {
	if n.self.Role != model.RoleBalancer {
		return
	}
	for _, node := range n.table.nodes {
		if node.Peer.Role == model.RoleBalancer && node.Live(now) {
			node.sentAt = now
			n.sendHeartbeat(now, node.Peer.VM, false)
		}
	}
}

// heartbeatAll sends a heartbeat to every live node without waiting for its
// interval, and the hellos that are due.
func (n *Node) heartbeatAll(now model.Instant) {
	n.table.EachLive(now, func(node *RemoteNode) { n.sendHeartbeat(now, node.Peer.VM, false) })
	n.sendHellos(now)
}

func (n *Node) sendHeartbeat(now model.Instant, vm netip.Addr, hello bool) {
	n.sequence++
	heartbeat := Heartbeat{
		Peer: n.self, Incarnation: n.incarnation, Sequence: n.sequence, State: State(n.state.Load()),
		IntervalMillis: uint32((n.heartbeatInterval + tickInterval).Milliseconds()), Hello: hello, Freshness: n.stateCache.Freshness(now),
	}
	if n.config.Load != nil && heartbeat.State <= StateOpen {
		heartbeat.State, heartbeat.Load = n.config.Load(now)
	}
	datagram, err := encode(KindHeartbeat, heartbeat)
	if err != nil {
		n.log.WithError(err).Error("beat_not_encoded")
		return
	}
	n.metrics.heartbeatsSent.Inc()
	n.Send(vm, datagram)
}
