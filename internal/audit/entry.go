// Package audit maintains the audit trail of changes to the operators' documents:
// who requested what, when, and whether it was accepted. The entries form a hash
// chain that is divided into segments; building and verifying it does no I/O.
// Trail stores the segments in the platform.
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

// Error is the class of all errors of this package.
var Error = errs.Class("audit")

// Outcome is the result of a change.
type Outcome string

// The outcomes of a change.
const (
	Accepted Outcome = "accepted"
	Refused  Outcome = "refused"
)

// The limits of one record. JSON encoding makes a text at most six times as long.
const (
	// MaxTextSize is the maximum size of one text, in bytes.
	MaxTextSize = 1024
	// MaxChanges limits the number of change lines, MaxChangesSize their total
	// size in bytes.
	MaxChanges     = 100
	MaxChangesSize = 16 << 10
)

// Record describes one change.
type Record struct {
	ChangeID string    `json:"change_id"`
	Time     time.Time `json:"time"`
	Author   string    `json:"author"`
	// Document is the name of the changed document.
	Document string  `json:"document"`
	Outcome  Outcome `json:"outcome"`
	// From is the revision that the change was based on, and To the revision that
	// it created; a refused change creates none.
	From model.Revision `json:"from"`
	To   model.Revision `json:"to,omitempty"`
	// Changes describes the changes line by line, as operators see them.
	Changes []string `json:"changes"`
	// ContentSHA256 is the hex SHA-256 of the normalized content.
	ContentSHA256 string `json:"content_sha256"`
	// Reason is why the change was refused.
	Reason string `json:"reason,omitempty"`
}

// Entry is a record in the chain.
type Entry struct {
	// Sequence numbers the entries from 1.
	Sequence uint64 `json:"sequence"`
	Record
	// Previous is the hash of the previous entry, empty for the first.
	Previous string `json:"previous"`
	// Hash is the hex SHA-256 over the JSON form of the entry without its hash.
	Hash string `json:"hash"`
}

// Truncated returns the record with its texts truncated to their limits, and in a
// form that a JSON round trip leaves unchanged.
func (r Record) Truncated() Record {
	r.ChangeID = truncatedText(r.ChangeID)
	r.Author = truncatedText(r.Author)
	r.Reason = truncatedText(r.Reason)
	r.Time = r.Time.UTC().Truncate(time.Millisecond)
	changes := make([]string, len(r.Changes))
	for i, line := range r.Changes {
		changes[i] = truncatedText(line)
	}
	r.Changes = plan.Shorten(changes, fittingLines(changes))
	return r
}

// fittingLines returns how many lines are within MaxChanges and MaxChangesSize, at
// least 1 if there are any. If some lines do not fit, plan.Shorten replaces the
// last one that does by a note of how many were omitted.
func fittingLines(lines []string) int {
	size := 0
	for i, line := range lines {
		size += len(line)
		if i == MaxChanges || size > MaxChangesSize {
			return max(i, 1)
		}
	}
	return len(lines)
}

func truncatedText(text string) string {
	text = strings.ToValidUTF8(text, "?")
	if len(text) <= MaxTextSize {
		return text
	}
	return strings.ToValidUTF8(text[:MaxTextSize], "")
}

// newEntry returns the entry that holds a record and follows head.
func newEntry(head plan.AuditHead, record Record) (Entry, error) {
	entry := Entry{Sequence: head.Sequence + 1, Record: record.Truncated(), Previous: head.Hash}
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

// Head returns the entry's position in the chain.
func (e Entry) Head() plan.AuditHead { return plan.AuditHead{Sequence: e.Sequence, Hash: e.Hash} }

// AcceptedRecord returns the record of the change that created the current version
// of a document. It is derived from the document alone, so that the trail can be
// completed after a process crashed between writing the document and writing its
// entry.
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
