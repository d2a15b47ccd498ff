package packetnode

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	// maxNodes is the maximum number of nodes in the table.
	maxNodes = 8192
	// evictAfter is how long a silent node is kept, or evictIntervals of its heartbeat
	// intervals where that is longer. It exceeds every outage that the system must bridge.
	evictAfter     = 60 * time.Second
	evictIntervals = 2
	// evictGoneAfter is how long a node that has shut down is kept, so that
	// late messages do not add it again.
	evictGoneAfter = 10 * time.Second
	// maxHeartbeatInterval is the longest interval that a heartbeat may state: that of a node
	// with some 7,000 recipients. A silent node counts as live until it is evicted.
	maxHeartbeatInterval = 150 * time.Second
	// maxFormerIncarnations is how many former incarnations of a node are
	// remembered.
	maxFormerIncarnations = 4
	// helloInterval is the time between two hellos to a node that does not
	// answer.
	helloInterval = 250 * time.Millisecond
	// slowHelloInterval is the time between hellos to a node that has been
	// silent for slowHelloAfter.
	slowHelloInterval = time.Second
	// slowHelloAfter is the silence after which hellos are sent less often.
	slowHelloAfter = 3 * time.Second
)

// RemoteNode is another node as this node knows it.
type RemoteNode struct {
	Peer        Peer
	Incarnation uint64
	State       State
	// LastHeartbeat is when its last heartbeat arrived, and AddedAt when it was
	// added to the table.
	LastHeartbeat model.Instant
	AddedAt       model.Instant
	// Interval is the maximum time between two of its heartbeats. While the node is
	// suspected to be lost, it is that between two answers to hellos.
	Interval  time.Duration
	Load      Load
	Freshness Freshness
	// VerifiedAt is when its operators' state was last verified to be current,
	// according to its heartbeat and without the heartbeat's transit time.
	VerifiedAt model.Instant

	// sequence is that of its last heartbeat.
	sequence           uint64
	formerIncarnations []uint64
	// helloSentAt is when the last hello was sent to it, and sentAt when the last
	// heartbeat of either kind was.
	helloSentAt model.Instant
	sentAt      model.Instant
	// probedAt is when it was last sent a hello because its heartbeat was late, and
	// suspectedAt since when it is suspected to be lost; 0 means that it is not.
	// mustRetell is set while that remains to be told to others again.
	probedAt    model.Instant
	suspectedAt model.Instant
	mustRetell  bool
	// peersSentAt is when it was last sent a list of peers, and noticesSentAt when it was
	// last told which agents are restarting.
	peersSentAt   model.Instant
	noticesSentAt model.Instant
}

// Seen reports whether any heartbeat of the node has been received.
func (n *RemoteNode) Seen() bool { return n.Incarnation != 0 }

// Live reports whether the node has not shut down and its heartbeats arrive on
// schedule.
func (n *RemoteNode) Live(now model.Instant) bool {
	return n.Seen() && n.State != StateGone && now.Sub(n.SilentFrom()) <= maxMissedHeartbeats*n.Interval
}

// SilentFrom returns the time from which the node's silence counts, together with Interval:
// its last heartbeat, its addition to the table, or the time since which it is suspected to be
// lost.
func (n *RemoteNode) SilentFrom() model.Instant {
	return max(n.LastHeartbeat, n.AddedAt, n.suspectedAt)
}

// maxMissedHeartbeats is how many heartbeats a live node may miss.
const maxMissedHeartbeats = 4

// NodeTable holds the other nodes. It is not safe for concurrent use.
type NodeTable struct {
	self  Peer
	nodes map[netip.Addr]*RemoteNode
}

// NewNodeTable returns an empty table of the nodes other than self.
func NewNodeTable(self Peer) *NodeTable {
	return &NodeTable{self: self, nodes: map[netip.Addr]*RemoteNode{}}
}

// Add adds a node that another node or the store has named. It reports whether
// the node was added: it is new, and the table is not full.
func (t *NodeTable) Add(now model.Instant, peer Peer) bool {
	if peer.VM == t.self.VM || len(t.nodes) >= maxNodes {
		return false
	}
	known := t.nodes[peer.VM]
	if known != nil {
		return false
	}
	t.nodes[peer.VM] = &RemoteNode{Peer: peer, AddedAt: now}
	return true
}

// Event is the effect of a heartbeat on the table.
type Event struct {
	// Node is nil when the heartbeat was ignored.
	Node *RemoteNode
	// Joined is set on the first heartbeat of a new incarnation.
	Joined bool
	// Changed is set when the node is a new incarnation, its state has changed,
	// or its target has become cold or warm.
	Changed bool
}

// Receive applies a heartbeat. It ignores heartbeats that are repeated, out of
// order or of a former incarnation.
func (t *NodeTable) Receive(now model.Instant, heartbeat *Heartbeat) Event {
	if heartbeat.Peer.VM == t.self.VM {
		return Event{}
	}
	node := t.nodes[heartbeat.Peer.VM]
	if node == nil {
		if len(t.nodes) >= maxNodes {
			return Event{}
		}
		node = &RemoteNode{Peer: heartbeat.Peer, AddedAt: now}
		t.nodes[heartbeat.Peer.VM] = node
	}
	if slices.Contains(node.formerIncarnations, heartbeat.Incarnation) {
		return Event{}
	}
	joined := node.Incarnation != heartbeat.Incarnation
	if joined {
		node.startIncarnation(heartbeat.Incarnation)
	} else if heartbeat.Sequence <= node.sequence {
		return Event{}
	}
	changed := node.State != heartbeat.State || node.Load.Cold != heartbeat.Load.Cold
	node.sequence = heartbeat.Sequence
	node.Peer, node.State, node.LastHeartbeat, node.Interval, node.Load = heartbeat.Peer, heartbeat.State, now, heartbeat.interval(), heartbeat.Load
	node.Freshness, node.suspectedAt = heartbeat.Freshness, 0
	node.VerifiedAt = now.Add(-time.Duration(heartbeat.Freshness.AgeMillis) * time.Millisecond)
	return Event{Node: node, Joined: joined, Changed: changed || joined}
}

// startIncarnation records that a new run of the node's process has begun.
func (n *RemoteNode) startIncarnation(incarnation uint64) {
	if n.Incarnation != 0 {
		n.formerIncarnations = append(n.formerIncarnations, n.Incarnation)
		n.formerIncarnations = n.formerIncarnations[max(0, len(n.formerIncarnations)-maxFormerIncarnations):]
	}
	n.Incarnation, n.sequence = incarnation, 0
}

// Evict removes and returns the nodes that have been silent for too long.
func (t *NodeTable) Evict(now model.Instant) []*RemoteNode {
	var evicted []*RemoteNode
	for vm, node := range t.nodes {
		silence := now.Sub(max(node.LastHeartbeat, node.AddedAt))
		if silence > max(evictAfter, evictIntervals*node.Interval) || (node.State == StateGone && silence > evictGoneAfter) {
			delete(t.nodes, vm)
			evicted = append(evicted, node)
		}
	}
	return evicted
}

// Nodes returns all nodes by their VMs. The map must not be changed.
func (t *NodeTable) Nodes() map[netip.Addr]*RemoteNode { return t.nodes }

// Node returns the node on a VM, or nil.
func (t *NodeTable) Node(vm netip.Addr) *RemoteNode { return t.nodes[vm] }

// Peers returns the nodes to pass on to other nodes: those whose heartbeats
// were received and that have not shut down.
func (t *NodeTable) Peers() []Peer {
	peers := make([]Peer, 0, len(t.nodes)+1)
	for _, node := range t.nodes {
		if node.Seen() && node.State != StateGone {
			peers = append(peers, node.Peer)
		}
	}
	return peers
}

// Digest identifies the set of nodes that have not shut down, this one among them. Two
// nodes with the same digest know the same nodes.
func (t *NodeTable) Digest() uint64 {
	digest := vmHash(t.self.VM)
	for vm, node := range t.nodes {
		if node.State != StateGone {
			digest ^= vmHash(vm)
		}
	}
	return digest
}

func vmHash(vm netip.Addr) uint64 {
	address := vm.As4()
	return xxhash.Sum64(address[:])
}

// SomeLive returns at most count live nodes at random.
func (t *NodeTable) SomeLive(now model.Instant, count int) []*RemoteNode {
	var live []*RemoteNode
	// The order of a map is random, but not evenly so.
	for _, node := range t.nodes {
		if node.Live(now) {
			live = append(live, node)
		}
	}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(count, len(live))]
}

// EachHelloDue calls visit for each node to which a hello is due, and records it as sent.
// Nodes that are not live get hellos, which request a reply, at intervals of their own.
func (t *NodeTable) EachHelloDue(now model.Instant, visit func(node *RemoteNode)) {
	for _, node := range t.nodes {
		if !t.exchangesHeartbeats(node) || node.Live(now) {
			continue
		}
		interval := helloInterval
		if now.Sub(max(node.LastHeartbeat, node.AddedAt)) > slowHelloAfter {
			interval = slowHelloInterval
		}
		if now.Sub(node.helloSentAt) >= interval {
			node.helloSentAt, node.sentAt = now, now
			visit(node)
		}
	}
}

// EachLive calls visit for each live node that gets heartbeats, and records one as sent.
func (t *NodeTable) EachLive(now model.Instant, visit func(node *RemoteNode)) {
	for _, node := range t.nodes {
		if t.exchangesHeartbeats(node) && node.Live(now) {
			node.sentAt = now
			visit(node)
		}
	}
}

// EachLongestUnsent calls visit for at most count live nodes, those whose last heartbeat was
// sent the longest time ago. It records one as sent to each of them.
func (t *NodeTable) EachLongestUnsent(now model.Instant, count int, visit func(node *RemoteNode)) {
	if count == 0 {
		return
	}
	var due []*RemoteNode
	for _, node := range t.nodes {
		if t.exchangesHeartbeats(node) && node.Live(now) && node.sentAt < now {
			due = append(due, node)
		}
	}
	slices.SortFunc(due, func(a, b *RemoteNode) int { return cmp.Compare(a.sentAt, b.sentAt) })
	for _, node := range due[:min(count, len(due))] {
		node.sentAt = now
		visit(node)
	}
}

// exchangesHeartbeats reports whether this node sends heartbeats to another one.
func (t *NodeTable) exchangesHeartbeats(node *RemoteNode) bool {
	return node.State != StateGone && shouldExchangeHeartbeats(t.self.Role, node.Peer.Role)
}

// RecipientCount returns the number of live nodes that this node sends
// heartbeats to.
func (t *NodeTable) RecipientCount(now model.Instant) int {
	count := 0
	for _, node := range t.nodes {
		if shouldExchangeHeartbeats(t.self.Role, node.Peer.Role) && node.Live(now) {
			count++
		}
	}
	return count
}

// shouldExchangeHeartbeats reports whether nodes of two roles send each other
// heartbeats. Agents do not need each other's.
func shouldExchangeHeartbeats(self, other model.Role) bool {
	return self == model.RoleBalancer || other == model.RoleBalancer
}

// Rank returns the number of live balancers whose VMs sort before that of this
// node. It selects the node that does work on behalf of all.
func (t *NodeTable) Rank(now model.Instant) int {
	rank := 0
	for _, node := range t.nodes {
		if node.Peer.Role == model.RoleBalancer && node.Live(now) && node.Peer.VM.Less(t.self.VM) {
			rank++
		}
	}
	return rank
}
