package cluster

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/rpc"
)

const (
	// syncInterval is the minimum interval between two syncs with one peer.
	syncInterval = time.Second
	syncTimeout  = 3 * time.Second
	// pushFanout is the number of balancers to which a change is pushed.
	pushFanout = 4
	// maxPushes is the maximum number of pushes in flight.
	maxPushes = 16
)

// flush pushes the queued changes to a few random balancers.
func (n *Node) flush(now model.Instant) {
	if len(n.outbox) == 0 || n.active.pushes+pushFanout > maxPushes {
		return
	}
	batch := slices.Collect(maps.Values(n.outbox))
	batch = batch[:min(len(batch), membership.MaxBatch)]
	for _, record := range batch {
		delete(n.outbox, record.Node)
	}
	for _, peer := range n.randomBalancers(pushFanout) {
		n.push(peer.Control, batch)
	}
}

func (n *Node) randomBalancers(count int) []membership.Record {
	peers := slices.DeleteFunc(n.View().Balancers(), func(r membership.Record) bool { return r.Node == n.self })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), count)]
}

func (n *Node) push(addr netip.AddrPort, records []membership.Record) {
	n.active.pushes++
	n.launch(callTimeout, func(ctx context.Context) {
		request := SyncRequest{Push: records}
		_, err := rpc.Call[SyncRequest, SyncReply](ctx, n.config.Client, addr, rpc.MethodSync, request)
		n.post(func() {
			n.active.pushes--
			if err == nil {
				n.detector.RecordContact(model.Now())
			}
		})
	})
}

// startSync compares this node's records with those of a balancer and exchanges
// the differences. Only one sync runs at a time.
func (n *Node) startSync(addr netip.AddrPort) {
	if n.active.sync {
		return
	}
	n.active.sync = true
	request := SyncRequest{Service: n.scope.Service, Buckets: n.table.Buckets(n.scope)}
	n.launch(syncTimeout, func(ctx context.Context) {
		err := n.runSync(ctx, addr, request)
		n.post(func() { n.syncEnded(addr, err) })
	})
}

func (n *Node) syncEnded(addr netip.AddrPort, err error) {
	n.active.sync = false
	if err != nil {
		n.log.WithError(err).WithField("peer", addr).Debug("event=sync_failed")
		return
	}
	if !n.joined.Swap(true) {
		n.log.WithFields(map[string]any{"peer": addr, "records": n.table.Len()}).Info("event=joined")
	}
}

// runSync compares the records with those of a balancer in a first call and, if
// they differ, exchanges the newer ones in a second.
func (n *Node) runSync(ctx context.Context, addr netip.AddrPort, request SyncRequest) error {
	reply, err := rpc.Call[SyncRequest, SyncReply](ctx, n.config.Client, addr, rpc.MethodSync, request)
	if err != nil {
		return Error.Wrap(err)
	}
	var exchange SyncRequest
	err = n.postAndWait(ctx, func() {
		exchange.Push, exchange.Want = n.table.Compare(n.scope, reply.DifferingBuckets, reply.Versions)
		n.mergeOwnVersions(reply.Versions)
	})
	if err != nil || len(exchange.Push)+len(exchange.Want) == 0 {
		return err
	}
	reply, err = rpc.Call[SyncRequest, SyncReply](ctx, n.config.Client, addr, rpc.MethodSync, exchange)
	if err != nil {
		return Error.Wrap(err)
	}
	return n.postAndWait(ctx, func() { n.merge(reply.Records, model.Now()) })
}

// mergeOwnVersions raises this node's record above a newer version that a peer
// holds for it.
func (n *Node) mergeOwnVersions(versions []membership.RecordVersion) {
	for _, version := range versions {
		if version.Node != n.self {
			continue
		}
		own := n.table.Self()
		own.Incarnation, own.Version, own.State = version.Incarnation, version.Version, version.State
		n.merge([]membership.Record{own}, model.Now())
	}
}

// serveSync handles rpc.MethodSync: it answers a comparison and merges pushed
// records.
func (n *Node) serveSync(ctx context.Context, _ rpc.Peer, request SyncRequest) (reply SyncReply, err error) {
	if !n.isBalancer() {
		return reply, Error.New("%s is not a balancer", n.self)
	}
	failed := n.postAndWait(ctx, func() { reply, err = n.answerSync(request) })
	if failed != nil {
		return SyncReply{}, failed
	}
	return reply, err
}

func (n *Node) answerSync(request SyncRequest) (SyncReply, error) {
	var reply SyncReply
	now := model.Now()
	scope := membership.Scope{Service: request.Service}
	n.detector.RecordContact(now)
	if n.rejectingRecords(now) {
		return reply, Error.New("%s was stopped for long and does not accept records yet", n.self)
	}
	n.merge(request.Push, now)
	if len(request.Buckets) > 0 {
		differing, err := n.table.Differing(scope, request.Buckets)
		if err != nil {
			return SyncReply{}, Error.Wrap(err)
		}
		reply.DifferingBuckets = differing
		reply.Versions = n.table.RecordVersions(scope, differing)
		n.joined.Store(true)
	}
	reply.Records = n.table.Select(request.Want)
	return reply, nil
}

// probeSuspects probes suspect nodes and asks their other watchers.
func (n *Node) probeSuspects(now model.Instant) {
	if !n.isBalancer() {
		return
	}
	for _, suspect := range n.detector.Tick(now) {
		n.probeSuspect(suspect)
	}
}

func (n *Node) probeSuspect(suspect membership.Suspect) {
	peers := n.assignment.Watchers(suspect.Node)
	peers = slices.DeleteFunc(peers, func(r membership.Record) bool { return r.Node == n.self })
	if record, known := n.table.Get(suspect.Node); known {
		peers = append(peers, record)
	}
	request := PingRequest{Revisions: n.freshness.DocumentStatus().Revisions, Suspect: suspect.Node}
	n.launch(probeTimeout, func(ctx context.Context) {
		alive := n.anyReportsAlive(ctx, peers, request)
		n.post(func() { n.resolveSuspect(suspect, alive) })
	})
}

func (n *Node) anyReportsAlive(ctx context.Context, peers []membership.Record, request PingRequest) bool {
	answers := make(chan bool, len(peers))
	for _, peer := range peers {
		go func() {
			reply, err := rpc.Call[PingRequest, PingReply](ctx, n.config.Client, peer.Control, rpc.MethodPing, request)
			answers <- err == nil && reply.Alive
		}()
	}
	for range peers {
		if <-answers {
			return true
		}
	}
	return false
}

func (n *Node) resolveSuspect(suspect membership.Suspect, alive bool) {
	now := model.Now()
	if !n.detector.ConfirmDown(suspect, alive, now) {
		return
	}
	record, marked := n.table.MarkDown(suspect.Node, suspect.Incarnation, now)
	if !marked {
		return
	}
	n.logRecord(record)
	n.queueChange(record)
	n.flush(now)
}
