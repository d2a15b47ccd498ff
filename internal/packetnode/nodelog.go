package packetnode

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/observe"
)

const (
	// changeLogInterval is the time that one summary of changed nodes covers, and
	// maxChangeLines the number of changes in it that are logged one by one. After a loss of
	// power, each node sees every other node change several times.
	changeLogInterval = time.Second
	maxChangeLines    = 8
	// callLogInterval is the minimum time between two lines with the numbers of calls to the
	// store.
	callLogInterval = 5 * time.Second
)

// changeLog logs changes of other nodes: the first ones one by one, the others as counts.
type changeLog struct {
	since model.Instant
	lines int
	// states counts the changes that were not logged, by the state that the node has since,
	// joined those of new incarnations. example is the last of them.
	states  [stateCount]int
	joined  int
	example Peer
}

// record logs or counts a change.
func (c *changeLog) record(log *logrus.Entry, now model.Instant, event Event) {
	c.flush(log, now)
	if c.lines < maxChangeLines {
		c.lines++
		log.WithFields(logrus.Fields{
			"peer": event.Node.Peer.VM, "role": event.Node.Peer.Role, "zone": event.Node.Peer.Zone,
			"service": event.Node.Peer.Service, "state": event.Node.State, "joined": event.Joined, "cold": event.Node.Load.Cold,
			"state_version": event.Node.Freshness.ConfigVersion, "state_age_ms": event.Node.Freshness.AgeMillis,
		}).Info("node_changed")
		return
	}
	c.states[event.Node.State]++
	if event.Joined {
		c.joined++
	}
	c.example = event.Node.Peer
}

// flush writes the summary of an interval that has ended.
func (c *changeLog) flush(log *logrus.Entry, now model.Instant) {
	if now.Sub(c.since) < changeLogInterval {
		return
	}
	fields, total := logrus.Fields{"joined": c.joined, "example": c.example.VM, "example_zone": c.example.Zone}, 0
	for state, count := range c.states {
		total += count
		if count > 0 {
			fields[State(state).String()] = count
		}
	}
	if total > 0 {
		fields["more"] = total
		log.WithFields(fields).Info("nodes_changed")
	}
	*c = changeLog{since: now}
}

// callLog logs the numbers of the node's calls to the store, by kind.
type callLog struct {
	next   model.Instant
	logged int64
}

func (c *callLog) tick(n *Node, now model.Instant) {
	if now < c.next {
		return
	}
	c.next = now.Add(callLogInterval)
	fields, total := logrus.Fields{"role": n.self.Role}, int64(0)
	for name, count := range n.config.Metrics.Values() {
		if kind, ok := strings.CutPrefix(name, observe.StoreCallPrefix); ok && count > 0 {
			fields[kind] = count
			total += count
		}
	}
	if total != c.logged {
		c.logged = total
		n.log.WithFields(fields).Info("store_calls")
	}
}
