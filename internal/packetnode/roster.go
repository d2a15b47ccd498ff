package packetnode

import (
	"net/netip"
	"slices"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	// maxNodes bounds the roster.
	maxNodes = 8192
	// forgetAfter is how long a silent node is remembered. It exceeds every
	// outage that the users bridge.
	forgetAfter = 60 * time.Second
	// forgetGoneAfter is how long a node that has ended for good is remembered,
	// so that late messages don't bring it back.
	forgetGoneAfter = 10 * time.Second
	// pastIncarnations is how many former incarnations of a node are remembered.
	pastIncarnations = 4
	// helloInterval is the time between two greetings of a node that does not
	// answer.
	helloInterval = 250 * time.Millisecond
	// slowHelloInterval is the same for a node that has been silent for long.
	slowHelloInterval = time.Second
	// slowAfter is how long a node must be silent to be greeted less often.
	slowAfter = 3 * time.Second
)

// RemoteNode is one other node.
type RemoteNode struct {
	Peer        Peer
	Incarnation uint64
	State       State
	// LastHeartbeat is when its last beat came, and Added when it became known.
	LastHeartbeat model.Instant
	AddedAt       model.Instant
	Interval      time.Duration
	Load          Load
	Freshness     Freshness
	// VerifiedAt is the moment at which its state was the newest, as far as known.
	VerifiedAt model.Instant

	sequence uint64
	past     []uint64
	greeted  model.Instant
	sent     model.Instant
}

// Seen reports whether the node has ever been heard.
func (n *RemoteNode) Seen() bool { return n.Incarnation != 0 }

// Live reports whether beats of the node come as they should.
func (n *RemoteNode) Live(now model.Instant) bool {
	return n.Seen() && n.State != StateGone && now.Sub(n.LastHeartbeat) <= missedBeats*n.Interval
}

// missedBeats is how many beats a live node may miss.
const missedBeats = 4

// NodeTable is the other nodes. It is not safe for concurrent use.
type NodeTable struct {
	self  Peer
	nodes map[netip.Addr]*RemoteNode
}

// NewNodeTable makes an empty roster of a node.
func NewNodeTable(self Peer) *NodeTable {
	return &NodeTable{self: self, nodes: map[netip.Addr]*RemoteNode{}}
}

// Add makes a node known that others or the store have named. It reports whether
// it is new.
func (r *NodeTable) Add(now model.Instant, peer Peer) bool {
	if peer.VM == r.self.VM || len(r.nodes) >= maxNodes {
		return false
	}
	known := r.nodes[peer.VM]
	if known != nil {
		return false
	}
	r.nodes[peer.VM] = &RemoteNode{Peer: peer, AddedAt: now}
	return true
}

// Event tells what a beat has changed.
type Event struct {
	// Node is nil when the beat was left out.
	Node *RemoteNode
	// Joined tells that a new incarnation is heard for the first time.
	Joined bool
	// Changed tells that the node's state or cold time has changed.
	Changed bool
}

// Receive takes a beat.
func (r *NodeTable) Receive(now model.Instant, beat *Heartbeat) Event {
	if beat.Peer.VM == r.self.VM {
		return Event{}
	}
	node := r.nodes[beat.Peer.VM]
	if node == nil {
		if len(r.nodes) >= maxNodes {
			return Event{}
		}
		node = &RemoteNode{Peer: beat.Peer, AddedAt: now}
		r.nodes[beat.Peer.VM] = node
	}
	if slices.Contains(node.past, beat.Incarnation) {
		return Event{}
	}
	joined := node.Incarnation != beat.Incarnation
	if joined {
		node.succeed(beat.Incarnation)
	} else if beat.Sequence <= node.sequence {
		return Event{}
	}
	turned := node.State != beat.State || node.Load.Cold != beat.Load.Cold
	node.sequence = beat.Sequence
	node.Peer, node.State, node.LastHeartbeat, node.Interval, node.Load = beat.Peer, beat.State, now, beat.interval(), beat.Load
	node.Freshness = beat.Freshness
	node.VerifiedAt = now.Add(-time.Duration(beat.Freshness.AgeMillis) * time.Millisecond)
	return Event{Node: node, Joined: joined, Changed: turned || joined}
}

func (n *RemoteNode) succeed(incarnation uint64) {
	if n.Incarnation != 0 {
		n.past = append(n.past, n.Incarnation)
		n.past = n.past[max(0, len(n.past)-pastIncarnations):]
	}
	n.Incarnation, n.sequence = incarnation, 0
}

// Evict removes the nodes that have been silent for long.
func (r *NodeTable) Evict(now model.Instant) []*RemoteNode {
	var forgotten []*RemoteNode
	for vm, node := range r.nodes {
		quiet := now.Sub(max(node.LastHeartbeat, node.AddedAt))
		if quiet > forgetAfter || (node.State == StateGone && quiet > forgetGoneAfter) {
			delete(r.nodes, vm)
			forgotten = append(forgotten, node)
		}
	}
	return forgotten
}

// Nodes returns all nodes by their VMs. The map must not be changed.
func (r *NodeTable) Nodes() map[netip.Addr]*RemoteNode { return r.nodes }

// Node returns one node, or nil.
func (r *NodeTable) Node(vm netip.Addr) *RemoteNode { return r.nodes[vm] }

// Peers returns the nodes that others should know: those that were heard and have
// not ended.
func (r *NodeTable) Peers() []Peer {
	peers := make([]Peer, 0, len(r.nodes)+1)
	for _, node := range r.nodes {
		if node.Seen() && node.State != StateGone {
			peers = append(peers, node.Peer)
		}
	}
	return peers
}

// Due returns the nodes that a beat is sent to now, and whether it greets them.
func (r *NodeTable) Due(now model.Instant, interval time.Duration, visit func(node *RemoteNode, hello bool)) {
	for _, node := range r.nodes {
		if node.State == StateGone || !concerns(r.self.Role, node.Peer.Role) {
			continue
		}
		if node.Live(now) {
			if now.Sub(node.sent) >= interval {
				node.sent = now
				visit(node, false)
			}
			continue
		}
		pause := helloInterval
		if now.Sub(max(node.LastHeartbeat, node.AddedAt)) > slowAfter {
			pause = slowHelloInterval
		}
		if now.Sub(node.greeted) >= pause {
			node.greeted, node.sent = now, now
			visit(node, true)
		}
	}
}

// RecipientCount returns how many live nodes are told of this one.
func (r *NodeTable) RecipientCount(now model.Instant) int {
	count := 0
	for _, node := range r.nodes {
		if concerns(r.self.Role, node.Peer.Role) && node.Live(now) {
			count++
		}
	}
	return count
}

// concerns reports whether a node of one role sends beats to one of another:
// agents have nothing to tell each other.
func concerns(self, other model.Role) bool {
	return self == model.RoleBalancer || other == model.RoleBalancer
}

// Rank returns how many live balancers come before this node, by their VMs. It
// spreads work that one node does for all.
func (r *NodeTable) Rank(now model.Instant) int {
	rank := 0
	for _, node := range r.nodes {
		if node.Peer.Role == model.RoleBalancer && node.Live(now) && node.Peer.VM.Less(r.self.VM) {
			rank++
		}
	}
	return rank
}
