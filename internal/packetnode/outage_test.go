package packetnode

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/routing"
)

// However the store fails, a node makes one call at a time, calls it again within the
// longest delay, and makes at most one additional call when others hear from the store.
func TestCallsDuringAnOutageAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(0, 560).Draw(t, "nodes")
		role := rapid.SampledFrom([]model.Role{model.RoleBalancer, model.RoleAgent}).Draw(t, "role")
		delay := longestOutageRetry(role, nodes)
		longest := delay + time.Duration(outageJitter*float64(delay))
		var o outage
		now, calls, lastCall := start, 0, start
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "others hear from the store") {
				o.hear(now, now.Add(-10*time.Millisecond), rapid.Float64Range(0, 1).Draw(t, "random"))
			}
			if !o.allows(now) {
				require.LessOrEqual(t, now.Sub(lastCall), longest, "the store is called again")
				continue
			}
			o.begin()
			require.False(t, o.failures > 0 && o.allows(now), "one call at a time")
			o.failed(now, false, delay, rapid.Float64Range(0, 1).Draw(t, "random"))
			calls, lastCall = calls+1, now
		}
		// Delays double from firstOutageRetry, so that a few calls precede the steady ones;
		// one more follows what others have heard.
		steady := float64(now.Sub(start)) / float64(longest) * (1 + outageJitter) / (1 - outageJitter)
		require.LessOrEqual(t, calls, int(steady)+10)
	})
}

// While the store is away, all nodes together must not call it much more often in a large
// deployment than in a small one: calls cost money.
func TestCallsOfAllNodesDuringAnOutageAreBounded(t *testing.T) {
	callsPerSecond := func(role model.Role, nodes, others int) float64 {
		const outageTime = 30 * time.Second
		var o outage
		calls := 0
		for now := start; now < start.Add(outageTime); now = o.next {
			o.failed(now, false, longestOutageRetry(role, others), 0.5)
			calls++
		}
		return float64(nodes*calls) / outageTime.Seconds()
	}
	for _, size := range []struct{ balancers, agents int }{{5, 11}, {20, 51}, {59, 136}, {160, 400}} {
		total := callsPerSecond(model.RoleBalancer, size.balancers, size.balancers+size.agents) + callsPerSecond(model.RoleAgent, size.agents, size.balancers+size.agents)
		t.Logf("%d nodes: %.0f calls a second", size.balancers+size.agents, total)
		require.LessOrEqual(t, total, 75.0) // the users' smallest store takes 400 writes a second
	}
}

// A node that others tell of the store's return calls it within returnSpread, though its
// own delay is longer. A node that the store turns away goes on with its own delays.
func TestNodesHearOfTheStoresReturn(t *testing.T) {
	var o outage
	now := start
	for range 8 {
		now = now.Add(maxOutageRetry)
		o.failed(now, false, longestOutageRetry(model.RoleAgent, 560), 0.5)
	}
	o.hear(now.Add(time.Millisecond), now.Add(-time.Second), 1)
	require.Greater(t, o.next, now.Add(returnSpread), "the store answered before it failed this node")
	answered := now.Add(50 * time.Millisecond)
	o.hear(answered, answered, 1)
	require.LessOrEqual(t, o.next, answered.Add(returnSpread))
	now = o.next
	o.failed(now, false, longestOutageRetry(model.RoleAgent, 560), 0.5)
	o.hear(now.Add(time.Millisecond), now.Add(time.Millisecond), 1)
	require.Greater(t, o.next, now.Add(time.Second), "this node is turned away")
	o.answered()
	require.True(t, o.allows(now))
}

// The operators' state passes between nodes whether or not the one that requests it knows
// compressed replies.
func TestDocumentsPassBetweenNodes(t *testing.T) {
	document := documentOfSize(300)
	for _, compressed := range []bool{false, true} {
		served := &servedDocument{document: document}
		reply, err := served.reply(stateRequest{Compressed: compressed})
		require.NoError(t, err)
		got, err := documentOf(reply)
		require.NoError(t, err)
		require.Equal(t, document, got)
	}
	served := &servedDocument{document: document}
	reply, err := served.reply(stateRequest{Compressed: true})
	require.NoError(t, err)
	for _, size := range []int{1, len(reply.Compressed) / 2, len(reply.Compressed) - 1} {
		_, err = documentOf(stateReply{Compressed: reply.Compressed[:size]})
		require.Error(t, err, "a reply that broke off")
	}
}

// A newer state that other nodes have is requested from one of them, spread over time.
func TestNewestPeersAreThoseOfTheOwnZoneFirst(t *testing.T) {
	n := &Node{self: peer(1, model.RoleBalancer), stateCache: &StateCache{}, table: NewNodeTable(peer(1, model.RoleBalancer))}
	add := func(i int, zone model.Zone, asOf uint64) {
		beat := heartbeat(i, model.RoleAgent, 1, 1)
		beat.Peer.Zone, beat.Freshness = zone, Freshness{AsOf: versionOf(asOf)}
		n.table.Receive(start, beat)
	}
	add(2, "b", 9)
	add(3, "a", 9)
	add(4, "a", 8)
	n.newestSeen.Store(&StateVersion{AsOf: 9})
	peers := n.newestPeers(start)
	require.Len(t, peers, 2)
	require.Equal(t, vm(3), peers[0].Peer.VM)
	require.Equal(t, vm(2), peers[1].Peer.VM)
	require.Empty(t, n.newestPeers(start.Add(time.Minute)), "no peer is live")
}

func versionOf(n uint64) platform.Version { return platform.Version(n) }

// documentOfSize returns a document with a number of entries.
func documentOfSize(entries int) routing.Document {
	document := routing.Document{AsOf: 7}
	for n := range entries {
		document.Entries = append(document.Entries, platform.Entry{Key: fmt.Sprintf("key/%d", n), Value: []byte(`{"name":"a route"}`), Version: versionOf(uint64(n + 1))})
	}
	return document
}
