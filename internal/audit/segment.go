package audit

import (
	"encoding/json"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

// MaxSegmentSize is the size from which a segment takes no more entries, in bytes.
// A smaller segment with one more entry always fits the platform's limit on the
// size of a value.
const MaxSegmentSize = 256 << 10

// Segment is one part of the chain. A sealed segment never changes again.
type Segment struct {
	// Number counts the segments from 1.
	Number uint64 `json:"number"`
	Sealed bool   `json:"sealed"`
	// Base is the state before the first entry.
	Base    ChainState `json:"base"`
	Entries []Entry    `json:"entries"`
}

// ChainState is the state of the chain after an entry.
type ChainState struct {
	Head plan.AuditHead `json:"head"`
	// Accepted holds the newest accepted revision of each document.
	Accepted model.Revisions `json:"accepted"`
}

// FirstSegment returns the empty first segment.
func FirstSegment() Segment { return Segment{Number: 1, Entries: []Entry{}} }

// Next returns the empty segment that follows a sealed one.
func (s Segment) Next() Segment {
	return Segment{Number: s.Number + 1, Base: s.End(), Entries: []Entry{}}
}

// End returns the state after the last entry.
func (s Segment) End() ChainState {
	end := s.Base
	for _, entry := range s.Entries {
		end = end.advancedBy(entry)
	}
	return end
}

func (c ChainState) advancedBy(entry Entry) ChainState {
	c.Head = entry.Head()
	kind, known := plan.KindByName(entry.Document)
	if known && entry.Outcome == Accepted {
		c.Accepted[kind] = max(c.Accepted[kind], entry.To)
	}
	return c
}

// Appended returns a copy of the segment with one more entry. The entry follows
// the end of the segment, or floor when that is later. Floor is the newest entry
// that a document refers to; if the trail has lost entries up to it, they stay
// visible as a gap.
func (s Segment) Appended(record Record, floor plan.AuditHead) (Segment, error) {
	head := s.End().Head
	if floor.Sequence > head.Sequence {
		head = floor
	}
	entry, err := newEntry(head, record)
	if err != nil {
		return Segment{}, err
	}
	entries := make([]Entry, len(s.Entries), len(s.Entries)+1)
	copy(entries, s.Entries)
	s.Entries = append(entries, entry)
	return s, nil
}

// Find returns the entry of a change with the given outcome, and whether there is
// one.
func (s Segment) Find(changeID string, outcome Outcome) (Entry, bool) {
	for _, entry := range s.Entries {
		if entry.ChangeID == changeID && entry.Outcome == outcome {
			return entry, true
		}
	}
	return Entry{}, false
}

// errDamaged is returned when a stored segment cannot be decoded.
var errDamaged = errs.New("segment is damaged")

func decodeSegment(number uint64, body []byte) (Segment, error) {
	var segment Segment
	if err := json.Unmarshal(body, &segment); err != nil {
		return Segment{}, Error.New("%w: segment %d: %v", errDamaged, number, err)
	}
	if segment.Number != number {
		return Segment{}, Error.New("%w: segment %d contains the number %d", errDamaged, number, segment.Number)
	}
	return segment, nil
}
