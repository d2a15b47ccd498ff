// Package audit keeps the trail of changes to the operators' documents: who
// wanted what, when, and whether it was accepted. The entries form a hash chain
// that is cut into segments; building and verifying it is pure. Trail keeps the
// segments in the platform.
package audit

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("audit")

// Outcome tells how a change ended.
type Outcome string

// The outcomes of a change.
const (
	Accepted Outcome = "accepted"
	Refused  Outcome = "refused"
)

// The limits of one record. JSON makes a text at most six times as long.
const (
	// MaxTextSize is the longest text, in bytes.
	MaxTextSize = 1024
	// MaxChanges and MaxChangesSize bound the lines of changes and all their
	// bytes together.
	MaxChanges     = 100
	MaxChangesSize = 16 << 10
)

// Record is what is to be remembered of one change.
type Record struct {
	ChangeID string    `json:"change_id"`
	Time     time.Time `json:"time"`
	Author   string    `json:"author"`
	// Document is the name of the changed document.
	Document string  `json:"document"`
	Outcome  Outcome `json:"outcome"`
	// From is the revision that the change was based on, and To the revision
	// that it made; a refused change makes none.
	From model.Revision `json:"from"`
	To   model.Revision `json:"to,omitempty"`
	// Changes says in the operators' terms what was to change.
	Changes []string `json:"changes"`
	// ContentSHA256 is the hex hash of the normalized content.
	ContentSHA256 string `json:"content_sha256"`
	// Reason says why the change was refused.
	Reason string `json:"reason,omitempty"`
}

// Entry is a record in the chain.
type Entry struct {
	// Sequence numbers the entries from 1.
	Sequence uint64 `json:"sequence"`
	Record
	// Previous is the hash of the entry before, empty for the first.
	Previous string `json:"previous"`
	// Hash is the hex SHA-256 over the JSON form of the entry without its hash.
	Hash string `json:"hash"`
}

// Bounded returns the record with its texts cut to their limits and in the form
// that JSON keeps unchanged.
func (r Record) Bounded() Record {
	r.ChangeID = bounded(r.ChangeID)
	r.Author = bounded(r.Author)
	r.Reason = bounded(r.Reason)
	r.Time = r.Time.UTC().Truncate(time.Millisecond)
	changes := make([]string, len(r.Changes))
	for i, line := range r.Changes {
		changes[i] = bounded(line)
	}
	r.Changes = plan.Shorten(changes, fitting(changes))
	return r
}

// fitting returns how many lines fit the limits, the last one of which may have
// to tell what was left out.
func fitting(lines []string) int {
	size := 0
	for i, line := range lines {
		size += len(line)
		if i == MaxChanges || size > MaxChangesSize {
			return max(i, 1)
		}
	}
	return len(lines)
}

func bounded(text string) string {
	text = strings.ToValidUTF8(text, "?")
	if len(text) <= MaxTextSize {
		return text
	}
	return strings.ToValidUTF8(text[:MaxTextSize], "")
}

// chained makes the entry that follows head.
func chained(head plan.AuditHead, record Record) (Entry, error) {
	entry := Entry{Sequence: head.Sequence + 1, Record: record.Bounded(), Previous: head.Hash}
	hash, err := hashOf(entry)
	entry.Hash = hash
	return entry, err
}

func hashOf(entry Entry) (string, error) {
	entry.Hash = ""
	text, err := json.Marshal(entry)
	if err != nil {
		return "", Error.Wrap(err)
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:]), nil
}

// Head returns the place of the entry in the chain.
func (e Entry) Head() plan.AuditHead { return plan.AuditHead{Sequence: e.Sequence, Hash: e.Hash} }

// AcceptedRecord returns the record of the change that made the current version
// of a document. It is worked out from the document alone, so that the trail can
// be completed after a process died between the two writes.
func AcceptedRecord(document plan.Document) (Record, error) {
	hash, err := plan.ContentSHA256(document.Content)
	if err != nil {
		return Record{}, Error.Wrap(err)
	}
	header := document.Header
	return Record{
		ChangeID: header.ChangeID, Time: header.Time, Author: header.Author,
		Document: document.Content.Kind().String(), Outcome: Accepted,
		From: header.Base, To: header.Revision, Changes: header.Changes, ContentSHA256: hash,
	}, nil
}
