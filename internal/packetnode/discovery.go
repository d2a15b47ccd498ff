package packetnode

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/codec"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
)

const (
	// discoveryInterval is the minimum time between two reads of the registrations.
	// It grows with the number of nodes, so that the load on the store does not:
	// discoverySpacing limits all nodes together to 10 reads per second.
	discoveryInterval = 5 * time.Second
	discoverySpacing  = 100 * time.Millisecond
	// aloneInterval is the time between two reads of a node that has found no other one.
	aloneInterval = time.Second
	// peersExchangeInterval is the time between two requests for peers to another node.
	peersExchangeInterval = 5 * time.Second
	// peersAsked is how many nodes, besides the seeds, are asked for peers in each round.
	peersAsked = 2
	// maxQuietRounds is how many rounds in a row must name no new node before the rounds
	// end.
	maxQuietRounds = 2
)

// discovery finds the other nodes: in the store, where they are registered, and by asking
// nodes for the nodes that they know.
type discovery struct {
	running bool
	// exact is set while a current read is requested. The results of other reads, which cost
	// less, may be some seconds old.
	exact bool
	// read is set once a read has succeeded, and registrationsRead once a current one has
	// that shows this node as well: it shows all nodes that registered before, and those
	// that register later find this one.
	read              bool
	registrationsRead bool
	schedule          retrySchedule
	// rounds schedules the requests for peers. quietRounds is the number of rounds since
	// the registrations were read or a node was last named that was not known before.
	rounds      retrySchedule
	quietRounds int
	// malformed is the number of malformed registrations in the last read.
	malformed int
}

// requestExact requests a current read of the registrations at once.
func (d *discovery) requestExact(now model.Instant) {
	d.exact = true
	d.schedule.succeeded(now)
}

func (d *discovery) tick(n *Node, now model.Instant) {
	d.tickRounds(n, now)
	if d.running || !d.schedule.due(now) || !n.outage.allows(now) {
		return
	}
	d.running = true
	n.outage.begin()
	exact := d.mustBeExact(n, now)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		snapshot, err := n.config.Underlay.Store().Snapshot(ctx, registrationPrefix, !exact)
		n.post(func(now model.Instant) { d.done(n, now, snapshot, exact, err) })
	}()
}

// mustBeExact reports whether the next read of the registrations must be current. Only
// balancers must know all agents; an agent that has found balancers learns of the others from
// them.
func (d *discovery) mustBeExact(n *Node, now model.Instant) bool {
	if n.self.Role == model.RoleBalancer {
		return d.exact || !d.registrationsRead
	}
	return d.exact || (d.read && n.table.RecipientCount(now) == 0)
}

// tickRounds asks the seeds and a few other nodes for peers, until the registrations are
// read and no more nodes are named. After that it asks one node in each
// peersExchangeInterval.
func (d *discovery) tickRounds(n *Node, now model.Instant) {
	if !d.rounds.due(now) {
		return
	}
	if d.read && d.quietRounds >= maxQuietRounds {
		d.rounds.succeeded(now.Add(peersExchangeInterval))
		n.requestPeers(now, 1)
		return
	}
	// Each round counts as a failure, so that further rounds are less frequent.
	d.rounds.failed(now)
	if d.read {
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
		n.Send(vm, encodePeersRequest(peersRequest{Digest: n.table.Digest()}))
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
func (d *discovery) done(n *Node, now model.Instant, snapshot platform.PrefixState, exact bool, err error) {
	d.running = false
	if err != nil {
		n.storeCallFailed(now)
		return
	}
	n.outage.answered()
	n.registration.observe(n, now, snapshot.Entries, exact)
	n.janitor.run(n, now, snapshot.Entries)
	d.registrationsRead = d.registrationsRead || (exact && n.registration.registered())
	d.read, d.exact = true, d.exact && !exact
	peers := d.decode(n, snapshot.Entries)
	added := false
	for _, peer := range peers {
		added = n.table.Add(now, peer) || added
	}
	if added {
		n.sendHellos(now)
	}
	d.schedule.succeeded(now.Add(d.interval(n, now)))
}

// interval returns the time until the next read of the registrations.
func (d *discovery) interval(n *Node, now model.Instant) time.Duration {
	switch {
	case d.exact:
		return 0 // a current read was requested while this one ran
	case n.table.RecipientCount(now) == 0:
		return aloneInterval
	}
	return max(discoveryInterval, time.Duration(len(n.table.nodes))*discoverySpacing)
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
