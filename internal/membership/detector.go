package membership

import (
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Timing of failure detection.
const (
	// HeartbeatInterval is the interval between two heartbeats to one watcher.
	HeartbeatInterval = time.Second
	// suspectAfter is the time without heartbeats after which a watcher
	// suspects a node.
	suspectAfter = 1800 * time.Millisecond
	// RecentHeartbeatLimit is the maximum age of a heartbeat that counts as
	// evidence that a node is alive.
	RecentHeartbeatLimit = 1200 * time.Millisecond
	// assignGrace is the time that a node has to send its first heartbeat to a
	// new watcher.
	assignGrace = 4 * time.Second
	// reprobeInterval is the delay until a suspect that others reported alive
	// is probed again.
	reprobeInterval = 300 * time.Millisecond
	// pauseLimit is the gap between two ticks above which this process must
	// have been stopped, so that missing heartbeats are no evidence.
	pauseLimit = time.Second
	// isolationLimit is how long a balancer that receives nothing at all
	// attributes this to a fault of its own.
	isolationLimit = 30 * time.Second
)

// FailureDetector decides which nodes are down. Rendezvous hashing assigns each
// node to its watchers, whether or not it has ever contacted them. A balancer
// also watches its own watchers, which answer its heartbeats; otherwise a group
// of nodes that failed together could have been watched by its own members
// only.
type FailureDetector struct {
	self     model.NodeID
	nodes    map[model.NodeID]*watchedNode
	started  bool
	lastTick Instant
	// lastContact is when a message from any other node was last received.
	lastContact Instant
}

type watchedNode struct {
	incarnation   uint64
	lastHeartbeat Instant
	// assigned is set while this balancer must watch the node. Heartbeats of other
	// nodes are recorded too, but those nodes never become suspect here.
	assigned bool
	// heartbeatSeen reports whether lastHeartbeat is the time of an actual
	// heartbeat, not of the assignment.
	heartbeatSeen bool
	// The node becomes suspect at the first Tick after deadline. That Tick sets probing
	// and probedAt, and ConfirmDown resets probing.
	deadline Instant
	probing  bool
	probedAt Instant
}

// Suspect is a node that sent no heartbeat for too long. The caller probes the
// node and asks its other watchers, then calls ConfirmDown.
type Suspect struct {
	Node        model.NodeID
	Incarnation uint64
}

// NewFailureDetector returns a failure detector that watches no nodes yet.
func NewFailureDetector(self model.NodeID) *FailureDetector {
	return &FailureDetector{self: self, nodes: map[model.NodeID]*watchedNode{}}
}

// Assign sets the nodes that this balancer watches, including running nodes that
// the view hides because a newer node has one of their addresses. Nodes that are no
// longer assigned are dropped once their last heartbeat is older than assignGrace.
func (d *FailureDetector) Assign(view *View, assignment *Assignment, now Instant) {
	for _, watched := range d.nodes {
		watched.assigned = false
	}
	for _, watcher := range assignment.Watchers(d.self) {
		d.assign(watcher, now)
	}
	for _, records := range [][]Record{view.Records, view.hidden} {
		for _, record := range records {
			if record.Node != d.self && assignment.Watches(d.self, record.Node) {
				d.assign(record, now)
			}
		}
	}
	for node, watched := range d.nodes {
		if !watched.assigned && now.Sub(watched.lastHeartbeat) > assignGrace {
			delete(d.nodes, node)
		}
	}
}

func (d *FailureDetector) assign(record Record, now Instant) {
	watched := d.nodes[record.Node]
	if watched == nil || watched.incarnation < record.Incarnation {
		watched = &watchedNode{incarnation: record.Incarnation, lastHeartbeat: now, deadline: now.Add(assignGrace)}
		d.nodes[record.Node] = watched
	}
	watched.assigned = true
}

// RecordHeartbeat records a heartbeat of a node, or its reply to one.
func (d *FailureDetector) RecordHeartbeat(node model.NodeID, incarnation uint64, now Instant) {
	d.RecordContact(now)
	watched := d.nodes[node]
	if watched == nil {
		if len(d.nodes) >= MaxRecords {
			return
		}
		watched = &watchedNode{}
		d.nodes[node] = watched
	}
	if incarnation < watched.incarnation {
		return
	}
	watched.incarnation = incarnation
	watched.lastHeartbeat = now
	watched.heartbeatSeen = true
	watched.deadline = now.Add(suspectAfter)
}

// RecordContact records that this balancer received a message from any other node.
func (d *FailureDetector) RecordContact(now Instant) { d.lastContact = now }

// HeardRecently reports whether a heartbeat of the node was received within
// RecentHeartbeatLimit.
func (d *FailureDetector) HeardRecently(node model.NodeID, now Instant) bool {
	watched := d.nodes[node]
	return watched != nil && watched.heartbeatSeen && now.Sub(watched.lastHeartbeat) <= RecentHeartbeatLimit
}

// AssignedCount returns the number of nodes that are assigned to this balancer.
func (d *FailureDetector) AssignedCount() int {
	count := 0
	for _, watched := range d.nodes {
		if watched.assigned {
			count++
		}
	}
	return count
}

// Tick returns the nodes that have become suspect. It must be called several
// times per second; a gap above pauseLimit means that this process was stopped.
func (d *FailureDetector) Tick(now Instant) []Suspect {
	paused := d.started && now.Sub(d.lastTick) > pauseLimit
	if !d.started || paused {
		d.extendDeadlines(now)
	}
	d.started, d.lastTick = true, now
	var suspects []Suspect
	for node, watched := range d.nodes {
		if watched.assigned && !watched.probing && now > watched.deadline {
			watched.probing, watched.probedAt = true, now
			suspects = append(suspects, Suspect{Node: node, Incarnation: watched.incarnation})
		}
	}
	return suspects
}

// extendDeadlines gives every node at least assignGrace from now and discards
// earlier heartbeats as evidence. It also sets lastContact, so that isolated counts
// the silence from now on.
func (d *FailureDetector) extendDeadlines(now Instant) {
	d.lastContact = now
	for _, watched := range d.nodes {
		watched.deadline = max(watched.deadline, now.Add(assignGrace))
		watched.heartbeatSeen = false
	}
}

// ConfirmDown evaluates the probes of a suspect: reportedAlive means that the
// node or one of its watchers reported it alive. It reports whether the node is
// to be marked down.
func (d *FailureDetector) ConfirmDown(suspect Suspect, reportedAlive bool, now Instant) bool {
	watched := d.nodes[suspect.Node]
	if watched == nil || !watched.probing {
		return false
	}
	watched.probing = false
	// After a pause of this process, the results of the probes are no evidence.
	if now.Sub(d.lastTick) > pauseLimit {
		return false
	}
	if watched.incarnation != suspect.Incarnation || watched.lastHeartbeat > watched.probedAt || watched.deadline > watched.probedAt {
		return false
	}
	if reportedAlive || d.isolated(now) {
		watched.deadline = now.Add(reprobeInterval)
		return false
	}
	delete(d.nodes, suspect.Node)
	return watched.assigned
}

// isolated reports whether this balancer receives nothing from any node, so
// that missing heartbeats indicate a fault of its own.
func (d *FailureDetector) isolated(now Instant) bool {
	silence := now.Sub(d.lastContact)
	return silence > RecentHeartbeatLimit && silence < isolationLimit
}
