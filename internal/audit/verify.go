package audit

import (
	"fmt"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

// maxFaults bounds the faults that one verification lists.
const maxFaults = 100

// Fault is one place where the trail is not what it must be.
type Fault struct {
	Segment  uint64 `json:"segment"`
	Sequence uint64 `json:"sequence"`
	Reason   string `json:"reason"`
}

// Verifier checks the chain from its first entry and holds the current documents
// against it. A document that is one revision ahead of the trail is no fault:
// its process died before the audit write, and the next command completes the
// trail. An edit of the last entries together with the documents that name them
// is beyond what the chain can show.
type Verifier struct {
	documents []plan.Document
	next      Segment
	state     Base
	// hashes holds the hashes of the entries that the documents name.
	hashes map[uint64]string
	last   [model.DocumentCount]Record
	at     Fault
	faults []Fault
}

// NewVerifier returns a verifier for the current documents.
func NewVerifier(documents []plan.Document) *Verifier {
	v := &Verifier{documents: documents, next: First(), hashes: map[uint64]string{}}
	for _, document := range documents {
		v.hashes[document.Header.AuditHead.Sequence] = ""
	}
	return v
}

// Add checks the next segment of the trail. Missing ones are left out.
func (v *Verifier) Add(segment Segment) {
	v.segment(v.next, segment)
	v.next = segment.Next()
}

// Finish holds the documents against the trail, once every segment was added,
// and returns all faults.
func (v *Verifier) Finish() []Fault {
	missing := v.state.Accepted
	for _, document := range v.documents {
		missing[document.Content.Kind()] = 0
		v.document(document)
	}
	v.at = Fault{}
	for i, revision := range missing {
		if revision != 0 {
			v.fault("%s is missing while the trail accepted revision %d", model.DocumentKind(i), revision)
		}
	}
	return v.faults
}

// End returns the state after the last entry.
func (v *Verifier) End() Base { return v.state }

func (v *Verifier) fault(format string, args ...any) {
	if len(v.faults) < maxFaults {
		v.faults = append(v.faults, Fault{v.at.Segment, v.at.Sequence, fmt.Sprintf(format, args...)})
	}
}

func (v *Verifier) segment(want, segment Segment) {
	v.at = Fault{Segment: segment.Number, Sequence: segment.Base.Head.Sequence}
	if segment.Number != want.Number {
		v.fault("segment %d is missing or damaged", want.Number)
	}
	if segment.Base != v.state {
		v.fault("the segment does not begin where the one before ends")
	}
	v.state = segment.Base
	for _, entry := range segment.Entries {
		v.entry(entry)
	}
}

func (v *Verifier) entry(entry Entry) {
	v.at.Sequence = entry.Sequence
	if entry.Sequence != v.state.Head.Sequence+1 {
		v.fault("entry %d is missing", v.state.Head.Sequence+1)
	}
	if entry.Previous != v.state.Head.Hash {
		v.fault("the entry does not follow the one before")
	}
	if hash, err := hashOf(entry); err != nil || hash != entry.Hash {
		v.fault("the entry was edited")
	}
	kind, known := plan.KindByName(entry.Document)
	if !known {
		v.fault("%q is not a document", entry.Document)
	}
	if known && entry.Outcome == Accepted {
		v.accepted(kind, entry)
	}
	if _, named := v.hashes[entry.Sequence]; named {
		v.hashes[entry.Sequence] = entry.Hash
	}
	v.state = v.state.after(entry)
}

func (v *Verifier) accepted(kind model.DocumentKind, entry Entry) {
	newest := v.state.Accepted[kind]
	if entry.From != newest || entry.To != newest+1 {
		v.fault("%s went from revision %d to %d while %d was the newest", kind, entry.From, entry.To, newest)
	}
	v.last[kind] = entry.Record
}

func (v *Verifier) document(document plan.Document) {
	kind := document.Content.Kind()
	newest := v.state.Accepted[kind]
	head := document.Header.AuditHead
	v.at = Fault{Sequence: head.Sequence}
	if v.hashes[head.Sequence] != head.Hash {
		v.fault("%s at revision %d names an entry that the trail lacks", kind, document.Header.Revision)
	}
	switch document.Header.Revision {
	case newest:
		v.same(kind, document)
	case newest + 1:
	default:
		v.fault("%s is at revision %d while the trail ends at %d", kind, document.Header.Revision, newest)
	}
}

func (v *Verifier) same(kind model.DocumentKind, document plan.Document) {
	record, err := AcceptedRecord(document)
	if err != nil {
		v.fault("%s at revision %d: %v", kind, document.Header.Revision, err)
		return
	}
	made, errMade := hashOf(Entry{Record: record.Bounded()})
	kept, errKept := hashOf(Entry{Record: v.last[kind]})
	if errMade != nil || errKept != nil || made != kept {
		v.fault("%s at revision %d is not what the trail accepted", kind, document.Header.Revision)
	}
}
