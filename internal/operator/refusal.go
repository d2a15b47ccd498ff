package operator

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/billing"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

// ErrOutcomeUnknown tells that a change may or may not have been accepted,
// since the platform could not be asked any more. The same command may be given
// again: it changes nothing that is in force already.
var ErrOutcomeUnknown = errs.New("it is not known whether the change was accepted")

// ErrNotInForce tells that an accepted change was not seen in force at all nodes
// in time. It stays accepted.
var ErrNotInForce = errs.New("the change is not in force everywhere yet")

// ErrAuditFaults tells that the audit trail has gaps or edits.
var ErrAuditFaults = errs.New("the audit trail has faults")

// Reason names why a change was refused.
type Reason string

// The reasons.
const (
	// ReasonInvalid refuses lists that do not fit together.
	ReasonInvalid Reason = "invalid"
	// ReasonRevision refuses a change that was made for another revision.
	ReasonRevision Reason = "revision"
	// ReasonRace refuses a change that another operator came before.
	ReasonRace Reason = "race"
	// ReasonCut refuses a change that cuts customers below what they have used.
	ReasonCut Reason = "cut"
)

// Refusal is the error of a change that was not accepted and had no effect.
type Refusal struct {
	Document string `json:"document"`
	Reason   Reason `json:"reason"`
	Detail   string `json:"detail"`
	// Revision is the one in force, and Author who made it.
	Revision model.Revision `json:"revision"`
	Author   string         `json:"author"`
	// Differences are those between what is in force and what was wanted.
	Differences []plan.Difference   `json:"differences"`
	Cuts        []billing.Reduction `json:"cuts"`
	// Unrecorded tells why the refusal is not in the audit trail.
	Unrecorded string `json:"unrecorded,omitempty"`
}

// Error implements error.
func (r *Refusal) Error() string {
	lines := []string{fmt.Sprintf("%s: refused (%s): %s", r.Document, r.Reason, r.Detail)}
	for _, cut := range r.Cuts {
		lines = append(lines, "  "+cut.String())
	}
	for _, difference := range r.Differences {
		lines = append(lines, "  "+difference.String())
	}
	if r.Unrecorded != "" {
		lines = append(lines, "the refusal is not in the audit trail: "+r.Unrecorded)
	}
	return strings.Join(lines, "\n")
}

// summary is the refusal in the audit trail.
func (r *Refusal) summary() string { return string(r.Reason) + ": " + r.Detail }

func refuse(held Held, reason Reason, wanted plan.Content, format string, args ...any) *Refusal {
	return &Refusal{
		Document: held.Kind.String(), Reason: reason, Detail: fmt.Sprintf(format, args...),
		Revision: held.Revision, Author: held.Document.Header.Author,
		Differences: plan.Diff(held.Document.Content, wanted), Cuts: []billing.Reduction{},
	}
}
