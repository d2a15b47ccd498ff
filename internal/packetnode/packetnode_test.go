package packetnode

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/routing"
	"github.com/balsamlink/balsamlink/internal/targetgate"
)

const start = model.Instant(time.Hour)

func vm(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}) }

func peer(n int, role model.Role) Peer { return Peer{VM: vm(n), Role: role, Zone: "a"} }

func heartbeat(n int, role model.Role, incarnation, sequence uint64) *Heartbeat {
	return &Heartbeat{
		Peer: peer(n, role), Incarnation: incarnation, Sequence: sequence, State: StateOpen, IntervalMillis: 200,
	}
}

func TestNodeTableKeepsNewestHeartbeatOfEachNode(t *testing.T) {
	table := NewNodeTable(peer(1, model.RoleBalancer))
	require.True(t, table.Add(start, peer(2, model.RoleAgent)))
	require.False(t, table.Add(start, peer(2, model.RoleAgent)))
	require.False(t, table.Add(start, peer(1, model.RoleBalancer)), "itself")
	event := table.Receive(start, heartbeat(2, model.RoleAgent, 7, 5))
	require.True(t, event.Joined)
	require.Nil(t, table.Receive(start, heartbeat(2, model.RoleAgent, 7, 5)).Node, "repeated")
	require.Nil(t, table.Receive(start, heartbeat(2, model.RoleAgent, 7, 4)).Node, "out of order")
	event = table.Receive(start, heartbeat(2, model.RoleAgent, 3, 1))
	require.True(t, event.Joined, "a new incarnation's number need not be larger")
	require.Nil(t, table.Receive(start, heartbeat(2, model.RoleAgent, 7, 6)).Node, "a former incarnation is ignored")
	draining := heartbeat(2, model.RoleAgent, 3, 2)
	draining.State = StateClosed
	require.True(t, table.Receive(start, draining).Changed)
	require.Nil(t, table.Receive(start, heartbeat(1, model.RoleBalancer, 1, 1)).Node, "itself")
}

// A node that has shut down must be evicted after evictGoneAfter, any other silent
// node after evictAfter, and the table must not grow beyond maxNodes.
func TestNodeTableEvictsAndIsBounded(t *testing.T) {
	table := NewNodeTable(peer(1, model.RoleBalancer))
	table.Receive(start, heartbeat(2, model.RoleAgent, 1, 1))
	gone := heartbeat(3, model.RoleAgent, 1, 1)
	gone.State = StateGone
	table.Receive(start, gone)
	require.Len(t, table.Peers(), 1, "a node that has shut down is not passed on")
	require.Len(t, table.Evict(start.Add(11*time.Second)), 1)
	require.Len(t, table.Evict(start.Add(61*time.Second)), 1)
	for n := range 2 * maxNodes {
		table.Add(start, Peer{VM: netip.AddrFrom4([4]byte{11, byte(n >> 16), byte(n >> 8), byte(n)}), Role: model.RoleAgent})
	}
	require.Len(t, table.Nodes(), maxNodes)
}

// The users' aim is 5,260 nodes. Their heartbeats are rare, but must be accepted, and must not
// be so rare that nodes are evicted between two of them.
func TestHeartbeatsOfTheLargestDeploymentAreAccepted(t *testing.T) {
	const nodes = 5_260
	beat := heartbeat(2, model.RoleBalancer, 1, 1)
	beat.IntervalMillis = uint32((nodes*heartbeatSpacing + tickInterval).Milliseconds())
	datagram, err := encode(KindHeartbeat, beat)
	require.NoError(t, err)
	parsed, err := parseHeartbeat(datagram)
	require.NoError(t, err)
	table := NewNodeTable(peer(1, model.RoleAgent))
	table.Receive(start, parsed)
	require.Empty(t, table.Evict(start.Add(parsed.interval())))
	require.Len(t, table.Evict(start.Add(3*parsed.interval())), 1)
}

// Nodes that do not answer must not be sent hellos at the fast rate for ever: in 13 s
// there are 12 hellos at helloInterval until slowHelloAfter, then 10 at
// slowHelloInterval.
func TestHelloIntervalGrowsForSilentNodes(t *testing.T) {
	table := NewNodeTable(peer(1, model.RoleAgent))
	table.Add(start, peer(2, model.RoleBalancer))
	table.Add(start, peer(3, model.RoleAgent))
	hellos := 0
	for now := start; now < start.Add(13*time.Second); now = now.Add(50 * time.Millisecond) {
		table.EachHelloDue(now, func(node *RemoteNode) {
			require.Equal(t, vm(2), node.Peer.VM, "agents exchange no heartbeats")
			hellos++
		})
	}
	require.InDelta(t, 12+10, hellos, 2)
}

// Nodes that start at the same moment must not go on sending their heartbeats at the same
// moments, and each recipient must get its own on time, also after a burst to all of them.
func TestHeartbeatsAreSpreadOverTheirInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		recipients := rapid.IntRange(1, 300).Draw(t, "recipients")
		interval := max(minHeartbeatInterval, time.Duration(recipients)*heartbeatSpacing)
		table := NewNodeTable(peer(1, model.RoleAgent))
		var pacer heartbeatPacer
		perTick := float64(recipients) * float64(tickInterval) / float64(interval)
		last, end := map[netip.Addr]model.Instant{}, start.Add(4*interval+time.Second)
		burst := start.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "burst at")) * time.Millisecond)
		for now := start; now < end; now = now.Add(tickInterval) {
			for n := range recipients {
				table.Receive(now, heartbeat(2+n, model.RoleBalancer, 1, uint64(now)))
			}
			if now.Sub(burst) >= 0 && now.Sub(burst) < tickInterval {
				table.EachLive(now, func(node *RemoteNode) { last[node.Peer.VM] = now })
			}
			sent := 0
			table.EachLongestUnsent(now, pacer.take(now, recipients, interval), func(node *RemoteNode) {
				sent++
				last[node.Peer.VM] = now
			})
			require.LessOrEqual(t, sent, int(maxPacedTicks*perTick)+1)
			for vm, at := range last {
				require.LessOrEqual(t, now.Sub(at), interval+2*tickInterval, "%s", vm)
			}
		}
		require.Len(t, last, recipients)
	})
}

// One balancer verifies the state for all; the next one takes over when that
// one is gone.
func TestOneBalancerVerifiesForAll(t *testing.T) {
	table := NewNodeTable(peer(5, model.RoleBalancer))
	require.Zero(t, table.Rank(start))
	table.Receive(start, heartbeat(3, model.RoleBalancer, 1, 1))
	table.Receive(start, heartbeat(9, model.RoleBalancer, 1, 1))
	table.Receive(start, heartbeat(2, model.RoleAgent, 1, 1))
	require.Equal(t, 1, table.Rank(start))
	require.Zero(t, table.Rank(start.Add(2*time.Second)))
	require.Less(t, VerifyInterval(model.RoleBalancer, 0, 1), VerifyInterval(model.RoleBalancer, 1, 1))
	require.Less(t, VerifyInterval(model.RoleBalancer, 100, 1), VerifyInterval(model.RoleAgent, 0, 1))
	require.Less(t, VerifyInterval(model.RoleAgent, 0, 399), 3*time.Second, "a change must be in force within 3 s")
}

// Nodes learn of the operators' documents from the store or from each other, in
// any order, late or not at all. A node must never return to an older state,
// nor record a verification time after the write of a newer one.
func TestStateNeverGoesBackAndVerificationTimeIsNeverTooLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type version struct {
			document  routing.Document
			state     routing.State
			writtenAt model.Instant
		}
		now := start
		history := []version{}
		write := func() {
			n := len(history) + 1
			history = append(history, version{
				document:  routing.Document{AsOf: platform.Version(2 * n), Entries: []platform.Entry{{Key: "c", Version: platform.Version(2 * n)}}},
				state:     routing.State{Config: &routing.Config{Version: uint64(n)}},
				writtenAt: now,
			})
		}
		write()
		nodes := make([]StateCache, 3)
		type delivery struct {
			to        int
			freshness Freshness
			sent      model.Instant
		}
		var deliveries []delivery
		step := func() { now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond) }
		pick := func() int { return rapid.IntRange(0, len(nodes)-1).Draw(t, "node") }
		adopt := func(n int, v version, requestedAt model.Instant) {
			before, _ := nodes[n].State()
			nodes[n].Adopt(v.document, v.state, requestedAt)
			after, _ := nodes[n].State()
			if before != nil {
				require.GreaterOrEqual(t, after.Config.Version, before.Config.Version)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(*rapid.T) { step(); write() },
			"read":  func(*rapid.T) { step(); adopt(pick(), history[len(history)-1], now) },
			"late read": func(t *rapid.T) {
				requestedAt := now
				read := history[len(history)-1]
				step()
				write()
				step()
				adopt(pick(), read, requestedAt)
			},
			"verify": func(*rapid.T) {
				n := pick()
				if state, _ := nodes[n].State(); state != nil && state.Config.Version == uint64(len(history)) {
					requestedAt := now
					step()
					nodes[n].MarkVerified(requestedAt)
				}
			},
			"send": func(*rapid.T) {
				from, to := pick(), pick()
				deliveries = append(deliveries, delivery{to: to, freshness: nodes[from].Freshness(now), sent: now})
			},
			"deliver": func(t *rapid.T) {
				if len(deliveries) == 0 {
					return
				}
				i := rapid.IntRange(0, len(deliveries)-1).Draw(t, "delivery")
				d := deliveries[i]
				// A node converts the age into a time when the message arrives
				// and has no measure of the transit time, so the model delivers
				// a message at once or not at all.
				if d.sent == now {
					nodes[d.to].Observe(d.freshness, now.Add(-time.Duration(d.freshness.AgeMillis)*time.Millisecond))
				}
				deliveries = append(deliveries[:i], deliveries[i+1:]...)
			},
			"": func(t *rapid.T) {
				for n := range nodes {
					state, verifiedAt := nodes[n].State()
					if state == nil {
						continue
					}
					if next := int(state.Config.Version); next < len(history) {
						require.LessOrEqual(t, verifiedAt, history[next].writtenAt.Add(time.Millisecond), "verified after a newer version was written")
					}
				}
			},
		})
	})
}

func TestStateCacheDetectsNewerState(t *testing.T) {
	var cache StateCache
	require.False(t, cache.Observe(Freshness{}, start))
	require.True(t, cache.Observe(Freshness{AsOf: 5, Digest: 1}, start))
	cache.Adopt(routing.Document{AsOf: 5}, routing.State{Config: &routing.Config{Version: 3}}, start)
	digest := cache.Freshness(start).Digest
	require.False(t, cache.Observe(Freshness{AsOf: 9, Digest: digest}, start.Add(time.Second)), "the same state, verified later")
	require.Equal(t, time.Duration(0), cache.Age(start.Add(time.Second)))
	require.EqualValues(t, 9, cache.Document().AsOf)
	require.False(t, cache.Observe(Freshness{AsOf: 8, Digest: digest + 1}, start.Add(2*time.Second)), "an older state")
	require.True(t, cache.Observe(Freshness{AsOf: 10, Digest: digest + 1}, start))
	require.False(t, cache.Adopt(routing.Document{AsOf: 11, Entries: []platform.Entry{{Key: "x"}}}, routing.State{}, start), "a state without a configuration")
}

// A node without the operators' state can't serve, so it must retry the store
// much sooner than one that only renews its verification.
func TestNodeWithoutStateRetriesSoon(t *testing.T) {
	meanDelay := func(urgent bool) time.Duration {
		var o outage
		now := start
		for range 10 {
			require.True(t, o.allows(now))
			o.failed(now, urgent, longestOutageRetry(model.RoleBalancer, 15), 0.5)
			now = o.next
		}
		return now.Sub(start) / 10
	}
	require.LessOrEqual(t, meanDelay(true), 150*time.Millisecond)
	require.GreaterOrEqual(t, meanDelay(false), 700*time.Millisecond, "calls cost money")
}

// The store's version rises with every write of any node. Packets that carry a
// later version of the same state must not make a node read that state again.
func TestOnlyNewerContentsAreRequested(t *testing.T) {
	n := &Node{stateCache: &StateCache{}}
	n.ObserveStateVersion(StateVersion{AsOf: 3, Digest: 1})
	require.True(t, n.behind(), "no state is known")
	n.stateCache.Adopt(routing.Document{AsOf: 5}, routing.State{}, start)
	version := n.stateCache.StateVersion()
	n.ownVersion.Store(&version)
	n.ObserveStateVersion(StateVersion{AsOf: 9, Digest: version.Digest})
	require.False(t, n.behind())
	n.ObserveStateVersion(StateVersion{AsOf: 4, Digest: version.Digest + 1})
	require.False(t, n.behind(), "an older state")
	n.ObserveStateVersion(StateVersion{AsOf: 9, Digest: version.Digest + 1})
	require.True(t, n.behind())
}

func TestDatagramsBetweenNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		packet := rapid.SliceOfN(rapid.Byte(), 0, 1300).Draw(t, "packet")
		forwarded := ForwardedPacket{Search: rapid.Bool().Draw(t, "search"), Packet: packet,
			StateVersion: StateVersion{AsOf: platform.Version(rapid.Uint64().Draw(t, "as of")), Digest: rapid.Uint32().Draw(t, "digest")}}
		parsed, err := ParseForwardedPacket(AppendForwardedPacket(nil, forwarded))
		require.NoError(t, err)
		require.Equal(t, forwarded.Search, parsed.Search)
		require.Equal(t, forwarded.StateVersion, parsed.StateVersion)
		require.Equal(t, string(packet), string(parsed.Packet))
		reason := targetgate.Reason(rapid.IntRange(0, targetgate.ReasonCount-1).Draw(t, "reason"))
		returned, err := ParseReturnedPacket(AppendReturnedPacket(nil, ReturnedPacket{Reason: reason, StateVersion: forwarded.StateVersion, Packet: packet}))
		require.NoError(t, err)
		require.Equal(t, reason, returned.Reason)
		var keys []flow.Key
		for range rapid.IntRange(0, MaxKeys).Draw(t, "keys") {
			keys = append(keys, flow.Key{Client: flow.Endpoint{Port: rapid.Uint16().Draw(t, "port")}})
		}
		list, err := ParseKeys(AppendKeys(nil, KindFlowHeld, keys))
		require.NoError(t, err)
		require.Equal(t, len(keys), len(list))
	})
}

func FuzzDatagrams(f *testing.F) {
	valid, err := encode(KindHeartbeat, heartbeat(2, model.RoleAgent, 1, 1))
	require.NoError(f, err)
	f.Add(valid)
	f.Add(AppendForwardedPacket(nil, ForwardedPacket{Packet: []byte("x")}))
	f.Add(AppendKeys(nil, KindFlowHeld, []flow.Key{{}}))
	f.Add([]byte{byte(KindPeers), 0x91, 0x94})
	f.Add(encodePeersRequest(peersRequest{Digest: 7}))
	f.Add(encodeSuspicion(suspicion{VM: vm(3), Incarnation: 9}))
	f.Add(appendSavedPart(nil, savedPart{Incarnation: 1, Series: 2, Value: []byte("x")}))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		if len(datagram) == 0 {
			return
		}
		// Any input is decoded or rejected; nothing panics.
		_, _ = ParseForwardedPacket(datagram)
		_, _ = ParseReturnedPacket(datagram)
		_, _ = ParseKeys(datagram)
		_, _ = parseControl(vm(2), datagram)
	})
}

func TestMalformedHeartbeatsAreRefused(t *testing.T) {
	invalidate := []func(h *Heartbeat){
		func(h *Heartbeat) { h.Incarnation = 0 }, func(h *Heartbeat) { h.State = stateCount }, func(h *Heartbeat) { h.Peer.Role = 9 },
		func(h *Heartbeat) { h.Peer.VM = netip.IPv6Loopback() }, func(h *Heartbeat) { h.Peer.VM = netip.IPv4Unspecified() },
		// A node that is silent counts as live for some of its intervals.
		func(h *Heartbeat) { h.IntervalMillis = 151_000 }, func(h *Heartbeat) { h.IntervalMillis = 1<<32 - 1 },
	}
	for _, change := range invalidate {
		h := heartbeat(2, model.RoleAgent, 1, 1)
		change(h)
		datagram, err := encode(KindHeartbeat, h)
		require.NoError(t, err)
		_, err = parseHeartbeat(datagram)
		require.Error(t, err)
	}
}

func TestSettingsAreChecked(t *testing.T) {
	good := map[string]any{
		"name": "lb-1", "vm": "10.0.0.1", "zone": "a", "zones": []string{"a", "b"}, "packets": "10.0.0.1:1", "readiness": "10.0.0.1:2",
		"metrics": "10.0.0.1:3", "ports": []int{7720, 7735}, "seeds": []string{"10.0.0.2:4"}, "underlay": map[string]any{"plugin": "none"},
		"memory_mb": 100, "grace_seconds": 6, "flow_lifetime_seconds": 60,
		"target": map[string]any{
			"service": "desk", "address": "10.0.0.1:5", "outbound": "10.0.0.1:6", "registration": "10.0.0.1:7", "heartbeat_ms": 1200,
			"cold_factor": 1.5, "cold_slack": 5,
		},
	}
	parse := func(key string, value any) error {
		changed := map[string]any{}
		for name, valid := range good {
			changed[name] = valid
		}
		if key != "" {
			changed[key] = value
		}
		text, err := json.Marshal(changed)
		require.NoError(t, err)
		_, err = ParseSettings(text)
		return err
	}
	require.EqualError(t, parse("", nil), `packetnode: underlay.plugin: none; allowed: one of []`, "no plug-in is registered here")
	for key, value := range map[string]any{
		"name": "", "vm": "::1", "zone": "c", "packets": "10.0.0.1:0", "readiness": "", "ports": []int{5}, "seeds": []string{"10.0.0.1:0"},
		"memory_mb": 0, "grace_seconds": -1, "log_level": "loud", "surplus": 1,
		"target": map[string]any{"service": "", "address": "10.0.0.1:5", "outbound": "10.0.0.1:6", "registration": "10.0.0.1:7", "heartbeat_ms": 1},
	} {
		err := parse(key, value)
		require.Error(t, err, key)
		require.Contains(t, err.Error(), key)
	}
}

// A document fetched from another node may be of an earlier version than the newest one that
// was heard of. If its contents are the same, nothing must be fetched again.
func TestTheSameContentsAreNotRequestedAgain(t *testing.T) {
	n := &Node{stateCache: &StateCache{}}
	n.stateCache.Adopt(routing.Document{AsOf: 5}, routing.State{}, start)
	version := n.stateCache.StateVersion()
	n.ownVersion.Store(&version)
	changed := routing.Document{AsOf: 7, Entries: []platform.Entry{{Key: "x", Version: 7}}}
	n.ObserveStateVersion(StateVersion{AsOf: 9, Digest: uint32(changed.Digest())})
	require.True(t, n.behind())
	n.stateCache.Adopt(changed, routing.State{}, start)
	require.False(t, n.behind())
}

// An agent's first state may be some seconds old. It is verified by the agent itself unless a
// balancer tells in time that it is current, and until then nobody takes it for verified.
func TestFirstStateOfAnAgentIsVerifiedSoon(t *testing.T) {
	n := &Node{self: peer(1, model.RoleAgent), table: NewNodeTable(peer(1, model.RoleAgent)), stateCache: &StateCache{}}
	require.True(t, n.refresh.due(n, start))
	document := routing.Document{AsOf: 5}
	n.stateCache.Adopt(document, routing.State{}, 0)
	n.refresh.adoptedAt = start
	require.GreaterOrEqual(t, n.stateCache.Freshness(start).AgeMillis, uint32(time.Hour.Milliseconds()), "others learn that it is not verified")
	require.False(t, n.refresh.due(n, start.Add(agentVerifyInterval)))
	late := start.Add(agentVerifyInterval + time.Second)
	require.True(t, n.refresh.due(n, late))
	require.False(t, n.stateCache.Observe(Freshness{AsOf: 6, Digest: document.Digest()}, late.Add(-100*time.Millisecond)))
	require.False(t, n.refresh.due(n, late), "a balancer has verified it")
	require.True(t, n.stateCache.Observe(Freshness{AsOf: 9, Digest: document.Digest() + 1}, late))
}

// Two nodes that know the same nodes have the same digest, so that neither sends the other a
// list of them.
func TestDigestIdentifiesTheKnownNodes(t *testing.T) {
	first, second := NewNodeTable(peer(1, model.RoleBalancer)), NewNodeTable(peer(2, model.RoleAgent))
	for n := 3; n < 40; n++ {
		first.Add(start, peer(n, model.RoleAgent))
		second.Add(start, peer(42-n, model.RoleAgent))
	}
	require.NotEqual(t, first.Digest(), second.Digest(), "they don't know each other")
	first.Add(start, peer(2, model.RoleAgent))
	second.Add(start, peer(1, model.RoleBalancer))
	require.Equal(t, first.Digest(), second.Digest())
	gone := heartbeat(3, model.RoleAgent, 1, 1)
	gone.State = StateGone
	first.Receive(start, gone)
	require.NotEqual(t, first.Digest(), second.Digest())
	second.Receive(start, gone)
	require.Equal(t, first.Digest(), second.Digest())
}
