package targetgate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/targetgate"
)

// Agents and targets are restarted in any order, and snapshots may be old. A flow that the
// target's running incarnation holds must never count as ended.
func TestSnapshotEndsNoFlowThatLives(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t)
		incarnation, opened := int64(1000), 0
		holds := map[flow.Key]bool{}
		var stored [][]byte
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			h.now = h.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"open", "open", "snapshot", "restart agent", "restart target", "set clock back"}).Draw(rt, "step") {
			case "open":
				opened++
				k := key(opened, feedAddress)
				holds[k] = true
				h.answer(k, flow.Ack, 100) // also a restarted agent sees the flow's packets
				h.request(k)
			case "snapshot":
				// Of the parts of different snapshots, any may be in the store.
				for _, part := range h.gate.Snapshot(h.now).Split(rapid.IntRange(1, 4).Draw(rt, "parts"), 64) {
					if rapid.Bool().Draw(rt, "stored") {
						stored = append(stored, part.Encode())
					}
				}
			case "restart agent":
				sequence := h.sequence
				*h = *newHarness(t)
				h.sequence = sequence
				h.now = h.now.Add(time.Hour)
			case "restart target":
				incarnation, holds = incarnation+1000, map[flow.Key]bool{}
			case "set clock back":
				incarnation, holds = incarnation-500, map[flow.Key]bool{}
			}
			h.announceAs(incarnation)
			for _, text := range stored {
				snapshot, err := targetgate.DecodeSnapshot(text)
				require.NoError(rt, err)
				for _, ended := range h.gate.Ended(snapshot) {
					require.False(rt, holds[ended.Key], "the flow lives")
				}
			}
		}
	})
}

// announceAs sends a heartbeat of an incarnation; the gate may refuse it.
func (h *harness) announceAs(incarnation int64) {
	a := h.announcement()
	a.Incarnation = incarnation
	_, _ = h.gate.Announce(h.now, a)
}

func TestSnapshotListsLongFlowsUntilTheTargetIsReplaced(t *testing.T) {
	h := newHarness(t)
	require.NoError(t, h.announce(nil))
	for n := range 3 {
		h.admitFlow(key(n, feedAddress))
		h.answer(key(n, feedAddress), flow.Ack, 100)
		h.request(key(n, feedAddress))
	}
	require.Empty(t, h.gate.Snapshot(h.now).Flows, "the flows may end with their first request")
	h.now = h.now.Add(2 * time.Second)
	h.answer(key(0, feedAddress), flow.Ack|flow.End, 0)
	snapshot := h.gate.Snapshot(h.now)
	require.Len(t, snapshot.Flows, 2, "the target has closed one flow")
	require.EqualValues(t, 7, snapshot.Flows[0].Sequence)
	require.Empty(t, h.gate.Ended(snapshot))

	restarted := newHarness(t)
	require.Empty(t, restarted.gate.Ended(snapshot), "no heartbeat yet")
	require.NoError(t, restarted.announce(nil))
	require.Empty(t, restarted.gate.Ended(snapshot), "only the agent was restarted")
	require.NoError(t, restarted.announce(func(a *targetgate.Announcement) { a.Incarnation = 2000 }))
	require.Len(t, restarted.gate.Ended(snapshot), 2)
}

// The parts of a snapshot have all of its flows, each fits its limit, and a flow is in the same
// part of each snapshot with as many parts.
func TestSnapshotsAreSplitInParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxSize = 1200
		snapshot := targetgate.Snapshot{Incarnation: 7}
		for n := range rapid.IntRange(0, 3000).Draw(t, "flows") {
			snapshot.Flows = append(snapshot.Flows, targetgate.OrphanedFlow{Key: key(n, feedAddress), Sequence: uint32(n)})
		}
		least := rapid.IntRange(0, 8).Draw(t, "parts before")
		parts := snapshot.Split(least, maxSize)
		require.GreaterOrEqual(t, len(parts), max(1, least))
		part := map[flow.Key]int{}
		for i, p := range parts {
			require.LessOrEqual(t, len(p.Encode()), maxSize)
			require.EqualValues(t, 7, p.Incarnation)
			for _, saved := range p.Flows {
				part[saved.Key] = i
			}
		}
		require.Len(t, part, len(snapshot.Flows))
		fewer := targetgate.Snapshot{Incarnation: 7, Flows: snapshot.Flows[:len(snapshot.Flows)/2]}
		for i, p := range fewer.Split(len(parts), maxSize) {
			for _, saved := range p.Flows {
				require.Equal(t, part[saved.Key], i)
			}
		}
	})
}

func TestDamagedSnapshotsAreRefused(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		snapshot := targetgate.Snapshot{Incarnation: rapid.Int64().Draw(rt, "incarnation")}
		for n := range rapid.IntRange(0, 20).Draw(rt, "flows") {
			snapshot.Flows = append(snapshot.Flows, targetgate.OrphanedFlow{Key: key(n, feedAddress), Sequence: rapid.Uint32().Draw(rt, "sequence")})
		}
		text := snapshot.Encode()
		decoded, err := targetgate.DecodeSnapshot(text)
		require.NoError(rt, err)
		require.Equal(rt, snapshot, decoded)
		_, err = targetgate.DecodeSnapshot(text[:rapid.IntRange(0, len(text)-1).Draw(rt, "length")])
		require.Error(rt, err)
		damaged := append([]byte(nil), text...)
		damaged[rapid.IntRange(0, len(text)-1).Draw(rt, "position")] ^= byte(rapid.IntRange(1, 255).Draw(rt, "difference"))
		_, err = targetgate.DecodeSnapshot(damaged)
		require.Error(rt, err)
	})
}

func FuzzDecodeSnapshot(f *testing.F) {
	f.Add(targetgate.Snapshot{Incarnation: 1000, Flows: []targetgate.OrphanedFlow{{Key: key(1, feedAddress), Sequence: 7}}}.Encode())
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, text []byte) {
		if snapshot, err := targetgate.DecodeSnapshot(text); err == nil {
			require.Equal(t, text, snapshot.Encode())
		}
	})
}
