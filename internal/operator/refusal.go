package operator

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/billing"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

// ErrOutcomeUnknown is returned when a change may or may not have been accepted,
// because the platform stopped answering. The command may be repeated: it changes
// nothing that is already in force.
var ErrOutcomeUnknown = errs.New("it is not known whether the change was accepted")

// ErrNotInForce is returned when an accepted change was not seen in force at all
// nodes in time. The change stays accepted.
var ErrNotInForce = errs.New("the change is not in force everywhere yet")

// ErrAuditFaults is returned when the audit trail has gaps or edited entries.
var ErrAuditFaults = errs.New("the audit trail has faults")

// Reason is why a change was refused.
type Reason string

// The reasons.
const (
	// ReasonInvalid refuses lists that are inconsistent with each other.
	ReasonInvalid Reason = "invalid"
	// ReasonRevision refuses a change that was made for another revision than the
	// one in force.
	ReasonRevision Reason = "revision"
	// ReasonRace refuses a change that lost a race against another operator's.
	ReasonRace Reason = "race"
	// ReasonReduction refuses a change that reduces customers' allowances below
	// what they have used this month. Outputs and flags call such a reduction a cut.
	ReasonReduction Reason = "cut"
)

// Refusal is the error of a change that was not accepted and had no effect.
type Refusal struct {
	Document string `json:"document"`
	Reason   Reason `json:"reason"`
	Detail   string `json:"detail"`
	// Revision is the one in force, and Author its author.
	Revision model.Revision `json:"revision"`
	Author   string         `json:"author"`
	// Differences are those between the content in force and the wanted one.
	Differences []plan.Difference   `json:"differences"`
	Reductions  []billing.Reduction `json:"cuts"`
	// AuditError is why the refusal is not in the audit trail.
	AuditError string `json:"unrecorded,omitempty"`
}

// Error implements error.
func (r *Refusal) Error() string {
	lines := []string{fmt.Sprintf("%s: refused (%s): %s", r.Document, r.Reason, r.Detail)}
	for _, reduction := range r.Reductions {
		lines = append(lines, "  "+reduction.String())
	}
	for _, difference := range r.Differences {
		lines = append(lines, "  "+difference.String())
	}
	if r.AuditError != "" {
		lines = append(lines, "the refusal is not in the audit trail: "+r.AuditError)
	}
	return strings.Join(lines, "\n")
}

// summary is the text of the refusal in the audit trail.
func (r *Refusal) summary() string { return string(r.Reason) + ": " + r.Detail }

// refuse returns the refusal of a change to a stored document. wanted is nil when
// the change does not give that document a content.
func refuse(stored StoredDocument, reason Reason, wanted plan.Content, format string, args ...any) *Refusal {
	return &Refusal{
		Document: stored.Kind.String(), Reason: reason, Detail: fmt.Sprintf(format, args...),
		Revision: stored.Revision, Author: stored.Document.Header.Author,
		Differences: plan.Diff(stored.Document.Content, wanted), Reductions: []billing.Reduction{},
	}
}
