package targetgate

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	// minSavedAge is how long a flow must have been open to be part of a snapshot. Flows
	// with a single request end sooner.
	minSavedAge = 2 * time.Second
	// maxSavedFlows limits the flows of a snapshot, which then takes 64 KiB.
	maxSavedFlows = 4096
	// snapshotFormat is the first byte of an encoded snapshot.
	snapshotFormat = 1
	// The sizes, in bytes, of an encoded snapshot's header, of each flow, and of the
	// checksum at the end.
	snapshotHeader   = 1 + 8
	savedFlowSize    = flow.KeySize + 4
	snapshotChecksum = 8
)

// Snapshot lists long-lived flows of one incarnation of a target. It outlives the agent:
// after a loss of power nobody else knows which clients hold flows that have ended.
type Snapshot struct {
	// Incarnation is the target's incarnation that holds the flows; 0 means unknown.
	Incarnation int64
	Flows       []OrphanedFlow
}

// Snapshot returns the flows that have been open for minSavedAge and that neither side has
// closed.
func (g *Gate) Snapshot(now model.Instant) Snapshot {
	snapshot := Snapshot{Incarnation: g.target.Incarnation}
	for key, known := range g.flows {
		if len(snapshot.Flows) == maxSavedFlows {
			break
		}
		lives := known.open && known.clientAcked && !known.endedByClient && !known.endedByTarget
		if lives && known.incarnation == g.target.Incarnation && now.Sub(known.openedAt) >= minSavedAge {
			snapshot.Flows = append(snapshot.Flows, OrphanedFlow{Key: key, Sequence: known.clientAck})
		}
	}
	return snapshot
}

// Ended returns the flows of a snapshot that have certainly ended: the target has announced
// a later incarnation, which holds none of them.
func (g *Gate) Ended(snapshot Snapshot) []OrphanedFlow {
	if snapshot.Incarnation == 0 || g.target.Incarnation <= snapshot.Incarnation {
		return nil
	}
	var ended []OrphanedFlow
	for _, saved := range snapshot.Flows {
		if g.flows[saved.Key] == nil && g.queued[saved.Key] == nil {
			ended = append(ended, saved)
		}
	}
	return ended
}

// Encode returns the snapshot in the form in which it is stored.
func (s Snapshot) Encode() []byte {
	text := make([]byte, 0, snapshotHeader+len(s.Flows)*savedFlowSize+snapshotChecksum)
	text = append(text, snapshotFormat)
	text = binary.BigEndian.AppendUint64(text, uint64(s.Incarnation))
	for _, saved := range s.Flows {
		text = saved.Key.Append(text)
		text = binary.BigEndian.AppendUint32(text, saved.Sequence)
	}
	return binary.BigEndian.AppendUint64(text, xxhash.Sum64(text))
}

// DecodeSnapshot decodes a stored snapshot. It refuses one of another format, and one that
// is not complete.
func DecodeSnapshot(text []byte) (Snapshot, error) {
	flows := len(text) - snapshotHeader - snapshotChecksum
	if flows < 0 || flows%savedFlowSize != 0 || flows/savedFlowSize > maxSavedFlows {
		return Snapshot{}, Error.New("snapshot of %d bytes", len(text))
	}
	if text[0] != snapshotFormat {
		return Snapshot{}, Error.New("snapshot of format %d; known: %d", text[0], snapshotFormat)
	}
	body, checksum := text[:len(text)-snapshotChecksum], binary.BigEndian.Uint64(text[len(text)-snapshotChecksum:])
	if xxhash.Sum64(body) != checksum {
		return Snapshot{}, Error.New("snapshot with a wrong checksum")
	}
	snapshot := Snapshot{Incarnation: int64(binary.BigEndian.Uint64(body[1:]))}
	for rest := body[snapshotHeader:]; len(rest) > 0; rest = rest[savedFlowSize:] {
		snapshot.Flows = append(snapshot.Flows, OrphanedFlow{Key: flow.ParseKey(rest), Sequence: binary.BigEndian.Uint32(rest[flow.KeySize:])})
	}
	return snapshot, nil
}
