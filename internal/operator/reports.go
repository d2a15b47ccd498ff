package operator

import (
	"context"
	"time"

	"github.com/balsamlink/balsamlink/internal/audit"
	"github.com/balsamlink/balsamlink/internal/billing"
	"github.com/balsamlink/balsamlink/internal/plan"
	"github.com/balsamlink/balsamlink/internal/platform"
)

// AuditReport is the result of an audit.
type AuditReport struct {
	// Entries are the selected entries, oldest first.
	Entries []audit.Entry `json:"entries"`
	// Head is the end of the trail. A reader who keeps it elsewhere can later
	// check whether the trail up to it was changed.
	Head plan.AuditHead `json:"head"`
	// Pending names the documents whose newest change is not in the trail yet.
	Pending []string      `json:"pending"`
	Faults  []audit.Fault `json:"faults"`
}

// maxAuditAttempts limits how often the trail is read again because a document
// changed in the meantime.
const maxAuditAttempts = 3

// Audit reads and verifies the whole trail, and returns the entries that pass
// filter. The error is ErrAuditFaults when the trail has faults; the report is
// then valid too.
func Audit(ctx context.Context, store platform.Store, filter func(audit.Entry) bool) (AuditReport, error) {
	var report AuditReport
	for range maxAuditAttempts {
		before, err := ReadDocuments(ctx, store)
		if err != nil {
			return AuditReport{}, err
		}
		if report, err = auditOnce(ctx, store, before, filter); err != nil {
			return AuditReport{}, err
		}
		after, err := ReadDocuments(ctx, store)
		if err != nil {
			return AuditReport{}, err
		}
		if before.revisions() == after.revisions() {
			break
		}
	}
	if len(report.Faults) > 0 {
		return report, Error.Wrap(ErrAuditFaults)
	}
	return report, nil
}

func auditOnce(
	ctx context.Context, store platform.Store, state StoredState, filter func(audit.Entry) bool,
) (AuditReport, error) {
	verifier := audit.NewVerifier(state.Documents())
	report := AuditReport{Entries: []audit.Entry{}, Pending: []string{}, Faults: []audit.Fault{}}
	err := audit.NewTrail(store).Walk(ctx, func(segment audit.Segment) {
		verifier.Add(segment)
		for _, entry := range segment.Entries {
			if filter(entry) {
				report.Entries = append(report.Entries, entry)
			}
		}
	})
	if err != nil {
		return AuditReport{}, Error.Wrap(err)
	}
	report.Faults = append(report.Faults, verifier.Finish()...)
	report.Head = verifier.End().Head
	for _, stored := range state.Stored {
		if stored.Revision > verifier.End().Accepted[stored.Kind] {
			report.Pending = append(report.Pending, stored.Kind.String())
		}
		if stored.Damaged != nil {
			report.Faults = append(report.Faults, audit.Fault{Reason: stored.Damaged.Error()})
		}
	}
	return report, nil
}

// CheckPlanReferences reads the lists and returns an error that names the
// customers on a missing plan, which can result from two operators each changing
// one list. Such customers have no allowance. It returns nil when there are none
// or when the lists can't be read.
func CheckPlanReferences(ctx context.Context, store platform.Store) error {
	state, err := ReadDocuments(ctx, store)
	if err != nil {
		return nil
	}
	lists := state.Lists()
	return plan.CheckReferences(lists.Customers, lists.Plans)
}

// CurrentLists reads the two lists in force, empty where the platform has none. It
// fails if any stored document is damaged, including the out-of-service document.
func CurrentLists(ctx context.Context, store platform.Store) (plan.Lists, error) {
	state, err := ReadDocuments(ctx, store)
	if err != nil {
		return plan.Lists{}, err
	}
	for _, stored := range state.Stored {
		if stored.Damaged != nil {
			return plan.Lists{}, Error.New("document %s is damaged: %w", stored.Kind, stored.Damaged)
		}
	}
	return state.Lists(), nil
}

// Forecast computes next month's bills from lists and the metering totals.
func Forecast(
	ctx context.Context, store platform.Store, lists plan.Lists, now time.Time,
) (billing.Forecast, error) {
	usage, err := readUsage(ctx, store, billing.MonthOf(now))
	if err != nil {
		return billing.Forecast{}, err
	}
	forecast, err := billing.NewForecast(lists, usage, now)
	return forecast, Error.Wrap(err)
}
