package cluster

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/rpc"
)

// beat is the heartbeat towards one watcher.
type beat struct {
	peer membership.Record
	due  model.Instant
	// phase keeps the heartbeats to the watchers apart.
	phase time.Duration
	open  bool
	// told tells that the watcher has the newest own record.
	told bool
	// synced is when the view was last compared because of this watcher.
	synced model.Instant
}

// chooseWatchers keeps one beat for each watcher of this node.
func (n *Node) chooseWatchers(now model.Instant) {
	watchers := n.assignment.Watchers(n.self)
	kept := make(map[model.NodeID]*beat, len(watchers))
	for i, peer := range watchers {
		held := n.beats[peer.Node]
		if held == nil || held.peer.Incarnation != peer.Incarnation {
			held = &beat{due: now}
		}
		held.peer = peer
		held.phase = time.Duration(i) * membership.HeartbeatInterval / membership.WatcherCount
		kept[peer.Node] = held
	}
	n.beats = kept
}

// sendBeats sends the heartbeats that are due.
func (n *Node) sendBeats(now model.Instant) {
	for _, held := range n.beats {
		if held.open || now < held.due {
			continue
		}
		held.open = true
		held.due = now.Add(membership.HeartbeatInterval)
		if !held.told {
			held.due = held.due.Add(-held.phase)
		}
		n.sendBeat(held, now)
	}
}

func (n *Node) sendBeat(held *beat, now model.Instant) {
	request := n.heartbeatRequest(!held.told)
	peer := held.peer
	n.launch(callTimeout, func(ctx context.Context) {
		reply, err := rpc.Call[HeartbeatRequest, HeartbeatReply](ctx, n.config.Client, peer.Control, rpc.MethodAnnounce, request)
		n.post(func() { n.beatEnded(held, request, reply, err, now) })
	})
}

func (n *Node) heartbeatRequest(full bool) HeartbeatRequest {
	own := n.table.Self()
	request := HeartbeatRequest{
		Node:        own.Node,
		Incarnation: own.Incarnation,
		Version:     own.Version,
		Revisions:   n.proof.DocumentStatus().Revisions,
	}
	if full {
		request.Record = &own
	}
	return request
}

func (n *Node) beatEnded(held *beat, request HeartbeatRequest, reply HeartbeatReply, err error, sent model.Instant) {
	held.open = false
	if err != nil {
		n.log.WithError(err).WithField("peer", held.peer.Node).Debug("event=heartbeat_failed")
		return
	}
	now := model.Now()
	n.watch.RecordHeartbeat(held.peer.Node, held.peer.Incarnation, now)
	n.answered = now
	current := request.Incarnation == n.table.Self().Incarnation && request.Version == n.table.Self().Version
	held.told = current && !reply.WantRecord
	if reply.WantRecord && request.Record == nil {
		held.due = now
	}
	if reply.NewerRecord != nil {
		n.merge([]membership.Record{*reply.NewerRecord}, now)
	}
	n.proofEnded(held.peer.Control, reply.Ping, sent)
	if reply.Digest != n.table.Digest(n.scope) && now.Sub(held.synced) >= syncInterval {
		held.synced = now
		n.startSync(held.peer.Control)
	}
}

// serveBeat answers a heartbeat.
func (n *Node) serveBeat(ctx context.Context, _ rpc.Peer, request HeartbeatRequest) (reply HeartbeatReply, err error) {
	failed := n.ask(ctx, func() { reply, err = n.heard(request, model.Now()) })
	if failed != nil {
		return HeartbeatReply{}, failed
	}
	return reply, err
}

func (n *Node) heard(request HeartbeatRequest, now model.Instant) (HeartbeatReply, error) {
	if !n.balancer() {
		return HeartbeatReply{}, Error.New("%s is no balancer", n.self)
	}
	if n.deaf(now) {
		return HeartbeatReply{}, Error.New("%s was stopped for long and takes no records yet", n.self)
	}
	if request.Record != nil {
		if request.Record.Node != request.Node {
			return HeartbeatReply{}, Error.New("record: of %s in a heartbeat of %s", request.Record.Node, request.Node)
		}
		if err := request.Record.Validate(); err != nil {
			return HeartbeatReply{}, Error.Wrap(err)
		}
		n.merge([]membership.Record{*request.Record}, now)
	}
	n.learn(request.Revisions)
	reply := HeartbeatReply{Ping: n.pingReply(now)}
	known, found := n.table.Get(request.Node)
	if !found {
		reply.WantRecord = true
		return reply, nil
	}
	own := membership.Record{Incarnation: request.Incarnation, Version: request.Version, State: known.State}
	n.pullNewer(known.Control, request.Revisions)
	switch {
	case own.Newer(known):
		reply.WantRecord = true
	case known.Newer(own):
		reply.NewerRecord = &known
	}
	if request.Incarnation >= known.Incarnation {
		n.watch.RecordHeartbeat(request.Node, request.Incarnation, now)
	}
	reply.Digest = n.table.Digest(membership.Scope{Service: known.Service})
	return reply, nil
}

// join announces the node to a first balancer until one has answered, and again
// when all contact is lost.
func (n *Node) join(now model.Instant) {
	if n.busy.join || n.joined.Load() || now < n.due.join || len(n.candidates) == 0 {
		return
	}
	pause := joinInterval + rand.N(joinInterval)
	n.due.join = now.Add(pause)
	n.contact(n.candidates[rand.IntN(len(n.candidates))])
}

const (
	joinInterval      = 300 * time.Millisecond
	reconnectInterval = 5 * time.Second
	// orphanAfter is how long no watcher has answered before a node looks for
	// another balancer.
	orphanAfter   = 2 * membership.HeartbeatInterval
	maxCandidates = 64
)

// reconnect tries a balancer that was found dead, or a seed, so that parts that
// were cut off from each other find together again. A node that no watcher
// answers tries all that it knows.
func (n *Node) reconnect(now model.Instant) {
	if n.busy.join || !n.joined.Load() || now < n.due.reconnect {
		return
	}
	tried := n.lost()
	pause := reconnectInterval
	if now.Sub(n.answered) > orphanAfter {
		pause = joinInterval
		tried = append(tried, n.others()...)
	}
	n.due.reconnect = now.Add(pause + rand.N(pause))
	if len(tried) > 0 {
		n.contact(tried[rand.IntN(len(tried))])
	}
}

func (n *Node) others() []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, peer := range n.randomBalancers(maxCandidates) {
		addrs = append(addrs, peer.Control)
	}
	return addrs
}

// lost returns the addresses at which a balancer should be and none is known.
func (n *Node) lost() []netip.AddrPort {
	known := map[netip.AddrPort]bool{n.table.Self().Control: true}
	for _, balancer := range n.View().Balancers() {
		known[balancer.Control] = true
	}
	var lost []netip.AddrPort
	for _, addr := range append(n.table.DownBalancers(), n.candidates...) {
		if !known[addr] {
			lost = append(lost, addr)
			known[addr] = true
		}
	}
	return lost
}

func (n *Node) addCandidate(record membership.Record) {
	if record.Role == model.RoleBalancer && record.Node != n.self {
		n.addAddress(record.Control)
	}
}

func (n *Node) addAddress(addr netip.AddrPort) {
	if addr == n.table.Self().Control || !addr.IsValid() || len(n.candidates) >= maxCandidates {
		return
	}
	for _, known := range n.candidates {
		if known == addr {
			return
		}
	}
	n.candidates = append(n.candidates, addr)
}

// contact announces the node at an address and compares views with it.
func (n *Node) contact(addr netip.AddrPort) {
	n.busy.join = true
	request := n.heartbeatRequest(true)
	sent := model.Now()
	n.launch(callTimeout, func(ctx context.Context) {
		reply, err := rpc.Call[HeartbeatRequest, HeartbeatReply](ctx, n.config.Client, addr, rpc.MethodAnnounce, request)
		n.post(func() { n.contacted(addr, reply, err, sent) })
	})
}

func (n *Node) contacted(addr netip.AddrPort, reply HeartbeatReply, err error, sent model.Instant) {
	n.busy.join = false
	if err != nil {
		n.log.WithError(err).WithField("peer", addr).Debug("event=contact_failed")
		return
	}
	n.watch.RecordContact(model.Now())
	if reply.NewerRecord != nil {
		n.merge([]membership.Record{*reply.NewerRecord}, model.Now())
	}
	n.proofEnded(addr, reply.Ping, sent)
	n.startSync(addr)
}
