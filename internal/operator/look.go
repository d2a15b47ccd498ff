package operator

import (
	"context"
	"time"

	"github.com/balsamlink/balsamlink/internal/audit"
	"github.com/balsamlink/balsamlink/internal/billing"
	"github.com/balsamlink/balsamlink/internal/plan"
	"github.com/balsamlink/balsamlink/internal/platform"
)

// AuditReport is the checked trail.
type AuditReport struct {
	// Entries are those that were asked for, oldest first.
	Entries []audit.Entry `json:"entries"`
	// Head is the end of the trail. Kept elsewhere, it lets a later reader see
	// whether the trail up to here was changed.
	Head plan.AuditHead `json:"head"`
	// Pending names the documents whose newest change is not in the trail yet.
	Pending []string      `json:"pending"`
	Faults  []audit.Fault `json:"faults"`
}

// maxAuditAttempts bounds how often the trail is read again because a document
// changed in the meantime.
const maxAuditAttempts = 3

// Audit reads and checks the whole trail, and returns the entries that want
// selects.
func Audit(ctx context.Context, store platform.Store, want func(audit.Entry) bool) (AuditReport, error) {
	var report AuditReport
	for range maxAuditAttempts {
		before, err := ReadDocuments(ctx, store)
		if err != nil {
			return AuditReport{}, err
		}
		if report, err = auditOnce(ctx, store, before, want); err != nil {
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
	ctx context.Context, store platform.Store, state State, want func(audit.Entry) bool,
) (AuditReport, error) {
	verifier := audit.NewVerifier(state.Documents())
	report := AuditReport{Entries: []audit.Entry{}, Pending: []string{}, Faults: []audit.Fault{}}
	err := audit.NewTrail(store).Walk(ctx, func(segment audit.Segment) {
		verifier.Add(segment)
		for _, entry := range segment.Entries {
			if want(entry) {
				report.Entries = append(report.Entries, entry)
			}
		}
	})
	if err != nil {
		return AuditReport{}, Error.Wrap(err)
	}
	report.Faults = append(report.Faults, verifier.Finish()...)
	report.Head = verifier.End().Head
	for _, held := range state.Held {
		if held.Revision > verifier.End().Accepted[held.Kind] {
			report.Pending = append(report.Pending, held.Kind.String())
		}
		if held.Damaged != nil {
			report.Faults = append(report.Faults, audit.Fault{Reason: held.Damaged.Error()})
		}
	}
	return report, nil
}

// Dangling reads the lists and tells which customers are on a missing plan, as
// can happen when two operators each change one list. Such customers have no
// allowance. It returns nil when all is well or nothing can be read.
func Dangling(ctx context.Context, store platform.Store) error {
	state, err := ReadDocuments(ctx, store)
	if err != nil {
		return nil
	}
	lists := state.Lists()
	return plan.CheckReferences(lists.Customers, lists.Plans)
}

// CurrentLists reads the two lists in force.
func CurrentLists(ctx context.Context, store platform.Store) (plan.Lists, error) {
	state, err := ReadDocuments(ctx, store)
	if err != nil {
		return plan.Lists{}, err
	}
	for _, held := range state.Held {
		if held.Damaged != nil {
			return plan.Lists{}, Error.New("document %s is damaged: %w", held.Kind, held.Damaged)
		}
	}
	return state.Lists(), nil
}

// Forecast works out next month's bills from lists and the metering totals.
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
