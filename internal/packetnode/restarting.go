package packetnode

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/codec"
	"github.com/balsamlink/balsamlink/internal/model"
)

// A node announces its restart to the nodes that are live at that moment. A balancer that
// starts while it is away, or has missed the announcement, would take its silence for a loss.
// The balancers that know better tell it.

// restartNotice passes on that a node has announced its restart and has not come back.
type restartNotice struct {
	Peer Peer
	// Incarnation is the node's former one, and Sequence that of its last heartbeat.
	Incarnation uint64
	Sequence    uint64
	// AgeMillis is the time since its last heartbeat, in milliseconds.
	AgeMillis uint32
}

// noticesPerDatagram limits a list of notices to about 1,300 bytes.
const noticesPerDatagram = 16

// parseRestartNotices decodes and validates a list of notices. The datagram must not be empty.
func parseRestartNotices(datagram []byte) ([]restartNotice, error) {
	var notices []restartNotice
	if err := codec.Unmarshal(datagram[1:], &notices); err != nil {
		return nil, Error.New("malformed list of restarting nodes: %v", err)
	}
	for _, notice := range notices {
		if err := notice.Peer.check(); err != nil {
			return nil, err
		}
		if notice.Incarnation == 0 {
			return nil, Error.New("restart of %s without incarnation", notice.Peer.VM)
		}
	}
	return notices, nil
}

// restarting returns notices of the agents that have announced a restart and have not come
// back.
func (t *NodeTable) restarting(now model.Instant) []restartNotice {
	var notices []restartNotice
	for _, node := range t.nodes {
		if node.State == StateRestarting && node.Peer.Role == model.RoleAgent {
			notices = append(notices, restartNotice{
				Peer: node.Peer, Incarnation: node.Incarnation, Sequence: node.sequence, AgeMillis: uint32(now.Sub(node.LastHeartbeat).Milliseconds()),
			})
		}
	}
	return notices
}

// noteRestarting applies a notice. It reports whether the notice is news: nothing was heard of
// the node itself, or only heartbeats before its announcement.
func (t *NodeTable) noteRestarting(now model.Instant, notice restartNotice) bool {
	age := time.Duration(notice.AgeMillis) * time.Millisecond
	if notice.Peer.VM == t.self.VM || age > evictAfter {
		return false
	}
	t.Add(now, notice.Peer)
	node := t.nodes[notice.Peer.VM]
	switch {
	case node == nil: // the table is full
		return false
	case node.Seen() && (node.Incarnation != notice.Incarnation || node.sequence >= notice.Sequence || node.State == StateRestarting):
		return false
	}
	node.Peer, node.Incarnation, node.sequence, node.State = notice.Peer, notice.Incarnation, notice.Sequence, StateRestarting
	node.LastHeartbeat = max(node.LastHeartbeat, now.Add(-age))
	return true
}

// sendRestarting tells a balancer which agents have announced a restart, at most once in each
// peersInterval.
func (n *Node) sendRestarting(now model.Instant, to *RemoteNode) {
	if n.self.Role != model.RoleBalancer || to.Peer.Role != model.RoleBalancer || now.Sub(to.noticesSentAt) < peersInterval {
		return
	}
	to.noticesSentAt = now
	for notices := range slices.Chunk(n.table.restarting(now), noticesPerDatagram) {
		datagram, err := encode(KindRestarting, notices)
		if err != nil {
			n.log.WithError(err).Error("restarting_not_encoded")
			return
		}
		n.Send(to.Peer.VM, datagram)
	}
}

// hearRestarting applies notices; only those of known balancers count.
func (n *Node) hearRestarting(now model.Instant, from netip.Addr, notices []restartNotice) {
	if teller := n.table.Node(from); teller == nil || teller.Peer.Role != model.RoleBalancer {
		return
	}
	for _, notice := range notices {
		if n.table.noteRestarting(now, notice) {
			n.log.WithFields(logrus.Fields{"peer": notice.Peer.VM, "from": from, "silent_ms": notice.AgeMillis}).Info("node_restarting_named")
		}
	}
}
