package packetagent

import (
	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/packetnode"
	"github.com/balsamlink/balsamlink/internal/targetgate"
)

const (
	// minChangedShare is the share of the flows that must differ from those of the last
	// snapshot for another one to be saved.
	minChangedShare = 0.1
	// maxAckDrift is how many bytes a client may have received on a flow since the last
	// snapshot before the flow counts as changed. Clients accept a reset within 76,800
	// bytes of their acknowledgement.
	maxAckDrift = 32_000
	// resetsPerTick is how many flows of a former incarnation are reset per tick of the
	// control goroutine, so that they do not fill the link of a small VM.
	resetsPerTick = 200
)

// flowSnapshots saves the target's long-lived flows in the store, and resets those of
// former incarnations of the target once it has announced a later one. Clients then open
// new flows with their next request, instead of losing it on a flow that has ended.
type flowSnapshots struct {
	// saved holds the flows of the last snapshot with their acknowledgements, and parts is
	// the number of its parts.
	saved map[flow.Key]uint32
	parts int
	// former are the snapshots of the agent's former incarnations.
	former []targetgate.Snapshot
	// ended are the flows that remain to be reset.
	ended []targetgate.OrphanedFlow
}

// savedValue returns the callbacks by which the node saves and restores snapshots.
func (a *agent) savedValue() *packetnode.SavedValue {
	return &packetnode.SavedValue{Value: a.saveSnapshot, Restore: a.restoreSnapshots}
}

func (a *agent) saveSnapshot(now model.Instant, again bool) ([][]byte, bool) {
	a.mu.Lock()
	snapshot := a.gate.Snapshot(now)
	a.mu.Unlock()
	current := make(map[flow.Key]uint32, len(snapshot.Flows))
	for _, saved := range snapshot.Flows {
		current[saved.Key] = saved.Sequence
	}
	if snapshot.Incarnation == 0 || (!again && !changedEnough(a.snapshots.saved, current)) {
		return nil, false
	}
	split := snapshot.Split(a.snapshots.parts, packetnode.MaxSavedPart)
	a.snapshots.saved, a.snapshots.parts = current, len(split)
	parts := make([][]byte, 0, len(split))
	for _, part := range split {
		parts = append(parts, part.Encode())
	}
	return parts, true
}

// changedEnough reports whether minChangedShare of the current flows is not as saved.
func changedEnough(saved, current map[flow.Key]uint32) bool {
	kept, changed := 0, 0
	for key, ack := range current {
		savedAck, known := saved[key]
		if known {
			kept++
		}
		if !known || ack-savedAck > maxAckDrift {
			changed++
		}
	}
	changed += len(saved) - kept
	return changed > 0 && float64(changed) >= minChangedShare*float64(len(current))
}

func (a *agent) restoreSnapshots(now model.Instant, values [][]byte) {
	for _, value := range values {
		snapshot, err := targetgate.DecodeSnapshot(value)
		if err != nil {
			a.metrics.malformed.Inc()
			a.log.WithError(err).Warn("snapshot_refused")
			continue
		}
		a.snapshots.former = append(a.snapshots.former, snapshot)
	}
}

// resetFormerFlows resets the flows of former incarnations of the target that have
// certainly ended.
func (a *agent) resetFormerFlows() {
	var remaining []targetgate.Snapshot
	for _, snapshot := range a.snapshots.former {
		a.mu.Lock()
		ended, target := a.gate.Ended(snapshot), a.gate.Target()
		a.mu.Unlock()
		if target.Incarnation == 0 {
			remaining = append(remaining, snapshot)
			continue
		}
		a.log.WithFields(logrus.Fields{"born": target.Incarnation, "former_born": snapshot.Incarnation, "saved": len(snapshot.Flows), "ended": len(ended)}).Info("snapshot_restored")
		a.snapshots.ended = append(a.snapshots.ended, ended...)
	}
	a.snapshots.former = remaining
	count := min(resetsPerTick, len(a.snapshots.ended))
	for _, ended := range a.snapshots.ended[:count] {
		a.reset(ended, "former_incarnation")
	}
	a.snapshots.ended = a.snapshots.ended[count:]
}
