package packetnode

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/codec"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
)

func registrationOf(t require.TestingT, p Peer, version uint64) platform.Entry {
	value, err := codec.Marshal(p)
	require.NoError(t, err)
	return platform.Entry{Key: registrationKey(p.VM), Value: value, Version: platform.Version(version)}
}

// A process that starts again on its VM finds its registration and writes nothing: after a
// loss of power all nodes start at the same time. One whose registration is missing, or says
// something else, writes it.
func TestNodeRegistersOnlyIfItsRegistrationIsMissingOrDiffers(t *testing.T) {
	self := peer(1, model.RoleAgent)
	n := &Node{self: self}
	other := registrationOf(t, peer(2, model.RoleAgent), 4)
	moved := self
	moved.Service = "another"
	for name, c := range map[string]struct {
		entries    []platform.Entry
		registered bool
		version    platform.Version
	}{
		"present":  {[]platform.Entry{other, registrationOf(t, self, 7)}, true, 7},
		"missing":  {[]platform.Entry{other}, false, 0},
		"differs":  {[]platform.Entry{registrationOf(t, moved, 9)}, false, 9},
		"odd":      {[]platform.Entry{{Key: registrationKey(self.VM), Value: []byte{0x91}, Version: 3}}, false, 3},
		"old form": {[]platform.Entry{{Key: registrationKey(self.VM) + "/1f/2e", Value: registrationOf(t, self, 7).Value, Version: 5}}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var r registration
			require.False(t, r.registered(), "nothing is known")
			r.observe(n, start, c.entries, false)
			require.Equal(t, c.registered, r.registered())
			require.Equal(t, c.version, r.version)
		})
	}
}

// A relaxed read may be older than the registration that the node has just written.
func TestRelaxedReadDoesNotUndoARegistration(t *testing.T) {
	n := &Node{self: peer(1, model.RoleAgent)}
	r := registration{checked: true, version: 5, valid: true, writtenAt: start}
	r.observe(n, start.Add(time.Second), nil, false)
	require.True(t, r.registered())
	r.observe(n, start.Add(time.Second), nil, true)
	require.False(t, r.registered(), "a current read shows that it was removed")
	r = registration{checked: true, version: 5, valid: true, writtenAt: start}
	r.observe(n, start.Add(relaxedDelay), nil, false)
	require.False(t, r.registered())
}

// Nodes fall silent and return, whole zones are cut off, and the balancer forgets silent
// nodes. A registration is removed only after the node was silent for removeAfter, or for
// removeMassAfter while most of its zone is, and then it is removed.
func TestRegistrationsOfNodesThatAreGoneAreRemoved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewNodeTable(peer(1, model.RoleBalancer))
		var j janitor
		const count, step = 24, 5 * time.Second
		zoneOf := func(n int) model.Zone { return model.Zone(fmt.Sprint("zone-", n%3)) }
		nodeOf := func(n int) Peer { return Peer{VM: vm(10 + n), Role: model.RoleAgent, Zone: zoneOf(n)} }
		registered := map[int]bool{}
		silentSince := map[int]model.Instant{}
		silent := map[int]bool{}
		for n := range count {
			registered[n] = true
		}
		sequence := uint64(0)
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"", "", "one", "return", "zone"}).Draw(t, "change") {
			case "one":
				silent[rapid.IntRange(0, count-1).Draw(t, "node")] = true
			case "return":
				delete(silent, rapid.IntRange(0, count-1).Draw(t, "node"))
			case "zone":
				cut, zone := rapid.Bool().Draw(t, "cut"), rapid.IntRange(0, 2).Draw(t, "zone")
				for n := zone; n < count; n += 3 {
					silent[n] = cut
				}
			}
			now = now.Add(step)
			sequence++
			for n := range count {
				if silent[n] {
					if _, known := silentSince[n]; !known {
						silentSince[n] = now.Add(-step)
					}
					continue
				}
				delete(silentSince, n)
				registered[n] = true // it writes its registration again
				beat := heartbeat(0, model.RoleAgent, uint64(n+1), sequence)
				beat.Peer, beat.IntervalMillis = nodeOf(n), 100
				table.Receive(now, beat)
			}
			table.Evict(now)
			var entries []platform.Entry
			total, gone := map[model.Zone]int{}, map[model.Zone]int{}
			for n := range count {
				if registered[n] {
					entries = append(entries, registrationOf(t, nodeOf(n), 1))
					total[zoneOf(n)]++
					if silent[n] {
						gone[zoneOf(n)]++
					}
				}
			}
			due := j.due(now, table, parseRegistrations(entries))
			require.LessOrEqual(t, len(due), maxRemovals)
			removed := map[netip.Addr]bool{}
			for _, node := range due {
				removed[node.peer.VM] = true
			}
			waiting := 0
			for n := range count {
				limit := removeAfter
				if 2*gone[zoneOf(n)] > total[zoneOf(n)] {
					limit = removeMassAfter
				}
				silence := time.Duration(0)
				if silent[n] {
					silence = now.Sub(silentSince[n])
				}
				if removed[nodeOf(n).VM] {
					require.GreaterOrEqual(t, silence, limit, "node %d", n)
					registered[n] = false
				} else if registered[n] && silence >= limit+2*step {
					waiting++
				}
			}
			if waiting > 0 {
				require.Len(t, due, maxRemovals, "%d more are due", waiting)
			}
		}
	})
}

// Entries under keys of another form, of earlier versions or other writers, stay.
func TestOtherEntriesAreNotRemoved(t *testing.T) {
	valid := registrationOf(t, peer(2, model.RoleAgent), 3)
	entries := []platform.Entry{
		valid, {Key: valid.Key + "/1/2", Value: valid.Value}, {Key: registrationKey(vm(3)), Value: valid.Value},
		{Key: registrationKey(vm(4)), Value: []byte("{}")},
	}
	require.Len(t, parseRegistrations(entries), 1)
}
