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

// heartbeatState is the state of the heartbeats sent to one watcher.
type heartbeatState struct {
	peer membership.Record
	due  model.Instant
	// phase staggers the heartbeats to the watchers: it shortens the interval
	// after each heartbeat that carries the record.
	phase    time.Duration
	inFlight bool
	// recordSent reports whether the watcher has the newest version of this
	// node's record.
	recordSent bool
	// lastSync is when a digest mismatch with this watcher last started a sync.
	lastSync model.Instant
}

// chooseWatchers keeps one heartbeat state for each watcher of this node.
func (n *Node) chooseWatchers(now model.Instant) {
	watchers := n.assignment.Watchers(n.self)
	kept := make(map[model.NodeID]*heartbeatState, len(watchers))
	for i, peer := range watchers {
		state := n.heartbeats[peer.Node]
		if state == nil || state.peer.Incarnation != peer.Incarnation {
			state = &heartbeatState{due: now}
		}
		state.peer = peer
		state.phase = time.Duration(i) * membership.HeartbeatInterval / membership.WatcherCount
		kept[peer.Node] = state
	}
	n.heartbeats = kept
}

// sendHeartbeats sends the heartbeats that are due.
func (n *Node) sendHeartbeats(now model.Instant) {
	for _, state := range n.heartbeats {
		if state.inFlight || now < state.due {
			continue
		}
		state.inFlight = true
		state.due = now.Add(membership.HeartbeatInterval)
		if !state.recordSent {
			state.due = state.due.Add(-state.phase)
		}
		n.sendHeartbeat(state, now)
	}
}

func (n *Node) sendHeartbeat(state *heartbeatState, now model.Instant) {
	request := n.heartbeatRequest(!state.recordSent)
	peer := state.peer
	n.launch(callTimeout, func(ctx context.Context) {
		reply, err := rpc.Call[HeartbeatRequest, HeartbeatReply](ctx, n.config.Client, peer.Control, rpc.MethodHeartbeat, request)
		n.post(func() { n.heartbeatEnded(state, request, reply, err, now) })
	})
}

func (n *Node) heartbeatRequest(withRecord bool) HeartbeatRequest {
	own := n.table.Self()
	request := HeartbeatRequest{
		Node:        own.Node,
		Incarnation: own.Incarnation,
		Version:     own.Version,
		Revisions:   n.freshness.DocumentStatus().Revisions,
	}
	if withRecord {
		request.Record = &own
	}
	return request
}

func (n *Node) heartbeatEnded(state *heartbeatState, request HeartbeatRequest, reply HeartbeatReply, err error, sent model.Instant) {
	state.inFlight = false
	if err != nil {
		n.log.WithError(err).WithField("peer", state.peer.Node).Debug("event=heartbeat_failed")
		return
	}
	now := model.Now()
	n.detector.RecordHeartbeat(state.peer.Node, state.peer.Incarnation, now)
	n.lastReply = now
	current := request.Incarnation == n.table.Self().Incarnation && request.Version == n.table.Self().Version
	state.recordSent = current && !reply.WantRecord
	if reply.WantRecord && request.Record == nil {
		state.due = now
	}
	if reply.NewerRecord != nil {
		n.merge([]membership.Record{*reply.NewerRecord}, now)
	}
	n.applyPingReply(state.peer.Control, reply.Ping, sent)
	if reply.Digest != n.table.Digest(n.scope) && now.Sub(state.lastSync) >= syncInterval {
		state.lastSync = now
		n.startSync(state.peer.Control)
	}
}

// serveHeartbeat handles rpc.MethodHeartbeat.
func (n *Node) serveHeartbeat(ctx context.Context, _ rpc.Peer, request HeartbeatRequest) (reply HeartbeatReply, err error) {
	failed := n.postAndWait(ctx, func() { reply, err = n.handleHeartbeat(request, model.Now()) })
	if failed != nil {
		return HeartbeatReply{}, failed
	}
	return reply, err
}

func (n *Node) handleHeartbeat(request HeartbeatRequest, now model.Instant) (HeartbeatReply, error) {
	if !n.isBalancer() {
		return HeartbeatReply{}, Error.New("%s is not a balancer", n.self)
	}
	if n.rejectingRecords(now) {
		return HeartbeatReply{}, Error.New("%s was stopped for long and does not accept records yet", n.self)
	}
	if request.Record != nil {
		if request.Record.Node != request.Node {
			return HeartbeatReply{}, Error.New("record: node %s in a heartbeat of %s", request.Record.Node, request.Node)
		}
		if err := request.Record.Validate(); err != nil {
			return HeartbeatReply{}, Error.Wrap(err)
		}
		n.merge([]membership.Record{*request.Record}, now)
	}
	n.observeRevisions(request.Revisions)
	reply := HeartbeatReply{Ping: n.pingReply(now)}
	known, found := n.table.Get(request.Node)
	if !found {
		reply.WantRecord = true
		return reply, nil
	}
	announced := membership.Record{Incarnation: request.Incarnation, Version: request.Version, State: known.State}
	n.pullNewer(known.Control, request.Revisions)
	switch {
	case announced.Newer(known):
		reply.WantRecord = true
	case known.Newer(announced):
		reply.NewerRecord = &known
	}
	if request.Incarnation >= known.Incarnation {
		n.detector.RecordHeartbeat(request.Node, request.Incarnation, now)
	}
	reply.Digest = n.table.Digest(membership.Scope{Service: known.Service})
	return reply, nil
}

// join contacts a random candidate until a first sync with another node has
// succeeded, and again after checkPause dropped the other nodes.
func (n *Node) join(now model.Instant) {
	if n.active.contact || n.joined.Load() || now < n.due.join || len(n.candidates) == 0 {
		return
	}
	interval := joinInterval + rand.N(joinInterval)
	n.due.join = now.Add(interval)
	n.contact(n.candidates[rand.IntN(len(n.candidates))])
}

const (
	// joinInterval and reconnectInterval are the minimum times between two
	// attempts of join and of reconnect. A random time of up to the same length is
	// added.
	joinInterval      = 300 * time.Millisecond
	reconnectInterval = 5 * time.Second
	// noReplyLimit is the time without a reply from any watcher after which a
	// node contacts any other balancer.
	noReplyLimit = 2 * membership.HeartbeatInterval
	// maxCandidates limits the candidates, and the balancers that reconnect
	// chooses from.
	maxCandidates = 64
)

// reconnect contacts a random one of the unreachable balancers and seeds, so that
// partitions merge again once they can reach each other. If no watcher has
// replied for noReplyLimit, it does so more often and also chooses among the known
// balancers.
func (n *Node) reconnect(now model.Instant) {
	if n.active.contact || !n.joined.Load() || now < n.due.reconnect {
		return
	}
	addrs := n.unreachableBalancers()
	interval := reconnectInterval
	if now.Sub(n.lastReply) > noReplyLimit {
		interval = joinInterval
		addrs = append(addrs, n.otherBalancerAddresses()...)
	}
	n.due.reconnect = now.Add(interval + rand.N(interval))
	if len(addrs) > 0 {
		n.contact(addrs[rand.IntN(len(addrs))])
	}
}

// otherBalancerAddresses returns the control addresses of other running
// balancers in random order, at most maxCandidates.
func (n *Node) otherBalancerAddresses() []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, peer := range n.randomBalancers(maxCandidates) {
		addrs = append(addrs, peer.Control)
	}
	return addrs
}

// unreachableBalancers returns the addresses of seeds and of balancers marked
// down at which no running balancer is known.
func (n *Node) unreachableBalancers() []netip.AddrPort {
	known := map[netip.AddrPort]bool{n.table.Self().Control: true}
	for _, balancer := range n.View().Balancers() {
		known[balancer.Control] = true
	}
	var missing []netip.AddrPort
	for _, addr := range append(n.table.DownBalancers(), n.candidates...) {
		if !known[addr] {
			missing = append(missing, addr)
			known[addr] = true
		}
	}
	return missing
}

// addCandidate adds the address of another balancer to the candidates.
func (n *Node) addCandidate(record membership.Record) {
	if record.Role == model.RoleBalancer && record.Node != n.self {
		n.addCandidateAddress(record.Control)
	}
}

func (n *Node) addCandidateAddress(addr netip.AddrPort) {
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

// contact sends a heartbeat with this node's record to an address and then syncs
// with the node there.
func (n *Node) contact(addr netip.AddrPort) {
	n.active.contact = true
	request := n.heartbeatRequest(true)
	sent := model.Now()
	n.launch(callTimeout, func(ctx context.Context) {
		reply, err := rpc.Call[HeartbeatRequest, HeartbeatReply](ctx, n.config.Client, addr, rpc.MethodHeartbeat, request)
		n.post(func() { n.contactEnded(addr, reply, err, sent) })
	})
}

func (n *Node) contactEnded(addr netip.AddrPort, reply HeartbeatReply, err error, sent model.Instant) {
	n.active.contact = false
	if err != nil {
		n.log.WithError(err).WithField("peer", addr).Debug("event=contact_failed")
		return
	}
	n.detector.RecordContact(model.Now())
	if reply.NewerRecord != nil {
		n.merge([]membership.Record{*reply.NewerRecord}, model.Now())
	}
	n.applyPingReply(addr, reply.Ping, sent)
	n.startSync(addr)
}
