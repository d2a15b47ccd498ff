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
	"github.com/balsamlink/balsamlink/internal/routing"
	"github.com/balsamlink/balsamlink/internal/rpc"
	"github.com/balsamlink/balsamlink/internal/underlay"
)

const (
	// tickInterval is the time between two looks at what is due.
	tickInterval = 50 * time.Millisecond
	// beatInterval is the time between two beats to one node. It grows with the
	// number of nodes, so that beats stay within the budget for control.
	beatInterval = 200 * time.Millisecond
	// beatSpacing is the least mean time between any two beats of a node: 100
	// bytes each 20 ms are 5 KB a second.
	beatSpacing = 20 * time.Millisecond
	// balancerFactor makes balancers beat less often: they report no load.
	balancerFactor = 2
	// eventBuffer bounds the control messages that wait for the control goroutine.
	eventBuffer = 1024
	// pauseNoticed is how late a tick must be to be logged.
	pauseNoticed = time.Second
	// peersPerDatagram bounds a list of peers to about 1,300 bytes.
	peersPerDatagram = 24
	// socketBuffer is the size of each buffer of a socket, in bytes.
	socketBuffer = 1 << 20
)

// Handler takes a datagram of another node. It runs on the goroutine that reads
// the socket and must not keep the datagram.
type Handler func(from netip.Addr, datagram []byte)

// Config is what a Node is made of.
type Config struct {
	Settings Settings
	Role     model.Role
	Service  model.Service
	Underlay underlay.Underlay
	Counters *observe.Counters
	Log      *logrus.Entry
	// Handlers take the datagrams that are not the node's own.
	Handlers map[Kind]Handler
	// Load returns the target's load and the agent's state; nil for balancers.
	Load func(now model.Instant) (State, Load)
	// Changed is called on the control goroutine when anything was heard or has
	// changed, at most once in a tick or when it matters at once.
	Changed func(now model.Instant, update Update)
}

// Update is what the control goroutine knows. It must not be kept.
type Update struct {
	NodeTable  *NodeTable
	StateCache *StateCache
	// Reported are the nodes that were heard since the last update, and Joined
	// those of them that are new incarnations.
	Reported []netip.Addr
	Joined   []netip.Addr
	// RegistrationsRead tells that the registrations have been read since the node's start.
	RegistrationsRead bool
}

// Node is one node's connection to the others and to the store. One goroutine
// owns its control state.
type Node struct {
	config      Config
	self        Peer
	incarnation uint64
	socket      *net.UDPConn
	server      *rpc.Server
	client      *rpc.Client
	operators   underlay.StateReader
	log         *logrus.Entry
	metrics     nodeMetrics

	inbox chan message
	calls chan func(now model.Instant)
	// ended is closed when the control goroutine has ended.
	ended chan struct{}
	// state is shared with other goroutines.
	state   atomic.Uint32
	wanted  atomic.Uint64
	known   atomic.Pointer[StateVersion]
	sealed  atomic.Pointer[routing.Document]
	stop    context.CancelFunc
	running sync.WaitGroup

	// Below is owned by the control goroutine.
	roster    *NodeTable
	knowledge *StateCache
	sequence  uint64
	// pause is the time between two beats to one node.
	pause    time.Duration
	reported []netip.Addr
	joined   []netip.Addr
	ticked   model.Instant
	refresh  refresh
	lease    registration
	lookup   lookup
}

// message is a control datagram on its way to the control goroutine.
type message struct {
	from  netip.Addr
	beat  *Heartbeat
	peers []Peer
}

type nodeMetrics struct {
	beatsSent, beatsTaken, beatsLate *observe.Counter
	malformed, overflow, sendFailed  *observe.Counter
	verified, read, storeFailed      *observe.Counter
	fromPeers, registered            *observe.Counter
	routesMalformed                  *observe.Gauge
	nodes, proofAge                  *observe.Gauge
	version                          *observe.Gauge
}

func newNodeMetrics(c *observe.Counters) nodeMetrics {
	return nodeMetrics{
		beatsSent:       c.Counter("beats_sent", "Beats sent to other nodes."),
		beatsTaken:      c.Counter("beats_taken", "Beats taken from other nodes."),
		beatsLate:       c.Counter("beats_late", "Beats left out: late, repeated or of a former incarnation."),
		malformed:       c.Counter("mesh_malformed", "Datagrams of other nodes that were malformed."),
		overflow:        c.Counter("mesh_overflow", "Control messages dropped since too many wait."),
		sendFailed:      c.Counter("mesh_send_failed", "Datagrams that could not be sent."),
		verified:        c.Counter("state_verified", "Proofs that the operators' state is the newest, asked of the store."),
		read:            c.Counter("state_read", "Reads of the operators' state from the store."),
		storeFailed:     c.Counter("store_failed", "Store calls that failed."),
		fromPeers:       c.Counter("state_from_peers", "Operators' states taken from other nodes."),
		registered:      c.Counter("store_registrations", "Times that the node has registered itself in the store."),
		routesMalformed: c.Gauge("state_malformed", "Routes and services of the configuration that are malformed and left out."),
		nodes:           c.Gauge("nodes", "Other nodes that are known."),
		proofAge:        c.Gauge("state_age_ms", "Time since the operators' state was proven to be the newest, in milliseconds."),
		version:         c.Gauge("state_version", "Version of the configuration in force."),
	}
}

// New makes a node that has no sockets yet.
func New(config Config) *Node {
	self := Peer{VM: config.Settings.VM, Role: config.Role, Zone: config.Settings.Zone, Service: config.Service}
	n := &Node{
		config:      config,
		self:        self,
		incarnation: rand.Uint64()>>1 + 1,
		client:      rpc.NewClient(nil),
		server:      rpc.NewServer(nil, config.Log),
		operators:   config.Underlay.StateReader(config.Settings.Zones),
		log:         config.Log,
		metrics:     newNodeMetrics(config.Counters),
		inbox:       make(chan message, eventBuffer),
		calls:       make(chan func(model.Instant), eventBuffer),
		ended:       make(chan struct{}),
		roster:      NewNodeTable(self),
		knowledge:   &StateCache{},
	}
	n.state.Store(uint32(StateStarting))
	n.server.Handle(rpc.MethodState, rpc.Typed(n.serveState))
	return n
}

// Start opens the sockets and begins to work.
func (n *Node) Start(context.Context) error {
	address := n.config.Settings.MeshAddress(n.self.VM)
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return Error.New("datagrams between nodes at %s: %v", address, err)
	}
	enlarge(socket, n.log)
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		socket.Close()
		return Error.New("calls between nodes at %s: %v", address, err)
	}
	n.socket = socket
	n.server.Serve(listener)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.running.Go(n.readSocket)
	n.running.Go(func() { n.control(ctx) })
	return nil
}

func enlarge(socket *net.UDPConn, log *logrus.Entry) {
	for _, err := range []error{socket.SetReadBuffer(socketBuffer), socket.SetWriteBuffer(socketBuffer)} {
		if err != nil {
			log.WithError(err).Warn("socket_buffer_kept")
		}
	}
}

// Stop ends the work.
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

// Send sends a datagram to another node.
func (n *Node) Send(vm netip.Addr, datagram []byte) {
	if _, err := n.socket.WriteToUDPAddrPort(datagram, n.config.Settings.MeshAddress(vm)); err != nil {
		n.metrics.sendFailed.Inc()
	}
}

// SendKeys sends a list of flows to another node, in as many datagrams as it takes.
func (n *Node) SendKeys(vm netip.Addr, kind Kind, keys []flow.Key) {
	for list := range slices.Chunk(keys, MaxKeys) {
		n.Send(vm, AppendKeys(nil, kind, list))
	}
}

// SetState replaces the state that the node tells others, and tells them at once.
func (n *Node) SetState(state State) {
	n.state.Store(uint32(state))
	n.SendHeartbeats()
}

// Apply takes changed settings: the seeds.
func (n *Node) Apply(settings Settings) {
	n.Do(func(model.Instant) { n.config.Settings.Seeds = settings.Seeds })
}

// SendHeartbeats tells the other nodes at once what has changed.
func (n *Node) SendHeartbeats() { n.Do(n.beatAll) }

// ObserveStateVersion tells which operators' state another node knows. A later one with other
// contents is asked for at the next tick.
func (n *Node) ObserveStateVersion(known StateVersion) {
	own := n.known.Load()
	if own != nil && (known.Digest == own.Digest || known.AsOf <= own.AsOf) {
		return
	}
	for {
		wanted := n.wanted.Load()
		if uint64(known.AsOf) <= wanted || n.wanted.CompareAndSwap(wanted, uint64(known.AsOf)) {
			return
		}
	}
}

// Do runs a function on the control goroutine. It never blocks; while too many
// wait, the function is dropped.
func (n *Node) Do(call func(now model.Instant)) {
	select {
	case n.calls <- call:
	default:
		n.metrics.overflow.Inc()
	}
}

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

func (n *Node) dispatch(from netip.Addr, datagram []byte) {
	kind := Kind(datagram[0])
	if handler := n.config.Handlers[kind]; handler != nil {
		handler(from, datagram)
		return
	}
	m := message{from: from}
	var err error
	switch kind {
	case KindHeartbeat:
		m.beat, err = parseBeat(datagram)
		if err == nil && m.beat.Peer.VM != from {
			err = Error.New("beat of %s came from %s", m.beat.Peer.VM, from)
		}
	case KindPeers:
		m.peers, err = parsePeers(datagram)
	default:
		err = Error.New("datagram of kind %d", kind)
	}
	if err != nil {
		n.metrics.malformed.Inc()
		return
	}
	select {
	case n.inbox <- m:
	default:
		n.metrics.overflow.Inc()
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
			n.lease.end(n)
			return
		case m := <-n.inbox:
			n.take(model.Now(), m)
		case call := <-n.calls:
			call(model.Now())
		case <-ticker.C:
			n.tick(ctx, model.Now())
		}
	}
}

func (n *Node) take(now model.Instant, m message) {
	for _, peer := range m.peers {
		if n.roster.Add(now, peer) {
			n.log.WithFields(logrus.Fields{"peer": peer.VM, "role": peer.Role, "from": m.from}).Info("node_named")
		}
	}
	if m.beat == nil {
		return
	}
	event := n.roster.Receive(now, m.beat)
	if event.Node == nil {
		n.metrics.beatsLate.Inc()
		return
	}
	n.metrics.beatsTaken.Inc()
	n.reported = append(n.reported, m.beat.Peer.VM)
	if event.Changed {
		n.logNode(now, event)
	}
	if event.Joined {
		n.joined = append(n.joined, m.beat.Peer.VM)
	}
	if m.beat.Hello {
		n.greetBack(now, m.beat.Peer.VM)
	}
	if n.knowledge.Observe(m.beat.Freshness, event.Node.VerifiedAt) {
		n.ObserveStateVersion(StateVersion{AsOf: m.beat.Freshness.AsOf, Digest: uint32(m.beat.Freshness.Digest)})
		n.refresh.begin(n, now)
	}
	if event.Changed {
		n.publish(now)
	}
}

func (n *Node) logNode(now model.Instant, event Event) {
	n.log.WithFields(logrus.Fields{
		"peer": event.Node.Peer.VM, "role": event.Node.Peer.Role, "zone": event.Node.Peer.Zone,
		"service": event.Node.Peer.Service, "state": event.Node.State, "joined": event.Joined, "cold": event.Node.Load.Cold,
		"state_version": event.Node.Freshness.Version, "state_age_ms": event.Node.Freshness.AgeMillis,
	}).Info("node_changed")
}

// greetBack answers a greeting with a beat and the nodes that are known.
func (n *Node) greetBack(now model.Instant, vm netip.Addr) {
	n.beat(now, vm, false)
	peers := n.roster.Peers()
	for len(peers) > 0 {
		count := min(len(peers), peersPerDatagram)
		datagram, err := encode(KindPeers, peers[:count])
		if err != nil {
			n.log.WithError(err).Error("peers_not_encoded")
			return
		}
		n.Send(vm, datagram)
		peers = peers[count:]
	}
}

func (n *Node) tick(ctx context.Context, now model.Instant) {
	if n.ticked != 0 && now.Sub(n.ticked) > pauseNoticed {
		n.log.WithField("pause_ms", now.Sub(n.ticked).Milliseconds()).Warn("process_paused")
	}
	n.ticked = now
	n.setBeatPause(now)
	n.roster.Due(now, n.pause, func(node *RemoteNode, hello bool) { n.beat(now, node.Peer.VM, hello) })
	for _, node := range n.roster.Evict(now) {
		n.log.WithFields(logrus.Fields{"peer": node.Peer.VM, "state": node.State}).Info("node_forgotten")
	}
	n.refresh.tick(n, now)
	n.lease.tick(n, now)
	n.lookup.tick(n, now)
	n.metrics.nodes.Set(int64(len(n.roster.nodes)))
	n.metrics.proofAge.Set(n.knowledge.Age(now).Milliseconds())
	n.publish(now)
}

func (n *Node) publish(now model.Instant) {
	if n.knowledge.state != nil {
		stamp := n.knowledge.StateVersion()
		n.known.Store(&stamp)
	}
	n.config.Changed(now, Update{NodeTable: n.roster, StateCache: n.knowledge, Reported: n.reported, Joined: n.joined, RegistrationsRead: n.lookup.listed})
	n.reported, n.joined = n.reported[:0], n.joined[:0]
}

// setBeatPause spaces the beats by how many nodes get them.
func (n *Node) setBeatPause(now model.Instant) {
	least := beatInterval
	if n.self.Role == model.RoleBalancer {
		least = balancerFactor * beatInterval
	}
	n.pause = max(least, time.Duration(n.roster.RecipientCount(now))*beatSpacing)
}

// spreadProof tells the other balancers at once that the state is proven, so that
// they need not ask the store themselves.
func (n *Node) spreadProof(now model.Instant) {
	if n.self.Role != model.RoleBalancer {
		return
	}
	for _, node := range n.roster.nodes {
		if node.Peer.Role == model.RoleBalancer && node.Live(now) {
			node.sent = now
			n.beat(now, node.Peer.VM, false)
		}
	}
}

// beatAll makes a beat to every node due at once.
func (n *Node) beatAll(now model.Instant) {
	n.roster.Due(now, 0, func(node *RemoteNode, hello bool) { n.beat(now, node.Peer.VM, hello) })
}

func (n *Node) beat(now model.Instant, vm netip.Addr, hello bool) {
	n.sequence++
	beat := Heartbeat{
		Peer: n.self, Incarnation: n.incarnation, Sequence: n.sequence, State: State(n.state.Load()),
		IntervalMillis: uint32((n.pause + tickInterval).Milliseconds()), Hello: hello, Freshness: n.knowledge.Freshness(now),
	}
	if n.config.Load != nil && beat.State <= StateOpen {
		beat.State, beat.Load = n.config.Load(now)
	}
	datagram, err := encode(KindHeartbeat, beat)
	if err != nil {
		n.log.WithError(err).Error("beat_not_encoded")
		return
	}
	n.metrics.beatsSent.Inc()
	n.Send(vm, datagram)
}
