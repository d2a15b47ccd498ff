package packetnode

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/model"
)

// message is a control datagram that is queued for the control goroutine. Its body is one of
// the types that parseControl returns.
type message struct {
	from netip.Addr
	body any
}

// dispatch passes a datagram to its handler, or parses it and queues it for the
// control goroutine.
func (n *Node) dispatch(from netip.Addr, datagram []byte) {
	if handler := n.config.Handlers[Kind(datagram[0])]; handler != nil {
		handler(from, datagram)
		return
	}
	body, err := parseControl(from, datagram)
	if err != nil {
		n.metrics.malformed.Inc()
		return
	}
	select {
	case n.inbox <- message{from: from, body: body}:
	default:
		n.metrics.overflow.Inc()
	}
}

// parseControl decodes and validates a control datagram, which must not be empty.
func parseControl(from netip.Addr, datagram []byte) (any, error) {
	switch kind := Kind(datagram[0]); kind {
	case KindHeartbeat:
		heartbeat, err := parseHeartbeat(datagram)
		if err == nil && heartbeat.Peer.VM != from {
			err = Error.New("heartbeat of %s arrived from %s", heartbeat.Peer.VM, from)
		}
		return heartbeat, err
	case KindPeers:
		return parsePeers(datagram)
	case KindPeersRequest:
		return parsePeersRequest(datagram)
	case KindSavedPart:
		return parseSavedPart(datagram)
	case KindSavedPartKept:
		part, err := parseSavedPart(datagram)
		return savedPartKept(part), err
	case KindSuspicion:
		return parseSuspicion(datagram)
	case KindRestarting:
		return parseRestartNotices(datagram)
	default:
		return nil, Error.New("datagram of unknown kind %d", kind)
	}
}

func (n *Node) handleMessage(now model.Instant, m message) {
	switch body := m.body.(type) {
	case *Heartbeat:
		n.handleHeartbeat(now, body)
	case []Peer:
		n.addPeers(now, m.from, body)
	case peersRequest:
		n.answerPeersRequest(now, m.from, body)
	case savedPart:
		n.keepSavedPart(m.from, body)
	case savedPartKept:
		if body.Incarnation == n.incarnation {
			n.saved.acknowledge(m.from, savedPart(body))
		}
	case suspicion:
		n.hearSuspicion(now, m.from, body)
	case []restartNotice:
		n.hearRestarting(now, m.from, body)
	}
}

func (n *Node) handleHeartbeat(now model.Instant, heartbeat *Heartbeat) {
	event := n.table.Receive(now, heartbeat)
	if event.Node == nil {
		n.metrics.heartbeatsStale.Inc()
		return
	}
	n.metrics.heartbeatsAccepted.Inc()
	n.outage.hear(now, event.Node.VerifiedAt, rand.Float64())
	n.heartbeatsFrom = append(n.heartbeatsFrom, heartbeat.Peer.VM)
	if event.Changed {
		n.changeLog.record(n.log, now, event)
	}
	if event.Joined {
		n.joined = append(n.joined, heartbeat.Peer.VM)
		n.sendRestarting(now, event.Node)
	}
	if heartbeat.Hello {
		n.sendHeartbeat(now, heartbeat.Peer.VM, false)
	}
	if n.stateCache.Observe(heartbeat.Freshness, event.Node.VerifiedAt) {
		n.ObserveStateVersion(StateVersion{AsOf: heartbeat.Freshness.AsOf, Digest: uint32(heartbeat.Freshness.Digest)})
		n.refresh.begin(n, now)
	}
	if event.Changed {
		n.publish(now)
	}
}

func (n *Node) addPeers(now model.Instant, from netip.Addr, peers []Peer) {
	for _, peer := range peers {
		if n.table.Add(now, peer) {
			n.log.WithFields(logrus.Fields{"peer": peer.VM, "role": peer.Role, "from": from}).Info("node_named")
			n.discovery.quietRounds = 0
		}
	}
}

// hearSuspicion evaluates a suspicion; only those of known balancers count.
func (n *Node) hearSuspicion(now model.Instant, from netip.Addr, suspected suspicion) {
	if teller := n.table.Node(from); teller == nil || teller.Peer.Role != model.RoleBalancer {
		return
	}
	n.metrics.suspicionsHeard.Inc()
	n.suspicions.hear(now, n.table, suspected, n.suspicionHooks(now))
}

// suspicionHooks returns the hooks of suspicions. Only balancers tell their suspicions: those
// of agents to the other balancers, those of balancers to all.
func (n *Node) suspicionHooks(now model.Instant) suspicionHooks {
	return suspicionHooks{
		hello: func(node *RemoteNode) { n.sendHeartbeat(now, node.Peer.VM, true) },
		tell: func(suspect *RemoteNode) {
			n.log.WithFields(logrus.Fields{
				"peer": suspect.Peer.VM, "role": suspect.Peer.Role, "zone": suspect.Peer.Zone, "silent_ms": now.Sub(suspect.LastHeartbeat).Milliseconds(),
			}).Info("node_suspected")
			n.tellSuspicion(now, suspect)
		},
	}
}

func (n *Node) tellSuspicion(now model.Instant, suspect *RemoteNode) {
	datagram := encodeSuspicion(suspicion{VM: suspect.Peer.VM, Incarnation: suspect.Incarnation})
	for vm, node := range n.table.nodes {
		if vm != suspect.Peer.VM && node.Live(now) && shouldExchangeHeartbeats(node.Peer.Role, suspect.Peer.Role) {
			n.metrics.suspicionsTold.Inc()
			n.Send(vm, datagram)
		}
	}
}

// answerPeersRequest sends the list of known nodes to a node that knows other ones. Strangers
// get none, and others not more than one in each peersInterval: a list is much longer than
// the request.
func (n *Node) answerPeersRequest(now model.Instant, vm netip.Addr, request peersRequest) {
	node := n.table.Node(vm)
	if node == nil || !node.Seen() {
		return
	}
	n.sendRestarting(now, node)
	if now.Sub(node.peersSentAt) < peersInterval || request.Digest == n.table.Digest() {
		return
	}
	node.peersSentAt = now
	for peers := range slices.Chunk(n.table.Peers(), peersPerDatagram) {
		datagram, err := encode(KindPeers, peers)
		if err != nil {
			n.log.WithError(err).Error("peers_not_encoded")
			return
		}
		n.Send(vm, datagram)
	}
}

// keepSavedPart takes a part of a node's saved value. It is not acknowledged while the store
// does not answer this node: another keeper may reach it.
func (n *Node) keepSavedPart(from netip.Addr, part savedPart) {
	node := n.table.Node(from)
	if n.self.Role != model.RoleBalancer || node == nil || node.Incarnation != part.Incarnation {
		return
	}
	if n.keeper.receive(from, part) && n.outage.failures == 0 {
		n.Send(from, appendSavedPartHeader(nil, KindSavedPartKept, part))
	}
}
