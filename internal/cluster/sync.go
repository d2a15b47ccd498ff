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
	// syncInterval is the shortest time between two comparisons with one peer.
	syncInterval = time.Second
	syncTimeout  = 3 * time.Second
	// pushFanout is the number of balancers that get a change at once.
	pushFanout = 4
	// maxPushes is the most pushes in flight.
	maxPushes = 16
)

// flush sends the queued changes to a few random balancers.
func (n *Node) flush(now model.Instant) {
	if len(n.outbox) == 0 || n.busy.pushes+pushFanout > maxPushes {
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
	n.busy.pushes++
	n.launch(callTimeout, func(ctx context.Context) {
		request := SyncRequest{Push: records}
		_, err := rpc.Call[SyncRequest, SyncReply](ctx, n.config.Client, addr, rpc.MethodSync, request)
		n.post(func() {
			n.busy.pushes--
			if err == nil {
				n.watch.RecordContact(model.Now())
			}
		})
	})
}

// startSync compares the own records with those of a balancer. One comparison
// runs at a time.
func (n *Node) startSync(addr netip.AddrPort) {
	if n.busy.sync {
		return
	}
	n.busy.sync = true
	request := SyncRequest{Service: n.scope.Service, Buckets: n.table.Buckets(n.scope)}
	n.launch(syncTimeout, func(ctx context.Context) {
		err := n.runSync(ctx, addr, request)
		n.post(func() { n.syncEnded(addr, err) })
	})
}

func (n *Node) syncEnded(addr netip.AddrPort, err error) {
	n.busy.sync = false
	if err != nil {
		n.log.WithError(err).WithField("peer", addr).Debug("event=sync_failed")
		return
	}
	if !n.joined.Swap(true) {
		n.log.WithFields(map[string]any{"peer": addr, "records": n.table.Len()}).Info("event=joined")
	}
}

func (n *Node) runSync(ctx context.Context, addr netip.AddrPort, request SyncRequest) error {
	reply, err := rpc.Call[SyncRequest, SyncReply](ctx, n.config.Client, addr, rpc.MethodSync, request)
	if err != nil {
		return Error.Wrap(err)
	}
	var exchange SyncRequest
	err = n.ask(ctx, func() {
		exchange.Push, exchange.Want = n.table.Compare(n.scope, reply.DifferingBuckets, reply.Versions)
		n.mergeClaims(reply.Versions)
	})
	if err != nil || len(exchange.Push)+len(exchange.Want) == 0 {
		return err
	}
	reply, err = rpc.Call[SyncRequest, SyncReply](ctx, n.config.Client, addr, rpc.MethodSync, exchange)
	if err != nil {
		return Error.Wrap(err)
	}
	return n.ask(ctx, func() { n.merge(reply.Records, model.Now()) })
}

// mergeClaims lets the own record rise above what a peer holds for it.
func (n *Node) mergeClaims(stamps []membership.RecordVersion) {
	for _, stamp := range stamps {
		if stamp.Node != n.self {
			continue
		}
		claim := n.table.Self()
		claim.Incarnation, claim.Version, claim.State = stamp.Incarnation, stamp.Version, stamp.State
		n.merge([]membership.Record{claim}, model.Now())
	}
}

// serveSync answers a comparison and takes pushed records.
func (n *Node) serveSync(ctx context.Context, _ rpc.Peer, request SyncRequest) (reply SyncReply, err error) {
	if !n.balancer() {
		return reply, Error.New("%s is no balancer", n.self)
	}
	failed := n.ask(ctx, func() { reply, err = n.answerSync(request) })
	if failed != nil {
		return SyncReply{}, failed
	}
	return reply, err
}

func (n *Node) answerSync(request SyncRequest) (SyncReply, error) {
	var reply SyncReply
	now := model.Now()
	scope := membership.Scope{Service: request.Service}
	n.watch.RecordContact(now)
	if n.deaf(now) {
		return reply, Error.New("%s was stopped for long and takes no records yet", n.self)
	}
	n.merge(request.Push, now)
	if len(request.Buckets) > 0 {
		differ, err := n.table.Differing(scope, request.Buckets)
		if err != nil {
			return SyncReply{}, Error.Wrap(err)
		}
		reply.DifferingBuckets = differ
		reply.Versions = n.table.RecordVersions(scope, differ)
		n.joined.Store(true)
	}
	reply.Records = n.table.Select(request.Want)
	return reply, nil
}

// askAboutSuspects asks silent nodes and their other watchers.
func (n *Node) askAboutSuspects(now model.Instant) {
	if !n.balancer() {
		return
	}
	for _, suspect := range n.watch.Tick(now) {
		n.askAbout(suspect)
	}
}

func (n *Node) askAbout(suspect membership.Suspect) {
	asked := n.assignment.Watchers(suspect.Node)
	asked = slices.DeleteFunc(asked, func(r membership.Record) bool { return r.Node == n.self })
	if record, known := n.table.Get(suspect.Node); known {
		asked = append(asked, record)
	}
	request := PingRequest{Revisions: n.proof.DocumentStatus().Revisions, Suspect: suspect.Node}
	n.launch(askTimeout, func(ctx context.Context) {
		vouched := n.anyVouches(ctx, asked, request)
		n.post(func() { n.judge(suspect, vouched) })
	})
}

func (n *Node) anyVouches(ctx context.Context, asked []membership.Record, request PingRequest) bool {
	answers := make(chan bool, len(asked))
	for _, peer := range asked {
		go func() {
			reply, err := rpc.Call[PingRequest, PingReply](ctx, n.config.Client, peer.Control, rpc.MethodPing, request)
			answers <- err == nil && reply.Alive
		}()
	}
	for range asked {
		if <-answers {
			return true
		}
	}
	return false
}

func (n *Node) judge(suspect membership.Suspect, vouched bool) {
	now := model.Now()
	if !n.watch.ConfirmDown(suspect, vouched, now) {
		return
	}
	record, marked := n.table.MarkDown(suspect.Node, suspect.Incarnation, now)
	if !marked {
		return
	}
	n.logRecord(record)
	n.changed(record)
	n.flush(now)
}
