package membership

import (
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Times of the watch over nodes.
const (
	// HeartbeatInterval is the time between two heartbeats to one watcher.
	HeartbeatInterval = time.Second
	// silenceLimit is the silence after which a watcher asks around.
	silenceLimit = 1800 * time.Millisecond
	// RecentHeartbeatLimit is the age up to which a heartbeat speaks for a node.
	RecentHeartbeatLimit = 1200 * time.Millisecond
	// assignGrace is the time a node gets to find a new watcher.
	assignGrace = 4 * time.Second
	// retryInterval is the time until a node that others vouch for is looked at
	// again.
	retryInterval = 300 * time.Millisecond
	// pauseLimit is the time between two ticks from which on this process must
	// have been stopped, so that silence says nothing.
	pauseLimit = time.Second
	// isolationLimit is how long a balancer that hears nobody at all believes
	// that the fault is its own.
	isolationLimit = 30 * time.Second
)

// FailureDetector decides which nodes are dead. A node is watched by the balancers that
// rendezvous hashing names, whether or not it has ever spoken to them. A
// balancer watches its own watchers too, which answer its heartbeats, so that no
// group that died together was watched by its own members alone.
type FailureDetector struct {
	self    model.NodeID
	nodes   map[model.NodeID]*watched
	started bool
	ticked  Instant
	// contact is when anyone was last heard.
	contact Instant
}

type watched struct {
	incarnation uint64
	heard       Instant
	assigned    bool
	// spoken tells that heard is the time of a heartbeat.
	spoken  bool
	due     Instant
	asking  bool
	askedAt Instant
}

// Suspect is a node that was silent for too long. The caller asks the node and
// its other watchers, and reports with Judge.
type Suspect struct {
	Node        model.NodeID
	Incarnation uint64
}

// NewFailureDetector makes a watch without nodes.
func NewFailureDetector(self model.NodeID) *FailureDetector {
	return &FailureDetector{self: self, nodes: map[model.NodeID]*watched{}}
}

// Assign sets the nodes that this balancer watches.
func (w *FailureDetector) Assign(view *View, assignment *Assignment, now Instant) {
	for _, held := range w.nodes {
		held.assigned = false
	}
	for _, watcher := range assignment.Watchers(w.self) {
		w.assign(watcher, now)
	}
	for _, records := range [][]Record{view.Records, view.hidden} {
		for _, record := range records {
			if record.Node != w.self && assignment.Watches(w.self, record.Node) {
				w.assign(record, now)
			}
		}
	}
	for node, held := range w.nodes {
		if !held.assigned && now.Sub(held.heard) > assignGrace {
			delete(w.nodes, node)
		}
	}
}

func (w *FailureDetector) assign(record Record, now Instant) {
	held := w.nodes[record.Node]
	if held == nil || held.incarnation < record.Incarnation {
		held = &watched{incarnation: record.Incarnation, heard: now, due: now.Add(assignGrace)}
		w.nodes[record.Node] = held
	}
	held.assigned = true
}

// RecordHeartbeat notes a heartbeat of a node, or its answer to one.
func (w *FailureDetector) RecordHeartbeat(node model.NodeID, incarnation uint64, now Instant) {
	w.RecordContact(now)
	held := w.nodes[node]
	if held == nil {
		if len(w.nodes) >= MaxRecords {
			return
		}
		held = &watched{}
		w.nodes[node] = held
	}
	if incarnation < held.incarnation {
		return
	}
	held.incarnation = incarnation
	held.heard = now
	held.spoken = true
	held.due = now.Add(silenceLimit)
}

// RecordContact notes that this node heard anything from any other.
func (w *FailureDetector) RecordContact(now Instant) { w.contact = now }

// HeardRecently reports whether a heartbeat of the node came a short time ago.
func (w *FailureDetector) HeardRecently(node model.NodeID, now Instant) bool {
	held := w.nodes[node]
	return held != nil && held.spoken && now.Sub(held.heard) <= RecentHeartbeatLimit
}

// AssignedCount returns the number of nodes that this balancer has to watch.
func (w *FailureDetector) AssignedCount() int {
	count := 0
	for _, held := range w.nodes {
		if held.assigned {
			count++
		}
	}
	return count
}

// Tick returns the nodes that have become suspect. It is called several times a
// second; a gap tells that this process was stopped.
func (w *FailureDetector) Tick(now Instant) []Suspect {
	paused := w.started && now.Sub(w.ticked) > pauseLimit
	if !w.started || paused {
		w.restart(now)
	}
	w.started, w.ticked = true, now
	var suspects []Suspect
	for node, held := range w.nodes {
		if held.assigned && !held.asking && now > held.due {
			held.asking, held.askedAt = true, now
			suspects = append(suspects, Suspect{Node: node, Incarnation: held.incarnation})
		}
	}
	return suspects
}

// restart gives every node its time again.
func (w *FailureDetector) restart(now Instant) {
	w.contact = now
	for _, held := range w.nodes {
		held.due = max(held.due, now.Add(assignGrace))
		held.spoken = false
	}
}

// ConfirmDown decides after the answers about a suspect. It reports whether the node
// is to be marked down.
func (w *FailureDetector) ConfirmDown(suspect Suspect, vouched bool, now Instant) bool {
	held := w.nodes[suspect.Node]
	if held == nil || !held.asking {
		return false
	}
	held.asking = false
	if now.Sub(w.ticked) > pauseLimit {
		return false
	}
	if held.incarnation != suspect.Incarnation || held.heard > held.askedAt || held.due > held.askedAt {
		return false
	}
	if vouched || w.isolated(now) {
		held.due = now.Add(retryInterval)
		return false
	}
	delete(w.nodes, suspect.Node)
	return held.assigned
}

// isolated reports whether this balancer hears nobody, so that silence says
// more about itself than about others.
func (w *FailureDetector) isolated(now Instant) bool {
	silence := now.Sub(w.contact)
	return silence > RecentHeartbeatLimit && silence < isolationLimit
}
