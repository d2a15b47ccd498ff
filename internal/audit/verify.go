package audit

import (
	"fmt"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

// maxFaults limits the faults that one verification reports.
const maxFaults = 100

// Fault is one inconsistency of the trail. Segment and Sequence are 0 where none
// applies.
type Fault struct {
	Segment  uint64 `json:"segment"`
	Sequence uint64 `json:"sequence"`
	Reason   string `json:"reason"`
}

// Verifier checks the chain from its first entry and compares the current
// documents with it. A document that is one revision ahead of the trail is no
// fault: the process that wrote it crashed before the audit write, and the next
// command of an operator completes the trail. The chain cannot reveal an edit of
// the last entries together with the documents that refer to them.
type Verifier struct {
	documents []plan.Document
	// expected is the segment that should come next. Only its number is compared.
	expected Segment
	// state is the state after the last checked entry.
	state ChainState
	// hashes holds the hashes of the entries that the documents refer to, by
	// sequence number; empty until the entry was found.
	hashes map[uint64]string
	// lastAccepted holds the newest accepted record of each document.
	lastAccepted [model.DocumentCount]Record
	// position is the segment and sequence number that the next fault is given. Its
	// Reason is not used.
	position Fault
	faults   []Fault
}

// NewVerifier returns a verifier for the current documents.
func NewVerifier(documents []plan.Document) *Verifier {
	v := &Verifier{documents: documents, expected: FirstSegment(), hashes: map[uint64]string{}}
	for _, document := range documents {
		v.hashes[document.Header.AuditHead.Sequence] = ""
	}
	return v
}

// Add checks the next segment of the trail. Missing segments are skipped by the
// caller.
func (v *Verifier) Add(segment Segment) {
	v.checkSegment(v.expected, segment)
	v.expected = segment.Next()
}

// Finish compares the documents with the trail, after every segment was added, and
// returns all faults, at most maxFaults.
func (v *Verifier) Finish() []Fault {
	missing := v.state.Accepted // after the loop, the revisions of documents that were not given
	for _, document := range v.documents {
		missing[document.Content.Kind()] = 0
		v.checkDocument(document)
	}
	v.position = Fault{}
	for i, revision := range missing {
		if revision != 0 {
			v.addFault("%s is missing although the trail records revision %d as accepted", model.DocumentKind(i), revision)
		}
	}
	return v.faults
}

// End returns the state after the last entry.
func (v *Verifier) End() ChainState { return v.state }

func (v *Verifier) addFault(format string, args ...any) {
	if len(v.faults) < maxFaults {
		v.faults = append(v.faults, Fault{v.position.Segment, v.position.Sequence, fmt.Sprintf(format, args...)})
	}
}

func (v *Verifier) checkSegment(expected, segment Segment) {
	v.position = Fault{Segment: segment.Number, Sequence: segment.Base.Head.Sequence}
	if segment.Number != expected.Number {
		v.addFault("segment %d is missing or damaged", expected.Number)
	}
	if segment.Base != v.state {
		v.addFault("the segment does not continue the previous one")
	}
	v.state = segment.Base
	for _, entry := range segment.Entries {
		v.checkEntry(entry)
	}
}

func (v *Verifier) checkEntry(entry Entry) {
	v.position.Sequence = entry.Sequence
	if entry.Sequence != v.state.Head.Sequence+1 {
		v.addFault("entry %d is missing", v.state.Head.Sequence+1)
	}
	if entry.Previous != v.state.Head.Hash {
		v.addFault("the entry does not follow the previous one")
	}
	if hash, err := hashOf(entry); err != nil || hash != entry.Hash {
		v.addFault("the entry was edited")
	}
	kind, known := plan.KindByName(entry.Document)
	if !known {
		v.addFault("%q is not a document", entry.Document)
	}
	if known && entry.Outcome == Accepted {
		v.checkAccepted(kind, entry)
	}
	if _, referenced := v.hashes[entry.Sequence]; referenced {
		v.hashes[entry.Sequence] = entry.Hash
	}
	v.state = v.state.advancedBy(entry)
}

func (v *Verifier) checkAccepted(kind model.DocumentKind, entry Entry) {
	newest := v.state.Accepted[kind]
	if entry.From != newest || entry.To != newest+1 {
		v.addFault("%s changed from revision %d to %d although %d was the newest", kind, entry.From, entry.To, newest)
	}
	v.lastAccepted[kind] = entry.Record
}

func (v *Verifier) checkDocument(document plan.Document) {
	kind := document.Content.Kind()
	newest := v.state.Accepted[kind]
	head := document.Header.AuditHead
	v.position = Fault{Sequence: head.Sequence}
	if v.hashes[head.Sequence] != head.Hash {
		v.addFault("%s at revision %d refers to an entry that is not in the trail", kind, document.Header.Revision)
	}
	switch document.Header.Revision {
	case newest:
		v.checkContent(kind, document)
	case newest + 1: // no fault, see Verifier
	default:
		v.addFault("%s is at revision %d while the trail ends at %d", kind, document.Header.Revision, newest)
	}
}

func (v *Verifier) checkContent(kind model.DocumentKind, document plan.Document) {
	record, err := AcceptedRecord(document)
	if err != nil {
		v.addFault("%s at revision %d: %v", kind, document.Header.Revision, err)
		return
	}
	documentHash, errDocument := hashOf(Entry{Record: record.Truncated()})
	trailHash, errTrail := hashOf(Entry{Record: v.lastAccepted[kind]})
	if errDocument != nil || errTrail != nil || documentHash != trailHash {
		v.addFault("%s at revision %d is not what the trail accepted", kind, document.Header.Revision)
	}
}
