package packetnode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/codec"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/routing"
	"github.com/balsamlink/balsamlink/internal/rpc"
)

const (
	// prefixNodes is where nodes register themselves.
	prefixNodes = "balsamlink/nodes/"
	// leaseTime is how long a registration outlives its node, or leaseRenewals
	// times the time between two renewals where that is more.
	leaseTime     = 8 * time.Second
	leaseRenewals = 4
	// renewInterval is the time between two renewals. A registration that lapsed
	// while the store was away must be back within 2 s of its return.
	renewInterval = 1500 * time.Millisecond
	// lookupInterval is the time between two looks at who is registered. It grows
	// with the number of nodes, as renewInterval does, so that the store's calls do
	// not: lookupSpacing keeps all nodes together at 50 looks a second, and
	// renewSpacing at 500 renewals.
	lookupInterval = 5 * time.Second
	lookupSpacing  = 20 * time.Millisecond
	renewSpacing   = 2 * time.Millisecond
	// retryInterval is the time after a failed store call, and maxRetryInterval
	// what it grows to. Calls are paid for also while the store is away.
	retryInterval    = 250 * time.Millisecond
	maxRetryInterval = time.Second
	// urgentInterval is the time after a failed call of a node that can't serve
	// before it succeeds: every tenth of a second without service is seen by
	// callers whose aims are 200 ms.
	urgentInterval = 100 * time.Millisecond
	// storeTimeout bounds a chain of store calls, and peerTimeout a call of a
	// peer.
	storeTimeout = 3 * time.Second
	peerTimeout  = 500 * time.Millisecond
)

// pause spaces the attempts of calls that fail.
type pause struct {
	next  model.Instant
	after time.Duration
}

func (p *pause) over(now model.Instant) bool { return now >= p.next }

func (p *pause) failed(now model.Instant, urgent bool) {
	if urgent {
		p.next = now.Add(urgentInterval)
		return
	}
	p.after = min(max(retryInterval, 2*p.after), maxRetryInterval)
	p.next = now.Add(p.after)
}

func (p *pause) succeeded(next model.Instant) { p.after, p.next = 0, next }

// refresh keeps the operators' state proven.
type refresh struct {
	busy  bool
	lost  bool
	pause pause
}

// tick asks the store when the proof has grown old.
func (r *refresh) tick(n *Node, now model.Instant) {
	interval := VerifyInterval(n.self.Role, n.roster.Rank(now), n.incarnation)
	if n.knowledge.state == nil || n.knowledge.Age(now) > interval || n.behind() {
		r.begin(n, now)
	}
}

// behind reports whether another node knows a newer state.
func (n *Node) behind() bool {
	return platform.Version(n.wanted.Load()) > n.knowledge.document.AsOf
}

func (r *refresh) begin(n *Node, now model.Instant) {
	if r.busy || !r.pause.over(now) {
		return
	}
	r.busy = true
	document, known := n.knowledge.document, n.knowledge.state != nil && !n.behind()
	peers := n.informed(now)
	go func() {
		result := n.fetch(document, known, peers)
		n.finish(func(now model.Instant) { r.done(n, now, result) })
	}()
}

// finish hands a result to the control goroutine, or drops it when that has
// ended.
func (n *Node) finish(call func(now model.Instant)) {
	select {
	case n.calls <- call:
	case <-n.ended:
	}
}

// fetched is the result of asking for the operators' state.
type fetched struct {
	asked     model.Instant
	unchanged bool
	document  routing.Document
	from      netip.Addr
	err       error
	peerErr   error
}

// fetch asks the store whether a document is the newest, and reads the newest one
// if not. When the store fails, it asks a peer.
func (n *Node) fetch(document routing.Document, known bool, peers []*RemoteNode) fetched {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	result := fetched{asked: model.Now()}
	if known {
		n.metrics.verified.Inc()
		result.unchanged, result.err = n.operators.Verify(ctx, document)
		if result.unchanged {
			return result
		}
	}
	if result.err == nil {
		result.asked = model.Now()
		n.metrics.read.Inc()
		result.document, result.err = n.operators.Read(ctx)
	}
	if result.err != nil {
		n.fetchFromPeer(peers, &result)
	}
	return result
}

// informed returns a live peer that knows a state, the one with the newest first.
func (n *Node) informed(now model.Instant) []*RemoteNode {
	var best *RemoteNode
	for _, node := range n.roster.nodes {
		if !node.Live(now) || node.Freshness.AsOf <= n.knowledge.document.AsOf {
			continue
		}
		if best == nil || node.Freshness.AsOf > best.Freshness.AsOf {
			best = node
		}
	}
	if best == nil {
		return nil
	}
	copied := *best
	return []*RemoteNode{&copied}
}

func (n *Node) fetchFromPeer(peers []*RemoteNode, result *fetched) {
	for _, peer := range peers {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		address := n.config.Settings.MeshAddress(peer.Peer.VM)
		reply, err := rpc.Call[stateRequest, stateReply](ctx, n.client, address, rpc.MethodState, stateRequest{})
		cancel()
		if err != nil {
			result.peerErr = err
			continue
		}
		result.document, result.asked, result.from = reply.Document, peer.VerifiedAt, peer.Peer.VM
		return
	}
}

// stateRequest asks a node for the operators' state.
type stateRequest struct{}

type stateReply struct {
	Document routing.Document
}

func (n *Node) serveState(context.Context, rpc.Peer, stateRequest) (stateReply, error) {
	document := n.sealed.Load()
	if document == nil {
		return stateReply{}, Error.New("no state is known")
	}
	return stateReply{Document: *document}, nil
}

func (r *refresh) done(n *Node, now model.Instant, result fetched) {
	r.busy = false
	r.noteStore(n, now, result)
	switch {
	case result.unchanged:
		n.knowledge.MarkVerified(result.asked)
		n.spreadProof(now)
	case len(result.document.Entries) > 0 || (result.err == nil && !result.from.IsValid()):
		r.adopt(n, now, result)
	}
	if !n.behind() {
		return
	}
	if result.err == nil {
		// The store has answered with what it holds; a claim of more was wrong or
		// is met by the next call.
		n.wanted.Store(uint64(n.knowledge.document.AsOf))
	}
}

func (r *refresh) noteStore(n *Node, now model.Instant, result fetched) {
	if result.err == nil {
		r.pause.succeeded(now)
		if r.lost {
			r.lost = false
			n.log.WithField("state_age_ms", n.knowledge.Age(now).Milliseconds()).Info("store_regained")
		}
		return
	}
	n.metrics.storeFailed.Inc()
	r.pause.failed(now, n.knowledge.state == nil)
	if !r.lost {
		r.lost = true
		n.log.WithError(result.err).WithField("state_age_ms", n.knowledge.Age(now).Milliseconds()).Warn("store_lost")
	}
}

func (r *refresh) adopt(n *Node, now model.Instant, result fetched) {
	state, malformed, err := n.operators.Decode(result.document)
	if err != nil {
		n.log.WithError(err).WithField("as_of", result.document.AsOf).Error("state_refused")
		r.pause.failed(now, false)
		return
	}
	if result.from.IsValid() {
		n.metrics.fromPeers.Inc()
	}
	n.metrics.routesMalformed.Set(int64(malformed))
	if !n.knowledge.Adopt(result.document, state, result.asked) {
		return
	}
	document := n.knowledge.document
	n.sealed.Store(&document)
	fields := logrus.Fields{"as_of": document.AsOf, "out": zonesOut(state), "malformed": malformed, "from": "store"}
	if result.from.IsValid() {
		fields["from"] = result.from
	}
	if state.Config != nil {
		n.metrics.version.Set(int64(state.Config.Version))
		fields["version"], fields["routes"] = state.Config.Version, len(state.Config.Routes)
	}
	n.log.WithFields(fields).Info("state_changed")
	n.publish(now)
	n.beatAll(now)
}

func zonesOut(state routing.State) string {
	zones := make([]model.Zone, 0, len(state.Out))
	for zone := range state.Out {
		zones = append(zones, zone)
	}
	return fmt.Sprint(zones)
}

// registration keeps the node's leased key in the store.
type registration struct {
	busy  bool
	lease platform.LeaseID
	pause pause
}

func (r *registration) tick(n *Node, now model.Instant) {
	if r.busy || !r.pause.over(now) {
		return
	}
	r.busy = true
	lease, ttl := r.lease, max(leaseTime, leaseRenewals*n.renewPause())
	go func() {
		held, err := n.register(lease, ttl)
		n.finish(func(now model.Instant) { r.done(n, now, held, err) })
	}()
}

func (r *registration) done(n *Node, now model.Instant, lease platform.LeaseID, err error) {
	r.busy = false
	if err != nil {
		n.metrics.storeFailed.Inc()
		n.log.WithError(err).Debug("registration_failed")
		r.pause.failed(now, r.lease == 0)
		return
	}
	if lease != r.lease {
		n.metrics.registered.Inc()
		n.log.WithField("lease", lease).Info("registered")
		// Whoever registered before this moment is found now; whoever comes later
		// finds this node.
		n.lookup.pause.succeeded(now)
		n.lookup.exact = true
	}
	r.lease = lease
	r.pause.succeeded(now.Add(n.renewPause()))
}

// renewPause returns the time between two renewals of the lease.
func (n *Node) renewPause() time.Duration {
	return max(renewInterval, time.Duration(len(n.roster.nodes))*renewSpacing)
}

// register renews the lease, or makes a new one with the node's key under it. The
// key is a new one for each incarnation and lease, so that it never exists.
func (n *Node) register(lease platform.LeaseID, ttl time.Duration) (platform.LeaseID, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	store := n.config.Underlay.Store()
	if lease != 0 {
		err := store.KeepAlive(ctx, lease)
		if !errors.Is(err, platform.ErrLeaseExpired) {
			return lease, err
		}
	}
	lease, err := store.Grant(ctx, ttl)
	if err != nil {
		return 0, err
	}
	value, err := codec.Marshal(n.self)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	key := fmt.Sprintf("%s%s/%x/%x", prefixNodes, n.self.VM, n.incarnation, lease)
	_, err = store.Put(ctx, platform.Write{Key: key, Value: value, Lease: lease})
	return lease, err
}

// end gives the lease up, so that no other node tries to meet this one.
func (r *registration) end(n *Node) {
	if r.lease == 0 || State(n.state.Load()) != StateGone {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	if err := n.config.Underlay.Store().Revoke(ctx, r.lease); err != nil {
		n.log.WithError(err).Info("lease_left_to_expire")
	}
}

// lookup finds the nodes that are registered.
type lookup struct {
	busy  bool
	exact bool
	// listed tells that an exact lookup has succeeded.
	listed bool
	pause  pause
	seeds  pause
}

func (l *lookup) tick(n *Node, now model.Instant) {
	if !l.listed && l.seeds.over(now) {
		l.seeds.failed(now, false)
		n.greetSeeds(now)
	}
	if l.busy || !l.pause.over(now) || n.lease.lease == 0 {
		return
	}
	l.busy = true
	exact := l.exact || !l.listed
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		change, err := n.config.Underlay.Store().Snapshot(ctx, prefixNodes, !exact)
		n.finish(func(now model.Instant) { l.finished(n, now, change, exact, err) })
	}()
}

// greetSeeds greets the nodes of the settings while the store is not reached.
func (n *Node) greetSeeds(now model.Instant) {
	for _, seed := range n.config.Settings.Seeds {
		if seed.Addr() != n.self.VM {
			n.beat(now, seed.Addr(), true)
		}
	}
}

func (l *lookup) finished(n *Node, now model.Instant, change platform.Change, exact bool, err error) {
	l.busy = false
	if err != nil {
		n.metrics.storeFailed.Inc()
		l.pause.failed(now, !l.listed)
		return
	}
	l.listed = l.listed || exact
	l.exact = false
	l.pause.succeeded(now.Add(max(lookupInterval, time.Duration(len(n.roster.nodes))*lookupSpacing)))
	found := false
	for _, entry := range change.Entries {
		var peer Peer
		if err := codec.Unmarshal(entry.Value, &peer); err != nil || peer.check() != nil {
			n.metrics.malformed.Inc()
			continue
		}
		found = n.roster.Add(now, peer) || found
	}
	if found {
		n.roster.Due(now, beatInterval, func(node *RemoteNode, hello bool) { n.beat(now, node.Peer.VM, hello) })
	}
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
