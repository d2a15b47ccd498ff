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
	// maxSnapshotParts limits the parts of a snapshot. With maxSavedFlows, most have 32
	// flows.
	maxSnapshotParts = 128
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
			saved.Evidence = EvidenceIncarnationEnded
			ended = append(ended, saved)
		}
	}
	return ended
}

// Split returns the snapshot in parts whose encodings have at most maxSize bytes, at least
// minParts of them. With the same number of parts, a flow is in the same part each time, so
// that a later part replaces an earlier one. Flows beyond maxSnapshotParts full parts are
// left out.
func (s Snapshot) Split(minParts, maxSize int) []Snapshot {
	limit := (maxSize - snapshotHeader - snapshotChecksum) / savedFlowSize
	for count := max(1, minParts); ; count *= 2 {
		parts, fits := s.splitInto(count, limit)
		if fits || count >= maxSnapshotParts {
			return parts
		}
	}
}

// splitInto splits the snapshot into a number of parts, and reports whether all flows are
// within the limit of flows of each part.
func (s Snapshot) splitInto(count, limit int) (parts []Snapshot, fits bool) {
	parts, fits = make([]Snapshot, count), true
	for i := range parts {
		parts[i].Incarnation = s.Incarnation
	}
	for _, saved := range s.Flows {
		part := &parts[saved.Key.Hash()%uint64(count)]
		if len(part.Flows) == limit {
			fits = false
			continue
		}
		part.Flows = append(part.Flows, saved)
	}
	return parts, fits
}

// Encode returns the snapshot, or a part of one, in the form in which it is stored.
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
