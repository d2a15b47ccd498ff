package packetnode

import (
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

// In large deployments, heartbeats to one node are seconds apart, but a node sends one to some
// balancer all the time. (In small ones, missing heartbeats tell as much in less time.) The balancer whose heartbeat is late first probes the sender with a
// hello. If the hello is not answered either, it tells the others of its suspicion. They probe
// the node themselves, so that nodes that only the first one does not reach stay live to them.
const (
	// minSuspectInterval is the interval of heartbeats from which on nodes are suspected.
	minSuspectInterval = 600 * time.Millisecond
	// lateBy is how late a heartbeat must be for its sender to be probed.
	lateBy = 300 * time.Millisecond
	// probeTimeout is how long a probe may be unanswered before the suspicion is told.
	probeTimeout = 150 * time.Millisecond
	// retellAfter is how long after the first time a suspicion is told again, because
	// single datagrams are lost.
	retellAfter = 100 * time.Millisecond
	// suspectInterval is the time between two hellos to a suspected node, and the interval
	// of its heartbeats until it sends one. The node is not live any more
	// maxMissedHeartbeats intervals after it was suspected.
	suspectInterval = 250 * time.Millisecond
	// heardAgo is how long ago a node must have been heard of for the suspicion of another
	// one to count.
	heardAgo = 300 * time.Millisecond
	// maxTold is the maximum number of suspicions that a node tells in tellInterval. One that
	// is overloaded itself would suspect all others.
	maxTold      = 16
	tellInterval = time.Second
)

// suspicions finds lost nodes from their late heartbeats and from the suspicions of others.
// The zero value is ready for use.
type suspicions struct {
	lastTick model.Instant
	// resumed is when this node last came out of a pause of its own. Heartbeats that were
	// due before may still wait to be read.
	resumed model.Instant
	// told is the number of suspicions told since tellingSince.
	told         int
	tellingSince model.Instant
}

// suspicionHooks are what suspicions does with other nodes.
type suspicionHooks struct {
	// hello sends a hello, and tell the suspicion of a node to those to whom it matters.
	hello func(node *RemoteNode)
	tell  func(suspect *RemoteNode)
}

// tick probes the suspected nodes. On balancers, it also probes the nodes whose heartbeats are
// late, and suspects those that do not answer.
func (s *suspicions) tick(now model.Instant, table *NodeTable, hooks suspicionHooks) {
	if s.lastTick != 0 && now.Sub(s.lastTick) > lateBy {
		s.resumed = now
	}
	s.lastTick = now
	for _, node := range table.nodes {
		if !table.mayBeSuspected(now, node) {
			continue
		}
		switch {
		case node.suspectedAt != 0:
			s.tickSuspected(now, node, hooks)
		case table.self.Role != model.RoleBalancer:
			// Agents rely on the balancers' suspicions.
		case now.Sub(max(node.LastHeartbeat, s.resumed)) <= lateBy || now.Sub(node.LastHeartbeat) <= node.Interval+lateBy:
			// Its heartbeat is not late.
		case node.probedAt <= node.LastHeartbeat:
			s.probe(now, node, hooks)
		case now.Sub(node.probedAt) >= probeTimeout:
			node.suspect(now)
			node.mustRetell = s.tell(now, node, hooks)
		}
	}
}

// tell tells a suspicion unless maxTold have been told, and reports whether it did.
func (s *suspicions) tell(now model.Instant, node *RemoteNode, hooks suspicionHooks) bool {
	if now.Sub(s.tellingSince) >= tellInterval {
		s.told, s.tellingSince = 0, now
	}
	if s.told == maxTold {
		return false
	}
	s.told++
	hooks.tell(node)
	return true
}

func (s *suspicions) tickSuspected(now model.Instant, node *RemoteNode, hooks suspicionHooks) {
	if node.mustRetell && now.Sub(node.suspectedAt) >= retellAfter {
		node.mustRetell = false
		hooks.tell(node)
	}
	if now.Sub(node.helloSentAt) >= suspectInterval {
		s.probe(now, node, hooks)
	}
}

// hear evaluates the suspicion of another node. A node that was heard of just now is live, and
// otherwise it is probed at once.
func (s *suspicions) hear(now model.Instant, table *NodeTable, suspected suspicion, hooks suspicionHooks) {
	node := table.Node(suspected.VM)
	if node == nil || node.Incarnation != suspected.Incarnation || !table.mayBeSuspected(now, node) {
		return
	}
	if node.suspectedAt != 0 || now.Sub(node.LastHeartbeat) < heardAgo {
		return
	}
	node.suspect(now)
	s.probe(now, node, hooks)
}

// mayBeSuspected reports whether a node is suspected if its heartbeats are late, or is so
// already.
func (t *NodeTable) mayBeSuspected(now model.Instant, node *RemoteNode) bool {
	return t.exchangesHeartbeats(node) && node.Live(now) && node.State != StateRestarting &&
		(node.Interval >= minSuspectInterval || node.suspectedAt != 0)
}

func (s *suspicions) probe(now model.Instant, node *RemoteNode, hooks suspicionHooks) {
	node.probedAt, node.helloSentAt, node.sentAt = now, now, now
	hooks.hello(node)
}

// suspect makes the node's silence count from now, in short intervals. Its next heartbeat ends
// that.
func (n *RemoteNode) suspect(now model.Instant) {
	n.suspectedAt, n.mustRetell, n.Interval = now, false, min(n.Interval, suspectInterval)
}
