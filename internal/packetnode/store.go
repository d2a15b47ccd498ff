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

	"github.com/balsamlink/balsamlink/internal/codec"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/routing"
)

const (
	// registrationPrefix is the prefix of the keys under which nodes register.
	registrationPrefix = "balsamlink/nodes/"
	// leaseTime is the minimum lease of a registration: the time for which it
	// outlives its node. The lease is leaseRenewals renewal intervals where that
	// is longer.
	leaseTime     = 8 * time.Second
	leaseRenewals = 4
	// renewInterval is the minimum time between two renewals. A registration
	// that expired during a store outage must be restored within 2 s of the
	// store's return, or within one interval in larger deployments.
	renewInterval = 1500 * time.Millisecond
	// discoveryInterval is the minimum time between two reads of the
	// registrations. It and renewInterval grow with the number of nodes, so that
	// the load on the store does not: discoverySpacing limits all nodes together
	// to 10 reads per second, and renewSpacing to 50 renewals.
	discoveryInterval = 5 * time.Second
	discoverySpacing  = 100 * time.Millisecond
	renewSpacing      = 20 * time.Millisecond
	// firstListDelay is how long after its registration an agent first reads those of
	// others. Balancers read them at once: they must know all agents.
	firstListDelay = 300 * time.Millisecond
	// peersExchangeInterval is the time between two requests for peers to another node.
	peersExchangeInterval = 5 * time.Second
	// peersAsked is how many nodes, besides the seeds, are asked for peers in each round.
	peersAsked = 2
	// maxQuietRounds is how many rounds in a row must name no new node before the rounds
	// end.
	maxQuietRounds = 2
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
	// notBefore is when a newer state that other nodes have may be fetched.
	notBefore model.Instant
}

// tick starts a verification when the last one is too old, no state is known, or
// another node has a newer state.
func (r *refresh) tick(n *Node, now model.Instant) {
	if !n.behind() {
		r.notBefore = 0
	}
	interval := VerifyInterval(n.self.Role, n.table.Rank(now), n.incarnation)
	if n.stateCache.state == nil || n.stateCache.Age(now) > interval || n.behind() {
		r.begin(n, now)
	}
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
	go func() {
		result := n.fetch(document, verify, peers)
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
	// The state was current at some moment after requestedAt.
	requestedAt model.Instant
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
// given one is current. If that is not so, it reads the document from the store.
// Otherwise peers have a newer one: the store is read only if they do not return it, so
// that its calls do not grow with the number of nodes. If the store fails, peers are
// asked as well.
func (n *Node) fetch(document routing.Document, verify bool, peers []*RemoteNode) fetchResult {
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
		result.requestedAt = model.Now()
		n.metrics.read.Inc()
		result.document, result.err = n.stateReader.Read(ctx)
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
	if result.err == nil && !result.from.IsValid() {
		// The store has returned its current state. If another node does have a
		// newer one, its next message sets newestSeen again.
		n.newestSeen.Store(nil)
	}
}

// storeCallFailed records a failed call to the store. It is urgent while the node has no
// operators' state.
func (n *Node) storeCallFailed(now model.Instant) {
	n.metrics.storeFailed.Inc()
	n.outage.failed(now, n.stateCache.state == nil, len(n.table.nodes), rand.Float64())
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
	if !n.stateCache.Adopt(result.document, state, result.requestedAt) {
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
	n.heartbeatAll(now)
}

// zonesOut returns the zones that are out of service, for logs.
func zonesOut(state routing.State) string {
	zones := make([]model.Zone, 0, len(state.ZonesOut))
	for zone := range state.ZonesOut {
		zones = append(zones, zone)
	}
	return fmt.Sprint(zones)
}

// registration maintains the node's key in the store and the lease that the key
// is bound to.
type registration struct {
	running bool
	// lease is 0 until the node is registered.
	lease    platform.LeaseID
	schedule retrySchedule
}

func (r *registration) tick(n *Node, now model.Instant) {
	if r.running || !r.schedule.due(now) || !n.outage.allows(now) {
		return
	}
	r.running = true
	n.outage.begin()
	lease, ttl := r.lease, max(leaseTime, leaseRenewals*n.renewalInterval())
	go func() {
		newLease, err := n.register(lease, ttl)
		n.post(func(now model.Instant) { r.done(n, now, newLease, err) })
	}()
}

func (r *registration) done(n *Node, now model.Instant, lease platform.LeaseID, err error) {
	r.running = false
	if err != nil {
		n.log.WithError(err).Debug("registration_failed")
		n.storeCallFailed(now)
		return
	}
	n.outage.answered()
	if lease != r.lease {
		n.metrics.registered.Inc()
		n.log.WithField("lease", lease).Info("registered")
		// The next read of the registrations must be exact: it finds the nodes
		// that registered before this moment, and nodes that register later
		// find this one.
		n.discovery.registered(n, now)
	}
	r.lease = lease
	r.schedule.succeeded(now.Add(n.renewalInterval()))
}

// renewalInterval returns the time between two renewals of the lease.
func (n *Node) renewalInterval() time.Duration {
	return max(renewInterval, time.Duration(len(n.table.nodes))*renewSpacing)
}

// register renews the lease, or creates a new lease and the node's key bound to
// it. The key is unique to the incarnation and the lease, so the write never
// conflicts with an existing key.
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
	key := fmt.Sprintf("%s%s/%x/%x", registrationPrefix, n.self.VM, n.incarnation, lease)
	_, err = store.Put(ctx, platform.Write{Key: key, Value: value, Lease: lease})
	return lease, err
}

// revoke gives up the lease of a node that has shut down, so that other nodes
// do not try to contact it.
func (r *registration) revoke(n *Node) {
	if r.lease == 0 || State(n.state.Load()) != StateGone {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	if err := n.config.Underlay.Store().Revoke(ctx, r.lease); err != nil {
		n.log.WithError(err).Info("lease_left_to_expire")
	}
}

// discovery finds the other nodes: in the store, where they are registered, and by asking
// nodes for the nodes that they know.
type discovery struct {
	running bool
	// exact is set when the result of the next read must be current. The results
	// of other reads, which cost less, may be some seconds old.
	exact bool
	// registrationsRead is set once a read that was to be the first has succeeded.
	registrationsRead bool
	schedule          retrySchedule
	// rounds schedules the requests for peers. quietRounds is the number of rounds since
	// the registrations were read or a node was last named that was not known before.
	rounds      retrySchedule
	quietRounds int
	// malformed is the number of malformed registrations in the last read.
	malformed int
}

// registered schedules a read of the registrations after the node's own. It finds the nodes
// that registered before, and those that register later find this one.
func (d *discovery) registered(n *Node, now model.Instant) {
	if n.self.Role == model.RoleBalancer {
		d.exact = true
		d.schedule.succeeded(now)
		return
	}
	d.schedule.succeeded(now.Add(firstListDelay))
}

func (d *discovery) tick(n *Node, now model.Instant) {
	d.tickRounds(n, now)
	if d.running || !d.schedule.due(now) || n.registration.lease == 0 || !n.outage.allows(now) {
		return
	}
	d.running = true
	n.outage.begin()
	exact := d.mustBeExact(n, now)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		snapshot, err := n.config.Underlay.Store().Snapshot(ctx, registrationPrefix, !exact)
		n.post(func(now model.Instant) { d.done(n, now, snapshot, err) })
	}()
}

// mustBeExact reports whether the next read of the registrations must be current. An agent
// that has found balancers learns of the others from them.
func (d *discovery) mustBeExact(n *Node, now model.Instant) bool {
	if n.self.Role == model.RoleBalancer {
		return d.exact || !d.registrationsRead
	}
	return n.table.RecipientCount(now) == 0
}

// tickRounds asks the seeds and a few other nodes for peers, until the registrations are
// read and no more nodes are named. After that it asks one node in each
// peersExchangeInterval.
func (d *discovery) tickRounds(n *Node, now model.Instant) {
	if !d.rounds.due(now) {
		return
	}
	if d.registrationsRead && d.quietRounds >= maxQuietRounds {
		d.rounds.succeeded(now.Add(peersExchangeInterval))
		n.requestPeers(now, 1)
		return
	}
	// Each round counts as a failure, so that further rounds are less frequent.
	d.rounds.failed(now)
	if d.registrationsRead {
		d.quietRounds++
	} else {
		n.sendSeedHellos(now)
	}
	for _, seed := range n.config.Settings.Seeds {
		n.requestPeersFrom(seed.Addr())
	}
	n.requestPeers(now, peersAsked)
}

// requestPeers asks live nodes, chosen at random, for the nodes that they know.
func (n *Node) requestPeers(now model.Instant, count int) {
	for _, node := range n.table.SomeLive(now, count) {
		n.requestPeersFrom(node.Peer.VM)
	}
}

func (n *Node) requestPeersFrom(vm netip.Addr) {
	if vm != n.self.VM {
		n.Send(vm, encodePeersRequest(n.table.Digest()))
	}
}

// sendSeedHellos sends a hello to each seed.
func (n *Node) sendSeedHellos(now model.Instant) {
	for _, seed := range n.config.Settings.Seeds {
		if seed.Addr() != n.self.VM {
			n.sendHeartbeat(now, seed.Addr(), true)
		}
	}
}

// done adds the registered nodes to the table, and sends hellos to the new ones.
func (d *discovery) done(n *Node, now model.Instant, snapshot platform.PrefixState, err error) {
	d.running = false
	if err != nil {
		n.storeCallFailed(now)
		return
	}
	n.outage.answered()
	d.registrationsRead, d.exact = true, false
	d.schedule.succeeded(now.Add(max(discoveryInterval, time.Duration(len(n.table.nodes))*discoverySpacing)))
	peers := d.decode(n, snapshot.Entries)
	added := false
	for _, peer := range peers {
		added = n.table.Add(now, peer) || added
	}
	if added {
		n.sendHellos(now)
	}
}

// decode returns the registered nodes. Entries that are malformed, perhaps of another
// writer, are counted, and logged whenever their number has changed.
func (d *discovery) decode(n *Node, entries []platform.Entry) []Peer {
	peers := make([]Peer, 0, len(entries))
	malformed, example := 0, ""
	var cause error
	for _, entry := range entries {
		peer, err := decodeRegistration(entry.Value)
		if err != nil {
			malformed, example, cause = malformed+1, entry.Key, err
			continue
		}
		peers = append(peers, peer)
	}
	n.metrics.malformed.Add(int64(malformed))
	if malformed != d.malformed && malformed > 0 {
		n.log.WithError(cause).WithFields(logrus.Fields{"count": malformed, "key": example}).Warn("registrations_malformed")
	}
	d.malformed = malformed
	return peers
}

func decodeRegistration(value []byte) (Peer, error) {
	var peer Peer
	if err := codec.Unmarshal(value, &peer); err != nil {
		return Peer{}, Error.New("malformed registration: %v", err)
	}
	return peer, peer.check()
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
