package packetnode

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/routing"
)

const (
	// retryInterval is the first delay after an attempt that was not successful, and
	// maxRetryInterval the longest.
	retryInterval    = 250 * time.Millisecond
	maxRetryInterval = time.Second
	// fetchSpacing times the number of known nodes is the time over which nodes spread
	// their requests for a newer state, so that those that have it first are not all
	// asked at once.
	fetchSpacing = 2 * time.Millisecond
	// storeTimeout limits a sequence of store calls, and peerTimeout a call to
	// a peer or the revocation of the lease at shutdown.
	storeTimeout = 3 * time.Second
	peerTimeout  = 500 * time.Millisecond
)

// retrySchedule schedules repeated calls, with exponential backoff after
// failures.
type retrySchedule struct {
	// next is when the next call may be made.
	next model.Instant
	// delay is the last delay after a failure, 0 after a success.
	delay time.Duration
}

func (s *retrySchedule) due(now model.Instant) bool { return now >= s.next }

// failed schedules the next call after a failure.
func (s *retrySchedule) failed(now model.Instant) {
	s.delay = min(max(retryInterval, 2*s.delay), maxRetryInterval)
	s.next = now.Add(s.delay)
}

func (s *retrySchedule) succeeded(next model.Instant) { s.delay, s.next = 0, next }

// refresh keeps the operators' state verified and up to date.
type refresh struct {
	// running is set while a verification or read is running; storeDown is set
	// if the last one failed at the store.
	running   bool
	storeDown bool
	schedule  retrySchedule
	// adoptedAt is when a state that may be some seconds old was adopted. Until another node
	// has verified it, it counts as verified then for the schedule, and for nothing else.
	adoptedAt model.Instant
	// notBefore is when a newer state that other nodes have may be fetched.
	notBefore model.Instant
}

// tick starts a verification or a read if one is due.
func (r *refresh) tick(n *Node, now model.Instant) {
	if !n.behind() {
		r.notBefore = 0
	}
	if r.due(n, now) {
		r.begin(n, now)
	}
}

// due reports whether no state is known, the last verification is too old, or another node
// has a newer state.
func (r *refresh) due(n *Node, now model.Instant) bool {
	verifiedAt := max(n.stateCache.verifiedAt, r.adoptedAt)
	interval := VerifyInterval(n.self.Role, n.table.Rank(now), n.incarnation)
	return n.stateCache.state == nil || now.Sub(verifiedAt) > interval || n.behind()
}

// behind reports whether another node has a newer state with other contents.
func (n *Node) behind() bool {
	newest := n.newestSeen.Load()
	if newest == nil || newest.AsOf <= n.stateCache.document.AsOf {
		return false
	}
	return n.stateCache.state == nil || newest.Digest != n.stateCache.StateVersion().Digest
}

// begin starts a verification or read, unless one is running or a retry is not due
// yet.
func (r *refresh) begin(n *Node, now model.Instant) {
	if r.running || !r.schedule.due(now) {
		return
	}
	peers := n.newestPeers(now)
	if len(peers) == 0 && !n.outage.allows(now) {
		return
	}
	verify := n.stateCache.state != nil && !n.behind()
	if n.stateCache.state != nil && !verify && !r.spreadElapsed(n, now) {
		return
	}
	r.running, r.notBefore = true, 0
	if verify || len(peers) == 0 {
		n.outage.begin()
	}
	document := n.stateCache.document
	// An agent's first state may be some seconds old: balancers, which decide where flows go,
	// tell the agent whether it is current within a second.
	relaxed := n.stateCache.state == nil && n.self.Role == model.RoleAgent
	go func() {
		result := n.fetch(document, verify, relaxed, peers)
		n.post(func(now model.Instant) { r.done(n, now, result) })
	}()
}

// spreadElapsed reports whether this node's share of the time has passed over which nodes
// spread their requests for a newer state. The time begins with the first call.
func (r *refresh) spreadElapsed(n *Node, now model.Instant) bool {
	if r.notBefore == 0 {
		spread := time.Duration(len(n.table.nodes)) * fetchSpacing
		r.notBefore = now.Add(time.Duration(rand.Float64() * float64(spread)))
	}
	return now >= r.notBefore
}

// post runs a function on the control goroutine, and drops it when that
// goroutine has ended. Unlike Do, it waits for space in the queue.
func (n *Node) post(call func(now model.Instant)) {
	select {
	case n.calls <- call:
	case <-n.ended:
	}
}

// fetchResult is the result of a verification or read of the operators' state.
type fetchResult struct {
	// The state was current at some moment after requestedAt, unless relaxed is set: then
	// it may be some seconds older.
	requestedAt model.Instant
	relaxed     bool
	// unchanged is set when the known document is still current. Otherwise
	// document is the one that was read.
	unchanged bool
	document  routing.Document
	// from is the peer that the document comes from, or the zero address if it
	// comes from the store.
	from netip.Addr
	// storeAsked is set when the store was called; err is its error, and peerErr that
	// of the last peer.
	storeAsked bool
	err        error
	peerErr    error
}

// fetch gets the current document. If verify is set, it first asks the store whether the
// given one is current. If that is not so, it reads the document from the store, with
// relaxed one that may be some seconds old.
// Otherwise peers have a newer one: the store is read only if they do not return it, so
// that its calls do not grow with the number of nodes. If the store fails, peers are
// asked as well.
func (n *Node) fetch(document routing.Document, verify, relaxed bool, peers []*RemoteNode) fetchResult {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	result := fetchResult{requestedAt: model.Now()}
	if !verify && n.fetchFromPeer(peers, &result) {
		return result
	}
	result.storeAsked = true
	if verify {
		n.metrics.verified.Inc()
		result.unchanged, result.err = n.stateReader.Verify(ctx, document)
		if result.unchanged {
			return result
		}
	}
	if result.err == nil {
		result.requestedAt, result.relaxed = model.Now(), relaxed
		n.metrics.read.Inc()
		result.document, result.err = n.stateReader.Read(ctx, relaxed)
	}
	if result.err != nil && verify {
		n.fetchFromPeer(peers, &result)
	}
	return result
}

// done applies a result on the control goroutine. A document without entries is
// adopted only if it comes from the store: when neither the store nor a peer has
// returned a document, that of the result is empty.
func (r *refresh) done(n *Node, now model.Instant, result fetchResult) {
	r.running = false
	if result.peerErr != nil {
		n.metrics.peerFailed.Inc()
		n.log.WithError(result.peerErr).Debug("state_peer_failed")
	}
	r.recordStoreResult(n, now, result)
	switch {
	case result.unchanged:
		n.stateCache.MarkVerified(result.requestedAt)
		n.spreadFreshness(now)
	case len(result.document.Entries) > 0 || (result.err == nil && !result.from.IsValid()):
		r.adopt(n, now, result)
	}
	if !n.behind() {
		return
	}
	if result.err == nil && !result.relaxed && !result.from.IsValid() {
		// The store has returned its current state. If another node does have a
		// newer one, its next message sets newestSeen again.
		n.newestSeen.Store(nil)
	}
}

// storeCallFailed records a failed call to the store. It is urgent while the node has no
// operators' state.
func (n *Node) storeCallFailed(now model.Instant) {
	n.metrics.storeFailed.Inc()
	n.outage.failed(now, n.stateCache.state == nil, longestOutageRetry(n.self.Role, len(n.table.nodes)), rand.Float64())
}

// recordStoreResult schedules the next call, and logs when the store is lost or
// regained.
func (r *refresh) recordStoreResult(n *Node, now model.Instant, result fetchResult) {
	if !result.storeAsked {
		return
	}
	if result.err == nil {
		r.schedule.succeeded(now)
		n.outage.answered()
		if r.storeDown {
			r.storeDown = false
			n.log.WithField("state_age_ms", n.stateCache.Age(now).Milliseconds()).Info("store_regained")
		}
		return
	}
	n.storeCallFailed(now)
	if !r.storeDown {
		r.storeDown = true
		n.log.WithError(result.err).WithField("state_age_ms", n.stateCache.Age(now).Milliseconds()).Warn("store_lost")
	}
}

// adopt decodes a document that was read, and publishes its state if it is new.
func (r *refresh) adopt(n *Node, now model.Instant, result fetchResult) {
	state, malformed, err := n.stateReader.Decode(result.document)
	if err != nil {
		n.log.WithError(err).WithField("as_of", result.document.AsOf).Error("state_refused")
		r.schedule.failed(now)
		return
	}
	if result.from.IsValid() {
		n.metrics.fromPeers.Inc()
	}
	n.metrics.routesMalformed.Set(int64(malformed))
	verifiedAt := result.requestedAt
	if result.relaxed {
		verifiedAt, r.adoptedAt = 0, now
	}
	if !n.stateCache.Adopt(result.document, state, verifiedAt) {
		return
	}
	document := n.stateCache.document
	n.served.Store(&servedDocument{document: document})
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
	if n.self.Role == model.RoleBalancer || !result.from.IsValid() {
		// Agents that have it from another node need not tell: the balancers do.
		n.heartbeatAll(now)
	}
}

// zonesOut returns the zones that are out of service, for logs.
func zonesOut(state routing.State) string {
	zones := make([]model.Zone, 0, len(state.ZonesOut))
	for zone := range state.ZonesOut {
		zones = append(zones, zone)
	}
	return fmt.Sprint(zones)
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
